//! The messages that members exchange, by component.
//!
//! The encoding of messages as signed datagrams is in [`crate::envelope`], whose items are re-exported here.

use std::fmt;

pub use crate::envelope::{EnvelopeError, MAX_DATAGRAM_BYTES, MIN_SECRET_BYTES, Secret, Secrets, open, seal};
use crate::{counterfactual, endpoint_health, leases, membership, shard_growth};

/// A message between two members.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A heartbeat, or a notice about the recipient's incarnation.
    Membership(membership::MembershipMessage),
    /// A forwarder's report on endpoints, or a planner's update on their health.
    EndpointHealth(endpoint_health::HealthMessage),
    /// A request, grant or release of leases, loans or long-term allocations.
    Leases(leases::LeaseMessage),
    /// Statistics on shards, the shard map, or a message of the consensus on it.
    ShardGrowth(shard_growth::GrowthMessage),
    /// Sampled requests, or the comparisons that result from them.
    Counterfactual(counterfactual::CounterfactualMessage),
}

/// The component that a message belongs to. The discriminant is the kind byte in an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ComponentKind {
    /// The failure detector, [`crate::membership`].
    Membership = 1,
    /// The health of cache servers, [`crate::endpoint_health`].
    EndpointHealth = 2,
    /// Leases on shared capacity, [`crate::leases`].
    Leases = 3,
    /// Forecasts of shard growth and splits of shards, [`crate::shard_growth`].
    ShardGrowth = 4,
    /// Evaluation of endpoint selection from sampled requests, [`crate::counterfactual`].
    Counterfactual = 5,
}

impl ComponentKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [ComponentKind; 5] = [
        ComponentKind::Membership,
        ComponentKind::EndpointHealth,
        ComponentKind::Leases,
        ComponentKind::ShardGrowth,
        ComponentKind::Counterfactual,
    ];

    /// The stable name of the component in stored data, configuration and logs.
    pub fn name(self) -> &'static str {
        match self {
            ComponentKind::Membership => "members",
            ComponentKind::EndpointHealth => "verdicts",
            ComponentKind::Leases => "leases",
            ComponentKind::ShardGrowth => "growth",
            ComponentKind::Counterfactual => "hindsight",
        }
    }
}

impl fmt::Display for ComponentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Message {
    /// The component that the message belongs to.
    pub fn kind(&self) -> ComponentKind {
        match self {
            Message::Membership(_) => ComponentKind::Membership,
            Message::EndpointHealth(_) => ComponentKind::EndpointHealth,
            Message::Leases(_) => ComponentKind::Leases,
            Message::ShardGrowth(_) => ComponentKind::ShardGrowth,
            Message::Counterfactual(_) => ComponentKind::Counterfactual,
        }
    }
}
