//! The settings of the forwarder's and the planner's component, with their defaults.

use granitelb_balancer::time::Span;

use super::message::ComparisonScale;
use super::policy_value::SelectionPolicy;

/// The settings of the forwarder's and the planner's component.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a forwarder collects requests before it sends them, unless a message is full earlier.
    pub batch_interval: Span,
    /// How long a forwarder waits for the response to a request after a cache miss; then the request counts
    /// as censored.
    pub miss_timeout: Span,
    /// The most bytes per second that a forwarder sends to all planners together.
    pub bytes_per_second: f64,
    /// The most bytes in the body of a message with requests.
    pub max_message_bytes: usize,
    /// The most ended requests that a forwarder queues until they are reported.
    pub max_queued_requests: usize,
    /// The most requests that a forwarder holds while they wait for a response after a cache miss.
    pub max_pending_misses: usize,
    /// The age up to which requests are used for estimates.
    pub window: Span,
    /// The length of a time bucket; estimates assume one common effect of the time bucket on all its
    /// requests.
    pub time_bucket: Span,
    /// The interval between two rounds, in each of which all caches are compared.
    pub comparison_interval: Span,
    /// The interval at which the values of `policies` are logged.
    pub policy_value_interval: Span,
    /// The selection policies whose values are logged.
    pub policies: Vec<SelectionPolicy>,
    /// The interval at which comparisons of worse or better are reported to forwarders again.
    pub report_repeat_interval: Span,
    /// The difference in time up to which two reported starts of one cache are the same start.
    pub start_tolerance: Span,
    /// The false discovery rate: the expected share, among the caches found worse or better in a round, of
    /// those found by chance.
    pub false_discovery_rate: f64,
    /// The smallest effect that is worth reporting, as a share of the SLO.
    pub min_waited_share: f64,
    /// The smallest ratio of times that is worth reporting.
    pub min_time_ratio: f64,
    /// The number of findings in a row after which a cache is compared as worse or better.
    pub findings_to_enter: u32,
    /// The number of findings in a row after which a comparison of worse or better is withdrawn.
    pub findings_to_leave: u32,
    /// The most requests that a planner stores.
    pub max_requests: usize,
    /// The most requests of one forwarder that a planner stores.
    pub max_requests_per_forwarder: usize,
    /// The most caches whose starts are tracked.
    pub max_caches: usize,
    /// The most request classes that are compared in a round.
    pub max_request_classes: usize,
    /// The most comparisons that are tracked.
    pub max_comparisons: usize,
    /// The most events that wait for the log.
    pub max_events: usize,
    /// The most messages that a planner sends to each forwarder in one round.
    pub max_messages: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            batch_interval: Span::from_millis(4000),
            miss_timeout: Span::from_millis(10_000),
            bytes_per_second: 4096.0,
            max_message_bytes: 1100,
            max_queued_requests: 2048,
            max_pending_misses: 1024,
            window: Span::from_millis(600_000),
            time_bucket: Span::from_millis(10_000),
            comparison_interval: Span::from_millis(30_000),
            policy_value_interval: Span::from_millis(600_000),
            policies: vec![
                SelectionPolicy::FirstCandidate,
                SelectionPolicy::UniformRandom,
                SelectionPolicy::Observed,
                SelectionPolicy::SecondWhenBusy(1),
            ],
            report_repeat_interval: Span::from_millis(60_000),
            start_tolerance: Span::from_millis(10_000),
            false_discovery_rate: 0.01,
            min_waited_share: 0.02,
            min_time_ratio: 1.25,
            findings_to_enter: 2,
            findings_to_leave: 3,
            max_requests: 131_072,
            max_requests_per_forwarder: 16_384,
            max_caches: 2048,
            max_request_classes: 64,
            max_comparisons: 4096,
            max_events: 256,
            max_messages: 16,
        }
    }
}

impl Settings {
    /// The smallest effect that is worth reporting, on the scale of the estimates: a share of the SLO, or the
    /// logarithm of a ratio of times.
    pub fn min_effect(&self, scale: ComparisonScale) -> f64 {
        match scale {
            ComparisonScale::WaitedShare => self.min_waited_share,
            ComparisonScale::TimeRatio => self.min_time_ratio.ln(),
        }
    }
}
