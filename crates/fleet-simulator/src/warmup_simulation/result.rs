//! What a run of the simulation measures.

/// The counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Starts of cache servers.
    pub starts: usize,
    /// Servers that received more than the bound in some window. Each start counts once.
    pub overloads: usize,
    /// Overloads whose window came mostly from nodes that had been notified of the start.
    pub violations: usize,
    /// The largest load of a window as a share of its bound (N + 2 root N + 2), among windows of which two thirds came
    /// from notified nodes.
    pub max_window_load: f64,
    /// Requests of clients.
    pub requests: usize,
    /// Requests that were fulfilled within the latency objective of their last attempt.
    pub fulfilled_in_time: usize,
    /// Work that arrived at servers that were warming up, in seconds of a standard core.
    pub warmup_work: f64,
}
