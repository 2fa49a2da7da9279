//! The counts that a control plane simulation returns.

/// The counts of one run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Requests that clients sent.
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
    pub attempts_at_hung_caches: usize,
    /// Attempts sent to a cache while it hung, 3 s or more after the hang began.
    pub late_attempts_at_hung_caches: usize,
    /// The longest time without an attempt at a hung cache, in seconds, measured from 4 s after the beginning
    /// of the hang to its end. `None` if no attempt was sent in that time, for example because the hang is
    /// shorter.
    pub longest_probe_gap: Option<f64>,
    /// Forwarders that were killed because they held a probe assignment.
    pub killed_forwarders: usize,
    /// The time from the killing of those forwarders to the next attempt at a hung cache, in seconds.
    pub takeover_time: Option<f64>,
    /// The time from the end of the hang until the recovered caches respond half as often as others, in
    /// seconds.
    pub recovery_time: Option<f64>,
    /// Messages that were sent and not lost.
    pub messages: usize,
    /// The total size of the messages that were sent and not lost, in bytes.
    pub message_bytes: usize,
    /// Messages that failed authentication or decoding.
    pub rejected_messages: usize,
    /// Requests with more than one final response, or with none.
    pub invalid_requests: usize,
}
