//! What a run came to, in numbers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::fleet::FleetFigures;
use super::growth::GrowthFigures;
use super::leaving::Leaving;
use super::rules;
use crate::event_log::{
    ClientAttemptEnd, Event, EventLog, Listed, ServerAttemptEnd, ServerId, Timestamp, Version,
};
use crate::experiment::{Experiment, Fault};
use crate::schedule::Schedule;

/// The service of two seconds running that counts as recovered, as a share of what it was before the faults.
const RECOVERED: f64 = 0.9;
/// The first second is left out of what service was before: nodes learn in it.
const LEARNS_S: usize = 1;

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Second {
    /// Billed value asked for, and fulfilled within its SLO.
    pub asked: f64,
    pub served: f64,
    pub fetches: usize,
    /// Of fulfilled tries, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

impl Second {
    pub fn service(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

/// How long after a fault's end the service was back.
#[derive(Clone, Debug, Serialize)]
pub struct Recovery {
    pub fault: String,
    pub ended_s: f64,
    /// None where it was not back by the end of the run.
    pub after_s: Option<f64>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub calls: usize,
    pub tries: usize,
    pub fulfilled: usize,
    pub rate_limited: usize,
    pub errored: usize,
    /// Without an answer, or with part of one, for whatever reason.
    pub lost: usize,
    /// Rate-limited answers that said when to come back.
    pub told_when: usize,
    pub service: f64,
    /// From the end of the last fault on.
    pub service_after: Option<f64>,
    pub recoveries: Vec<Recovery>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_over_mean: f64,
    /// Answered shots by cache.
    pub load: BTreeMap<String, usize>,
    /// The busiest second's reads over the origin's capacity.
    pub origin_fetches: f64,
    pub drain_stop_ms: f64,
    pub drains: usize,
    pub stale_reads: usize,
    pub memory_mb: f64,
    pub descriptors: usize,
    /// Of a core, for each call asked.
    pub cpu_us_a_call: f64,
    pub bad_clients: usize,
    pub bad_clients_met: f64,
    pub leaving: Leaving,
    pub fleet: FleetFigures,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub growth: Option<GrowthFigures>,
    pub seconds: Vec<Second>,
    /// How late the rig began 99.9% of the calls at most, in milliseconds.
    pub rig_late_ms: f64,
    /// By how much the stand-ins stood still at the longest.
    pub rig_stalled_ms: f64,
}

impl Figures {
    pub fn measure(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> Figures {
        let mut figures =
            Figures { calls: schedule.requests.len(), tries: event_log.tries.len(), ..Figures::default() };
        figures.count_ends(event_log);
        figures.seconds = seconds(experiment, schedule, event_log);
        let total = |s: &[Second]| (s.iter().map(|s| s.served).sum::<f64>(), s.iter().map(|s| s.asked).sum());
        let share = |(served, asked): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        figures.service = share(total(&figures.seconds));
        figures.recoveries = recoveries(experiment, &figures.seconds);
        let last =
            experiment.faults().iter().map(Fault::end_s).fold(None, |m, e| Some(e.max(m.unwrap_or(e))));
        figures.service_after =
            last.and_then(|end| figures.seconds.get(end.ceil() as usize..)).map(|s| share(total(s)));
        let mut latencies = histogram();
        for (_, ms) in fulfilled(event_log) {
            latencies.saturating_record((ms * 1000.0) as u64);
        }
        figures.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1000.0;
        figures.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1000.0;
        figures.load_by_cache(event_log);
        let busiest = figures.seconds.iter().map(|s| s.fetches).max().unwrap_or(0);
        figures.origin_fetches = busiest as f64 / experiment.world.origin.capacity();
        for stop in rules::stops(event_log) {
            let last = stop.shots.iter().map(|s| s.arrived.ms_since(stop.told)).fold(0.0, f64::max);
            figures.drain_stop_ms = figures.drain_stop_ms.max(last);
            figures.drains += 1;
        }
        figures.fleet = FleetFigures::measure(experiment, schedule, event_log, &figures.seconds);
        figures.leaving = Leaving::measure(event_log, rules::delay_ms(experiment));
        figures.stale_reads = stale_reads(experiment, event_log);
        figures.use_of_system(event_log);
        let mut lateness = histogram();
        event_log.lateness.iter().for_each(|us| lateness.saturating_record(*us));
        figures.rig_stalled_ms = event_log.stalled as f64 / 1000.0;
        figures.rig_late_ms = lateness.value_at_quantile(0.999) as f64 / 1000.0;
        figures
    }

    fn count_ends(&mut self, event_log: &EventLog) {
        for t in &event_log.tries {
            match &t.end {
                ClientAttemptEnd::Fulfilled { .. } => self.fulfilled += 1,
                ClientAttemptEnd::RateLimited { come_back } => {
                    self.rate_limited += 1;
                    self.told_when += usize::from(come_back.is_some());
                }
                ClientAttemptEnd::Errored { .. } => self.errored += 1,
                // Counted by itself.
                ClientAttemptEnd::Left => {}
                _ => self.lost += 1,
            }
        }
        let met = event_log.events.iter().filter_map(|(_, e)| match e {
            Event::BadClient { met, .. } => Some(*met),
            _ => None,
        });
        let met: Vec<bool> = met.collect();
        self.bad_clients = met.len();
        self.bad_clients_met =
            if met.is_empty() { 1.0 } else { met.iter().filter(|m| **m).count() as f64 / met.len() as f64 };
    }

    fn load_by_cache(&mut self, event_log: &EventLog) {
        let mut answered: BTreeMap<ServerId, usize> = BTreeMap::new();
        for shot in event_log
            .shots
            .iter()
            .filter(|s| matches!(s.end, ServerAttemptEnd::Answered | ServerAttemptEnd::Lacked))
        {
            *answered.entry(shot.server).or_default() += 1;
        }
        let served_all_the_time = |id: &ServerId| {
            let info = &event_log.servers[id.0];
            let left = event_log.told.iter().any(|t| t.server == *id && t.listed != Listed::Ready);
            info.seat.is_some() && info.started.is_none() && !left
        };
        let steady: Vec<usize> =
            answered.iter().filter(|(id, _)| served_all_the_time(id)).map(|(_, n)| *n).collect();
        let mean = steady.iter().sum::<usize>() as f64 / steady.len().max(1) as f64;
        let most = steady.iter().copied().max().unwrap_or(0) as f64;
        self.max_over_mean = if mean > 0.0 { most / mean } else { 1.0 };
        self.load = answered.iter().map(|(id, n)| (event_log.servers[id.0].name.clone(), *n)).collect();
    }

    fn use_of_system(&mut self, event_log: &EventLog) {
        self.memory_mb = event_log.usage.iter().map(|u| u.memory_mb).fold(0.0, f64::max);
        self.descriptors = event_log.usage.iter().map(|u| u.descriptors).max().unwrap_or(0);
        // A node that starts again counts from nothing: each rise counts by itself.
        let mut cpu = 0.0;
        let mut last = BTreeMap::new();
        for usage in &event_log.usage {
            let before = last.insert(usage.node, usage.cpu_s).unwrap_or(0.0);
            cpu += if usage.cpu_s >= before { usage.cpu_s - before } else { usage.cpu_s };
        }
        self.cpu_us_a_call = cpu * 1e6 / (event_log.tries.len().max(1) as f64);
    }

    /// The longest of all recoveries; none where one did not come about.
    pub fn longest_recovery(&self) -> Option<f64> {
        self.recoveries.iter().try_fold(0.0, |most: f64, r| Some(most.max(r.after_s?)))
    }
}

/// From a microsecond to a minute, to three digits.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("sound bounds")
}

/// The fulfilled tries: when each was due, and what it took in milliseconds.
fn fulfilled(event_log: &EventLog) -> impl Iterator<Item = (Timestamp, f64)> {
    let fulfilled = event_log.tries.iter().filter(|t| matches!(t.end, ClientAttemptEnd::Fulfilled { .. }));
    fulfilled.map(|t| (t.due, t.ended.ms_since(t.sent)))
}

/// What each call came to: fulfilled in its SLO, reckoned from when it was first asked, by any of its tries.
pub fn served_calls(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> Vec<bool> {
    let mut served = vec![false; schedule.requests.len()];
    for t in event_log
        .tries
        .iter()
        .filter(|t| matches!(&t.end, ClientAttemptEnd::Fulfilled { made_for, .. } if *made_for == t.id))
    {
        let slo = experiment.request_classes[t.product].slo_ms as f64;
        served[t.call.0] |= t.ended.ms_since(t.due) <= slo;
    }
    served
}

fn seconds(experiment: &Experiment, schedule: &Schedule, event_log: &EventLog) -> Vec<Second> {
    let count = experiment.seconds.ceil() as usize;
    let mut seconds = vec![Second::default(); count];
    let place = |at: Timestamp| (at.seconds().max(0.0) as usize).min(count - 1);
    let served = served_calls(experiment, schedule, event_log);
    for (call, served) in schedule.requests.iter().zip(served) {
        let second = &mut seconds[place(call.due())];
        let value = experiment.request_classes[call.class].value;
        second.asked += value;
        second.served += if served { value } else { 0.0 };
    }
    for fetch in event_log.fetches.iter().filter(|f| f.at.seconds() < count as f64) {
        seconds[place(fetch.at)].fetches += 1;
    }
    let mut latencies: Vec<Histogram<u64>> = (0..count).map(|_| histogram()).collect();
    for (due, ms) in fulfilled(event_log) {
        latencies[place(due)].saturating_record((ms * 1000.0) as u64);
    }
    for (second, latencies) in seconds.iter_mut().zip(latencies) {
        second.p50_ms = latencies.value_at_quantile(0.5) as f64 / 1000.0;
        second.p99_ms = latencies.value_at_quantile(0.99) as f64 / 1000.0;
    }
    seconds
}

fn recoveries(experiment: &Experiment, seconds: &[Second]) -> Vec<Recovery> {
    let faults = experiment.faults();
    let Some(first) = faults.first().map(|f| f.at_s) else { return Vec::new() };
    let calm = seconds.get(LEARNS_S..first as usize).filter(|s| !s.is_empty());
    let before = calm.map_or(1.0, |calm| {
        let (served, asked): (f64, f64) =
            (calm.iter().map(|s| s.served).sum(), calm.iter().map(|s| s.asked).sum());
        if asked > 0.0 { served / asked } else { 1.0 }
    });
    let well = |n: usize| seconds.get(n).is_none_or(|s| s.service() >= RECOVERED * before);
    let recovery = |f: &Fault| {
        let from = f.end_s().floor() as usize;
        let back = (from..seconds.len()).find(|n| well(*n) && well(n + 1));
        Recovery {
            fault: f.kind.to_string(),
            ended_s: f.end_s(),
            after_s: back.map(|n| (n as f64 - f.end_s()).max(0.0)),
        }
    };
    faults.iter().map(recovery).collect()
}

/// Reads that brought a version which a write, answered before they were sent, had replaced.
fn stale_reads(experiment: &Experiment, event_log: &EventLog) -> usize {
    let version = |end: &ClientAttemptEnd| match end {
        ClientAttemptEnd::Fulfilled { version, .. } => *version,
        _ => None,
    };
    let mut written: BTreeMap<u64, Vec<(Timestamp, Version)>> = BTreeMap::new();
    for t in event_log.tries.iter().filter(|t| experiment.request_classes[t.product].writes()) {
        if let Some(version) = version(&t.end) {
            written.entry(t.key).or_default().push((t.ended, version));
        }
    }
    let reads = event_log.tries.iter().filter(|t| !experiment.request_classes[t.product].writes());
    let stale = reads.filter(|t| {
        let newer =
            |(at, v): &(Timestamp, Version)| *at < t.sent && version(&t.end).is_some_and(|read| *v > read);
        written.get(&t.key).is_some_and(|w| w.iter().any(newer))
    });
    stale.count()
}
