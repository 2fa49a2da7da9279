//! Judges a run from its event log alone.
//!
//! The audit checks `rules` that hold for each run, measures figures, and compares the figures with the
//! experiment's expectations. Of what the program under test says of itself, the audit trusts only the signed
//! messages that the relay received.

mod disconnects;
mod expectations;
mod figures;
mod fleet;
mod rules;
mod shard_growth;

use serde::Serialize;

use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

pub use disconnects::DisconnectFigures;
pub use expectations::UnmetExpectation;
pub use figures::{Figures, Recovery, Second};
pub use fleet::FleetFigures;
pub use rules::{Rule, RuleViolation};
pub use shard_growth::{PhaseChange, ShardGrowthFigures};

/// The outcome of a run's audit.
#[derive(Debug, Serialize)]
pub struct AuditResult {
    /// The rules that were broken.
    #[serde(rename = "breaches")]
    pub violations: Vec<RuleViolation>,
    /// The experiment's expectations that were not met.
    #[serde(rename = "shortfalls")]
    pub unmet_expectations: Vec<UnmetExpectation>,
    /// The figures that were measured.
    pub figures: Figures,
}

impl AuditResult {
    /// Whether all rules hold and all expectations are met.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.unmet_expectations.is_empty()
    }
}

/// Checks the rules, measures the figures and compares them with the experiment's expectations.
pub fn audit(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> AuditResult {
    audit_against(experiment, schedule, event_log, None)
}

/// Audits a run as [`audit`] does, and also measures the loss of service against another run of the same
/// requests.
///
/// `undisturbed_service` is the share of value served in that other run, which had no faults of planners and
/// messages.
pub fn audit_against(
    experiment: &Experiment,
    schedule: &Schedule,
    event_log: &EventLog,
    undisturbed_service: Option<f64>,
) -> AuditResult {
    let mut figures = Figures::measure(experiment, schedule, event_log);
    figures.fleet.service_loss = undisturbed_service.map(|service| service - figures.service);
    let mut violations = rules::check(experiment, event_log);
    let mut unmet_expectations = expectations::unmet(experiment, &figures);
    if let Some(growth) = &experiment.growth {
        let audited = shard_growth::audit(experiment, growth, event_log);
        violations.extend(audited.violations);
        unmet_expectations.extend(audited.figures.unmet(&growth.expectations));
        figures.shard_growth = Some(audited.figures);
    }
    AuditResult { violations, unmet_expectations, figures }
}
