//! Figures of the fleet of nodes and planners, from the records of the relay, the servers and the clients.

mod detections;
mod leases;
mod quotas;

use std::collections::BTreeMap;

use serde::Serialize;

use super::figures::{Second, served_requests, service_of};
use crate::event_log::{Event, EventLog};
use crate::experiment::{Experiment, FalseClaim};
use crate::schedule::Schedule;
use detections::Detections;
use leases::LeaseHistory;

/// The fewest requests with which a node counts for the fairness index.
const MIN_REQUESTS_FOR_FAIRNESS: usize = 20;
/// Seconds before a return of planners, with whose service the service after the return is compared.
const SECONDS_BEFORE_RETURN: usize = 3;
/// Seconds after a return of planners in which a drop of service is looked for.
const SECONDS_AFTER_RETURN: usize = 5;

/// The figures of the fleet. The serialized names of fields are those of the first report format.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetFigures {
    /// The number of messages that the relay received.
    #[serde(rename = "letters")]
    pub messages: usize,
    /// Messages that the relay never forwarded.
    #[serde(rename = "letters_lost")]
    pub messages_lost: usize,
    /// Messages that the relay corrupted.
    #[serde(rename = "letters_changed")]
    pub messages_corrupted: usize,
    /// Bytes per second of all messages that the relay received.
    pub bytes_per_s: f64,
    /// The number of grants of leases and long-term allocations that nodes received.
    pub grants: usize,
    /// Unexpired leases and the reserve, divided by the resource's capacity: the largest ratio of any time
    /// and resource.
    #[serde(rename = "leases")]
    pub leased_ratio: f64,
    /// Reads at the origin in the busiest second, divided by the capacity that nodes share.
    #[serde(rename = "origin_over_whole")]
    pub origin_over_capacity: f64,
    /// Work at a cache that is warming up in its busiest second, divided by the capacity that nodes share.
    #[serde(rename = "cold_over_whole")]
    pub warming_over_capacity: f64,
    /// Attempts per second at a hung cache, after the time that nodes need to detect the hang.
    #[serde(rename = "sick_trials")]
    pub hung_cache_attempts_per_s: f64,
    /// Jain's fairness index of the nodes' shares of served requests.
    pub fairness: f64,
    /// The greatest drop of the share of value served when planners return.
    #[serde(rename = "step")]
    pub service_drop: f64,
    /// The loss of service against a run of the same requests without faults of planners and messages; `None`
    /// without such a run.
    #[serde(rename = "loss")]
    pub service_loss: Option<f64>,
    /// Slow caches that planners reported to be worse than others.
    #[serde(rename = "named")]
    pub slow_caches_detected: usize,
    /// Caches that planners reported to be worse than others, although they were not slow.
    #[serde(rename = "named_wrongly")]
    pub false_detections: usize,
    /// How often a planner crashed.
    pub planners_crashed: usize,
}

impl FleetFigures {
    /// Measures all figures of the fleet except the loss of service.
    pub fn measure(
        experiment: &Experiment,
        schedule: &Schedule,
        event_log: &EventLog,
        seconds: &[Second],
    ) -> FleetFigures {
        let leases = LeaseHistory::read(event_log);
        let detections = Detections::read(experiment, event_log);
        let messages = &event_log.messages;
        let bytes: usize = messages.iter().map(|message| message.bytes.len()).sum();
        let is_planner_crash = |event: &Event| matches!(event, Event::PlannerCrashed { .. });
        let mut figures = FleetFigures {
            messages: messages.len(),
            messages_lost: messages.iter().filter(|message| message.forwarded_at.is_empty()).count(),
            messages_corrupted: messages.iter().filter(|message| message.corrupted).count(),
            bytes_per_s: bytes as f64 / experiment.seconds,
            grants: leases.grant_count(),
            hung_cache_attempts_per_s: quotas::hung_cache_attempts_per_s(experiment, event_log),
            fairness: fairness(experiment, schedule, event_log),
            service_drop: service_drop(experiment, seconds),
            slow_caches_detected: detections.slow,
            false_detections: detections.not_slow,
            planners_crashed: event_log.events.iter().filter(|timed| is_planner_crash(&timed.event)).count(),
            ..FleetFigures::default()
        };
        if let Some(config) = experiment.fleet.as_ref().and_then(|fleet| fleet.leases.as_ref()) {
            figures.leased_ratio = leases.max_leased_ratio(config, experiment.environment.nodes);
            figures.origin_over_capacity = quotas::origin_over_capacity(config, experiment, event_log);
            figures.warming_over_capacity = quotas::warming_over_capacity(config, experiment, event_log);
        }
        figures
    }
}

/// The upper bound of the leased ratio: the experiment's own, else 1 where there are leases.
///
/// `None` without leases, and where a planner forges grants, if the experiment sets no bound.
pub(super) fn max_leased_ratio(experiment: &Experiment) -> Option<f64> {
    let forges_grants =
        experiment.faults().iter().any(|fault| fault.false_claim == Some(FalseClaim::GrantEverything));
    let has_leases = experiment.fleet.as_ref().is_some_and(|fleet| fleet.leases.is_some());
    let default = if has_leases && !forges_grants { Some(1.0) } else { None };
    experiment.expectations.leased_fraction.or(default)
}

/// The requests that clients sent to one node.
#[derive(Default)]
struct NodeRequests {
    /// Requests that were fulfilled within their latency objective.
    served: usize,
    requested: usize,
}

/// Jain's fairness index of the nodes' shares of served requests: 1 if all shares are equal.
fn fairness(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> f64 {
    let mut nodes: BTreeMap<usize, NodeRequests> = BTreeMap::new();
    for (request, is_served) in schedule.requests.iter().zip(served_requests(experiment, schedule, event_log))
    {
        let node = nodes.entry(request.node).or_default();
        node.served += usize::from(is_served);
        node.requested += 1;
    }
    let counted = nodes.values().filter(|node| node.requested >= MIN_REQUESTS_FOR_FAIRNESS);
    let shares: Vec<f64> = counted.map(|node| node.served as f64 / node.requested as f64).collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 { sum * sum / (shares.len() as f64 * squares) } else { 1.0 }
}

/// The largest drop of service after a return of planners: the service before the return minus the service of
/// two successive seconds after the return.
fn service_drop(experiment: &Experiment, seconds: &[Second]) -> f64 {
    let mut worst = 0.0_f64;
    for fault in experiment.faults() {
        if !fault.kind.affects_planners() || fault.kind.affects_messages() {
            continue;
        }
        let returned = (fault.end_s() as usize).min(seconds.len());
        let before = service_of(&seconds[returned.saturating_sub(SECONDS_BEFORE_RETURN)..returned]);
        let after = &seconds[returned..(returned + SECONDS_AFTER_RETURN).min(seconds.len())];
        for pair in after.windows(2) {
            worst = worst.max(before - service_of(pair));
        }
    }
    worst
}

#[cfg(test)]
mod tests;
