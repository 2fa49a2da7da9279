//! The true values of what the estimators estimate, from the potential outcomes, and a naive estimate beside them.

use std::collections::BTreeMap;

use granitelb_balancer::ids::Key;
use granitelb_coordination::counterfactual::{MAX_CANDIDATES, OutcomeMeasure, Stratum};

use super::trace::{PotentialOutcome, SLO, SimulatedRequest, Trace};

/// The ends of a normal 95% interval, in standard errors.
const NORMAL_95: f64 = 1.96;
/// The intra-key correlation by which the randomized assignment weighs keys.
const INTRA_KEY_CORRELATION: f64 = 0.1;
/// Shorter times make no difference to anybody, in milliseconds.
const SHORTEST_MILLISECONDS: f64 = 1.0;

/// A difference of plain means, with half the width of its 95% interval.
#[derive(Clone, Copy, Debug)]
pub struct NaiveDifference {
    /// The difference.
    pub mean: f64,
    /// Half the width of its interval.
    pub half_width: f64,
}

impl Trace {
    /// What a request would have got at one of its candidates.
    pub fn true_outcome(request: &SimulatedRequest, position: usize, measure: OutcomeMeasure) -> f64 {
        let outcome = &request.outcomes[position];
        let is_late = outcome.is_rejected || outcome.response_after > SLO;
        match measure {
            OutcomeMeasure::InTime => f64::from(u8::from(!is_late)),
            OutcomeMeasure::WaitedShare if is_late => 1.0,
            OutcomeMeasure::WaitedShare => outcome.response_after.as_secs_f64() / SLO.as_secs_f64(),
        }
    }

    /// How much more requests would truly have got at a cache than at their other candidates, over the strata of an
    /// estimate.
    pub fn true_effect(&self, cache: u64, strata: &[Stratum], measure: OutcomeMeasure) -> f64 {
        let count = |stratum: &Stratum| self.requests_with_candidate(cache, stratum.work_class).count();
        let total: usize = strata.iter().map(count).sum();
        let mut effect = 0.0;
        for stratum in strata {
            let weight = count(stratum) as f64 / total as f64 / stratum.positions.len() as f64;
            for position in &stratum.positions {
                let differences: Vec<f64> = self
                    .requests_with_candidate(cache, stratum.work_class)
                    .filter(|request| request.candidates[*position] == cache)
                    .map(|request| true_difference(request, *position, &stratum.positions, measure))
                    .collect();
                effect += weight * differences.iter().sum::<f64>() / differences.len().max(1) as f64;
            }
        }
        effect
    }

    fn requests_with_candidate(&self, cache: u64, work_class: u8) -> impl Iterator<Item = &SimulatedRequest> {
        self.requests
            .iter()
            .filter(move |request| request.work_class == work_class && request.candidates.contains(&cache))
    }

    /// How much longer requests whose first candidate a cache is truly took, by the logarithm, than had it been like most
    /// caches; each key weighed as the randomized assignment does.
    pub fn true_log_time_ratio(&self, cache: u64) -> f64 {
        let mut keys: BTreeMap<Key, Vec<f64>> = BTreeMap::new();
        for request in self.requests.iter().filter(|request| request.candidates[0] == cache) {
            let excess = log_time(request.chosen_outcome()) - log_time(&request.ordinary_outcome);
            keys.entry(request.key).or_default().push(excess);
        }
        let mut sum = 0.0;
        let mut total_weight = 0.0;
        for excesses in keys.values() {
            let count = excesses.len() as f64;
            let weight = count / (1.0 + (count - 1.0) * INTRA_KEY_CORRELATION);
            sum += weight * excesses.iter().sum::<f64>() / count;
            total_weight += weight;
        }
        sum / total_weight.max(1.0)
    }

    /// The mean had every request been sent to each position with the probabilities that the policy gives.
    pub fn true_policy_value(
        &self,
        measure: OutcomeMeasure,
        policy: impl Fn(&SimulatedRequest) -> [f64; MAX_CANDIDATES],
    ) -> f64 {
        let value = |request: &SimulatedRequest| -> f64 {
            let probabilities = policy(request);
            (0..MAX_CANDIDATES)
                .map(|position| probabilities[position] * Trace::true_outcome(request, position, measure))
                .sum()
        };
        self.requests.iter().map(value).sum::<f64>() / self.requests.len() as f64
    }

    /// How much more of the SLO requests at a cache take than those at all others, by plain means of answered requests.
    pub fn naive_difference(&self, cache: u64) -> NaiveDifference {
        let own = self.naive_mean(|request| request.chosen_cache() == cache);
        let others = self.naive_mean(|request| request.chosen_cache() != cache);
        NaiveDifference {
            mean: own.mean - others.mean,
            half_width: NORMAL_95 * (own.variance + others.variance).sqrt(),
        }
    }

    fn naive_mean(&self, is_included: impl Fn(&SimulatedRequest) -> bool) -> NaiveMean {
        let mut shares = Vec::new();
        for request in &self.requests {
            let outcome = request.chosen_outcome();
            let is_answered = !outcome.is_rejected && outcome.response_after <= request.cancelled_after;
            if is_answered && is_included(request) {
                shares.push(Trace::true_outcome(request, request.position, OutcomeMeasure::WaitedShare));
            }
        }
        let count = shares.len().max(2) as f64;
        let mean = shares.iter().sum::<f64>() / count;
        let squares = shares.iter().map(|share| (share - mean).powi(2)).sum::<f64>();
        NaiveMean { mean, variance: squares / (count - 1.0) / count }
    }
}

/// A plain mean and its variance.
struct NaiveMean {
    mean: f64,
    variance: f64,
}

/// The true difference of a request between one position and the others that are compared.
fn true_difference(
    request: &SimulatedRequest,
    position: usize,
    positions: &[usize],
    measure: OutcomeMeasure,
) -> f64 {
    let others = positions.iter().filter(|other| **other != position);
    let sum: f64 = others.map(|other| Trace::true_outcome(request, *other, measure)).sum();
    Trace::true_outcome(request, position, measure) - sum / (positions.len() - 1) as f64
}

/// A request's time by its logarithm, in milliseconds; what is not answered within the SLO takes all of it.
fn log_time(outcome: &PotentialOutcome) -> f64 {
    let waited = if outcome.is_rejected { SLO } else { outcome.response_after.min(SLO) };
    (waited.as_secs_f64() * 1000.0).max(SHORTEST_MILLISECONDS).ln()
}
