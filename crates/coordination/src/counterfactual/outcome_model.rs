//! The outcome model: a request's expected outcome at a candidate, by what is known before it is sent.
//!
//! It is a mixture of hits and misses by cache and position, with means by work class, plus effects of the time bucket.
//! Figures of single caches are shrunk toward those of all caches (partial pooling).
//!
//! Invariant: the model answers for every cache, position and work class, and leans on what is known of all caches as far as
//! little is known of the one. It need not be right: whoever uses it adds the residuals of the requests really sent there.

use std::collections::BTreeMap;

use super::dataset::{CandidateKey, LabeledRequest};
use super::outcome::OutcomeMeasure;
use super::sampled_request::{MAX_CANDIDATES, ServiceOutcome, WORK_CLASSES};

/// The mean of all caches counts as much as this many requests of the one.
const PRIOR_REQUESTS: f64 = 5.0;
/// The hit rate toward which that of all caches is shrunk.
const PRIOR_HIT_RATE: f64 = 0.5;
/// Means are estimated by work class, for hits and misses.
const MEAN_KINDS: usize = WORK_CLASSES as usize * 2;

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

fn mean_kind(work_class: u8, is_hit: bool) -> usize {
    usize::from(work_class) * 2 + usize::from(is_hit)
}

#[derive(Clone, Copy, Default)]
struct CacheSums {
    hits: [WeightedSum; MAX_CANDIDATES],
    outcomes: [WeightedSum; MEAN_KINDS],
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
    mean_outcomes: [f64; MEAN_KINDS],
    caches: BTreeMap<u64, CacheSums>,
    /// What a time bucket adds at all caches.
    time_effects: BTreeMap<u64, WeightedSum>,
    /// What a time bucket adds at one cache beyond that.
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
            mean_outcomes: [0.0; MEAN_KINDS],
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
        let mut of_all = [WeightedSum::default(); MAX_CANDIDATES];
        for labeled in requests {
            let hit = match labeled.request.outcome {
                ServiceOutcome::Hit => 1.0,
                ServiceOutcome::Miss => 0.0,
                ServiceOutcome::Censored | ServiceOutcome::Failed => continue,
            };
            let position = labeled.position();
            of_all[position].add(1.0, hit);
            let of_cache = self.caches.entry(labeled.request.chosen_cache()).or_default();
            of_cache.hits[position].add(1.0, hit);
        }
        self.hit_rates = of_all.map(|sum| sum.shrunk_mean(PRIOR_HIT_RATE));
    }

    fn fit_mean_outcomes<'a>(
        &mut self,
        requests: impl Iterator<Item = &'a LabeledRequest>,
        measure: OutcomeMeasure,
    ) {
        let mut of_all = [WeightedSum::default(); MEAN_KINDS];
        for labeled in requests {
            let position = labeled.position();
            let of_cache = self.caches.entry(labeled.request.chosen_cache()).or_default();
            // It isn't known whether a censored request would have been a hit: it counts as both, by their shares.
            let hit_share = match labeled.request.outcome {
                ServiceOutcome::Hit => 1.0,
                ServiceOutcome::Miss => 0.0,
                ServiceOutcome::Censored | ServiceOutcome::Failed => {
                    of_cache.hits[position].shrunk_mean(self.hit_rates[position])
                }
            };
            let value = measure.of(&labeled.pseudo_value);
            for (is_hit, weight) in [(true, hit_share), (false, 1.0 - hit_share)] {
                let kind = mean_kind(labeled.request.work_class, is_hit);
                of_all[kind].add(weight, value);
                of_cache.outcomes[kind].add(weight, value);
            }
        }
        let mut total = WeightedSum::default();
        for sum in of_all {
            total.weight += sum.weight;
            total.sum += sum.sum;
        }
        let mean = total.sum / total.weight.max(1.0);
        self.mean_outcomes = of_all.map(|sum| sum.shrunk_mean(mean));
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
            let at = CacheTimeBucket { cache, time_bucket: labeled.time_bucket };
            effects.entry(at).or_default().add(1.0, self.residual(labeled, measure));
        }
        self.cache_time_effects = effects;
    }

    /// By how much the model, as far as it is fitted, misses a request's outcome where it was sent.
    fn residual(&self, labeled: &LabeledRequest, measure: OutcomeMeasure) -> f64 {
        measure.of(&labeled.pseudo_value) - self.predict(labeled.chosen_candidate(), labeled.time_bucket)
    }

    /// The expected outcome of a request at a candidate.
    pub fn predict(&self, candidate: CandidateKey, time_bucket: u64) -> f64 {
        let CandidateKey { cache, at } = candidate;
        let own = self.caches.get(&cache).copied().unwrap_or_default();
        let hit_rate = own.hits[at.position].shrunk_mean(self.hit_rates[at.position]);
        let outcome = |is_hit: bool| {
            let kind = mean_kind(at.work_class, is_hit);
            own.outcomes[kind].shrunk_mean(self.mean_outcomes[kind])
        };
        let time_effect = self.time_effects.get(&time_bucket).map_or(0.0, |sum| sum.shrunk_mean(0.0));
        let cache_time_effect = self
            .cache_time_effects
            .get(&CacheTimeBucket { cache, time_bucket })
            .map_or(0.0, |sum| sum.shrunk_mean(0.0));
        hit_rate * outcome(true) + (1.0 - hit_rate) * outcome(false) + time_effect + cache_time_effect
    }
}
