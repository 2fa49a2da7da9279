//! Judges a run from its book alone.

mod expectations;
mod figures;
mod fleet;
mod growth;
mod leaving;
mod rules;

use serde::Serialize;

use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

pub use expectations::UnmetExpectation;
pub use figures::{Figures, Recovery, Second};
pub use fleet::FleetFigures;
pub use growth::GrowthFigures;
pub use leaving::Leaving;
pub use rules::{Rule, RuleViolation};

/// What came of a run.
#[derive(Debug, Serialize)]
pub struct AuditResult {
    pub breaches: Vec<RuleViolation>,
    pub shortfalls: Vec<UnmetExpectation>,
    pub figures: Figures,
}

impl AuditResult {
    pub fn holds(&self) -> bool {
        self.breaches.is_empty() && self.shortfalls.is_empty()
    }
}

/// The whole judgement: the four rules, what was measured, and the experiment's bars.
pub fn judge(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> AuditResult {
    judge_beside(experiment, schedule, event_log, None)
}

/// The same, beside what the service was on the same calls with nothing befalling planners and letters.
pub fn judge_beside(
    experiment: &Experiment,
    schedule: &Schedule,
    event_log: &EventLog,
    undisturbed: Option<f64>,
) -> AuditResult {
    let mut figures = Figures::measure(experiment, schedule, event_log);
    figures.fleet.loss = undisturbed.map(|service| service - figures.service);
    let mut breaches = rules::check(experiment, event_log);
    let mut shortfalls = expectations::hold(experiment, &figures);
    if let Some(form) = &experiment.growth {
        let (growth, found) = growth::judge(experiment, form, event_log);
        breaches.extend(found);
        shortfalls.extend(growth.hold(&form.expectations));
        figures.growth = Some(growth);
    }
    AuditResult { breaches, shortfalls, figures }
}
