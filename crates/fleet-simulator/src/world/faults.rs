//! Injection of the scenario's faults, and reports of changed endpoints through service discovery.

use granitelb_balancer::time::{Span, Time};
use rand::RngExt;

use super::World;
use super::events::EventKind;
use super::setup::balancer_settings;
use crate::faults::{Fault, FaultKind};
use crate::network::Network;
use crate::policy::NodePolicy;
use crate::server::{Server, ServerSpec};

/// The zone that [`FaultKind::ZoneLost`] affects.
const LOST_ZONE: usize = 0;
/// The spread over nodes of the time at which service discovery reports an endpoint, in seconds.
const DISCOVERY_SPREAD_S: f64 = 0.1;
/// The time from the replacement of a cache until the replaced cache stops.
const DRAIN_TIME: Span = Span::from_millis(8000);

impl World<'_> {
    /// Schedules the events of lost zones, replaced caches and killed nodes. Other faults need no event: the
    /// simulation checks which faults are active.
    pub(super) fn schedule_faults(&mut self) {
        for fault in &self.scenario.faults {
            match fault.kind {
                FaultKind::ZoneLost => {
                    self.schedule(self.since_start(fault.from), EventKind::ZoneFails { zone: LOST_ZONE });
                    self.schedule(self.since_start(fault.to), EventKind::ZoneReturns { zone: LOST_ZONE });
                }
                FaultKind::Replace(share) => self.schedule_replacements(fault, share),
                FaultKind::NodesKilled(share) => {
                    let count = (share * self.scenario.nodes as f64) as usize;
                    for node in 0..count {
                        self.schedule(self.since_start(fault.from), EventKind::NodeKilled { node });
                    }
                }
                _ => {}
            }
        }
    }

    fn schedule_replacements(&mut self, fault: &Fault, share: f64) {
        let length = fault.to - fault.from;
        let count = (share * self.scenario.caches as f64) as usize;
        for old in 0..count {
            let at = fault.from + length * old as f64 / count as f64;
            self.schedule(self.since_start(at), EventKind::CacheReplaced { old });
        }
    }

    /// Schedules the report of a server by service discovery to every node, with a delay of its own for each
    /// node.
    fn report_endpoint(&mut self, server: usize) {
        let endpoint = self.endpoint_of(server);
        if server < self.endpoints.len() {
            self.endpoints[server] = endpoint;
        } else {
            self.endpoints.push(endpoint);
        }
        let range = &self.scenario.discovery_delay_s;
        let delay = range.start + (range.end - range.start) * self.rng.random::<f64>();
        for node in 0..self.nodes.len() {
            let node_delay = delay + DISCOVERY_SPREAD_S * self.rng.random::<f64>();
            let incarnation = self.nodes[node].incarnation;
            let reported = EventKind::EndpointReported { node, incarnation, endpoint };
            self.schedule(Span::from_secs_f64(node_delay), reported);
        }
    }

    /// Crashes all caches of a zone. Connections to these caches are lost.
    pub(super) fn fail_zone(&mut self, zone: usize) {
        for cache in &mut self.servers[..self.origin] {
            if cache.zone == zone && !cache.is_removed {
                cache.crash();
            }
        }
        let servers = &self.servers;
        for node in &mut self.nodes {
            node.idle_connections.retain(|server, _| !servers[*server].is_down);
        }
    }

    /// Starts the crashed caches of a zone again, cold and empty.
    pub(super) fn restore_zone(&mut self, zone: usize) {
        for n in 0..self.origin {
            let cache = &mut self.servers[n];
            if cache.zone == zone && cache.is_down && !cache.is_removed {
                cache.is_down = false;
                cache.started = Some(self.now);
                self.report_endpoint(n);
            }
        }
    }

    /// Starts to drain a cache, and adds a new cache, cold and empty, in its place.
    pub(super) fn replace_cache(&mut self, old: usize) {
        let replaced = &self.servers[old];
        let mut new = Server::new(ServerSpec {
            zone: replaced.zone,
            slots: 1,
            queue_capacity: replaced.queue_capacity,
            speed: replaced.speed,
            key_capacity: replaced.keys.capacity(),
        });
        new.started = Some(self.now);
        self.servers.push(new);
        self.report_endpoint(self.servers.len() - 1);
        self.servers[old].is_removed = true;
        self.report_endpoint(old);
        self.schedule(DRAIN_TIME, EventKind::CacheStops { server: old });
    }

    /// Kills a node, which loses all of its state, and restarts it under the same name.
    pub(super) fn restart_node(&mut self, n: usize) {
        let seed = self.rng.random();
        let settings = balancer_settings(self.scenario);
        let mut policy = NodePolicy::new(self.scenario.policy, settings, seed, self.now);
        policy.on_endpoints_update(self.now, &self.endpoints, true);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.policy = policy;
        node.requests.clear();
        node.attempts.clear();
        node.idle_connections.clear();
        node.scheduled_wake = None;
        self.restart_member(n);
    }
}

/// Returns whether a server hangs now.
pub fn is_hung(network: &Network<'_>, now: Time, server: usize) -> bool {
    network
        .active_faults(now)
        .any(|kind| matches!(kind, FaultKind::Hang(share) if is_affected(network, server, share)))
}

/// Returns whether a hang is active now that began at least this many seconds ago.
pub fn has_hung_for(network: &Network<'_>, now: Time, seconds: f64) -> bool {
    let at = (now - network.day_start).as_secs_f64();
    network.scenario.faults.iter().any(|fault| {
        matches!(fault.kind, FaultKind::Hang(_)) && fault.is_active(at) && at >= fault.from + seconds
    })
}

/// Returns the factor by which a server's service time is longer now; 1 if no fault slows the server.
pub fn slowdown(network: &Network<'_>, now: Time, server: usize) -> f64 {
    let factor_of = |kind| match kind {
        FaultKind::Slow { share, factor } if is_affected(network, server, share) => Some(factor),
        _ => None,
    };
    network.active_faults(now).find_map(factor_of).unwrap_or(1.0)
}

/// Returns whether a fault that affects this share of the caches affects the server. Faults affect the caches
/// with the highest indexes, which are spread over all zones.
fn is_affected(network: &Network<'_>, server: usize, share: f64) -> bool {
    let caches = network.scenario.caches;
    server < caches && server >= caches - (share * caches as f64) as usize
}
