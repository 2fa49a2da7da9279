//! Counterfactual reports: comparisons of caches.

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

/// A comparison with its effect and the interval around it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// The cache's endpoint number.
    pub cache: u64,
    /// The index of the request class in the settings.
    pub request_class: u16,
    /// The outcome.
    pub comparison: Comparison,
    /// The middle of the interval.
    pub effect: f32,
    /// Its lower end.
    pub low: f32,
    /// Its upper end.
    pub high: f32,
}

/// Counterfactual reports. The bodies of what nodes send are not decoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a node: sampled requests.
    Samples,
    /// From a node: caches that started.
    Started,
    /// From a planner: effects as shares of the latency objective.
    Comparisons(Vec<ComparisonReport>),
    /// From a planner: effects as multiples of the latency.
    LatencyRatios(Vec<ComparisonReport>),
}
