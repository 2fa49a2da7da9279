//! One arm of the randomized trial: the keys that were assigned to one cache, and the mean excess time of
//! their requests.

use std::collections::BTreeMap;

use crate::counterfactual::cluster_variance::ClusterVariance;
use crate::counterfactual::outcome::MIN_SUPPORT;
use crate::counterfactual::weighted_mean::MIN_EFFECTIVE_KEYS;
use crate::member::ForwarderId;

/// The intra-key correlation: the share of the variance that the requests of one key have in common. A hot
/// key counts as ten requests at most, however many it has.
const INTRA_KEY_CORRELATION: f64 = 0.1;
/// The share of the total weight up to which a remaining weight is rounding error.
const NEGLIGIBLE_WEIGHT: f64 = 1e-9;

/// The difference between the logarithm of a request's time and the mean of its work class in the same time
/// bucket, with the forwarder that reported the request.
pub(super) struct ExcessDuration {
    pub forwarder: ForwarderId,
    pub excess: f64,
}

/// The requests whose first candidate is one cache, by the hash of their key.
pub(super) type RequestsByKey = BTreeMap<u32, Vec<ExcessDuration>>;

/// A sum of weighted values, and the sum of their weights.
#[derive(Clone, Copy, Default)]
pub(super) struct WeightedSum {
    pub sum: f64,
    pub weight: f64,
}

/// The estimates of one arm of the trial.
pub(super) struct Arm {
    pub mean: f64,
    pub key_variance: ClusterVariance,
    pub request_count: usize,
    weight: f64,
    pub by_forwarder: BTreeMap<ForwarderId, WeightedSum>,
}

impl Arm {
    /// Estimates the mean and variance of an arm; none if the keys, or the effective number of keys, are too
    /// few.
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

    /// The mean without a forwarder's requests; none if no other requests remain.
    pub fn mean_without(&self, forwarder: ForwarderId) -> Option<f64> {
        let forwarder_sum = self.by_forwarder.get(&forwarder).copied().unwrap_or_default();
        let sum = self.mean * self.weight - forwarder_sum.sum;
        let weight = self.weight - forwarder_sum.weight;
        if weight > NEGLIGIBLE_WEIGHT * self.weight { Some(sum / weight) } else { None }
    }
}

/// The variance of an arm's mean, from the variance between keys.
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

/// The weighted sums of the requests that each forwarder reported.
fn sums_by_forwarder(keys: &RequestsByKey) -> BTreeMap<ForwarderId, WeightedSum> {
    let mut by_forwarder: BTreeMap<ForwarderId, WeightedSum> = BTreeMap::new();
    for requests in keys.values() {
        let weight = key_weight(requests.len()) / requests.len() as f64;
        for request in requests {
            let forwarder_sum = by_forwarder.entry(request.forwarder).or_default();
            forwarder_sum.sum += weight * request.excess;
            forwarder_sum.weight += weight;
        }
    }
    by_forwarder
}

/// The effective number of requests of a key with `count` requests.
fn key_weight(count: usize) -> f64 {
    count as f64 / (1.0 + (count as f64 - 1.0) * INTRA_KEY_CORRELATION)
}

/// The weighted sum of the excess times of a key's requests.
fn key_sum(requests: &[ExcessDuration]) -> f64 {
    let sum: f64 = requests.iter().map(|request| request.excess).sum();
    key_weight(requests.len()) * sum / requests.len() as f64
}
