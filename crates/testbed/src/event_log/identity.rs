//! Times and identifiers that records share.

use std::time::Duration;

use serde::Serialize;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1e3;

/// Microseconds since the first request was due; negative before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Timestamp(pub i64);

impl Timestamp {
    /// Before each time of a run.
    pub const MIN: Timestamp = Timestamp(i64::MIN);
    /// After each time of a run.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The time this many seconds after the start.
    pub fn from_s(seconds: f64) -> Timestamp {
        Timestamp((seconds * MICROS_PER_SECOND) as i64)
    }

    /// Seconds since the start.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The time this much later.
    pub fn plus(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + duration.as_micros() as i64)
    }

    /// Milliseconds since `earlier`; negative if that is later.
    pub fn ms_since(self, earlier: Timestamp) -> f64 {
        (self.0 - earlier.0) as f64 / MICROS_PER_MILLI
    }
}

/// A server by its name in the endpoint list: one that returns under a new name is another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerId(pub usize);

/// A node, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct NodeId(pub usize);

/// A member of the fleet, each kind numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Member {
    /// A node.
    Node(usize),
    /// A planner.
    Planner(usize),
}

/// A request as its user means it; a client's attempts at it share this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestId(pub usize);

/// A version of a value; each write at the origin makes the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);
