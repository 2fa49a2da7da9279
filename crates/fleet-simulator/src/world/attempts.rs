//! Attempts of nodes: carrying out the policy's actions, sending attempts and processing their results.

use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::Span;
use granitelb_balancer::{AttemptOutcome, AttemptResult};
use granitelb_coordination::observation::Observation;

use super::events::{AttemptId, EventKind};
use super::faults::{has_hung_for, is_hung};
use super::{InFlightAttempt, World};
use crate::policy::Action;
use crate::scenario::SLO;
use crate::server::ServerJob;

/// The time after the beginning of a hang from which attempts at hung caches count as probes, in seconds.
const HANG_DETECTION_S: f64 = 3.0;
/// Connections that have been idle for longer than this share of the servers' idle timeout are not reused.
const IDLE_REUSE_SHARE: f64 = 0.7;
/// The largest number of caches, of those that reported a miss, in which a value from the origin is stored.
const MAX_FILLED_CACHES: usize = 2;
/// The shortest delay of an event, for events that follow at once.
const MIN_DELAY: Span = Span(1);

/// Returns whether the connection can be reused after an attempt with this outcome.
fn is_connection_reusable(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::Cancelled)
}

impl World<'_> {
    /// Carries out the actions that a node's policy decides on, and schedules the policy's timeout.
    pub(super) fn run_policy(&mut self, n: usize) {
        let servers = &self.servers;
        let network = &self.network;
        let now = self.now;
        let zone = self.nodes[n].zone;
        let occupancy = |endpoint: EndpointId| {
            let index = endpoint.0 as usize;
            let server = &servers[index];
            let is_unresponsive = server.is_down
                || is_hung(network, now, index)
                || network.is_partitioned(now, zone, server.zone);
            if is_unresponsive { 1.0 } else { server.occupancy() }
        };
        for action in self.nodes[n].policy.poll_actions(now, &occupancy) {
            match action {
                Action::SendAttempt { request, endpoint, timeout } => {
                    self.send_attempt(n, request.0, endpoint.0 as usize, timeout);
                }
                Action::Reply { request, reply } => self.on_local_reply(n, request.0, reply),
                Action::CancelAttempt { request, number } => self.cancel_attempt(n, request, number),
            }
        }
        self.schedule_policy_timeout(n);
    }

    fn schedule_policy_timeout(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let Some(due) = node.policy.poll_timeout(self.now) else { return };
        if node.scheduled_wake.is_none_or(|scheduled| due < scheduled) {
            node.scheduled_wake = Some(due);
            let incarnation = node.incarnation;
            let delay = (due - self.now).max(MIN_DELAY);
            self.schedule(delay, EventKind::PolicyTimeout { node: n, incarnation });
        }
    }

    fn cancel_attempt(&mut self, n: usize, request: RequestId, number: AttemptNumber) {
        let incarnation = self.nodes[n].incarnation;
        let attempt = AttemptId { node: n, incarnation, request: request.0, number: number.0 };
        if self.attempt(attempt).is_some() {
            self.result.cancelled += 1;
        }
        let outcome = AttemptOutcome::Cancelled;
        self.schedule(MIN_DELAY, EventKind::AttemptFinished { attempt, outcome, fills_caches: false });
    }

    /// Returns an attempt in flight, or `None` if the attempt has finished or its node has restarted.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        let node = &self.nodes[id.node];
        if node.incarnation != id.incarnation {
            return None;
        }
        node.attempts.get(&(id.request, id.number))
    }

    fn send_attempt(&mut self, n: usize, request_id: u64, server: usize, timeout: Span) {
        let incarnation = self.nodes[n].incarnation;
        let Some(request) = self.nodes[n].requests.get_mut(&request_id) else {
            self.result.invariant_violations += 1;
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        self.result.duplicate_attempts += usize::from(request.in_flight > 0);
        request.in_flight += 1;
        let job = ServerJob {
            node: n,
            incarnation,
            request: request_id,
            number,
            key: request.client.key,
            write: request.client.write,
            work: Span::ZERO,
            is_miss: false,
        };
        let attempt = AttemptId { node: n, incarnation, request: request_id, number };
        self.count_attempt(server, job.write);
        let cache = EndpointId(server as u64);
        let is_origin = server == self.origin;
        self.observe(n, |_| Observation::AttemptSent { cache, is_origin, write: job.write });
        let is_connected = self.take_idle_connection(n, server);
        let in_flight = InFlightAttempt { server, sent_at: self.now, is_connected, job };
        self.nodes[n].attempts.insert((request_id, number), in_flight);
        self.schedule(timeout, EventKind::AttemptTimeout { attempt });
        if is_connected {
            self.transmit_attempt(attempt);
        } else {
            self.open_connection(attempt, server);
        }
    }

    fn count_attempt(&mut self, server: usize, write: bool) {
        let Some(second) = self.second_of_day(self.now) else { return };
        if server == self.origin {
            self.result.origin_attempts += 1;
            if !write && let Some(reads) = self.result.origin_reads.get_mut(second) {
                *reads += 1;
            }
            return;
        }
        self.result.cache_attempts += 1;
        if is_hung(&self.network, self.now, server) {
            self.result.attempts_at_hung_caches += 1;
            if has_hung_for(&self.network, self.now, HANG_DETECTION_S) {
                self.result.probes_of_hung_caches += 1;
            }
        }
    }

    /// Takes an idle connection to the server from the node's pool, and returns whether there was one.
    fn take_idle_connection(&mut self, n: usize, server: usize) -> bool {
        let now = self.now;
        let max_idle = self.scenario.idle_timeout.scaled(IDLE_REUSE_SHARE);
        let idle = self.nodes[n].idle_connections.entry(server).or_default();
        idle.retain(|since| now - *since < max_idle);
        idle.pop().is_some()
    }

    fn open_connection(&mut self, attempt: AttemptId, server: usize) {
        if self.day_seconds(self.now) >= 0.0 {
            self.result.handshakes += 1;
        }
        if !self.is_reachable(attempt.node, server) {
            let outcome = AttemptOutcome::Unreachable;
            let finished = EventKind::AttemptFinished { attempt, outcome, fills_caches: false };
            self.schedule(self.scenario.connect_timeout, finished);
            return;
        }
        let latency = self.draw_latency(attempt.node, server);
        if server != self.origin {
            self.servers[server].handshake_backlog_s += self.scenario.handshake_work.as_secs_f64();
        }
        let handshake = latency.scaled(2.0 * self.scenario.handshake_round_trips);
        self.schedule(handshake, EventKind::ConnectionEstablished { attempt });
    }

    /// Draws the one-way latency between a node and a server.
    pub(super) fn draw_latency(&mut self, node: usize, server: usize) -> Span {
        self.network.draw_latency(&mut self.rng, self.nodes[node].zone, self.servers[server].zone)
    }

    /// Sends an attempt to its server over a connection that is established.
    pub(super) fn transmit_attempt(&mut self, id: AttemptId) {
        if self.attempt(id).is_none() {
            return;
        }
        let Some(attempt) = self.nodes[id.node].attempts.get_mut(&(id.request, id.number)) else { return };
        attempt.is_connected = true;
        let server = attempt.server;
        let job = attempt.job;
        let latency = self.draw_latency(id.node, server);
        self.schedule(latency, EventKind::AttemptArrives { attempt: id, server, job });
    }

    /// Handles the end of an attempt at its node. An attempt that has already finished is ignored.
    pub(super) fn on_attempt_finished(&mut self, id: AttemptId, outcome: AttemptOutcome, fills_caches: bool) {
        if self.attempt(id).is_none() {
            return;
        }
        let node = &mut self.nodes[id.node];
        let Some(attempt) = node.attempts.remove(&(id.request, id.number)) else { return };
        if is_connection_reusable(outcome) {
            node.idle_connections.entry(attempt.server).or_default().push(self.now);
        }
        if self.now >= self.network.day_start {
            self.count_outcome(attempt.server, outcome);
        }
        self.observe_result(&attempt, outcome);
        let answered = self.update_request(id, attempt.server, outcome, fills_caches);
        let result = AttemptResult {
            number: AttemptNumber(id.number),
            endpoint: EndpointId(attempt.server as u64),
            outcome,
            latency: self.now - attempt.sent_at,
            answered,
        };
        self.nodes[id.node].policy.on_attempt_finished(self.now, RequestId(id.request), &result);
        self.run_policy(id.node);
    }

    /// Records the outcome of an attempt in its request, and returns whether the request has its final
    /// response.
    fn update_request(
        &mut self,
        id: AttemptId,
        server: usize,
        outcome: AttemptOutcome,
        fills_caches: bool,
    ) -> bool {
        let requests = &mut self.nodes[id.node].requests;
        let Some(request) = requests.get_mut(&id.request) else { return true };
        request.in_flight -= 1;
        if outcome == AttemptOutcome::CacheMiss {
            request.missed.push(server);
        }
        if outcome != AttemptOutcome::Fulfilled {
            return false;
        }
        let client = request.client;
        let missed = std::mem::take(&mut request.missed);
        requests.remove(&id.request);
        if fills_caches && !client.write {
            for cache in missed.into_iter().take(MAX_FILLED_CACHES) {
                self.servers[cache].keys.store(client.key);
            }
        }
        let is_late = self.now - client.first_submitted > SLO;
        if server == self.origin && self.now >= self.network.day_start && is_late {
            self.result.origin_late += 1;
        }
        self.on_request_fulfilled(&client);
        true
    }

    fn count_outcome(&mut self, server: usize, outcome: AttemptOutcome) {
        let is_origin = server == self.origin;
        let result = &mut self.result;
        let counter = match outcome {
            AttemptOutcome::Rejected if is_origin => &mut result.origin_rejections,
            AttemptOutcome::Rejected => &mut result.cache_rejections,
            AttemptOutcome::Fulfilled if !is_origin => &mut result.cache_hits,
            AttemptOutcome::CacheMiss => &mut result.cache_misses,
            AttemptOutcome::Unreachable => &mut result.unreachable,
            AttemptOutcome::TimedOut => &mut result.timed_out,
            _ => return,
        };
        *counter += 1;
    }
}
