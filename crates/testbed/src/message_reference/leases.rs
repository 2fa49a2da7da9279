//! Messages about leases of shared resources.

use serde::{Deserialize, Serialize};

/// A resource that leases divide among nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    /// Fetches from the origin.
    Origin,
    /// Work at a cache that is warming up, by its endpoint number.
    WarmingCache(u64),
}

/// What a member asks for of one resource. Amounts are thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// What is asked for.
    pub resource: Resource,
    /// How much of it.
    pub amount: u32,
    /// The request whose grant is in use; earlier grants are returned by this.
    pub request_in_use: u64,
    /// The number of members in need, where a planner asks for several.
    pub claimants: u32,
    /// What they hold already without this lender.
    pub held: u32,
}

/// Leases between nodes and planners. Amounts are thousandths, durations microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for leases.
    Request {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// What is asked for, by resource.
        demands: Vec<Demand>,
    },
    /// Grants leases, from the time at which the request was sent.
    Grant {
        /// The request that is answered.
        request: u64,
        /// The amount of each resource.
        granted: Vec<(Resource, u32)>,
        /// How long the leases last.
        duration: u32,
    },
    /// Returns all that was granted up to this request.
    Return {
        /// The last request whose grant is returned.
        request: u64,
    },
    /// Asks for a long-term allocation of the origin.
    RequestAllocation {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// The amount that is asked for.
        demand: u32,
        /// The request whose grant is in use.
        request_in_use: u64,
        /// When the allocation is to end.
        until: u64,
        /// What the sender holds already without this lender.
        held: u32,
    },
    /// Grants a long-term allocation; a duration of zero refuses it.
    Allocation {
        /// The request that is answered.
        request: u64,
        /// The amount that is granted.
        amount: u32,
        /// How long the allocation lasts.
        duration: u32,
    },
    /// Returns the long-term allocations granted up to this request.
    ReturnAllocation {
        /// The last request whose grant is returned.
        request: u64,
    },
}
