//! How long service takes to recover from faults.

use serde::Serialize;

use super::timeline::{Second, service_of};
use crate::experiment::Experiment;

/// Service counts as recovered once two successive seconds reach this share of the service before the faults.
const RECOVERED_SHARE: f64 = 0.9;
/// Seconds at the start of the run that do not count for the service before the faults, because nodes still
/// learn about the servers in them.
const LEARNING_S: usize = 1;

/// How long service took to recover after the end of a fault.
#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    /// The fault's kind.
    pub fault: String,
    /// When the fault ended, in seconds of the run.
    pub ended_s: f64,
    /// Seconds from the fault's end to recovery; `None` where service had not recovered by the end of the
    /// run.
    pub after_s: Option<f64>,
}

/// The recovery of service from each fault of the experiment.
pub(super) fn recoveries(experiment: &Experiment, seconds: &[Second]) -> Vec<Recovery> {
    let faults = experiment.faults();
    let Some(first) = faults.first() else { return Vec::new() };
    let before_faults = seconds.get(LEARNING_S..first.at_s as usize).unwrap_or(&[]);
    let threshold = RECOVERED_SHARE * service_of(before_faults);
    // A second past the end of the run counts as recovered.
    let is_recovered = |n: usize| seconds.get(n).is_none_or(|second| second.service() >= threshold);
    let mut recoveries = Vec::new();
    for fault in &faults {
        let from = fault.end_s().floor() as usize;
        let recovered = (from..seconds.len()).find(|n| is_recovered(*n) && is_recovered(n + 1));
        recoveries.push(Recovery {
            fault: fault.kind.to_string(),
            ended_s: fault.end_s(),
            after_s: recovered.map(|n| (n as f64 - fault.end_s()).max(0.0)),
        });
    }
    recoveries
}
