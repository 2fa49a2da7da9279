//! Faults that a scenario injects into the fleet.

/// A fault and the interval in which it is active, in seconds from the start of the day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// What fails.
    pub kind: FaultKind,
    /// Start of the fault, inclusive, in seconds.
    pub from: f64,
    /// End of the fault, exclusive, in seconds.
    pub to: f64,
}

/// What fails, and how much of the fleet is affected.
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
        /// Share of the caches that are affected.
        share: f64,
        /// Factor by which their service time grows.
        factor: f64,
    },
    /// The network between the first zone and all others is partitioned. Service discovery does not change.
    ZoneCut,
    /// The caches of the first zone fail without notice and return cold and empty. Service discovery reports it late.
    ZoneLost,
    /// This share of the caches is replaced, evenly over the interval: each old one drains while a new, cold one is
    /// added.
    Replace(f64),
    /// This share of the nodes is killed at the start of the fault. They restart without state.
    NodesKilled(f64),
}

impl Fault {
    /// A fault of this kind, active from `from` to `to` (seconds from the start of the day).
    pub fn new(kind: FaultKind, from: f64, to: f64) -> Fault {
        Fault { kind, from, to }
    }

    /// Whether the fault is active at this time, in seconds from the start of the day.
    pub fn is_active(&self, at: f64) -> bool {
        at >= self.from && at < self.to
    }
}
