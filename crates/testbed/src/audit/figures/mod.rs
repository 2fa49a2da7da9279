//! Figures that are measured from a run's event log.

mod recovery;
mod timeline;

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::disconnects::DisconnectFigures;
use super::fleet::FleetFigures;
use super::rules::{drains, link_delay_ms};
use super::shard_growth::ShardGrowthFigures;
use crate::event_log::{
    ClientAttemptEnd, EndpointState, Event, EventLog, ServerAttemptEnd, ServerId, Timestamp, Version,
};
use crate::experiment::{Experiment, Fault};
use crate::schedule::Schedule;

pub use recovery::Recovery;
pub use timeline::Second;
pub(super) use timeline::{served_requests, service_of};

const MICROS_PER_MILLI: f64 = 1000.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// The quantile at which the testbed's own lateness in sending requests is reported.
const LATENESS_QUANTILE: f64 = 0.999;
/// Bounds and decimal digits of a latency histogram, which reaches from a microsecond to a minute.
const HISTOGRAM_MIN_US: u64 = 1;
const HISTOGRAM_MAX_US: u64 = 60_000_000;
const HISTOGRAM_DIGITS: u8 = 3;

/// The figures of a run. The serialized names of fields are those of the first report format.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests of the schedule.
    #[serde(rename = "calls")]
    pub requests: usize,
    /// Client attempts at the requests of the schedule.
    #[serde(rename = "tries")]
    pub attempts: usize,
    /// Client attempts that returned a value.
    pub fulfilled: usize,
    /// Client attempts that were rejected by a rate limit.
    pub rate_limited: usize,
    /// Client attempts whose response was neither a value nor a rejection by a rate limit.
    pub errored: usize,
    /// Client attempts without a complete response, except those whose client disconnected.
    pub lost: usize,
    /// Rate-limited responses with a `Retry-After`.
    #[serde(rename = "told_when")]
    pub with_retry_after: usize,
    /// The share of the requests' value that was served within the latency objective.
    pub service: f64,
    /// The share of value served, as in `service`, from the end of the last fault on; `None` where the last
    /// fault did not end within the run.
    pub service_after: Option<f64>,
    /// How long service took to recover from each fault.
    pub recoveries: Vec<Recovery>,
    /// Median latency of fulfilled attempts in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of fulfilled attempts in milliseconds.
    pub p99_ms: f64,
    /// The most attempts answered by one steady cache, divided by the mean of the steady caches.
    pub max_over_mean: f64,
    /// The number of answered attempts by server.
    pub load: BTreeMap<String, usize>,
    /// Reads at the origin in the busiest second, divided by the origin's capacity.
    pub origin_fetches: f64,
    /// The latest new attempt at a draining or removed cache, in milliseconds after the node was notified.
    pub drain_stop_ms: f64,
    /// How often a node was notified that a cache is draining or removed.
    pub drains: usize,
    /// Reads that returned a version which had been replaced before the read was sent.
    pub stale_reads: usize,
    /// The greatest memory of a node in megabytes.
    pub memory_mb: f64,
    /// The greatest number of open file descriptors of a node.
    pub descriptors: usize,
    /// CPU time of the nodes per client attempt, in microseconds.
    #[serde(rename = "cpu_us_a_call")]
    pub cpu_us_per_attempt: f64,
    /// The number of malformed clients.
    #[serde(rename = "bad_clients")]
    pub malformed_clients: usize,
    /// The share of malformed clients that nodes rejected or disconnected in time.
    #[serde(rename = "bad_clients_met")]
    pub malformed_clients_handled: f64,
    /// Counts of client attempts whose client disconnected.
    #[serde(rename = "leaving")]
    pub disconnects: DisconnectFigures,
    /// Figures of the fleet of nodes and planners.
    pub fleet: FleetFigures,
    /// Figures of shard splits; `None` where no shard grows.
    #[serde(rename = "growth", skip_serializing_if = "Option::is_none")]
    pub shard_growth: Option<ShardGrowthFigures>,
    /// The figures of each second of the run.
    pub seconds: Vec<Second>,
    /// The 99.9th percentile of how late the testbed sent requests, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub harness_late_ms: f64,
    /// The longest stall of the testbed itself in milliseconds.
    #[serde(rename = "rig_stalled_ms")]
    pub harness_stall_ms: f64,
}

impl Figures {
    /// Measures all figures of a run except those of shard splits.
    pub fn measure(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> Figures {
        let mut figures = Figures {
            requests: schedule.requests.len(),
            attempts: event_log.client_attempts.len(),
            ..Figures::default()
        };
        figures.count_attempt_ends(event_log);
        figures.count_malformed_clients(event_log);
        figures.measure_service(experiment, schedule, event_log);
        figures.measure_latencies(event_log);
        figures.measure_load(event_log);
        let busiest_second = figures.seconds.iter().map(|second| second.fetches).max().unwrap_or(0);
        figures.origin_fetches = busiest_second as f64 / experiment.environment.origin.capacity();
        figures.measure_drains(event_log);
        figures.fleet = FleetFigures::measure(experiment, schedule, event_log, &figures.seconds);
        figures.disconnects = DisconnectFigures::measure(event_log, link_delay_ms(experiment));
        figures.stale_reads = count_stale_reads(experiment, event_log);
        figures.measure_resources(event_log);
        figures.measure_harness(event_log);
        figures
    }

    /// The longest recovery in seconds; `None` where service did not recover from some fault.
    pub fn longest_recovery(&self) -> Option<f64> {
        let mut longest = 0.0_f64;
        for recovery in &self.recoveries {
            longest = longest.max(recovery.after_s?);
        }
        Some(longest)
    }

    fn count_attempt_ends(&mut self, event_log: &EventLog) {
        for attempt in &event_log.client_attempts {
            match &attempt.end {
                ClientAttemptEnd::Fulfilled { .. } => self.fulfilled += 1,
                ClientAttemptEnd::RateLimited { retry_after } => {
                    self.rate_limited += 1;
                    self.with_retry_after += usize::from(retry_after.is_some());
                }
                ClientAttemptEnd::Errored { .. } => self.errored += 1,
                // Cancelled attempts are counted in `disconnects`.
                ClientAttemptEnd::Cancelled => {}
                ClientAttemptEnd::TimedOut
                | ClientAttemptEnd::ConnectionLost { .. }
                | ClientAttemptEnd::ConnectFailed => self.lost += 1,
            }
        }
    }

    fn count_malformed_clients(&mut self, event_log: &EventLog) {
        let mut handled_count = 0;
        for timed in &event_log.events {
            if let Event::MalformedClient { handled, .. } = timed.event {
                self.malformed_clients += 1;
                handled_count += usize::from(handled);
            }
        }
        self.malformed_clients_handled = match self.malformed_clients {
            0 => 1.0,
            count => handled_count as f64 / count as f64,
        };
    }

    fn measure_service(&mut self, experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) {
        self.seconds = timeline::seconds(experiment, schedule, event_log);
        self.service = service_of(&self.seconds);
        self.recoveries = recovery::recoveries(experiment, &self.seconds);
        let last_fault_end = experiment.faults().iter().map(Fault::end_s).reduce(f64::max);
        let after = last_fault_end.and_then(|end_s| self.seconds.get(end_s.ceil() as usize..));
        self.service_after = after.map(service_of);
    }

    fn measure_latencies(&mut self, event_log: &EventLog) {
        let mut latencies = histogram();
        for latency in fulfilled_latencies(event_log) {
            latencies.saturating_record(latency.micros());
        }
        self.p50_ms = quantile_ms(&latencies, 0.5);
        self.p99_ms = quantile_ms(&latencies, 0.99);
    }

    fn measure_load(&mut self, event_log: &EventLog) {
        let mut answered: BTreeMap<ServerId, usize> = BTreeMap::new();
        for attempt in &event_log.server_attempts {
            if matches!(attempt.end, ServerAttemptEnd::Answered | ServerAttemptEnd::CacheMiss) {
                *answered.entry(attempt.server).or_default() += 1;
            }
        }
        let steady: Vec<usize> =
            answered.iter().filter(|(id, _)| is_steady_cache(event_log, **id)).map(|(_, n)| *n).collect();
        let mean = steady.iter().sum::<usize>() as f64 / steady.len().max(1) as f64;
        let max = steady.iter().copied().max().unwrap_or(0) as f64;
        self.max_over_mean = if mean > 0.0 { max / mean } else { 1.0 };
        self.load = answered.iter().map(|(id, n)| (event_log.servers[id.0].name.clone(), *n)).collect();
    }

    fn measure_drains(&mut self, event_log: &EventLog) {
        for drain in drains(event_log) {
            self.drains += 1;
            for attempt in &drain.attempts {
                let delay_ms = attempt.arrived.ms_since(drain.notified);
                self.drain_stop_ms = self.drain_stop_ms.max(delay_ms);
            }
        }
    }

    fn measure_resources(&mut self, event_log: &EventLog) {
        self.memory_mb = event_log.usage.iter().map(|sample| sample.memory_mb).fold(0.0, f64::max);
        self.descriptors = event_log.usage.iter().map(|sample| sample.descriptors).max().unwrap_or(0);
        // The CPU time of a process that restarts begins at zero again, so only increases are summed.
        let mut cpu_s = 0.0;
        let mut previous = BTreeMap::new();
        for sample in &event_log.usage {
            let previous_s = previous.insert(sample.node, sample.cpu_s).unwrap_or(0.0);
            cpu_s += if sample.cpu_s >= previous_s { sample.cpu_s - previous_s } else { sample.cpu_s };
        }
        self.cpu_us_per_attempt = cpu_s * MICROS_PER_SECOND / (event_log.client_attempts.len().max(1) as f64);
    }

    fn measure_harness(&mut self, event_log: &EventLog) {
        let mut lateness = histogram();
        for late_us in &event_log.lateness_us {
            lateness.saturating_record(*late_us);
        }
        self.harness_stall_ms = event_log.max_stall_us as f64 / MICROS_PER_MILLI;
        self.harness_late_ms = quantile_ms(&lateness, LATENESS_QUANTILE);
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        .expect("the constant bounds are valid")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
}

/// The latency of a fulfilled attempt.
struct Latency {
    /// When the attempt's request was due.
    due: Timestamp,
    ms: f64,
}

impl Latency {
    fn micros(&self) -> u64 {
        (self.ms * MICROS_PER_MILLI) as u64
    }
}

fn fulfilled_latencies(event_log: &EventLog) -> impl Iterator<Item = Latency> {
    let attempts = event_log.client_attempts.iter();
    attempts
        .filter(|attempt| matches!(attempt.end, ClientAttemptEnd::Fulfilled { .. }))
        .map(|attempt| Latency { due: attempt.due, ms: attempt.ended.ms_since(attempt.sent) })
}

/// Whether a server is a cache that was warm and listed as ready for all of the run.
fn is_steady_cache(event_log: &EventLog, id: ServerId) -> bool {
    let server = &event_log.servers[id.0];
    let notifications = &event_log.endpoint_notifications;
    let was_delisted = notifications.iter().any(|n| n.server == id && n.state != EndpointState::Ready);
    server.slot.is_some() && server.started.is_none() && !was_delisted
}

/// A version that a write stored, and when the write was answered.
struct AnsweredWrite {
    at: Timestamp,
    version: Version,
}

/// Counts reads that returned an older version than that of a write answered before the read was sent.
fn count_stale_reads(experiment: &Experiment, event_log: &EventLog) -> usize {
    let mut writes: BTreeMap<u64, Vec<AnsweredWrite>> = BTreeMap::new();
    for attempt in &event_log.client_attempts {
        if experiment.request_classes[attempt.request_class].writes()
            && let Some(version) = version_of(&attempt.end)
        {
            writes.entry(attempt.key).or_default().push(AnsweredWrite { at: attempt.ended, version });
        }
    }
    let mut stale = 0;
    for read in &event_log.client_attempts {
        if experiment.request_classes[read.request_class].writes() {
            continue;
        }
        let Some(version) = version_of(&read.end) else { continue };
        let writes = writes.get(&read.key).map_or(&[][..], Vec::as_slice);
        stale += usize::from(writes.iter().any(|write| write.at < read.sent && write.version > version));
    }
    stale
}

fn version_of(end: &ClientAttemptEnd) -> Option<Version> {
    match end {
        ClientAttemptEnd::Fulfilled { version, .. } => *version,
        _ => None,
    }
}
