//! The scenario's disturbance: starts and stops of caches, restarts of nodes, and the change in the middle of
//! the warm-up.

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::ids::{CellId, EndpointId, Key, KindId, ZoneId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::Span;

use super::{DelayRange, Disturbance, EventKind, Simulation, WARMUP_BEGIN};

/// The longest time over which the starts of the cold caches are spread, in seconds.
const MAX_START_SPREAD: f64 = 3.0;
/// The time for which a restarting cache is stopped, in seconds.
const RESTART_TIME: f64 = 0.3;
/// The time for which the caches of a failed zone are stopped, in seconds.
const ZONE_OUTAGE: f64 = 4.0;
/// The time over which the restarts of nodes are spread, in seconds.
const NODE_RESTART_SPREAD: f64 = 0.5;
/// The request rate during a burst, as a multiple of the usual rate.
const BURST_RATE: f64 = 2.0;
/// The divisor that a change of settings applies to the overload multiple.
const OVERLOAD_MULTIPLE_DIVISOR: f64 = 1.5;
/// The delays with which nodes are notified when all caches restart, in seconds.
const FLEET_RESTART_DELAY: DelayRange = DelayRange { min: 0.2, max: 0.3 };

impl Simulation<'_> {
    /// Schedules the starts of the cold caches and the events of the scenario's disturbance.
    pub(super) fn schedule_disturbance(&mut self) {
        let scenario = self.scenario;
        let start_spread = self.uniform(0.0, MAX_START_SPREAD);
        let midpoint = WARMUP_BEGIN + scenario.warmup_time * self.uniform(0.1, 0.6);
        for cache in 0..scenario.cold_caches {
            self.schedule_start(cache, start_spread);
            if scenario.disturbance == Disturbance::RestartTwice {
                let stop = Span::from_secs_f64(midpoint - RESTART_TIME);
                self.schedule(stop, EventKind::ServerStopped { cache });
                self.schedule(Span::from_secs_f64(midpoint), EventKind::ServerStarted { cache });
            }
        }
        if scenario.disturbance.restarts_nodes() {
            let restarts_begin = match scenario.disturbance {
                Disturbance::NodesRestartUnnotified => WARMUP_BEGIN,
                _ => midpoint,
            };
            for node in 0..scenario.nodes * 7 / 10 {
                let restart = restarts_begin + self.uniform(0.0, NODE_RESTART_SPREAD);
                self.schedule(Span::from_secs_f64(restart), EventKind::NodeRestarted { node });
            }
        }
        self.schedule(Span::from_secs_f64(midpoint), EventKind::Midpoint);
    }

    fn schedule_start(&mut self, cache: usize, start_spread: f64) {
        let disturbance = self.scenario.disturbance;
        let (outage, start) = if disturbance.has_zone_outage() {
            (ZONE_OUTAGE, WARMUP_BEGIN)
        } else {
            (RESTART_TIME, WARMUP_BEGIN + self.uniform(0.0, start_spread))
        };
        if disturbance != Disturbance::Join {
            self.schedule(Span::from_secs_f64(start - outage), EventKind::ServerStopped { cache });
        }
        self.schedule(Span::from_secs_f64(start), EventKind::ServerStarted { cache });
    }

    pub(super) fn start_server(&mut self, cache: usize) {
        self.servers[cache].start(self.now);
        self.result.starts += 1;
        self.notify_nodes(cache);
    }

    /// Stops a cache. Nodes are notified of a zone outage only; a restart is too short
    /// for nodes to be notified of it.
    pub(super) fn stop_server(&mut self, cache: usize) {
        self.servers[cache].ready = false;
        if self.scenario.disturbance.has_zone_outage() {
            self.notify_nodes(cache);
        }
    }

    /// Schedules, for each node with a delay of its own, the notification of the cache's present state.
    fn notify_nodes(&mut self, cache: usize) {
        let endpoint = self.endpoint_update(cache);
        let delay = match self.scenario.disturbance {
            Disturbance::FleetCold => FLEET_RESTART_DELAY,
            _ => self.scenario.notification_delay,
        };
        for node in 0..self.nodes.len() {
            let wait = self.uniform(delay.min, delay.max);
            self.schedule(Span::from_secs_f64(wait), EventKind::EndpointNotified { node, endpoint });
        }
    }

    /// Returns the cache's present entry in the endpoint list.
    pub(super) fn endpoint_update(&self, cache: usize) -> EndpointUpdate {
        EndpointUpdate {
            id: EndpointId(cache as u64),
            kind: KindId(0),
            size: if self.scenario.lists_capacities { self.scenario.capacities[cache] } else { 1.0 },
            zone: ZoneId(0),
            cell: CellId(0),
            ready: self.servers[cache].ready,
            draining: false,
            started: self.servers[cache].started,
        }
    }

    pub(super) fn on_midpoint(&mut self) {
        let disturbance = self.scenario.disturbance;
        if disturbance.has_burst() {
            self.rate_multiple = BURST_RATE;
        }
        if disturbance.has_hot_key() {
            self.hot_key = self.choose_hot_key();
        }
        if disturbance.changes_settings() {
            self.change_settings();
        }
    }

    /// Returns the highest key whose first candidate at the node with the highest request rate is a cold
    /// cache.
    fn choose_hot_key(&self) -> Option<u64> {
        let busiest = self.nodes.iter().max_by(|a, b| a.rate.total_cmp(&b.rate))?;
        let is_at_cold_cache = |key: &u64| {
            let ranked = busiest.balancer.ranked_candidates(Key(*key));
            ranked.first().is_some_and(|cache| cache.0 < self.scenario.cold_caches as u64)
        };
        (0..self.scenario.keys).rev().find(is_at_cold_cache)
    }

    fn change_settings(&mut self) {
        self.overload_multiple = self.scenario.overload_multiple / OVERLOAD_MULTIPLE_DIVISOR;
        let settings = Settings { overload_multiple: self.overload_multiple, ..self.scenario.settings() };
        for node in 0..self.nodes.len() {
            self.nodes[node].balancer.on_settings_update(self.now, settings.clone());
            self.poll_balancer(node);
        }
    }
}
