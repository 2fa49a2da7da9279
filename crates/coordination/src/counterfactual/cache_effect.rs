//! The effect of a cache: how requests fare at it beside their other candidates, estimated doubly robustly (augmented
//! inverse propensity weighting).
//!
//! Each request contributes what the model predicts of the difference in question; a request that was really sent to one
//! side adds its weighted residual. The mean is right if either the model or the propensities are right for alike
//! requests. Where nobody chose so, nothing corrects the model, and there is no figure.

use super::cluster_variance::Contribution;
use super::dataset::{Candidacy, CandidateKey, Dataset, LabeledRequest, PositionKey};
use super::estimate::{Estimate, NoSupport, Stratum};
use super::outcome::{MIN_SUPPORT, OutcomeMeasure};
use super::sampled_request::{MAX_CANDIDATES, WORK_CLASSES};
use super::weighted_mean::{MIN_EFFECTIVE_KEYS, WeightedMean};

/// The share of the requests in question that has to be of strata with support.
pub(super) const MIN_COVERED_SHARE: f64 = 0.5;
/// The fewest positions between which a cache can be compared.
const MIN_POSITIONS: usize = 2;

/// The requests of a work class of which the cache is a candidate, and the positions with support.
struct SupportedStratum {
    candidacies: Vec<Candidacy>,
    compared: Stratum,
}

impl Dataset {
    /// How much more of a measure requests would have got at a cache than at their other candidates, had all been sent to
    /// each. The cache is compared at as many positions as there is support for, each position counting the same, so that
    /// misses at later positions fall on both sides alike.
    ///
    /// # Errors
    /// Where too few of alike requests went to the cache, or to the others.
    pub fn compare_cache(&self, cache: u64, measure: OutcomeMeasure) -> Result<Estimate, NoSupport> {
        let strata = self.supported_strata(cache)?;
        let covered: usize = strata.iter().map(|stratum| stratum.candidacies.len()).sum();
        let mut effect = WeightedMean::default();
        for stratum in &strata {
            let positions = &stratum.compared.positions;
            let weight = stratum.candidacies.len() as f64 / covered as f64 / positions.len() as f64;
            for position in positions {
                let contributions = self.contributions(stratum, *position, measure);
                if contributions.is_empty() {
                    return Err(NoSupport);
                }
                effect.add(weight, &contributions);
            }
        }
        if measure == OutcomeMeasure::InTime {
            effect.allow_for_unseen_key();
        }
        let compared = strata.into_iter().map(|stratum| stratum.compared).collect();
        effect.into_estimate(compared, MIN_EFFECTIVE_KEYS, self.forwarder_count)
    }

    /// The work classes in which the cache can be compared.
    ///
    /// # Errors
    /// Where they are too small a share of the requests of which it is a candidate.
    fn supported_strata(&self, cache: u64) -> Result<Vec<SupportedStratum>, NoSupport> {
        let mut by_work_class: [Vec<Candidacy>; WORK_CLASSES as usize] = Default::default();
        for candidacy in self.candidacies.get(&cache).into_iter().flatten() {
            let work_class = self.requests[candidacy.request].request.work_class;
            by_work_class[usize::from(work_class)].push(*candidacy);
        }
        let mut asked = 0;
        let mut covered = 0;
        let mut strata = Vec::new();
        for (work_class, candidacies) in (0..WORK_CLASSES).zip(by_work_class) {
            asked += candidacies.len();
            let positions = self.supported_positions(cache, work_class, &candidacies);
            if positions.len() >= MIN_POSITIONS {
                covered += candidacies.len();
                strata.push(SupportedStratum { candidacies, compared: Stratum { work_class, positions } });
            }
        }
        if covered == 0 || (covered as f64) < MIN_COVERED_SHARE * asked as f64 {
            return Err(NoSupport);
        }
        Ok(strata)
    }

    /// The positions at which the cache got such requests, and others got requests of which it was a candidate.
    fn supported_positions(&self, cache: u64, work_class: u8, candidacies: &[Candidacy]) -> Vec<usize> {
        let has_support = |position: &usize| {
            let choices =
                self.choices(CandidateKey { cache, at: PositionKey { position: *position, work_class } });
            let went_to_others = candidacies
                .iter()
                .filter(|own| own.position != *position && self.requests[own.request].position() == *position)
                .count();
            choices.has_support()
                && choices.chosen_cache_specific >= MIN_SUPPORT
                && went_to_others >= MIN_SUPPORT
        };
        (0..MAX_CANDIDATES).filter(has_support).collect()
    }

    /// The contributions of the requests of which the cache is the candidate at a position.
    fn contributions(
        &self,
        stratum: &SupportedStratum,
        position: usize,
        measure: OutcomeMeasure,
    ) -> Vec<Contribution<'_>> {
        let mut contributions = Vec::new();
        for candidacy in stratum.candidacies.iter().filter(|candidacy| candidacy.position == position) {
            let labeled = &self.requests[candidacy.request];
            let positions = &stratum.compared.positions;
            if let Some(value) = self.difference(labeled, position, positions, measure) {
                contributions.push(Contribution { labeled, value });
            }
        }
        contributions
    }

    /// What one request contributes to the difference between its candidate at `position` and those at the other compared
    /// positions; none if it has no candidate at any of these.
    fn difference(
        &self,
        labeled: &LabeledRequest,
        position: usize,
        positions: &[usize],
        measure: OutcomeMeasure,
    ) -> Option<f64> {
        let candidate_count = labeled.request.candidates.len();
        let others: Vec<usize> = positions
            .iter()
            .copied()
            .filter(|other| *other != position && *other < candidate_count)
            .collect();
        if others.is_empty() {
            return None;
        }
        let other_count = others.len() as f64;
        let predicted_at_others =
            others.iter().map(|other| self.predict(labeled, *other, measure)).sum::<f64>() / other_count;
        let chosen = labeled.position();
        let correction = if chosen == position {
            self.weighted_residual(labeled, measure)
        } else if positions.contains(&chosen) {
            -self.weighted_residual(labeled, measure) / other_count
        } else {
            0.0
        };
        Some(self.predict(labeled, position, measure) - predicted_at_others + correction)
    }
}
