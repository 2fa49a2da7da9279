//! Messages between forwarders and planners. They travel in postcard's form: the order of fields and of variants is part
//! of the protocol.

use serde::{Deserialize, Serialize};

use super::sampled_request::SampledRequest;

/// How a cache compares with the alternatives, for one request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Comparison {
    /// No node's choice gives evidence.
    NoSupport,
    /// No difference that is worth reporting.
    AsGood,
    /// Requests fare worse at this cache.
    Worse,
    /// Requests fare better at this cache.
    Better,
}

impl Comparison {
    /// Whether a difference was found.
    pub(super) fn is_difference(self) -> bool {
        matches!(self, Comparison::Worse | Comparison::Better)
    }
}

/// The scale on which a cache is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ComparisonScale {
    /// How much longer a request waits at the cache than at its other candidates, as a share of the SLO. Estimated from
    /// the nodes' choices.
    WaitedShare,
    /// The ratio of the time of requests whose first candidate the cache is to that of other caches' requests. Estimated
    /// from the randomized assignment of keys.
    TimeRatio,
}

/// A comparison as planners report it to forwarders, for their log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// The cache, by its endpoint's number.
    pub cache: u64,
    /// The request class, by its number in the settings.
    pub request_class: u16,
    /// How the cache compares.
    pub comparison: Comparison,
    /// The estimate, on the scale of the message; 0 without support.
    pub estimate: f32,
    /// The lower end of the estimate's 95% interval.
    pub low: f32,
    /// The upper end of the estimate's 95% interval.
    pub high: f32,
}

/// The start of a cache, as a forwarder reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheStart {
    /// The cache, by its endpoint's number.
    pub cache: u64,
    /// How long before the message the cache started, in milliseconds.
    pub age_ms: u32,
}

/// A message between the two sides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a forwarder: sampled requests that have ended.
    Requests(Vec<SampledRequest>),
    /// From a forwarder: caches that started.
    CacheStarts(Vec<CacheStart>),
    /// From a planner: comparisons by [`ComparisonScale::WaitedShare`].
    WaitedShareReports(Vec<ComparisonReport>),
    /// From a planner: comparisons by [`ComparisonScale::TimeRatio`]. It has a variant of its own so that earlier versions
    /// refuse it and go on reading the other.
    TimeRatioReports(Vec<ComparisonReport>),
}
