//! The outcome model: predicts a request's outcome at a candidate from what is known before the request is
//! sent.
//!
//! The model is a mixture of hits and misses by cache and position, with means by work class, plus effects of
//! the time bucket. Estimates of single caches are shrunk toward those of all caches (partial pooling).
//!
//! Invariant: the model has a prediction for every cache, position and work class; the less is known of a
//! cache, the closer its prediction is to that for all caches. The model need not be right: estimators that
//! use it add the residuals of the requests that were sent to the candidate.

use std::collections::BTreeMap;

use super::dataset::{CandidateKey, LabeledRequest};
use super::outcome::OutcomeMeasure;
use super::sampled_request::{MAX_CANDIDATES, ServiceOutcome, WORK_CLASSES};

/// The weight of the mean of all caches in a cache's shrunk mean, as a number of requests.
const PRIOR_REQUESTS: f64 = 5.0;
/// The hit rate toward which the hit rate of all caches is shrunk.
const PRIOR_HIT_RATE: f64 = 0.5;
/// The number of mean outcomes: one of hits and one of misses for each work class.
const MEAN_COUNT: usize = WORK_CLASSES as usize * 2;

/// A sum of weighted values, and the sum of their weights.
#[derive(Clone, Copy, Default)]
struct WeightedSum {
    weight: f64,
    sum: f64,
}

impl WeightedSum {
    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.sum += weight * value;
    }

    /// The mean, shrunk toward `prior`.
    fn shrunk_mean(self, prior: f64) -> f64 {
        (self.sum + PRIOR_REQUESTS * prior) / (self.weight + PRIOR_REQUESTS)
    }
}

/// The index of the mean outcome of hits or misses of a work class.
fn mean_index(work_class: u8, is_hit: bool) -> usize {
    usize::from(work_class) * 2 + usize::from(is_hit)
}

/// The sums over the requests that were sent to one cache.
#[derive(Clone, Copy, Default)]
struct CacheSums {
    hits: [WeightedSum; MAX_CANDIDATES],
    outcomes: [WeightedSum; MEAN_COUNT],
}

/// A time bucket at one cache.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CacheTimeBucket {
    cache: u64,
    time_bucket: u64,
}

/// A fitted model of one outcome measure.
pub(super) struct OutcomeModel {
    hit_rates: [f64; MAX_CANDIDATES],
    mean_outcomes: [f64; MEAN_COUNT],
    caches: BTreeMap<u64, CacheSums>,
    /// The mean that a time bucket adds to the outcomes at all caches.
    time_effects: BTreeMap<u64, WeightedSum>,
    /// The mean that a time bucket adds to the outcomes at one cache, beyond its effect at all caches.
    cache_time_effects: BTreeMap<CacheTimeBucket, WeightedSum>,
}

impl OutcomeModel {
    /// Fits the model to the requests.
    pub fn fit<'a>(
        requests: impl Iterator<Item = &'a LabeledRequest> + Clone,
        measure: OutcomeMeasure,
    ) -> OutcomeModel {
        let mut model = OutcomeModel {
            hit_rates: [0.0; MAX_CANDIDATES],
            mean_outcomes: [0.0; MEAN_COUNT],
            caches: BTreeMap::new(),
            time_effects: BTreeMap::new(),
            cache_time_effects: BTreeMap::new(),
        };
        model.fit_hit_rates(requests.clone());
        model.fit_mean_outcomes(requests.clone(), measure);
        model.fit_time_effects(requests.clone(), measure);
        model.fit_cache_time_effects(requests, measure);
        model
    }

    fn fit_hit_rates<'a>(&mut self, requests: impl Iterator<Item = &'a LabeledRequest>) {
        let mut all_caches = [WeightedSum::default(); MAX_CANDIDATES];
        for labeled in requests {
            let hit = match labeled.request.outcome {
                ServiceOutcome::Hit => 1.0,
                ServiceOutcome::Miss => 0.0,
                ServiceOutcome::Censored | ServiceOutcome::Failed => continue,
            };
            let position = labeled.position();
            all_caches[position].add(1.0, hit);
            let cache_sums = self.caches.entry(labeled.request.chosen_cache()).or_default();
            cache_sums.hits[position].add(1.0, hit);
        }
        self.hit_rates = all_caches.map(|sum| sum.shrunk_mean(PRIOR_HIT_RATE));
    }

    fn fit_mean_outcomes<'a>(
        &mut self,
        requests: impl Iterator<Item = &'a LabeledRequest>,
        measure: OutcomeMeasure,
    ) {
        let mut all_caches = [WeightedSum::default(); MEAN_COUNT];
        for labeled in requests {
            let position = labeled.position();
            let cache_sums = self.caches.entry(labeled.request.chosen_cache()).or_default();
            // Whether a censored or failed request would have been a hit is unknown: it counts as both, by
            // their shares.
            let hit_share = match labeled.request.outcome {
                ServiceOutcome::Hit => 1.0,
                ServiceOutcome::Miss => 0.0,
                ServiceOutcome::Censored | ServiceOutcome::Failed => {
                    cache_sums.hits[position].shrunk_mean(self.hit_rates[position])
                }
            };
            let value = measure.of(&labeled.pseudo_value);
            for (is_hit, weight) in [(true, hit_share), (false, 1.0 - hit_share)] {
                let index = mean_index(labeled.request.work_class, is_hit);
                all_caches[index].add(weight, value);
                cache_sums.outcomes[index].add(weight, value);
            }
        }
        let mut total = WeightedSum::default();
        for sum in all_caches {
            total.weight += sum.weight;
            total.sum += sum.sum;
        }
        let mean = total.sum / total.weight.max(1.0);
        self.mean_outcomes = all_caches.map(|sum| sum.shrunk_mean(mean));
    }

    fn fit_time_effects<'a>(
        &mut self,
        requests: impl Iterator<Item = &'a LabeledRequest>,
        measure: OutcomeMeasure,
    ) {
        let mut effects: BTreeMap<u64, WeightedSum> = BTreeMap::new();
        for labeled in requests {
            effects.entry(labeled.time_bucket).or_default().add(1.0, self.residual(labeled, measure));
        }
        self.time_effects = effects;
    }

    fn fit_cache_time_effects<'a>(
        &mut self,
        requests: impl Iterator<Item = &'a LabeledRequest>,
        measure: OutcomeMeasure,
    ) {
        let mut effects: BTreeMap<CacheTimeBucket, WeightedSum> = BTreeMap::new();
        for labeled in requests {
            let cache = labeled.request.chosen_cache();
            let bucket = CacheTimeBucket { cache, time_bucket: labeled.time_bucket };
            effects.entry(bucket).or_default().add(1.0, self.residual(labeled, measure));
        }
        self.cache_time_effects = effects;
    }

    /// A request's outcome at the cache to which it was sent minus the prediction of the model as far as it
    /// is fitted.
    fn residual(&self, labeled: &LabeledRequest, measure: OutcomeMeasure) -> f64 {
        measure.of(&labeled.pseudo_value) - self.predict(labeled.chosen_candidate(), labeled.time_bucket)
    }

    /// The expected outcome of a request at a candidate.
    pub fn predict(&self, candidate: CandidateKey, time_bucket: u64) -> f64 {
        let CandidateKey { cache, position_key } = candidate;
        let cache_sums = self.caches.get(&cache).copied().unwrap_or_default();
        let hit_rate =
            cache_sums.hits[position_key.position].shrunk_mean(self.hit_rates[position_key.position]);
        let outcome = |is_hit: bool| {
            let index = mean_index(position_key.work_class, is_hit);
            cache_sums.outcomes[index].shrunk_mean(self.mean_outcomes[index])
        };
        let time_effect = self.time_effects.get(&time_bucket).map_or(0.0, |sum| sum.shrunk_mean(0.0));
        let cache_time_effect = self
            .cache_time_effects
            .get(&CacheTimeBucket { cache, time_bucket })
            .map_or(0.0, |sum| sum.shrunk_mean(0.0));
        hit_rate * outcome(true) + (1.0 - hit_rate) * outcome(false) + time_effect + cache_time_effect
    }
}
