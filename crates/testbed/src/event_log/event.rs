//! Events of a run: injected faults, and starts, stops and failures of processes and servers.

use serde::{Serialize, Serializer};

use super::{NodeId, ServerId, Timestamp};

/// An event with its time, serialized as the pair of both.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedEvent {
    /// The time of the event.
    pub at: Timestamp,
    /// The event.
    pub event: Event,
}

impl Serialize for TimedEvent {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.at, &self.event).serialize(serializer)
    }
}

/// An event that the testbed caused or observed.
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
    /// A node shuts down gracefully: the node has to respond to each request that it has accepted, and
    /// accepts no new request until [`Event::NodeUp`].
    #[serde(rename = "NodeStops")]
    NodeStopping {
        /// The node.
        node: NodeId,
    },
    /// A node is down: no response can be expected from the node.
    NodeDown {
        /// The node.
        node: NodeId,
    },
    /// A node is up again: responses can be expected from the node.
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
    /// A planner's process ended without being stopped by the testbed.
    PlannerCrashed {
        /// The planner.
        planner: usize,
        /// How the process ended.
        how: String,
    },
    /// A node's process ended without being stopped by the testbed.
    NodeCrashed {
        /// The node.
        node: NodeId,
        /// How the process ended.
        how: String,
    },
    /// A cache returned with no values, under its former name.
    ColdStart {
        /// The cache.
        server: ServerId,
    },
    /// A cache that was warming up received more work than its overload limit and crashed.
    #[serde(rename = "FellOver")]
    CacheOverloaded {
        /// The cache.
        server: ServerId,
    },
    /// The origin received more reads than its overload limit and stopped.
    #[serde(rename = "OriginOverrun")]
    OriginOverloaded,
    /// Bytes that belong to no response arrived on a client's connection.
    #[serde(rename = "Stray")]
    UnexpectedBytes {
        /// The node that sent the bytes.
        node: NodeId,
    },
    /// A malformed client connected to a node.
    #[serde(rename = "BadClient")]
    MalformedClient {
        /// Whether the node rejected or disconnected the client in time.
        #[serde(rename = "met")]
        handled: bool,
        /// The client's misbehavior.
        what: String,
    },
}
