//! Compares an experiment's expectations with the measured figures.

use serde::Serialize;

use super::figures::Figures;
use super::fleet;
use crate::experiment::Experiment;

/// An expectation that was not met.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnmetExpectation {
    /// The expectation's key in the experiment file.
    #[serde(rename = "bar")]
    pub expectation: &'static str,
    /// The bound that the experiment sets.
    #[serde(rename = "asked")]
    pub bound: f64,
    /// The measured figure.
    pub measured: f64,
}

/// Checks a lower bound: the unmet expectation if less was measured, `None` where the bound is met or absent.
pub(super) fn at_least(
    expectation: &'static str,
    bound: Option<f64>,
    measured: f64,
) -> Option<UnmetExpectation> {
    let bound = bound?;
    if measured >= bound { None } else { Some(UnmetExpectation { expectation, bound, measured }) }
}

/// Checks an upper bound: the unmet expectation if more was measured, `None` where the bound is met or
/// absent.
pub(super) fn at_most(
    expectation: &'static str,
    bound: Option<f64>,
    measured: f64,
) -> Option<UnmetExpectation> {
    let bound = bound?;
    if measured <= bound { None } else { Some(UnmetExpectation { expectation, bound, measured }) }
}

/// The experiment's expectations that the figures do not meet, lower bounds first.
pub(super) fn unmet(experiment: &Experiment, figures: &Figures) -> Vec<UnmetExpectation> {
    let expectations = &experiment.expectations;
    let fleet = &figures.fleet;
    let attempts = figures.attempts.max(1) as f64;
    // A run in which service did not recover exceeds every bound.
    let recovery_s = figures.longest_recovery().unwrap_or(f64::INFINITY);
    let service_after = figures.service_after.unwrap_or(figures.service);
    let detected = fleet.slow_caches_detected as f64;
    let detected_wrongly = fleet.false_detections as f64;
    let max_false_detections = expectations.falsely_reported_caches.map(|count| count as f64);
    let max_stale_reads = Some(expectations.stale_reads as f64);
    let max_leased = fleet::max_leased_ratio(experiment);
    let checks = [
        at_least("service", expectations.service, figures.service),
        at_least("service_after", expectations.service_after, service_after),
        at_least(
            "bad_clients_met",
            expectations.malformed_clients_handled,
            figures.malformed_clients_handled,
        ),
        at_least("fairness", expectations.fairness, fleet.fairness),
        at_least("named", expectations.slow_caches_reported.map(|count| count as f64), detected),
        at_most("recover_s", expectations.recovery_s, recovery_s),
        at_most("max_over_mean", expectations.max_over_mean, figures.max_over_mean),
        at_most("origin_fetches", expectations.peak_origin_load, figures.origin_fetches),
        at_most("drain_stop_ms", expectations.drain_stop_ms, figures.drain_stop_ms),
        at_most("stale_reads", max_stale_reads, figures.stale_reads as f64),
        at_most("errored", expectations.error_rate, figures.errored as f64 / attempts),
        at_most("memory_mb", expectations.memory_mb, figures.memory_mb),
        at_most("descriptors", expectations.descriptors, figures.descriptors as f64),
        at_most("leases", max_leased, fleet.leased_ratio),
        at_most("origin_over_whole", expectations.origin_over_limit, fleet.origin_over_capacity),
        at_most("cold_over_whole", expectations.cold_cache_over_limit, fleet.warming_over_capacity),
        at_most("sick_trials", expectations.hung_cache_attempts_per_s, fleet.hung_cache_attempts_per_s),
        at_most("named_wrongly", max_false_detections, detected_wrongly),
        at_most("step", expectations.service_step, fleet.service_drop),
        at_most("loss", expectations.service_loss, fleet.service_loss.unwrap_or(0.0)),
    ];
    checks.into_iter().flatten().collect()
}
