//! The load of servers in their busiest second, compared with the capacity that nodes share.

use std::collections::{BTreeMap, HashSet};

use crate::event_log::{EventLog, Timestamp};
use crate::experiment::{Experiment, FaultKind, LeasesConfig};

const WINDOW_US: i64 = 1_000_000;
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Seconds after the start of a hang from which attempts are counted: no node can detect the hang earlier.
const HANG_DETECTION_S: f64 = 3.0;
/// The shortest period, in seconds, over which a rate of attempts is meaningful.
const MIN_PERIOD_S: f64 = 1.0;

/// An attempt that arrived at a server, with the load that it counts for.
struct Arrival {
    at: Timestamp,
    weight: f64,
}

/// The greatest sum of the weights that arrived within any one second.
fn busiest_second(mut arrivals: Vec<Arrival>) -> f64 {
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut oldest = 0;
    let mut sum = 0.0;
    let mut max = 0.0_f64;
    for arrival in &arrivals {
        sum += arrival.weight;
        while arrival.at.0 - arrivals[oldest].at.0 >= WINDOW_US {
            sum -= arrivals[oldest].weight;
            oldest += 1;
        }
        max = max.max(sum);
    }
    max
}

/// Reads at the origin in the busiest second, divided by the rate that all nodes share.
pub(super) fn origin_over_capacity(
    config: &LeasesConfig,
    experiment: &Experiment,
    event_log: &EventLog,
) -> f64 {
    let is_read = |class: usize| !experiment.request_classes[class].writes();
    let client_attempts = event_log.client_attempts.iter();
    let reads: HashSet<&str> =
        client_attempts.filter(|a| is_read(a.request_class)).map(|a| a.id.as_str()).collect();
    let mut arrivals = Vec::new();
    for attempt in &event_log.server_attempts {
        let is_origin = event_log.servers[attempt.server.0].slot.is_none();
        if is_origin && reads.contains(attempt.id.as_str()) {
            arrivals.push(Arrival { at: attempt.arrived, weight: 1.0 });
        }
    }
    busiest_second(arrivals) / config.origin_per_s
}

/// Work at a cache that is warming up in its busiest second, divided by the work that all nodes share; the
/// largest ratio of all caches.
pub(super) fn warming_over_capacity(
    config: &LeasesConfig,
    experiment: &Experiment,
    event_log: &EventLog,
) -> f64 {
    let warm_after_ms = experiment.environment.cache.warm_after_s * MILLIS_PER_SECOND;
    let mut arrivals: BTreeMap<usize, Vec<Arrival>> = BTreeMap::new();
    for attempt in &event_log.server_attempts {
        let Some(started) = event_log.servers[attempt.server.0].started else { continue };
        if attempt.arrived.ms_since(started) < warm_after_ms {
            let arrival = Arrival { at: attempt.arrived, weight: attempt.work_s };
            arrivals.entry(attempt.server.0).or_default().push(arrival);
        }
    }
    arrivals.into_values().map(busiest_second).fold(0.0, f64::max) / config.cold_cache_work
}

/// Attempts per second at a hung cache, the largest rate of all caches that hang.
pub(super) fn hung_cache_attempts_per_s(experiment: &Experiment, event_log: &EventLog) -> f64 {
    let mut worst = 0.0_f64;
    for fault in experiment.faults() {
        let from_s = fault.at_s + HANG_DETECTION_S;
        let to_s = fault.at_s + fault.for_s;
        if fault.kind != FaultKind::Hang || to_s - from_s < MIN_PERIOD_S {
            continue;
        }
        for slot in fault.target_caches(experiment) {
            let is_at_slot = |server: usize| event_log.servers[server].slot == Some(slot);
            let attempts = event_log.server_attempts.iter();
            let counted = attempts
                .filter(|a| is_at_slot(a.server.0) && (from_s..to_s).contains(&a.arrived.seconds()))
                .count();
            worst = worst.max(counted as f64 / (to_s - from_s));
        }
    }
    worst
}
