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

/// The amount of one resource that a member requests, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The requested resource.
    pub resource: Resource,
    /// The requested amount.
    pub amount: u32,
    /// The number of the request whose grant is in use; this demand returns the grants of earlier requests.
    pub request_in_use: u64,
    /// The number of members that need the resource, where a planner requests it for several members.
    pub claimants: u32,
    /// The amount that these members already hold from other lenders.
    pub held: u32,
}

/// Messages about leases between nodes and planners. Amounts are in thousandths, durations in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Requests leases.
    Request {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// The requested amounts, by resource.
        demands: Vec<Demand>,
    },
    /// Grants leases, from the time at which the request was sent.
    Grant {
        /// The number of the request that this grant answers.
        request: u64,
        /// The granted amount of each resource.
        granted: Vec<(Resource, u32)>,
        /// How long the leases last.
        duration: u32,
    },
    /// Returns all leases granted up to this request.
    Return {
        /// The number of the last request whose grant is returned.
        request: u64,
    },
    /// Requests a long-term allocation of the origin.
    RequestAllocation {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// The requested amount.
        demand: u32,
        /// The number of the request whose grant is in use.
        request_in_use: u64,
        /// When the allocation is to end.
        until: u64,
        /// The amount that the sender already holds from other lenders.
        held: u32,
    },
    /// Grants a long-term allocation, or rejects the request with a duration of zero.
    Allocation {
        /// The number of the request that this message answers.
        request: u64,
        /// The granted amount.
        amount: u32,
        /// How long the allocation lasts.
        duration: u32,
    },
    /// Returns the long-term allocations granted up to this request.
    ReturnAllocation {
        /// The number of the last request whose grant is returned.
        request: u64,
    },
}
