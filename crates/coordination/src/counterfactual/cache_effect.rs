//! The effect of a cache: the difference between the outcomes of requests at the cache and at their other
//! candidates, by a doubly robust estimator (augmented inverse propensity weighting).
//!
//! Each request contributes the difference that the model predicts; a request that was sent to one of the
//! compared candidates adds its weighted residual. The mean is right if the model or the propensities are
//! right for similar requests. Where no request was sent to a candidate, nothing corrects the model, and
//! there is no estimate.

use super::cluster_variance::Contribution;
use super::dataset::{Candidacy, CandidateKey, Dataset, LabeledRequest, PositionKey};
use super::estimate::{Estimate, NoSupport, Stratum};
use super::outcome::{MIN_SUPPORT, OutcomeMeasure};
use super::sampled_request::{MAX_CANDIDATES, WORK_CLASSES};
use super::weighted_mean::{MIN_EFFECTIVE_KEYS, WeightedMean};

/// The smallest share of the requests under estimation that has to be in strata with support.
pub(super) const MIN_COVERED_SHARE: f64 = 0.5;
/// The fewest positions between which a cache can be compared.
const MIN_POSITIONS: usize = 2;

/// The requests of one work class that have the cache as a candidate, and the positions with support.
struct SupportedStratum {
    candidacies: Vec<Candidacy>,
    compared: Stratum,
}

impl Dataset {
    /// Estimates the mean difference of a measure if all requests had been sent to the cache instead of to
    /// their other candidates. The cache is compared at all positions with support, with equal weight for
    /// each position, so that misses at later positions affect the cache and the other candidates equally.
    ///
    /// # Errors
    /// Returns [`NoSupport`] if too few similar requests were sent to the cache, or to the other candidates.
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
            effect.add_unseen_key_variance();
        }
        let compared = strata.into_iter().map(|stratum| stratum.compared).collect();
        effect.into_estimate(compared, MIN_EFFECTIVE_KEYS, self.forwarder_count)
    }

    /// Returns the strata, one for each work class in which the cache can be compared.
    ///
    /// # Errors
    /// Returns [`NoSupport`] if the strata cover too small a share of the requests that have the cache as a
    /// candidate.
    fn supported_strata(&self, cache: u64) -> Result<Vec<SupportedStratum>, NoSupport> {
        let mut by_work_class: [Vec<Candidacy>; WORK_CLASSES as usize] = Default::default();
        for candidacy in self.candidacies.get(&cache).into_iter().flatten() {
            let work_class = self.requests[candidacy.request].request.work_class;
            by_work_class[usize::from(work_class)].push(*candidacy);
        }
        let mut candidacy_count = 0;
        let mut covered = 0;
        let mut strata = Vec::new();
        for (work_class, candidacies) in (0..WORK_CLASSES).zip(by_work_class) {
            candidacy_count += candidacies.len();
            let positions = self.supported_positions(cache, work_class, &candidacies);
            if positions.len() >= MIN_POSITIONS {
                covered += candidacies.len();
                strata.push(SupportedStratum { candidacies, compared: Stratum { work_class, positions } });
            }
        }
        if covered == 0 || (covered as f64) < MIN_COVERED_SHARE * candidacy_count as f64 {
            return Err(NoSupport);
        }
        Ok(strata)
    }

    /// The positions at which the cache was chosen often enough for requests of the work class, and at which
    /// other caches were chosen often enough for requests that have the cache as a candidate at another
    /// position.
    fn supported_positions(&self, cache: u64, work_class: u8, candidacies: &[Candidacy]) -> Vec<usize> {
        let has_support = |position: &usize| {
            let counts = self.choice_counts(CandidateKey {
                cache,
                position_key: PositionKey { position: *position, work_class },
            });
            let sent_to_others = candidacies
                .iter()
                .filter(|candidacy| {
                    candidacy.position != *position
                        && self.requests[candidacy.request].position() == *position
                })
                .count();
            counts.has_support()
                && counts.chosen_cache_specific >= MIN_SUPPORT
                && sent_to_others >= MIN_SUPPORT
        };
        (0..MAX_CANDIDATES).filter(has_support).collect()
    }

    /// The contributions of the requests that have the cache as the candidate at `position`.
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

    /// One request's contribution to the difference between its candidate at `position` and its candidates at
    /// the other compared positions; none if it has no candidate at the other positions.
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
