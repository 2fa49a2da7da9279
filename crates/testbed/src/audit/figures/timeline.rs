//! The figures of each second of a run.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{fulfilled_latencies, histogram, quantile_ms};
use crate::event_log::{ClientAttemptEnd, EventLog, Timestamp};
use crate::experiment::Experiment;
use crate::schedule::Schedule;

/// The figures of one second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// The value of the requests that were due in this second.
    #[serde(rename = "asked")]
    pub requested: f64,
    /// The value of the requests due in this second that were fulfilled within their latency objective.
    pub served: f64,
    /// The number of reads at the origin.
    pub fetches: usize,
    /// Median latency of fulfilled attempts at requests due in this second, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of fulfilled attempts at requests due in this second, in
    /// milliseconds.
    pub p99_ms: f64,
}

impl Second {
    /// The share of the requested value that was served.
    pub fn service(&self) -> f64 {
        if self.requested > 0.0 { self.served / self.requested } else { 1.0 }
    }
}

/// The share of the requested value that was served over several seconds.
pub(in crate::audit) fn service_of(seconds: &[Second]) -> f64 {
    let served = seconds.iter().map(|second| second.served).sum::<f64>();
    let requested = seconds.iter().map(|second| second.requested).sum::<f64>();
    if requested > 0.0 { served / requested } else { 1.0 }
}

/// For each request of the schedule, whether some attempt fulfilled it within its latency objective. The
/// latency counts from when the request was due.
pub(in crate::audit) fn served_requests(
    experiment: &Experiment,
    schedule: &Schedule,
    event_log: &EventLog,
) -> Vec<bool> {
    let mut served = vec![false; schedule.requests.len()];
    for attempt in &event_log.client_attempts {
        let ClientAttemptEnd::Fulfilled { made_for, .. } = &attempt.end else { continue };
        if *made_for != attempt.id {
            continue;
        }
        let objective_ms = experiment.request_classes[attempt.request_class].slo_ms as f64;
        served[attempt.request.0] |= attempt.ended.ms_since(attempt.due) <= objective_ms;
    }
    served
}

/// The figures of each second of the run.
pub(super) fn seconds(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> Vec<Second> {
    let count = experiment.seconds.ceil() as usize;
    let mut seconds = vec![Second::default(); count];
    let index = |at: Timestamp| (at.seconds().max(0.0) as usize).min(count - 1);
    let served = served_requests(experiment, schedule, event_log);
    for (request, is_served) in schedule.requests.iter().zip(served) {
        let second = &mut seconds[index(request.due())];
        let value = experiment.request_classes[request.class].value;
        second.requested += value;
        second.served += if is_served { value } else { 0.0 };
    }
    for fetch in &event_log.fetches {
        if fetch.at.seconds() < count as f64 {
            seconds[index(fetch.at)].fetches += 1;
        }
    }
    let mut latencies: Vec<Histogram<u64>> = (0..count).map(|_| histogram()).collect();
    for latency in fulfilled_latencies(event_log) {
        latencies[index(latency.due)].saturating_record(latency.micros());
    }
    for (second, latencies) in seconds.iter_mut().zip(latencies) {
        second.p50_ms = quantile_ms(&latencies, 0.5);
        second.p99_ms = quantile_ms(&latencies, 0.99);
    }
    seconds
}
