//! The bars of an experiment, held against what was measured.

use serde::Serialize;

use super::figures::Figures;
use super::fleet;
use crate::experiment::Experiment;

/// A bar that was not reached.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnmetExpectation {
    /// As the experiment's file names it.
    pub bar: &'static str,
    pub asked: f64,
    pub measured: f64,
}

pub fn hold(experiment: &Experiment, figures: &Figures) -> Vec<UnmetExpectation> {
    let (expect, together) = (&experiment.expectations, &figures.fleet);
    let tries = figures.tries.max(1) as f64;
    // What never came about was measured as endless.
    let recovery = figures.longest_recovery().unwrap_or(f64::INFINITY);
    let at_least = [
        ("service", expect.service, figures.service),
        ("service_after", expect.service_after, figures.service_after.unwrap_or(figures.service)),
        ("bad_clients_met", expect.malformed_clients_handled, figures.bad_clients_met),
        ("fairness", expect.fairness, together.fairness),
        ("named", expect.slow_caches_reported.map(|n| n as f64), together.named as f64),
    ];
    let at_most = [
        ("recover_s", expect.recovery_s, recovery),
        ("max_over_mean", expect.max_over_mean, figures.max_over_mean),
        ("origin_fetches", expect.peak_origin_load, figures.origin_fetches),
        ("drain_stop_ms", expect.drain_stop_ms, figures.drain_stop_ms),
        ("stale_reads", Some(expect.stale_reads as f64), figures.stale_reads as f64),
        ("errored", expect.error_rate, figures.errored as f64 / tries),
        ("memory_mb", expect.memory_mb, figures.memory_mb),
        ("descriptors", expect.descriptors, figures.descriptors as f64),
        ("leases", fleet::asked_of_leases(experiment), together.leases),
        ("origin_over_whole", expect.origin_over_limit, together.origin_over_whole),
        ("cold_over_whole", expect.cold_cache_over_limit, together.cold_over_whole),
        ("sick_trials", expect.hung_cache_attempts_per_s, together.sick_trials),
        ("named_wrongly", expect.falsely_reported_caches.map(|n| n as f64), together.named_wrongly as f64),
        ("step", expect.service_step, together.step),
        ("loss", expect.service_loss, together.loss.unwrap_or(0.0)),
    ];
    let short = at_least.into_iter().map(|(bar, asked, m)| (bar, asked, m, true));
    let short = short.chain(at_most.into_iter().map(|(bar, asked, m)| (bar, asked, m, false)));
    let short = short.filter_map(|(bar, asked, measured, least)| {
        let asked = asked?;
        let holds = if least { measured >= asked } else { measured <= asked };
        (!holds).then_some(UnmetExpectation { bar, asked, measured })
    });
    short.collect()
}
