//! Comparison of caches by randomized assignment: a hash draws which cache is a key's first candidate, so caches get alike
//! keys by chance, and their requests' times can be compared although no request was ever sent elsewhere.
//!
//! Estimated is the logarithm of the ratio of times, from requests grouped by their first candidate, in units of keys. It
//! is valid because the hash is independent of everything that makes a key slow; that is all it assumes, next to the
//! censoring within a group being like that of `kaplan_meier`.
//!
//! Limits: a node's weights begin at the hash and move keys away from busy caches, those that are seldom asked for sooner,
//! so a slow cache keeps quicker requests, which hides a little of the difference. A cache that is far from all nodes is
//! rightly slower by it. That a cache is slower does not mean that requests would fare better elsewhere.
//!
//! # Invariants
//!
//! - The comparison rests on the draw and not on choices. Requests count at their first candidate wherever they were sent
//!   (intention to treat), so that what steers a node's choice can't sort them.
//! - Keys are what is drawn, so the interval rests on how keys differ.
//! - Times are taken by their logarithm: a cache of three times the time is as far off whether that is a hundredth of the
//!   SLO or all of it.

mod arm;
mod time_bucket_means;

use std::collections::{BTreeMap, BTreeSet};

use self::arm::{Arm, ExcessDuration, RequestsByKey};
use self::time_bucket_means::{TimeBucketMeans, TimedRequest};
use super::cluster_variance::ClusterVariance;
use super::estimate::{Estimate, NoSupport};
use super::outcome::{ReportedRequest, greatest_slo, pseudo_values_by_group};
use crate::member::ForwarderId;

/// Shorter durations make no difference to anybody, in tenths of a millisecond.
const SHORTEST_DURATION: u32 = 10;
/// The fewest other caches whose median a single one of them can't move.
const MIN_OTHER_CACHES: usize = 3;
/// The standard deviation that differences beyond the smallest one are expected to have, by the logarithm. A wrong guess
/// costs requests and not validity.
const EXPECTED_EFFECT: f64 = 0.3;

/// A cache compared with the others, by the logarithm of the ratio of times.
pub struct AssignmentComparison {
    /// The logarithm of the ratio.
    pub estimate: Estimate,
    /// The e-value against the cache being as good as the others: a test martingale's wealth. Under that hypothesis it
    /// exceeds `n` with a probability of at most `1/n`, whenever one looks.
    ///
    /// This holds in the limit of many keys while evidence accumulates. Once the window slides, old requests leave it and
    /// the theorem no longer applies as such; that it takes several rounds to enter a comparison makes up for that.
    pub e_value: f64,
}

/// The keys of one request class that the hash assigned to each cache, with their requests' times.
pub struct RandomizedAssignment {
    arms: BTreeMap<u64, Arm>,
    forwarders: BTreeSet<ForwarderId>,
}

impl RandomizedAssignment {
    /// Prepares the requests of one request class.
    pub fn new<'a>(requests: impl Iterator<Item = ReportedRequest<'a>>) -> RandomizedAssignment {
        let reported: Vec<_> = requests.collect();
        let timed = log_durations(&reported);
        let means = TimeBucketMeans::new(&timed);
        let mut by_cache: BTreeMap<u64, RequestsByKey> = BTreeMap::new();
        for TimedRequest { reported, log_duration } in timed {
            let request = reported.request;
            let excess = log_duration - means.mean(request.work_class, reported.time_bucket);
            let keys = by_cache.entry(request.candidates[0]).or_default();
            let of_key = keys.entry(request.key_hash).or_default();
            of_key.push(ExcessDuration { forwarder: reported.forwarder, excess });
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

    /// The caches that are the first candidate of enough keys, in order.
    pub fn caches(&self) -> impl Iterator<Item = u64> + '_ {
        self.arms.keys().copied()
    }

    /// How much longer requests take whose first candidate the cache is than those of the median of the other caches, by
    /// the logarithm; and the evidence that it is more than `min_effect`.
    ///
    /// # Errors
    /// Where it, or the others, are the first candidate of too few keys.
    pub fn compare_cache(&self, cache: u64, min_effect: f64) -> Result<AssignmentComparison, NoSupport> {
        let own = self.arms.get(&cache).ok_or(NoSupport)?;
        let others: Vec<&Arm> = self.others(cache).collect();
        if others.len() < MIN_OTHER_CACHES {
            return Err(NoSupport);
        }
        let mean = own.mean - median(others.iter().map(|other| other.mean).collect());
        let variance = ClusterVariance {
            variance: own.key_variance.variance + variance_of_median(&others),
            ..own.key_variance
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
            requests: own.request_count,
            strata: Vec::new(),
        };
        Ok(AssignmentComparison { estimate, e_value: mixture_e_value(deviate, variance.variance) })
    }

    fn others(&self, cache: u64) -> impl Iterator<Item = &Arm> {
        self.arms.iter().filter(move |(other, _)| **other != cache).map(|(_, arm)| arm)
    }

    /// Whether the difference stands whichever forwarder is left out: what rests on one alone
    /// may be due to its being cut off, or lying.
    fn survives_without_any_forwarder(&self, cache: u64, mean: f64, min_effect: f64) -> bool {
        if mean.abs() < min_effect || self.forwarders.len() < 2 {
            return true;
        }
        self.forwarders.iter().all(|forwarder| {
            let left = self.difference_without(cache, *forwarder);
            left.is_some_and(|left| left * mean.signum() >= min_effect)
        })
    }

    fn difference_without(&self, cache: u64, forwarder: ForwarderId) -> Option<f64> {
        let own = self.arms.get(&cache)?.mean_without(forwarder)?;
        let others: Vec<f64> = self.others(cache).filter_map(|other| other.mean_without(forwarder)).collect();
        if others.len() < MIN_OTHER_CACHES {
            return None;
        }
        Some(own - median(others))
    }
}

/// A duration in tenths of a millisecond on the logarithm's scale: it grows by one where a time grows by a factor of e.
fn log_scale(tenths: u32) -> f64 {
    (f64::from(tenths.max(SHORTEST_DURATION)) / f64::from(SHORTEST_DURATION)).ln()
}

/// The requests with the logarithm of their times, from the curve of their first candidate or else from that of all.
fn log_durations<'a>(reported: &[ReportedRequest<'a>]) -> Vec<TimedRequest<'a>> {
    let horizon = log_scale(greatest_slo(reported));
    let of_cache = pseudo_values_by_group(
        reported,
        |request| (request.candidates[0], request.work_class, request.chose_later_candidate()),
        log_scale,
    );
    let of_all = pseudo_values_by_group(
        reported,
        |request| (request.work_class, request.chose_later_candidate()),
        log_scale,
    );
    let mut timed = Vec::new();
    for (index, reported) in reported.iter().enumerate() {
        if let Some(value) = of_cache.get(&index).or_else(|| of_all.get(&index)) {
            timed.push(TimedRequest { reported: *reported, log_duration: value.waited * horizon });
        }
    }
    timed
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let count = values.len();
    if count % 2 == 1 { values[count / 2] } else { (values[count / 2 - 1] + values[count / 2]) / 2.0 }
}

/// The variance of the median of the arms' means: π/2 times that of their mean.
fn variance_of_median(arms: &[&Arm]) -> f64 {
    let count = arms.len() as f64;
    arms.iter().map(|arm| arm.key_variance.variance).sum::<f64>() / count / count
        * std::f64::consts::FRAC_PI_2
}

/// The e-value of a normal deviate: the likelihood ratio of a normal mixture of effects beyond the smallest one.
fn mixture_e_value(deviate: f64, variance: f64) -> f64 {
    if deviate > 0.0 {
        let relative = EXPECTED_EFFECT * EXPECTED_EFFECT / variance;
        (deviate * deviate / 2.0 * relative / (1.0 + relative)).exp() / (1.0 + relative).sqrt()
    } else {
        0.0
    }
}
