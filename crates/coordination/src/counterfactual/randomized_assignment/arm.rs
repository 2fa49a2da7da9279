//! One arm of the trial: the keys that were assigned to one cache, and the mean of their requests.

use std::collections::BTreeMap;

use crate::counterfactual::cluster_variance::ClusterVariance;
use crate::counterfactual::outcome::MIN_SUPPORT;
use crate::counterfactual::weighted_mean::MIN_EFFECTIVE_KEYS;
use crate::member::ForwarderId;

/// The intra-key correlation: requests of one key are as alike as if this share of what differs were the key's own. A hot
/// key counts as ten requests.
const INTRA_KEY_CORRELATION: f64 = 0.1;
/// A weight below this share of the total is rounding error.
const NEGLIGIBLE_WEIGHT: f64 = 1e-9;

/// By how much a request's time exceeded that of its work class at the moment, by the logarithm.
pub(super) struct ExcessDuration {
    pub forwarder: ForwarderId,
    pub excess: f64,
}

/// The requests of each key of which one cache is the first candidate.
pub(super) type RequestsByKey = BTreeMap<u32, Vec<ExcessDuration>>;

/// A sum of weighted values, and of their weights.
#[derive(Clone, Copy, Default)]
pub(super) struct WeightedSum {
    pub sum: f64,
    pub weight: f64,
}

/// An arm of the trial: the keys that were assigned to one cache.
pub(super) struct Arm {
    pub mean: f64,
    pub key_variance: ClusterVariance,
    pub request_count: usize,
    weight: f64,
    pub by_forwarder: BTreeMap<ForwarderId, WeightedSum>,
}

impl Arm {
    /// The figures of an arm; none where too few keys bear the variance.
    pub fn new(keys: &RequestsByKey) -> Option<Arm> {
        let weight: f64 = keys.values().map(|requests| key_weight(requests.len())).sum();
        let mean = keys.values().map(|requests| key_sum(requests)).sum::<f64>() / weight;
        let key_variance = key_variance(keys, mean, weight);
        let is_supported =
            keys.len() >= MIN_SUPPORT && key_variance.effective_clusters() >= MIN_EFFECTIVE_KEYS;
        if !is_supported {
            return None;
        }
        Some(Arm {
            mean,
            key_variance,
            request_count: keys.values().map(Vec::len).sum(),
            weight,
            by_forwarder: sums_by_forwarder(keys),
        })
    }

    /// The mean without a forwarder; none if hardly anything is left.
    pub fn mean_without(&self, forwarder: ForwarderId) -> Option<f64> {
        let own = self.by_forwarder.get(&forwarder).copied().unwrap_or_default();
        let sum = self.mean * self.weight - own.sum;
        let weight = self.weight - own.weight;
        if weight > NEGLIGIBLE_WEIGHT * self.weight { Some(sum / weight) } else { None }
    }
}

/// The variance of an arm's mean, by keys.
fn key_variance(keys: &RequestsByKey, mean: f64, weight: f64) -> ClusterVariance {
    let count = keys.len() as f64;
    let small_sample_factor = count / (count - 1.0);
    let mut total = ClusterVariance::default();
    for requests in keys.values() {
        let deviation = (key_sum(requests) - key_weight(requests.len()) * mean) / weight;
        let part = deviation.powi(2) * small_sample_factor;
        total.variance += part;
        total.sum_of_squares += part * part;
    }
    total
}

fn sums_by_forwarder(keys: &RequestsByKey) -> BTreeMap<ForwarderId, WeightedSum> {
    let mut by_forwarder: BTreeMap<ForwarderId, WeightedSum> = BTreeMap::new();
    for requests in keys.values() {
        let weight = key_weight(requests.len()) / requests.len() as f64;
        for request in requests {
            let own = by_forwarder.entry(request.forwarder).or_default();
            own.sum += weight * request.excess;
            own.weight += weight;
        }
    }
    by_forwarder
}

/// The effective number of requests among `count` of one key.
fn key_weight(count: usize) -> f64 {
    count as f64 / (1.0 + (count as f64 - 1.0) * INTRA_KEY_CORRELATION)
}

/// The weighted sum of a key's requests.
fn key_sum(requests: &[ExcessDuration]) -> f64 {
    let sum: f64 = requests.iter().map(|request| request.excess).sum();
    key_weight(requests.len()) * sum / requests.len() as f64
}
