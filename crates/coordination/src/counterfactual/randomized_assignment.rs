//! Comparison of caches by randomized assignment: a hash draws which cache is a key's first candidate, so caches get alike
//! keys by chance, and their requests' times can be compared although no request was ever sent elsewhere.
//!
//! Estimated is the logarithm of the ratio of times, from requests grouped by their first candidate, in units of keys. It
//! is valid because the hash is independent of everything that makes a key slow; that is all it assumes, next to the
//! censoring within a group being like that of `kaplan_meier`.
//!
//! # Invariants
//!
//! - The comparison rests on the draw and not on choices. Requests count at their first candidate wherever they were sent
//!   (intention to treat), so that what steers a node's choice can't sort them.
//! - Keys are what is drawn, so the interval rests on how keys differ.
//! - Times are taken by their logarithm: a cache of three times the time is as far off whether that is a hundredth of the
//!   SLO or all of it.

use std::collections::{BTreeMap, BTreeSet};

use super::cluster_variance::ClusterVariance;
use super::estimate::{Estimate, NoSupport};
use super::outcome::{MIN_SUPPORT, ReportedRequest, greatest_slo, pseudo_values_by_group};
use super::weighted_mean::MIN_EFFECTIVE_KEYS;
use crate::member::ForwarderId;

/// The intra-key correlation: requests of one key are as alike as if this share of what differs were the key's own. A hot
/// key counts as ten requests.
const INTRA_KEY_CORRELATION: f64 = 0.1;
/// The mean of a time bucket is shrunk toward that of all times as if by this many requests.
const PRIOR_REQUESTS: f64 = 5.0;
/// Shorter durations make no difference to anybody, in tenths of a millisecond.
const SHORTEST_DURATION: u32 = 10;
/// The fewest other caches whose median a single one of them can't move.
const MIN_OTHER_CACHES: usize = 3;
/// The standard deviation that differences beyond the smallest one are expected to have, by the logarithm. A wrong guess
/// costs requests and not validity.
const EXPECTED_EFFECT: f64 = 0.3;
/// A weight below this share of the total is rounding error.
const NEGLIGIBLE_WEIGHT: f64 = 1e-9;

/// A cache compared with the others, by the logarithm of the ratio of times.
pub struct AssignmentComparison {
    /// The logarithm of the ratio.
    pub estimate: Estimate,
    /// The e-value against the cache being as good as the others: a test martingale's wealth. Under that hypothesis it
    /// exceeds `n` with a probability of at most `1/n`, whenever one looks.
    pub e_value: f64,
}

/// A sum of weighted values, and of their weights.
#[derive(Clone, Copy, Default)]
struct WeightedSum {
    sum: f64,
    weight: f64,
}

/// A request with the logarithm of its time.
struct TimedRequest<'a> {
    reported: ReportedRequest<'a>,
    log_duration: f64,
}

/// By how much a request's time exceeded that of its work class at the moment, by the logarithm.
struct ExcessDuration {
    forwarder: ForwarderId,
    excess: f64,
}

/// The requests of each key of which one cache is the first candidate.
type RequestsByKey = BTreeMap<u32, Vec<ExcessDuration>>;

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

    /// Whether the difference stands whichever forwarder is left out: what hangs on one, that is cut off or lies, is its
    /// word alone.
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
        |request| (request.candidates[0], request.work_class, request.left_first_candidate()),
        log_scale,
    );
    let of_all = pseudo_values_by_group(
        reported,
        |request| (request.work_class, request.left_first_candidate()),
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

/// The effective number of requests among `count` of one key.
fn key_weight(count: usize) -> f64 {
    count as f64 / (1.0 + (count as f64 - 1.0) * INTRA_KEY_CORRELATION)
}

/// The weighted sum of a key's requests.
fn key_sum(requests: &[ExcessDuration]) -> f64 {
    let sum: f64 = requests.iter().map(|request| request.excess).sum();
    key_weight(requests.len()) * sum / requests.len() as f64
}

/// An arm of the trial: the keys that were assigned to one cache.
struct Arm {
    mean: f64,
    key_variance: ClusterVariance,
    request_count: usize,
    weight: f64,
    by_forwarder: BTreeMap<ForwarderId, WeightedSum>,
}

impl Arm {
    /// The figures of an arm; none where too few keys bear the variance.
    fn new(keys: &RequestsByKey) -> Option<Arm> {
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
    fn mean_without(&self, forwarder: ForwarderId) -> Option<f64> {
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
        total.squares += part * part;
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

/// A time bucket's requests of one work class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClassTimeBucket {
    work_class: u8,
    time_bucket: u64,
}

/// What requests of a work class took at a moment, at all caches: a cache whose requests were reported late is not compared
/// with others' earlier times.
struct TimeBucketMeans {
    work_classes: BTreeMap<u8, WeightedSum>,
    time_buckets: BTreeMap<ClassTimeBucket, WeightedSum>,
}

impl TimeBucketMeans {
    fn new(requests: &[TimedRequest<'_>]) -> TimeBucketMeans {
        let mut means = TimeBucketMeans { work_classes: BTreeMap::new(), time_buckets: BTreeMap::new() };
        for TimedRequest { reported, log_duration } in requests {
            let work_class = reported.request.work_class;
            let bucket = ClassTimeBucket { work_class, time_bucket: reported.time_bucket };
            let of_class = means.work_classes.entry(work_class).or_default();
            let of_bucket = means.time_buckets.entry(bucket).or_default();
            for total in [of_class, of_bucket] {
                total.sum += log_duration;
                total.weight += 1.0;
            }
        }
        means
    }

    /// The mean of a time bucket, shrunk toward that of the work class at all times.
    fn mean(&self, work_class: u8, time_bucket: u64) -> f64 {
        let bucket = ClassTimeBucket { work_class, time_bucket };
        let of_class = self.work_classes.get(&work_class).copied().unwrap_or_default();
        let of_bucket = self.time_buckets.get(&bucket).copied().unwrap_or_default();
        let prior = of_class.sum / of_class.weight.max(1.0);
        (of_bucket.sum + PRIOR_REQUESTS * prior) / (of_bucket.weight + PRIOR_REQUESTS)
    }
}
