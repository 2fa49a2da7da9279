//! The estimates of one round over all caches and request classes, of which discoveries are named together.

use crate::counterfactual::comparison::ComparisonKey;
use crate::counterfactual::dataset::Dataset;
use crate::counterfactual::estimate::{Estimate, NoSupport};
use crate::counterfactual::message::ComparisonScale;
use crate::counterfactual::multiple_testing::{benjamini_hochberg, e_benjamini_hochberg};
use crate::counterfactual::outcome::OutcomeMeasure;
use crate::counterfactual::randomized_assignment::RandomizedAssignment;

/// An estimate, and whether it is a discovery.
pub(super) struct Finding {
    pub key: ComparisonKey,
    pub estimate: Result<Estimate, NoSupport>,
    pub is_discovery: bool,
}

/// The estimates of a round.
#[derive(Default)]
pub(super) struct Round {
    /// From the nodes' choices.
    effects: Vec<Finding>,
    /// From the randomized assignment.
    time_ratios: Vec<Finding>,
    /// Of the effects with support, in their order.
    p_values: Vec<f64>,
    /// Of the ratios with support, in their order.
    e_values: Vec<f64>,
}

impl Round {
    /// How many comparisons were made.
    pub fn len(&self) -> usize {
        self.effects.len() + self.time_ratios.len()
    }

    /// Estimates the effects of the first `limit` caches.
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

    /// Estimates the ratios of times of the first `limit` caches.
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

    /// The findings, with discoveries at this false discovery rate.
    pub fn into_findings(mut self, false_discovery_rate: f64) -> Vec<Finding> {
        let effects_found = benjamini_hochberg(&self.p_values, false_discovery_rate);
        name_discoveries(&mut self.effects, &effects_found);
        let time_ratios_found = e_benjamini_hochberg(&self.e_values, false_discovery_rate);
        name_discoveries(&mut self.time_ratios, &time_ratios_found);
        self.effects.append(&mut self.time_ratios);
        self.effects
    }
}

/// Marks the findings with support by the results of the tests, which stand in the same order.
fn name_discoveries(findings: &mut [Finding], is_discovery: &[bool]) {
    let supported = findings.iter_mut().filter(|finding| finding.estimate.is_ok());
    for (finding, is_discovery) in supported.zip(is_discovery) {
        finding.is_discovery = *is_discovery;
    }
}
