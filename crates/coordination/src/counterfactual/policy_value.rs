//! The values of selection policies that nodes did not follow (off-policy evaluation).

use std::collections::BTreeSet;

use super::cache_effect::MIN_COVERED_SHARE;
use super::cluster_variance::Contribution;
use super::dataset::{Dataset, LabeledRequest, MIN_PROPENSITY, PositionKey};
use super::estimate::{Estimate, NoSupport, Stratum};
use super::outcome::{MIN_SUPPORT, OutcomeMeasure};
use super::sampled_request::{MAX_CANDIDATES, WORK_CLASSES};
use super::weighted_mean::WeightedMean;

/// The most of a policy's selections that may fall on caches to which nobody sent such requests.
const MAX_UNSEEN_SHARE: f64 = 0.1;
/// What differs between keys differs alike in the requests that were served: such an interval is rather too wide, and may
/// rest on few keys.
const MIN_POLICY_KEYS: f64 = 0.0;

/// A way to select among a key's candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The first candidate of the shard map.
    FirstCandidate,
    /// One of the first three candidates, with the same probability.
    UniformRandom,
    /// The balancer's own selection, as it was made.
    Observed,
    /// The observed selection, but a request that went to its first candidate while the node had this many attempts or more
    /// in flight there goes to its second.
    SecondWhenBusy(u8),
}

/// The requests of a work class that a policy moves, and those that went to the second candidate by themselves.
#[derive(Clone, Copy, Default)]
struct MoveCounts {
    moved: usize,
    at_second: usize,
}

impl MoveCounts {
    /// How many moved requests each request at the second candidate stands for.
    fn ratio(self) -> f64 {
        self.moved as f64 / self.at_second as f64
    }

    /// Whether the moved requests have enough others to stand for them, each for a few at the most.
    fn has_support(self) -> bool {
        self.moved == 0 || self.at_second >= MIN_SUPPORT && self.ratio() <= MIN_PROPENSITY.recip()
    }
}

impl Dataset {
    /// The mean of a measure that requests would have got by a policy, had each alone been sent so.
    ///
    /// # Errors
    /// Where requests would go to candidates to which none like them went.
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
            SelectionPolicy::SecondWhenBusy(in_flight) => self.value_if_moved(in_flight, measure),
        }
    }

    fn value_as_observed(&self, measure: OutcomeMeasure) -> Result<Estimate, NoSupport> {
        let contributions: Vec<_> = self
            .requests
            .iter()
            .map(|labeled| Contribution { labeled, value: measure.of(&labeled.pseudo_value) })
            .collect();
        self.mean_of(&contributions, 0..WORK_CLASSES, &[0, 1, 2])
    }

    /// The value of a policy that selects each position with a fixed probability.
    fn value_of_probabilities(
        &self,
        probabilities: &[f64; MAX_CANDIDATES],
        measure: OutcomeMeasure,
    ) -> Result<Estimate, NoSupport> {
        let positions: Vec<usize> =
            (0..MAX_CANDIDATES).filter(|position| probabilities[*position] > 0.0).collect();
        let has_support = |work_class: &u8| {
            positions.iter().all(|position| {
                let at = PositionKey { position: *position, work_class: *work_class };
                self.choices_of_all_caches(at).has_support()
            })
        };
        let work_classes: BTreeSet<u8> = (0..WORK_CLASSES).filter(has_support).collect();
        let requests: Vec<&LabeledRequest> = self
            .requests
            .iter()
            .filter(|labeled| work_classes.contains(&labeled.request.work_class))
            .filter(|labeled| labeled.request.candidates.len() == MAX_CANDIDATES)
            .collect();
        // A cache to which nobody sent such requests is predicted from the others alone: little may rest on that.
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
        self.mean_of(&contributions, work_classes, &positions)
    }

    /// The sum over requests of the probability that each is sent to a cache to which no such request went.
    fn probability_of_unseen(
        &self,
        requests: &[&LabeledRequest],
        positions: &[usize],
        probabilities: &[f64; MAX_CANDIDATES],
    ) -> f64 {
        let mut unseen = 0.0;
        for labeled in requests {
            for position in positions {
                if self.choices(labeled.candidate(*position)).chosen == 0 {
                    unseen += probabilities[*position];
                }
            }
        }
        unseen
    }

    /// The value of moving requests to their second candidate when the node has `in_flight` attempts at the first.
    /// Requests that went to the second by themselves stand for the moved ones.
    fn value_if_moved(&self, in_flight: u8, measure: OutcomeMeasure) -> Result<Estimate, NoSupport> {
        let is_moved = |labeled: &LabeledRequest| {
            labeled.request.position == 0 && labeled.request.in_flight >= in_flight
        };
        let mut counts = [MoveCounts::default(); WORK_CLASSES as usize];
        for labeled in &self.requests {
            let of_class = &mut counts[usize::from(labeled.request.work_class)];
            of_class.moved += usize::from(is_moved(labeled));
            of_class.at_second += usize::from(labeled.request.position == 1);
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
        self.mean_of(&contributions, work_classes, &[0, 1])
    }

    fn mean_of(
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
        mean.into_estimate(strata, MIN_POLICY_KEYS, self.forwarder_count)
    }
}
