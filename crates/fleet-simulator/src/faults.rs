//! Faults that a simulation of the fleet injects.

/// A fault and the interval in which it is active, in seconds from the start of the day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The start of the fault, inclusive, in seconds from the start of the day.
    pub from: f64,
    /// The end of the fault, exclusive, in seconds from the start of the day.
    pub to: f64,
}

/// The kind of a fault, with the affected part of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// The request rate is multiplied by this factor.
    Burst(f64),
    /// One key receives this share of the requests.
    HotKey(f64),
    /// This share of the caches accepts connections and requests but never responds.
    Hang(f64),
    /// Some caches work slower.
    Slow {
        /// The share of the caches that are affected.
        share: f64,
        /// The factor by which the service time of the affected caches grows.
        factor: f64,
    },
    /// The network between the first zone and all others is partitioned. Service discovery does not change.
    ZoneCut,
    /// The caches of the first zone fail without notice and return cold and empty. Service discovery reports
    /// their return late.
    ZoneLost,
    /// This share of the caches is replaced, spread evenly over the interval: each old cache drains while a
    /// new, cold cache is added.
    Replace(f64),
    /// This share of the nodes is killed at the start of the fault. Killed nodes restart without state.
    NodesKilled(f64),
}

impl Fault {
    /// Returns a fault of this kind, active from `from` to `to` (seconds from the start of the day).
    pub fn new(kind: FaultKind, from: f64, to: f64) -> Fault {
        Fault { kind, from, to }
    }

    /// Returns whether the fault is active at this time, in seconds from the start of the day.
    pub fn is_active(&self, at: f64) -> bool {
        at >= self.from && at < self.to
    }
}
