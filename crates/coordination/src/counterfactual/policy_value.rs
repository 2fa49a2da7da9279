//! The estimated values of selection policies that nodes did not follow (off-policy evaluation).

use std::collections::BTreeSet;

use super::cache_effect::MIN_COVERED_SHARE;
use super::cluster_variance::Contribution;
use super::dataset::{Dataset, LabeledRequest, MIN_PROPENSITY, PositionKey};
use super::estimate::{Estimate, NoSupport, Stratum};
use super::outcome::{MIN_SUPPORT, OutcomeMeasure};
use super::sampled_request::{MAX_CANDIDATES, WORK_CLASSES};
use super::weighted_mean::WeightedMean;

/// The greatest share of a policy's selections that may fall on caches to which no node sent such requests.
const MAX_UNSEEN_SHARE: f64 = 0.1;
/// The fewest effective keys for the value of a policy. Few keys suffice: differences between keys affect the
/// policy and the served requests alike, so the confidence interval is too wide rather than too narrow.
const MIN_EFFECTIVE_KEYS_OF_POLICY: f64 = 0.0;

/// A way to select among a key's candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The first candidate of the shard map.
    FirstCandidate,
    /// One of the first three candidates, with the same probability.
    UniformRandom,
    /// The selection that the balancer made.
    Observed,
    /// The observed selection, except that a request goes to its second candidate if it was sent to its first
    /// while the node had this many attempts or more in flight there.
    SecondWhenBusy(u8),
}

/// The number of requests of a work class that the policy moves to the second candidate, and of those that
/// nodes sent there.
#[derive(Clone, Copy, Default)]
struct MoveCounts {
    moved: usize,
    at_second: usize,
}

impl MoveCounts {
    /// The number of moved requests that each request at the second candidate stands for.
    fn ratio(self) -> f64 {
        self.moved as f64 / self.at_second as f64
    }

    /// Whether enough requests were sent to the second candidate to stand for the moved ones, each for few
    /// enough of them.
    fn has_support(self) -> bool {
        self.moved == 0 || self.at_second >= MIN_SUPPORT && self.ratio() <= MIN_PROPENSITY.recip()
    }
}

impl Dataset {
    /// Estimates the mean of a measure if each request alone had been sent by the policy.
    ///
    /// # Errors
    /// Returns [`NoSupport`] if the policy would send requests to candidates to which too few similar
    /// requests were sent.
    pub fn policy_value(
        &self,
        policy: SelectionPolicy,
        measure: OutcomeMeasure,
    ) -> Result<Estimate, NoSupport> {
        match policy {
            SelectionPolicy::FirstCandidate => self.value_of_probabilities(&[1.0, 0.0, 0.0], measure),
            SelectionPolicy::UniformRandom => {
                let equal = [1.0 / MAX_CANDIDATES as f64; MAX_CANDIDATES];
                self.value_of_probabilities(&equal, measure)
            }
            SelectionPolicy::Observed => self.value_as_observed(measure),
            SelectionPolicy::SecondWhenBusy(in_flight) => self.value_of_moving_when_busy(in_flight, measure),
        }
    }

    fn value_as_observed(&self, measure: OutcomeMeasure) -> Result<Estimate, NoSupport> {
        let contributions: Vec<_> = self
            .requests
            .iter()
            .map(|labeled| Contribution { labeled, value: measure.of(&labeled.pseudo_value) })
            .collect();
        self.estimate_mean(&contributions, 0..WORK_CLASSES, &[0, 1, 2])
    }

    /// Estimates the value of a policy that selects each position with a fixed probability.
    fn value_of_probabilities(
        &self,
        probabilities: &[f64; MAX_CANDIDATES],
        measure: OutcomeMeasure,
    ) -> Result<Estimate, NoSupport> {
        let positions: Vec<usize> =
            (0..MAX_CANDIDATES).filter(|position| probabilities[*position] > 0.0).collect();
        let has_support = |work_class: &u8| {
            positions.iter().all(|position| {
                let position_key = PositionKey { position: *position, work_class: *work_class };
                self.choice_counts_of_all_caches(position_key).has_support()
            })
        };
        let work_classes: BTreeSet<u8> = (0..WORK_CLASSES).filter(has_support).collect();
        let requests: Vec<&LabeledRequest> = self
            .requests
            .iter()
            .filter(|labeled| work_classes.contains(&labeled.request.work_class))
            .filter(|labeled| labeled.request.candidates.len() == MAX_CANDIDATES)
            .collect();
        // The outcome at a cache to which no such request was sent is predicted from other caches alone: only
        // a small share of the selections may depend on such predictions.
        let unseen = self.probability_of_unseen(&requests, &positions, probabilities);
        if unseen > MAX_UNSEEN_SHARE * requests.len() as f64 {
            return Err(NoSupport);
        }
        let value = |labeled: &LabeledRequest| {
            let predicted: f64 = positions
                .iter()
                .map(|position| probabilities[*position] * self.predict(labeled, *position, measure))
                .sum();
            predicted + probabilities[labeled.position()] * self.weighted_residual(labeled, measure)
        };
        let contributions: Vec<_> =
            requests.iter().map(|labeled| Contribution { labeled, value: value(labeled) }).collect();
        self.estimate_mean(&contributions, work_classes, &positions)
    }

    /// The sum over requests of the probability that the policy sends them to a cache to which no such
    /// request was sent.
    fn probability_of_unseen(
        &self,
        requests: &[&LabeledRequest],
        positions: &[usize],
        probabilities: &[f64; MAX_CANDIDATES],
    ) -> f64 {
        let mut unseen = 0.0;
        for labeled in requests {
            for position in positions {
                if self.choice_counts(labeled.candidate(*position)).chosen == 0 {
                    unseen += probabilities[*position];
                }
            }
        }
        unseen
    }

    /// Estimates the value of sending requests to their second candidate when the node has `in_flight`
    /// attempts or more at the first. Requests that nodes sent to the second candidate stand for the moved
    /// ones.
    fn value_of_moving_when_busy(
        &self,
        in_flight: u8,
        measure: OutcomeMeasure,
    ) -> Result<Estimate, NoSupport> {
        let is_moved = |labeled: &LabeledRequest| {
            labeled.request.position == 0 && labeled.request.in_flight >= in_flight
        };
        let mut counts = [MoveCounts::default(); WORK_CLASSES as usize];
        for labeled in &self.requests {
            let class_counts = &mut counts[usize::from(labeled.request.work_class)];
            class_counts.moved += usize::from(is_moved(labeled));
            class_counts.at_second += usize::from(labeled.request.position == 1);
        }
        let work_classes: BTreeSet<u8> =
            (0..WORK_CLASSES).filter(|work_class| counts[usize::from(*work_class)].has_support()).collect();
        let value = |labeled: &LabeledRequest| {
            let observed = measure.of(&labeled.pseudo_value);
            if is_moved(labeled) {
                self.predict(labeled, 1, measure)
            } else if labeled.request.position == 1 {
                let ratio = counts[usize::from(labeled.request.work_class)].ratio();
                observed + ratio * (observed - self.predict(labeled, 1, measure))
            } else {
                observed
            }
        };
        let contributions: Vec<_> = self
            .requests
            .iter()
            .filter(|labeled| work_classes.contains(&labeled.request.work_class))
            .map(|labeled| Contribution { labeled, value: value(labeled) })
            .collect();
        self.estimate_mean(&contributions, work_classes, &[0, 1])
    }

    /// Estimates the mean of the contributions, if they cover enough of the requests.
    fn estimate_mean(
        &self,
        contributions: &[Contribution<'_>],
        work_classes: impl IntoIterator<Item = u8>,
        positions: &[usize],
    ) -> Result<Estimate, NoSupport> {
        let covered = contributions.len();
        if covered < MIN_SUPPORT || (covered as f64) < MIN_COVERED_SHARE * self.requests.len() as f64 {
            return Err(NoSupport);
        }
        let mut mean = WeightedMean::default();
        mean.add(1.0, contributions);
        let strata = work_classes
            .into_iter()
            .map(|work_class| Stratum { work_class, positions: positions.to_vec() })
            .collect();
        mean.into_estimate(strata, MIN_EFFECTIVE_KEYS_OF_POLICY, self.forwarder_count)
    }
}
