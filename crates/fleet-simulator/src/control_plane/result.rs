//! What a run of the simulation measures.

/// The counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Requests of clients.
    pub requests: usize,
    /// Requests that were fulfilled.
    pub fulfilled: usize,
    /// Requests that were fulfilled within the latency objective.
    pub fulfilled_in_time: usize,
    /// Requests that were rejected with a rate limit.
    pub rate_limited: usize,
    /// Requests that ended with an error.
    pub errored: usize,
    /// Attempts sent to a cache while it hung.
    pub wasted_attempts: usize,
    /// Of those, the ones sent more than 3 s after the hang began.
    pub late_wasted_attempts: usize,
    /// The longest time without an attempt at a hung cache, in seconds, from the fourth second of the hang to its end;
    /// none if the hang is shorter.
    pub longest_probe_gap: Option<f64>,
    /// Forwarders that were killed.
    pub killed_forwarders: usize,
    /// The time from their end to the next attempt at the hung cache, in seconds.
    pub takeover_time: Option<f64>,
    /// The time from the end of the hang until the recovered caches respond half as often as others, in seconds.
    pub recovery_time: Option<f64>,
    /// Messages that were sent and not lost.
    pub messages: usize,
    /// The size of all these messages together.
    pub message_bytes: usize,
    /// Messages that failed authentication or decoding.
    pub rejected_messages: usize,
    /// Requests with more than one final response, or with none.
    pub invalid_requests: usize,
}
