//! Messages about endpoint health.

use serde::{Deserialize, Serialize};

/// The place of a fragment among those of a report that does not fit into one message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fragment {
    /// Which fragment this is, from 0.
    pub index: u8,
    /// How many fragments there are.
    pub count: u8,
}

/// A node's recent attempts at one cache.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The cache's endpoint number.
    pub cache: u64,
    /// Attempts that were answered, in whatever way.
    pub answered: f32,
    /// Attempts that were not answered.
    pub failed: f32,
    /// Attempts in flight at the time of the report.
    pub in_flight: f32,
}

/// A planner's view of a cache's health. Ages are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthStatus {
    /// The cache does not answer.
    Failing {
        /// The age of the last failure.
        ago: u64,
    },
    /// The cache was failing, and the receiver is to probe it.
    Probe {
        /// The age of the last failure.
        ago: u64,
    },
    /// The cache answers again.
    Recovered {
        /// The time since the recovery.
        ago: u64,
    },
}

/// Endpoint health between nodes and planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// From a node: what it has seen of caches.
    Report {
        /// The number of the report; its fragments share it.
        number: u64,
        /// Which part of the report this is.
        fragment: Fragment,
        /// The counts of each cache.
        caches: Vec<AttemptCounts>,
    },
    /// From a planner: the caches that are not plainly healthy.
    Plan {
        /// The version of the plan; its fragments share it.
        version: u64,
        /// Which part of the plan this is.
        fragment: Fragment,
        /// The number of nodes that the plan rests on.
        nodes: u64,
        /// The status of caches by endpoint number.
        statuses: Vec<(u64, HealthStatus)>,
    },
}
