//! The true values of the estimated quantities, computed from the potential outcomes, and a naive estimate
//! for comparison.

use std::collections::BTreeMap;

use granitelb_balancer::ids::Key;
use granitelb_coordination::counterfactual::{MAX_CANDIDATES, OutcomeMeasure, Stratum};

use super::trace::{PotentialOutcome, SLO, SimulatedRequest, Trace};

/// Half the width of a normal 95% interval, in standard errors.
const NORMAL_95: f64 = 1.96;
/// The intra-key correlation with which the randomized assignment weights keys.
const INTRA_KEY_CORRELATION: f64 = 0.1;
/// Shorter times count as this time, in milliseconds, since the difference matters to no client.
const MIN_COUNTED_MILLISECONDS: f64 = 1.0;

/// A difference of plain means, with half the width of its 95% interval.
#[derive(Clone, Copy, Debug)]
pub struct NaiveDifference {
    /// The difference.
    pub mean: f64,
    /// Half the width of the 95% interval.
    pub half_width: f64,
}

impl Trace {
    /// Returns the outcome of a request at the candidate in this position, by this measure.
    pub fn true_outcome(request: &SimulatedRequest, position: usize, measure: OutcomeMeasure) -> f64 {
        let outcome = &request.outcomes[position];
        let is_late = outcome.is_rejected || outcome.response_after > SLO;
        match measure {
            OutcomeMeasure::InTime => f64::from(u8::from(!is_late)),
            OutcomeMeasure::WaitedShare if is_late => 1.0,
            OutcomeMeasure::WaitedShare => outcome.response_after.as_secs_f64() / SLO.as_secs_f64(),
        }
    }

    /// Returns the true mean difference between the outcomes of requests at a cache and at their other
    /// candidates, over the strata of an estimate.
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

    /// Returns the true mean logarithm of the ratio of two times, for requests whose first candidate is this
    /// cache: the time taken, and the time if the cache were ordinary. Keys are weighted as in the
    /// randomized assignment.
    pub fn true_log_time_ratio(&self, cache: u64) -> f64 {
        let mut differences_by_key: BTreeMap<Key, Vec<f64>> = BTreeMap::new();
        for request in self.requests.iter().filter(|request| request.candidates[0] == cache) {
            let difference = log_time(request.chosen_outcome()) - log_time(&request.ordinary_outcome);
            differences_by_key.entry(request.key).or_default().push(difference);
        }
        let mut sum = 0.0;
        let mut total_weight = 0.0;
        for differences in differences_by_key.values() {
            let count = differences.len() as f64;
            let weight = count / (1.0 + (count - 1.0) * INTRA_KEY_CORRELATION);
            sum += weight * differences.iter().sum::<f64>() / count;
            total_weight += weight;
        }
        sum / total_weight.max(1.0)
    }

    /// Returns the mean outcome if each request were sent to each position with the policy's probabilities.
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

    /// Returns the difference between the mean share of the SLO that answered requests take at a cache and at
    /// all other caches, without any adjustment.
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

/// Returns the difference between a request's true outcome in one position and the mean over the other
/// compared positions.
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

/// Returns the logarithm of a request's time in milliseconds. A request that is rejected or not answered
/// within the SLO counts as taking the whole SLO.
fn log_time(outcome: &PotentialOutcome) -> f64 {
    let waited = if outcome.is_rejected { SLO } else { outcome.response_after.min(SLO) };
    (waited.as_secs_f64() * 1000.0).max(MIN_COUNTED_MILLISECONDS).ln()
}
