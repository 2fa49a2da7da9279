//! Messages about endpoint health.

use serde::{Deserialize, Serialize};

/// The position of a fragment of a report or plan that does not fit into one message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fragment {
    /// The index of the fragment, from 0.
    pub index: u8,
    /// The number of fragments.
    pub count: u8,
}

/// A node's recent attempts at one cache.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The cache's endpoint number.
    pub cache: u64,
    /// Attempts that got any response.
    pub answered: f32,
    /// Attempts that got no response.
    pub failed: f32,
    /// Attempts in flight at the time of the report.
    pub in_flight: f32,
}

/// A planner's view of a cache's health. Ages are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthStatus {
    /// The cache does not answer.
    Failing {
        /// The age of the last failure, in microseconds.
        ago: u64,
    },
    /// The cache was failing, and the receiver is to probe the cache.
    Probe {
        /// The age of the last failure.
        ago: u64,
    },
    /// The cache answers again.
    Recovered {
        /// The time since the recovery, in microseconds.
        ago: u64,
    },
}

/// Messages about endpoint health between nodes and planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// From a node: the results of its recent attempts at caches.
    Report {
        /// The number of the report, which all of its fragments carry.
        number: u64,
        /// The position of this fragment in the report.
        fragment: Fragment,
        /// The counts of each cache.
        caches: Vec<AttemptCounts>,
    },
    /// From a planner: the caches that are failing, to be probed or recovered.
    Plan {
        /// The version of the plan, which all of its fragments carry.
        version: u64,
        /// The position of this fragment in the plan.
        fragment: Fragment,
        /// The number of nodes whose reports the plan is based on.
        nodes: u64,
        /// The status of caches by endpoint number.
        statuses: Vec<(u64, HealthStatus)>,
    },
}
