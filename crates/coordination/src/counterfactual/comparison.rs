//! The comparison of a cache over time, with hysteresis: one finding changes nothing.
//!
//! Invariant: a comparison of worse or better is entered only by findings that are discoveries several times in a row, and
//! left only once the interval has held zero for several more. Discoveries of a round are controlled for their false
//! discovery rate over all caches and request classes (`multiple_testing`): by p-values for estimates from the nodes'
//! choices, by e-values for those from the randomized assignment.

use super::estimate::{Estimate, NoSupport};
use super::message::{Comparison, ComparisonReport, ComparisonScale};
use super::settings::Settings;

/// What is compared. Its order is that of reports and log lines.
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
    /// What the last findings were, other than the comparison.
    pending: Comparison,
    /// How many times in a row they were that.
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
    /// How the cache compares now.
    pub fn comparison(&self) -> Comparison {
        self.comparison
    }

    /// Takes in a new finding, and whether it is a discovery. Returns whether the comparison has changed.
    pub fn update(
        &mut self,
        settings: &Settings,
        scale: ComparisonScale,
        estimate: Result<Estimate, NoSupport>,
        is_discovery: bool,
    ) -> bool {
        let found = self.finding(settings.min_effect(scale), &estimate, is_discovery);
        self.last_estimate = estimate.ok();
        if found == self.comparison {
            self.pending_findings = 0;
            return false;
        }
        self.pending_findings = if found == self.pending { self.pending_findings + 1 } else { 1 };
        self.pending = found;
        if self.pending_findings < findings_to_change(settings, self.comparison, found) {
            return false;
        }
        self.comparison = found;
        self.pending_findings = 0;
        true
    }

    /// The comparison that an estimate speaks for by itself.
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
        // Neither a discovery nor clearly none: a comparison that was well entered stays.
        match self.comparison {
            Comparison::Worse if estimate.low > 0.0 => Comparison::Worse,
            Comparison::Better if estimate.high < 0.0 => Comparison::Better,
            _ => Comparison::AsGood,
        }
    }

    /// The comparison as it is reported to forwarders.
    pub fn report(&self, key: ComparisonKey) -> ComparisonReport {
        let reported = |figure: f64| match key.scale {
            ComparisonScale::WaitedShare => figure as f32,
            ComparisonScale::TimeRatio => figure.exp() as f32,
        };
        let figure = |of: fn(&Estimate) -> f64| {
            self.last_estimate.as_ref().map_or(0.0, |estimate| reported(of(estimate)))
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

/// How many findings in a row it takes to change from one comparison to another.
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
