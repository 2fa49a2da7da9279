//! The estimates of one round over all caches and request classes, whose discoveries are determined together.

use crate::counterfactual::comparison::ComparisonKey;
use crate::counterfactual::dataset::Dataset;
use crate::counterfactual::estimate::{Estimate, NoSupport};
use crate::counterfactual::message::ComparisonScale;
use crate::counterfactual::multiple_testing::{benjamini_hochberg, e_benjamini_hochberg};
use crate::counterfactual::outcome::OutcomeMeasure;
use crate::counterfactual::randomized_assignment::RandomizedAssignment;

/// The estimate of one comparison, and whether the estimate is a discovery.
pub(super) struct Finding {
    pub key: ComparisonKey,
    pub estimate: Result<Estimate, NoSupport>,
    pub is_discovery: bool,
}

/// The estimates of one round.
#[derive(Default)]
pub(super) struct Round {
    /// The effects of caches, estimated from the nodes' choices.
    effects: Vec<Finding>,
    /// The time ratios of caches, estimated from the randomized assignment.
    time_ratios: Vec<Finding>,
    /// The p-values of the effects with support, in the order of `effects`.
    p_values: Vec<f64>,
    /// The e-values of the time ratios with support, in the order of `time_ratios`.
    e_values: Vec<f64>,
}

impl Round {
    /// The number of comparisons in the round.
    pub fn len(&self) -> usize {
        self.effects.len() + self.time_ratios.len()
    }

    /// Adds the estimated effects of the first `limit` caches of the dataset.
    pub fn add_effects(&mut self, request_class: u16, dataset: &Dataset, limit: usize) {
        for cache in dataset.caches().into_iter().take(limit) {
            let estimate = dataset.compare_cache(cache, OutcomeMeasure::WaitedShare);
            if let Ok(estimate) = &estimate {
                self.p_values.push(estimate.p_value);
            }
            let key = ComparisonKey { cache, request_class, scale: ComparisonScale::WaitedShare };
            self.effects.push(Finding { key, estimate, is_discovery: false });
        }
    }

    /// Adds the estimated time ratios of the first `limit` caches of the assignment.
    pub fn add_time_ratios(
        &mut self,
        request_class: u16,
        assignment: &RandomizedAssignment,
        limit: usize,
        min_effect: f64,
    ) {
        for cache in assignment.caches().take(limit) {
            let comparison = assignment.compare_cache(cache, min_effect);
            if let Ok(comparison) = &comparison {
                self.e_values.push(comparison.e_value);
            }
            let key = ComparisonKey { cache, request_class, scale: ComparisonScale::TimeRatio };
            let estimate = comparison.map(|comparison| comparison.estimate);
            self.time_ratios.push(Finding { key, estimate, is_discovery: false });
        }
    }

    /// Returns all findings, with the discoveries at the given false discovery rate.
    pub fn into_findings(mut self, false_discovery_rate: f64) -> Vec<Finding> {
        let effect_discoveries = benjamini_hochberg(&self.p_values, false_discovery_rate);
        mark_discoveries(&mut self.effects, &effect_discoveries);
        let time_ratio_discoveries = e_benjamini_hochberg(&self.e_values, false_discovery_rate);
        mark_discoveries(&mut self.time_ratios, &time_ratio_discoveries);
        self.effects.append(&mut self.time_ratios);
        self.effects
    }
}

/// Marks the discoveries among the findings with support; `is_discovery` is in the order of these findings.
fn mark_discoveries(findings: &mut [Finding], is_discovery: &[bool]) {
    let supported = findings.iter_mut().filter(|finding| finding.estimate.is_ok());
    for (finding, is_discovery) in supported.zip(is_discovery) {
        finding.is_discovery = *is_discovery;
    }
}
