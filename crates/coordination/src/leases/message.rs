//! The messages that forwarders and planners exchange about leases, loans and long-term allocations.
//!
//! Messages are encoded by position: the order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

use super::{Resource, ResourceAmount};
use crate::member::Incarnation;

/// The number of demands, whatever their values, that fit into a message of 1,100 bytes.
pub const MAX_DEMANDS_PER_MESSAGE: usize = 30;

/// A duration on the wire, in microseconds. Grants last seconds, so 32 bits suffice.
pub type WireDuration = u32;

/// How much of one resource the sender of a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The resource.
    pub resource: Resource,
    /// The amount that is needed from this grantor, in the resource's amounts.
    pub amount: u32,
    /// The request whose grant is in use now. Grants of earlier requests are thereby released.
    pub request_in_use: u64,
    /// How many forwarders are short of the resource, where a planner asks on behalf of several; 1 otherwise.
    pub requesters: u32,
    /// What these forwarders have already without this grantor.
    pub already_held: u32,
}

/// A forwarder's request for its long-term allocation at one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LongTermRequest {
    /// The request's number, in a sequence of its own that rises with each request of an incarnation.
    pub request_id: u64,
    /// The forwarder's long-term demand, in thousandths of a fetch a second.
    pub demand: u32,
    /// The request whose grant is in use now.
    pub request_in_use: u64,
    /// The incarnation of the planner that this request is addressed to.
    pub planner_incarnation: Incarnation,
    /// What the forwarder holds of this planner's, whichever incarnation granted it.
    pub already_held: u32,
}

/// A message about leases, loans or long-term allocations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A forwarder requests leases, or a planner requests loans.
    Request {
        /// The request's number, which rises with each request of an incarnation.
        request_id: u64,
        /// What is needed, one entry for each resource.
        demands: Vec<Demand>,
    },
    /// Answers a [`LeaseMessage::Request`].
    Grant {
        /// The request that this answers.
        request_id: u64,
        /// What is granted of each resource.
        granted: Vec<ResourceAmount>,
        /// How long the grant lasts from when the request was sent.
        duration: WireDuration,
    },
    /// The sender does not use what it requested up to this request, and will not use it.
    Release {
        /// The last request that is covered.
        request_id: u64,
    },
    /// A forwarder requests its long-term allocation of the origin's fetches.
    RequestLongTerm(LongTermRequest),
    /// Answers a [`LeaseMessage::RequestLongTerm`]. With a duration of zero nothing is granted or revoked: the message
    /// only informs the forwarder of the planner's incarnation.
    GrantLongTerm {
        /// The request that this answers.
        request_id: u64,
        /// The amount that is granted, in thousandths of a fetch a second.
        amount: u32,
        /// How long the grant lasts from when the request was sent.
        duration: WireDuration,
    },
    /// The sender does not use the long-term allocations that it requested up to this request, and will not use them.
    ReleaseLongTerm {
        /// The last request that is covered.
        request_id: u64,
    },
}
