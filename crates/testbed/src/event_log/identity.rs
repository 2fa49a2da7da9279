//! The times and identifiers used in records.

use std::time::Duration;

use serde::Serialize;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLI: f64 = 1e3;

/// A time in microseconds since the start of the run, when the first request is due; negative before the
/// start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Timestamp(pub i64);

impl Timestamp {
    /// A time before all times of a run.
    pub const MIN: Timestamp = Timestamp(i64::MIN);
    /// A time after all times of a run.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The time that is this many seconds after the start of the run.
    pub fn from_s(seconds: f64) -> Timestamp {
        Timestamp((seconds * MICROS_PER_SECOND) as i64)
    }

    /// The number of seconds since the start of the run.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// The time that is later by a duration.
    pub fn plus(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + duration.as_micros() as i64)
    }

    /// The number of milliseconds since `earlier`; negative if `earlier` is the later time.
    pub fn ms_since(self, earlier: Timestamp) -> f64 {
        (self.0 - earlier.0) as f64 / MICROS_PER_MILLI
    }
}

/// A server, identified by its name in the endpoint list: a server that returns under a new name has a new
/// ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerId(pub usize);

/// A node; nodes are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct NodeId(pub usize);

/// A member of the fleet. Nodes and planners are each numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Member {
    /// A node.
    Node(usize),
    /// A planner.
    Planner(usize),
}

/// A request of a client's user. All of the client's attempts at the request have the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestId(pub usize);

/// A version of a value. Each write at the origin creates the next version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);
