//! The comparison of a cache over time, with hysteresis: a single finding neither enters nor leaves a
//! comparison of worse or better.
//!
//! Invariant: a comparison of worse or better is entered only after several discoveries in a row, and left
//! only after the confidence interval has contained zero several times in a row. The discoveries of a round
//! are controlled for their false discovery rate over all caches and request classes (`multiple_testing`): by
//! p-values for estimates from the nodes' choices, by e-values for estimates from the randomized assignment.

use super::estimate::{Estimate, NoSupport};
use super::message::{Comparison, ComparisonReport, ComparisonScale};
use super::settings::Settings;

/// Identifies a comparison. Reports and log lines are in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ComparisonKey {
    pub cache: u64,
    pub request_class: u16,
    pub scale: ComparisonScale,
}

/// The comparison of one cache for one request class on one scale.
#[derive(Clone, Debug)]
pub(super) struct ComparisonTracker {
    comparison: Comparison,
    /// The last finding that differed from the comparison.
    pending: Comparison,
    /// How many times in a row the finding was `pending`.
    pending_findings: u32,
    last_estimate: Option<Estimate>,
}

impl Default for ComparisonTracker {
    fn default() -> ComparisonTracker {
        ComparisonTracker {
            comparison: Comparison::NoSupport,
            pending: Comparison::NoSupport,
            pending_findings: 0,
            last_estimate: None,
        }
    }
}

impl ComparisonTracker {
    /// The current comparison of the cache.
    pub fn comparison(&self) -> Comparison {
        self.comparison
    }

    /// Updates the comparison with a new estimate. Returns whether the comparison has changed.
    pub fn update(
        &mut self,
        settings: &Settings,
        scale: ComparisonScale,
        estimate: Result<Estimate, NoSupport>,
        is_discovery: bool,
    ) -> bool {
        let finding = self.finding(settings.min_effect(scale), &estimate, is_discovery);
        self.last_estimate = estimate.ok();
        if finding == self.comparison {
            self.pending_findings = 0;
            return false;
        }
        self.pending_findings = if finding == self.pending { self.pending_findings + 1 } else { 1 };
        self.pending = finding;
        if self.pending_findings < findings_to_change(settings, self.comparison, finding) {
            return false;
        }
        self.comparison = finding;
        self.pending_findings = 0;
        true
    }

    /// The comparison that a single estimate supports, given the current one.
    fn finding(
        &self,
        min_effect: f64,
        estimate: &Result<Estimate, NoSupport>,
        is_discovery: bool,
    ) -> Comparison {
        let Ok(estimate) = estimate else { return Comparison::NoSupport };
        if is_discovery && estimate.mean >= min_effect {
            return Comparison::Worse;
        }
        if is_discovery && estimate.mean <= -min_effect {
            return Comparison::Better;
        }
        // An estimate that is no discovery, but whose interval is still on the same side of zero, keeps the
        // comparison.
        match self.comparison {
            Comparison::Worse if estimate.low > 0.0 => Comparison::Worse,
            Comparison::Better if estimate.high < 0.0 => Comparison::Better,
            _ => Comparison::AsGood,
        }
    }

    /// The comparison as it is reported to forwarders.
    pub fn report(&self, key: ComparisonKey) -> ComparisonReport {
        let to_report_scale = |figure: f64| match key.scale {
            ComparisonScale::WaitedShare => figure as f32,
            ComparisonScale::TimeRatio => figure.exp() as f32,
        };
        let figure = |field: fn(&Estimate) -> f64| {
            self.last_estimate.as_ref().map_or(0.0, |estimate| to_report_scale(field(estimate)))
        };
        ComparisonReport {
            cache: key.cache,
            request_class: key.request_class,
            comparison: self.comparison,
            estimate: figure(|estimate| estimate.mean),
            low: figure(|estimate| estimate.low),
            high: figure(|estimate| estimate.high),
        }
    }
}

/// The number of findings in a row after which the comparison changes from `from` to `to`.
fn findings_to_change(settings: &Settings, from: Comparison, to: Comparison) -> u32 {
    if to.is_difference() {
        settings.findings_to_enter
    } else if from.is_difference() {
        settings.findings_to_leave
    } else {
        1
    }
}

#[cfg(test)]
mod tests;
