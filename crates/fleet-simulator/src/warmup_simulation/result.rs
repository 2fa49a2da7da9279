//! The counts that a warm-up simulation returns.

/// The counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Starts of caches.
    pub starts: usize,
    /// Starts after which a cache received more work than the bound in some window.
    pub overloads: usize,
    /// Overloads in whose window more than two thirds of the work came from nodes that had been notified of
    /// the start.
    pub violations: usize,
    /// The largest work of a window as a share of its bound (N + 2 root N + 2, in mean requests), among
    /// windows of which more than two thirds came from notified nodes.
    pub max_window_load: f64,
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests whose fulfilled attempt took no longer than the latency objective.
    pub fulfilled_in_time: usize,
    /// Work that arrived at caches that were warming up, in seconds of a standard core.
    pub warmup_work: f64,
}
