//! What a run did to the fleet and what befell it.

use serde::{Serialize, Serializer};

use super::{NodeId, ServerId, Timestamp};

/// An event with its time. It is serialized as a pair.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// When it happened.
    pub at: Timestamp,
    /// What happened.
    pub event: Event,
}

impl Serialize for TimedEvent {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.at, &self.event).serialize(serializer)
    }
}

/// Something that the run did or that befell it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    /// An injected fault began.
    FaultBegan {
        /// The fault's kind and targets.
        what: String,
    },
    /// An injected fault ended.
    FaultEnded {
        /// The fault's kind and targets.
        what: String,
    },
    /// A node shuts down gracefully: it owes a response to each request that it has accepted, and accepts no new one
    /// until it is up.
    #[serde(rename = "NodeStops")]
    NodeStopping {
        /// The node.
        node: NodeId,
    },
    /// A node cannot be expected to respond from now on.
    NodeDown {
        /// The node.
        node: NodeId,
    },
    /// A node can be expected to respond again.
    NodeUp {
        /// The node.
        node: NodeId,
    },
    /// A planner is down.
    PlannerDown {
        /// The planner.
        planner: usize,
    },
    /// A planner is up again.
    PlannerUp {
        /// The planner.
        planner: usize,
    },
    /// A planner's process ended by itself.
    PlannerCrashed {
        /// The planner.
        planner: usize,
        /// How the process ended.
        how: String,
    },
    /// A node's process ended by itself.
    NodeCrashed {
        /// The node.
        node: NodeId,
        /// How the process ended.
        how: String,
    },
    /// A cache returned empty, under its former name.
    ColdStart {
        /// The cache.
        server: ServerId,
    },
    /// A cache that was warming up was overloaded and fell over.
    #[serde(rename = "FellOver")]
    CacheOverloaded {
        /// The cache.
        server: ServerId,
    },
    /// The origin was asked for too much and stopped.
    #[serde(rename = "OriginOverrun")]
    OriginOverloaded,
    /// Bytes that belong to no response came on a client's connection.
    #[serde(rename = "Stray")]
    UnexpectedBytes {
        /// The node that sent them.
        node: NodeId,
    },
    /// A malformed client was rejected or disconnected in time, or not.
    #[serde(rename = "BadClient")]
    MalformedClient {
        /// Whether it was.
        #[serde(rename = "met")]
        handled: bool,
        /// What the client did.
        what: String,
    },
}
