//! Injects the scenario's faults, and reports changed endpoints through service discovery.

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
/// Nodes learn of an endpoint within this many seconds of each other.
const DISCOVERY_SPREAD_S: f64 = 0.1;
/// A replaced cache stops after this time.
const DRAIN_TIME: Span = Span::from_millis(8000);

impl World<'_> {
    /// Schedules the events of all faults. Other faults act while they are active and need no event.
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

    /// Service discovery reports a server to every node, to each after its own delay.
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

    /// All caches of a zone crash. Connections to them are lost.
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

    /// The crashed caches of a zone return, cold and empty.
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

    /// A cache drains, and a new one that is cold and empty is added in its place.
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

    /// A node is killed with all of its state and restarts under its name.
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

/// Whether a server hangs now.
pub fn is_hung(network: &Network<'_>, now: Time, server: usize) -> bool {
    network
        .active_faults(now)
        .any(|kind| matches!(kind, FaultKind::Hang(share) if is_affected(network, server, share)))
}

/// Whether a hang is active now and began at least this many seconds ago.
pub fn has_hung_for(network: &Network<'_>, now: Time, seconds: f64) -> bool {
    let at = (now - network.day_start).as_secs_f64();
    network.scenario.faults.iter().any(|fault| {
        matches!(fault.kind, FaultKind::Hang(_)) && fault.is_active(at) && at >= fault.from + seconds
    })
}

/// Factor by which a server's service time is longer now.
pub fn slowdown(network: &Network<'_>, now: Time, server: usize) -> f64 {
    let factor_of = |kind| match kind {
        FaultKind::Slow { share, factor } if is_affected(network, server, share) => Some(factor),
        _ => None,
    };
    network.active_faults(now).find_map(factor_of).unwrap_or(1.0)
}

/// A fault affects the last caches, which are spread over all zones.
fn is_affected(network: &Network<'_>, server: usize, share: f64) -> bool {
    let caches = network.scenario.caches;
    server < caches && server >= caches - (share * caches as f64) as usize
}
