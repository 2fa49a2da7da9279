//! The messages that forwarders and planners exchange about leases, loans and long-term allocations.
//!
//! Messages are encoded by position: the order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

use super::{Resource, ResourceAmount};
use crate::member::Incarnation;

/// The maximum number of demands in a message. This many fit into a message of 1,100 bytes, whatever their
/// values.
pub const MAX_DEMANDS_PER_MESSAGE: usize = 30;

/// A duration on the wire, in microseconds. Grants last seconds, so 32 bits are enough.
pub type WireDuration = u32;

/// How much of one resource the sender of a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// The resource.
    pub resource: Resource,
    /// The amount that is needed from the recipient, in the resource's amounts.
    pub amount: u32,
    /// The number of the request whose grant the sender uses now. Grants of earlier requests are released by
    /// this message.
    pub request_in_use: u64,
    /// The number of forwarders that are short of the resource, where a planner requests a loan for several;
    /// otherwise 1.
    pub requesters: u32,
    /// The amount that these forwarders have already without the recipient, in the resource's amounts.
    pub already_held: u32,
}

/// A forwarder's request for its long-term allocation at one planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LongTermRequest {
    /// The request's number. It rises with each long-term request of an incarnation; requests for leases are
    /// numbered separately.
    pub request_id: u64,
    /// The forwarder's long-term demand, in thousandths of a fetch a second.
    pub demand: u32,
    /// The number of the request whose grant the sender uses now.
    pub request_in_use: u64,
    /// The incarnation of the planner that this request is addressed to.
    pub planner_incarnation: Incarnation,
    /// The amount of this planner's long-term escrow that the forwarder holds, whichever incarnation of the
    /// planner granted it, in thousandths of a fetch a second.
    pub already_held: u32,
}

/// A message about leases, loans or long-term allocations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A forwarder requests leases, or a planner requests loans.
    Request {
        /// The request's number. It rises with each request of an incarnation.
        request_id: u64,
        /// The demands, one for each resource.
        demands: Vec<Demand>,
    },
    /// Answers a [`LeaseMessage::Request`].
    Grant {
        /// The request that this answers.
        request_id: u64,
        /// The amount that is granted of each resource.
        granted: Vec<ResourceAmount>,
        /// How long the grant lasts from when the request was sent.
        duration: WireDuration,
    },
    /// The sender releases what it was granted for its requests up to this one, and ignores later grants for
    /// them.
    Release {
        /// The number of the last request whose grant is released.
        request_id: u64,
    },
    /// A forwarder requests its long-term allocation of the origin's fetches.
    RequestLongTerm(LongTermRequest),
    /// Answers a [`LeaseMessage::RequestLongTerm`]. With a duration of zero the message grants and revokes
    /// nothing: it only informs the forwarder of the planner's incarnation.
    GrantLongTerm {
        /// The request that this answers.
        request_id: u64,
        /// The amount that is granted, in thousandths of a fetch a second.
        amount: u32,
        /// How long the grant lasts from when the request was sent.
        duration: WireDuration,
    },
    /// The sender releases the long-term allocations that it was granted for its requests up to this one, and
    /// ignores later grants for them.
    ReleaseLongTerm {
        /// The number of the last request whose grant is released.
        request_id: u64,
    },
}
