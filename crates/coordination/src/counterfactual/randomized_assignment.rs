//! Comparison of caches by randomized assignment: a hash draws which cache is a key's first candidate, so the
//! keys of different caches are alike apart from chance. The times of the caches' requests can therefore be
//! compared although no request was sent to a second candidate.
//!
//! The estimate is the logarithm of the ratio of times, from requests grouped by their first candidate, with
//! keys as units. The estimate is valid because the hash is independent of everything that makes a key slow.
//! The only further assumption is that of `kaplan_meier` about censoring within a group.
//!
//! Limits: a node's weights start from the hash and move keys away from busy caches, rarely requested keys
//! first, so a slow cache keeps faster requests, which hides a little of the difference. A cache that is far
//! from all nodes is rightly found slower by its distance. That a cache is slower does not mean that other
//! caches would serve its requests better.
//!
//! # Invariants
//!
//! - The comparison depends on the draw and not on the nodes' choices. Requests count for their first
//!   candidate wherever they were sent (intention to treat), so the reasons for a node's choice can't bias
//!   the comparison.
//! - The units of the draw are keys, so the confidence interval follows from the variance between keys.
//! - Times enter by their logarithm: a cache that takes three times as long differs equally whether its times
//!   are a hundredth of the SLO or all of it.

mod arm;
mod time_bucket_means;

use std::collections::{BTreeMap, BTreeSet};

use self::arm::{Arm, ExcessDuration, RequestsByKey};
use self::time_bucket_means::{TimeBucketMeans, TimedRequest};
use super::cluster_variance::ClusterVariance;
use super::estimate::{Estimate, NoSupport};
use super::outcome::{ReportedRequest, greatest_slo, pseudo_values_by_group};
use crate::member::ForwarderId;

/// The duration in tenths of a millisecond up to which durations count as equal, since the difference matters
/// to no client.
const MIN_DURATION_TENTHS_OF_MS: u32 = 10;
/// The fewest other caches for a comparison, so that no single one of them determines their median.
const MIN_OTHER_CACHES: usize = 3;
/// The expected standard deviation of effects beyond the smallest reported one, as logarithms of ratios of
/// times. If it differs from the true one, a finding takes more requests, but stays valid.
const EXPECTED_EFFECT_DEVIATION: f64 = 0.3;

/// The comparison of a cache with the other caches, by the logarithm of the ratio of times.
pub struct AssignmentComparison {
    /// The logarithm of the ratio of the cache's times to those of the other caches.
    pub estimate: Estimate,
    /// The e-value against the hypothesis that the cache is as good as the others: the wealth of a test
    /// martingale. If the hypothesis is true, the e-value exceeds `n` with a probability of at most `1/n`,
    /// whenever it is checked.
    ///
    /// This bound holds in the limit of many keys while evidence accumulates. Once the window slides, old
    /// requests leave it and the theorem no longer applies as such; requiring several findings in a row
    /// compensates for this.
    pub e_value: f64,
}

/// The keys of one request class that the hash assigned to each cache, with the times of their requests.
pub struct RandomizedAssignment {
    arms: BTreeMap<u64, Arm>,
    forwarders: BTreeSet<ForwarderId>,
}

impl RandomizedAssignment {
    /// Groups the requests of one request class by their first candidate.
    pub fn new<'a>(requests: impl Iterator<Item = ReportedRequest<'a>>) -> RandomizedAssignment {
        let reported: Vec<_> = requests.collect();
        let timed_requests = log_durations(&reported);
        let means = TimeBucketMeans::new(&timed_requests);
        let mut by_cache: BTreeMap<u64, RequestsByKey> = BTreeMap::new();
        for TimedRequest { reported, log_duration } in timed_requests {
            let request = reported.request;
            let excess = log_duration - means.mean(request.work_class, reported.time_bucket);
            let keys = by_cache.entry(request.candidates[0]).or_default();
            let key_requests = keys.entry(request.key_hash).or_default();
            key_requests.push(ExcessDuration { forwarder: reported.forwarder, excess });
        }
        let mut arms = BTreeMap::new();
        for (cache, keys) in &by_cache {
            if let Some(arm) = Arm::new(keys) {
                arms.insert(*cache, arm);
            }
        }
        let forwarders = arms.values().flat_map(|arm| arm.by_forwarder.keys().copied()).collect();
        RandomizedAssignment { arms, forwarders }
    }

    /// Returns the caches that are the first candidate of enough keys, in ascending order.
    pub fn caches(&self) -> impl Iterator<Item = u64> + '_ {
        self.arms.keys().copied()
    }

    /// Compares the times of requests whose first candidate is the cache with the median of the other caches,
    /// by the logarithm of their ratio, and tests whether the difference is greater than `min_effect`.
    ///
    /// # Errors
    /// Returns [`NoSupport`] if the cache is the first candidate of too few keys, or too few other caches are
    /// the first candidate of enough keys.
    pub fn compare_cache(&self, cache: u64, min_effect: f64) -> Result<AssignmentComparison, NoSupport> {
        let arm = self.arms.get(&cache).ok_or(NoSupport)?;
        let others: Vec<&Arm> = self.others(cache).collect();
        if others.len() < MIN_OTHER_CACHES {
            return Err(NoSupport);
        }
        let mean = arm.mean - median(others.iter().map(|other| other.mean).collect());
        let variance = ClusterVariance {
            variance: arm.key_variance.variance + variance_of_median(&others),
            ..arm.key_variance
        };
        let half_width = variance.half_width();
        if !(mean.is_finite() && half_width.is_finite() && half_width > 0.0) {
            return Err(NoSupport);
        }
        let deviate = variance.normal_deviate(mean.abs() - min_effect);
        let estimate = Estimate {
            mean,
            low: mean - half_width,
            high: mean + half_width,
            p_value: libm::erfc(deviate.max(0.0) / std::f64::consts::SQRT_2),
            is_corroborated: self.survives_without_any_forwarder(cache, mean, min_effect),
            requests: arm.request_count,
            strata: Vec::new(),
        };
        Ok(AssignmentComparison { estimate, e_value: mixture_e_value(deviate, variance.variance) })
    }

    fn others(&self, cache: u64) -> impl Iterator<Item = &Arm> {
        self.arms.iter().filter(move |(other, _)| **other != cache).map(|(_, arm)| arm)
    }

    /// Whether the difference remains at least `min_effect` whichever forwarder is left out: a difference
    /// that depends on a single forwarder may stem from a forwarder that is cut off from a cache, or lies.
    /// Also true for a smaller difference, and if there are fewer than two forwarders.
    fn survives_without_any_forwarder(&self, cache: u64, mean: f64, min_effect: f64) -> bool {
        if mean.abs() < min_effect || self.forwarders.len() < 2 {
            return true;
        }
        self.forwarders.iter().all(|forwarder| {
            let remaining = self.difference_without(cache, *forwarder);
            remaining.is_some_and(|remaining| remaining * mean.signum() >= min_effect)
        })
    }

    /// The difference of the cache to the median of the others without a forwarder's requests; none if too
    /// few requests remain.
    fn difference_without(&self, cache: u64, forwarder: ForwarderId) -> Option<f64> {
        let mean = self.arms.get(&cache)?.mean_without(forwarder)?;
        let others: Vec<f64> = self.others(cache).filter_map(|other| other.mean_without(forwarder)).collect();
        if others.len() < MIN_OTHER_CACHES {
            return None;
        }
        Some(mean - median(others))
    }
}

/// Converts a duration in tenths of a millisecond to the logarithmic scale: 0 for the shortest duration, and
/// one more for each factor of e.
fn log_scale(tenths: u32) -> f64 {
    (f64::from(tenths.max(MIN_DURATION_TENTHS_OF_MS)) / f64::from(MIN_DURATION_TENTHS_OF_MS)).ln()
}

/// Returns the requests with the logarithm of their times, from the curve of their first candidate's
/// requests, or else from the curve of the requests of all caches.
fn log_durations<'a>(reported: &[ReportedRequest<'a>]) -> Vec<TimedRequest<'a>> {
    let horizon = log_scale(greatest_slo(reported));
    let cache_values = pseudo_values_by_group(
        reported,
        |request| (request.candidates[0], request.work_class, request.chose_later_candidate()),
        log_scale,
    );
    let all_caches_values = pseudo_values_by_group(
        reported,
        |request| (request.work_class, request.chose_later_candidate()),
        log_scale,
    );
    let mut timed_requests = Vec::new();
    for (index, reported) in reported.iter().enumerate() {
        if let Some(value) = cache_values.get(&index).or_else(|| all_caches_values.get(&index)) {
            timed_requests.push(TimedRequest { reported: *reported, log_duration: value.waited * horizon });
        }
    }
    timed_requests
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let count = values.len();
    if count % 2 == 1 { values[count / 2] } else { (values[count / 2 - 1] + values[count / 2]) / 2.0 }
}

/// The variance of the median of the arms' means: π/2 times the variance of the mean of the arms' means.
fn variance_of_median(arms: &[&Arm]) -> f64 {
    let count = arms.len() as f64;
    arms.iter().map(|arm| arm.key_variance.variance).sum::<f64>() / count / count
        * std::f64::consts::FRAC_PI_2
}

/// The e-value of a normal deviate: the likelihood ratio of a normal mixture of effects beyond the smallest
/// reported one.
fn mixture_e_value(deviate: f64, variance: f64) -> f64 {
    if deviate > 0.0 {
        let relative = EXPECTED_EFFECT_DEVIATION * EXPECTED_EFFECT_DEVIATION / variance;
        (deviate * deviate / 2.0 * relative / (1.0 + relative)).exp() / (1.0 + relative).sqrt()
    } else {
        0.0
    }
}
