//! Messages with counterfactual reports, which compare caches.

use serde::{Deserialize, Serialize};

/// The outcome of a comparison of one cache with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// The data do not support a comparison.
    NoSupport,
    /// The cache is as good as the others.
    AsGood,
    /// The cache is worse than the others.
    Worse,
    /// The cache is better than the others.
    Better,
}

/// A comparison of one cache with the others, with the estimated effect and its interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// The cache's endpoint number.
    pub cache: u64,
    /// The index of the request class in the settings.
    pub request_class: u16,
    /// The outcome of the comparison.
    pub comparison: Comparison,
    /// The estimated effect, at the middle of the interval.
    pub effect: f32,
    /// The lower end of the interval.
    pub low: f32,
    /// The upper end of the interval.
    pub high: f32,
}

/// Counterfactual messages. The bodies of messages from nodes are not decoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a node: sampled requests.
    Samples,
    /// From a node: caches that started.
    Started,
    /// From a planner: comparisons with effects as shares of the latency objective.
    Comparisons(Vec<ComparisonReport>),
    /// From a planner: comparisons with effects as multiples of the latency.
    LatencyRatios(Vec<ComparisonReport>),
}
