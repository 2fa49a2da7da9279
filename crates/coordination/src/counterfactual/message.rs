//! Messages between forwarders and planners. They are encoded with postcard: the order of fields and of
//! variants is part of the protocol.

use serde::{Deserialize, Serialize};

use super::sampled_request::SampledRequest;

/// How a cache compares with other caches, for one request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Comparison {
    /// There is too little evidence to compare the cache.
    NoSupport,
    /// There is no difference that is worth reporting.
    AsGood,
    /// Requests are served worse by this cache.
    Worse,
    /// Requests are served better by this cache.
    Better,
}

impl Comparison {
    /// Whether the cache is worse or better than the others.
    pub(super) fn is_difference(self) -> bool {
        matches!(self, Comparison::Worse | Comparison::Better)
    }
}

/// The scale of the estimate by which a cache is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ComparisonScale {
    /// How much longer a request waits at the cache than at its other candidates, as a share of the SLO. The
    /// share is estimated from the nodes' choices.
    WaitedShare,
    /// The ratio of the time of requests whose first candidate is the cache to the time of other caches'
    /// requests. The ratio is estimated from the randomized assignment of keys.
    TimeRatio,
}

/// A comparison as planners report it to forwarders, which log it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// The cache, by its endpoint's number.
    pub cache: u64,
    /// The request class, by its number in the settings.
    pub request_class: u16,
    /// How the cache compares.
    pub comparison: Comparison,
    /// The point estimate, on the scale of the message; 0 without support.
    pub estimate: f32,
    /// The lower end of the estimate's 95% confidence interval; 0 without support.
    pub low: f32,
    /// The upper end of the estimate's 95% confidence interval; 0 without support.
    pub high: f32,
}

/// The start of a cache, as a forwarder reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheStart {
    /// The cache, by its endpoint's number.
    pub cache: u64,
    /// How long before the message was sent the cache started, in milliseconds.
    pub age_ms: u32,
}

/// A message between a forwarder and a planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a forwarder: sampled requests that have ended.
    Requests(Vec<SampledRequest>),
    /// From a forwarder: caches that started.
    CacheStarts(Vec<CacheStart>),
    /// From a planner: comparisons by [`ComparisonScale::WaitedShare`].
    WaitedShareReports(Vec<ComparisonReport>),
    /// From a planner: comparisons by [`ComparisonScale::TimeRatio`]. They have a variant of their own so
    /// that earlier versions reject this variant and continue to read
    /// [`CounterfactualMessage::WaitedShareReports`].
    TimeRatioReports(Vec<ComparisonReport>),
}
