//! Baseline policies, which have no learning, no limits and no health checks.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

use granitelb_balancer::ids::{EndpointId, Key, KindId, RequestId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, EndpointUpdate, LocalReply, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Action, Occupancy, Policy};

/// The interval at which a request that waits for a free cache is decided on again.
const RECHECK_INTERVAL: Span = Span::from_millis(20);
/// The share of its SLO after which a request without an available cache is rejected.
const MAX_WAIT_SLO_SHARE: f64 = 0.4;
/// The endpoint kind of the origin.
const ORIGIN_KIND: KindId = KindId(1);

struct PendingRequest {
    request: Request,
    deadline: Time,
    /// The time from which the request is rejected if no cache is available.
    wait_until: Time,
    attempts: u8,
    is_in_flight: bool,
    missed_in_cache: bool,
    may_have_executed: bool,
    /// The endpoints to which an attempt was sent before.
    excluded_endpoints: Vec<EndpointId>,
}

/// The state of a baseline policy at one node.
pub struct BaselinePolicy {
    policy: Policy,
    settings: Settings,
    rng: ChaCha8Rng,
    ready_caches: Vec<EndpointId>,
    origin: Option<EndpointId>,
    endpoints: BTreeMap<EndpointId, EndpointUpdate>,
    /// The highest-ranked caches of each key. Cleared when the endpoints change.
    ranked_caches: HashMap<Key, Vec<EndpointId>>,
    pending: BTreeMap<RequestId, PendingRequest>,
}

/// The next step for a request that has no attempt in flight.
enum Decision {
    Send(EndpointId),
    Reply(LocalReply),
    Wait,
}

impl BaselinePolicy {
    pub(super) fn new(policy: Policy, settings: Settings, seed: u64) -> BaselinePolicy {
        BaselinePolicy {
            policy,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            ready_caches: Vec::new(),
            origin: None,
            endpoints: BTreeMap::new(),
            ranked_caches: HashMap::new(),
            pending: BTreeMap::new(),
        }
    }

    pub(super) fn on_endpoints_update(&mut self, updates: &[EndpointUpdate]) {
        for update in updates {
            self.endpoints.insert(update.id, *update);
        }
        self.origin = None;
        self.ready_caches.clear();
        for endpoint in self.endpoints.values() {
            if endpoint.kind == ORIGIN_KIND {
                self.origin = self.origin.or(Some(endpoint.id));
            } else if endpoint.ready {
                self.ready_caches.push(endpoint.id);
            }
        }
        self.ranked_caches.clear();
    }

    pub(super) fn on_request(&mut self, now: Time, id: RequestId, request: Request) {
        let slo = self.settings.request_classes[request.request_class.0 as usize].slo;
        let pending = PendingRequest {
            deadline: now + request.client_timeout,
            wait_until: now + slo.scaled(MAX_WAIT_SLO_SHARE),
            request,
            attempts: 0,
            is_in_flight: false,
            missed_in_cache: false,
            may_have_executed: false,
            excluded_endpoints: Vec::new(),
        };
        self.pending.insert(id, pending);
    }

    pub(super) fn on_attempt_finished(&mut self, id: RequestId, result: &AttemptResult) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.is_in_flight = false;
        pending.may_have_executed |= !result.outcome.proves_not_executed();
        if result.outcome == AttemptOutcome::CacheMiss {
            pending.missed_in_cache = true;
        }
        pending.excluded_endpoints.push(result.endpoint);
        if result.answered {
            self.pending.remove(&id);
        }
    }

    /// Returns the key's highest-ranked caches by rendezvous hashing, best first.
    fn rank_caches(&mut self, key: Key, count: usize) -> Vec<EndpointId> {
        let ready_caches = &self.ready_caches;
        let rank = || {
            let hasher = BuildHasherDefault::<DefaultHasher>::default();
            let mut ranked: Vec<_> =
                ready_caches.iter().map(|cache| (hasher.hash_one((key, cache)), *cache)).collect();
            ranked.sort_unstable();
            ranked.truncate(count);
            ranked.into_iter().map(|(_, cache)| cache).collect()
        };
        self.ranked_caches.entry(key).or_insert_with(rank).clone()
    }

    fn select_cache(&mut self, id: RequestId, occupancy: Occupancy<'_>) -> Option<EndpointId> {
        let key = self.pending[&id].request.key;
        let mut candidates = match self.policy {
            Policy::RandomOf(count) | Policy::LeastOccupied(count) => self.rank_caches(key, count),
            _ => self.ready_caches.clone(),
        };
        let excluded = &self.pending[&id].excluded_endpoints;
        candidates.retain(|cache| !excluded.contains(cache));
        if let Policy::LeastOccupied(_) = self.policy {
            return least_occupied(candidates, occupancy);
        }
        let drawn = self.rng.random_range(0..candidates.len().max(1));
        candidates.get(drawn).copied()
    }

    pub(super) fn poll_actions(&mut self, now: Time, occupancy: Occupancy<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        let waiting: Vec<_> =
            self.pending.iter().filter(|(_, pending)| !pending.is_in_flight).map(|(id, _)| *id).collect();
        for id in waiting {
            match self.decide(now, id, occupancy) {
                Decision::Send(endpoint) => actions.extend(self.send(now, id, endpoint)),
                Decision::Reply(reply) => {
                    self.pending.remove(&id);
                    actions.push(Action::Reply { request: id, reply });
                }
                Decision::Wait => {}
            }
        }
        actions
    }

    fn decide(&mut self, now: Time, id: RequestId, occupancy: Occupancy<'_>) -> Decision {
        let pending = &self.pending[&id];
        let is_exhausted = pending.attempts >= self.settings.max_attempts || now >= pending.deadline;
        // Baseline policies do not send a write again that may have been executed.
        let is_unsafe_to_retry = pending.may_have_executed && pending.request.write;
        let needs_origin = pending.request.write || pending.missed_in_cache;
        let has_waited = now >= pending.wait_until;
        // Selecting a cache draws a random number, even if the request is rejected below.
        let endpoint = if needs_origin { self.origin } else { self.select_cache(id, occupancy) };
        if is_unsafe_to_retry {
            return Decision::Reply(LocalReply::Errored);
        }
        let rejection = LocalReply::RateLimited { retry_after: self.settings.max_retry_after };
        match endpoint {
            _ if is_exhausted => Decision::Reply(rejection),
            Some(endpoint) => Decision::Send(endpoint),
            None if has_waited => Decision::Reply(rejection),
            None => Decision::Wait,
        }
    }

    fn send(&mut self, now: Time, id: RequestId, endpoint: EndpointId) -> Option<Action> {
        let pending = self.pending.get_mut(&id)?;
        pending.is_in_flight = true;
        pending.attempts += 1;
        Some(Action::SendAttempt { request: id, endpoint, timeout: pending.deadline - now })
    }

    pub(super) fn poll_timeout(&self, now: Time) -> Option<Time> {
        if self.pending.values().any(|pending| !pending.is_in_flight) {
            return Some(now + RECHECK_INTERVAL);
        }
        self.pending.values().map(|pending| pending.deadline).min()
    }
}

/// Returns the first of the least occupied candidates, or `None` if all candidates are full.
fn least_occupied(candidates: Vec<EndpointId>, occupancy: Occupancy<'_>) -> Option<EndpointId> {
    let by_occupancy = candidates.into_iter().map(|cache| (occupancy(cache), cache));
    let (lowest, cache) = by_occupancy.min_by(|a, b| a.0.total_cmp(&b.0))?;
    if lowest < 1.0 { Some(cache) } else { None }
}
