//! Dispatch: selects an available endpoint for a waiting request and creates an attempt at that endpoint.

use crate::attempt::Attempt;
use crate::endpoint::EndpointRole;
use crate::ids::{AttemptNumber, EndpointId, RequestId};
use crate::pending_request::{PendingRequest, SentAttempt};
use crate::settings::Effect;
use crate::time::{Span, Time};

use super::endpoint_list::Endpoint;
use super::permission::PermissionGate;
use super::warmup::WarmupGate;
use super::{Balancer, SLOW_SLO_SHARE};

/// The share of the origin's concurrency limit that reads rejected by caches, and requests that are late, may
/// fill. Cache misses and writes in time, and reads whose candidates have all failed, may fill all of it.
const LOW_PRIORITY_LIMIT_SHARE: f64 = 0.5;

impl Balancer {
    /// Creates the next attempt of a waiting request, if an endpoint is available. Otherwise the request is
    /// rejected or keeps waiting.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId) -> Option<Attempt> {
        let request = self.requests.get(id)?;
        self.selection.store_ranking(request.request.key);
        let needs_origin = self.needs_origin(now, request);
        let role = if needs_origin { EndpointRole::Origin } else { EndpointRole::Cache };
        let expected = self.response_times.expected(now, request.request.request_class, role);
        if self.cannot_succeed(now, request, expected) {
            self.reject(id);
            return None;
        }
        if self.join_fetch(id) {
            return None;
        }
        let request = self.requests.get(id)?;
        let is_late = now + expected > request.slo_deadline;
        let Some(target) = self.select_endpoint(now, request, needs_origin, is_late) else {
            if is_late || now >= request.queue_deadline && request.attempts.is_empty() {
                self.reject(id);
            }
            return None;
        };
        self.send(now, id, target)
    }

    /// Whether only the origin can serve the request: the request is a write of a cache-aside site, or the
    /// request had a cache miss and no endpoint from before a shard migration can be asked.
    fn needs_origin(&self, now: Time, request: &PendingRequest) -> bool {
        let is_origin_write = request.request.write && self.settings.is_cache_aside();
        is_origin_write || request.missed_in_cache && self.previous_endpoint(now, request).is_none()
    }

    /// Whether the request can get no answer of value by another attempt: an answer would be too late, the
    /// request has had all allowed attempts, or it may have been executed and must not be repeated at any
    /// endpoint. Such a request is rejected without waiting.
    fn cannot_succeed(&self, now: Time, request: &PendingRequest, expected: Span) -> bool {
        now + expected > request.value_deadline
            || request.attempts.len() >= request.max_attempts
            || request.may_have_executed.is_some() && !self.can_repeat_anywhere(now, request)
    }

    /// Whether any endpoint that the request has not excluded could be sent the request again without a
    /// second effect.
    fn can_repeat_anywhere(&self, now: Time, request: &PendingRequest) -> bool {
        let gate = self.permission_gate(now);
        self.endpoints.iter().any(|endpoint| {
            !request.excluded_endpoints.contains(&endpoint.id()) && gate.may_repeat(request, endpoint)
        })
    }

    /// Makes a read wait for another request's fetch of the same key. Returns false if there is no such
    /// fetch.
    fn join_fetch(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if request.request.write || !self.fetches.join(request.request.key, id) {
            return false;
        }
        let slo_deadline = request.slo_deadline;
        self.requests.clear_waiting(request.priority);
        // If the fetch takes longer than the waiting request's latency objective, the request is rejected
        // then.
        self.requests.add_deadline(slo_deadline, id);
        true
    }

    /// The endpoint for the request's next attempt, if one is available. `is_late` says that an answer is
    /// expected only after the latency objective.
    fn select_endpoint(
        &self,
        now: Time,
        request: &PendingRequest,
        needs_origin: bool,
        is_late: bool,
    ) -> Option<EndpointId> {
        // The last attempt of a read that failed at caches goes to the origin if possible, since another
        // cache might be congested too.
        let is_last_attempt = self.settings.is_cache_aside()
            && !request.attempts.is_empty()
            && request.attempts.len() + 1 == request.max_attempts;
        if needs_origin || is_last_attempt {
            let share = if needs_origin && !is_late { 1.0 } else { LOW_PRIORITY_LIMIT_SHARE };
            let origin = self.available_origin(now, request, share);
            if origin.is_some() {
                return origin;
            }
        }
        if !needs_origin {
            let candidate = self.available_candidate(now, request);
            if candidate.is_some() {
                return candidate;
            }
        }
        if self.have_all_candidates_failed(now, request) {
            return self.available_origin(now, request, 1.0);
        }
        None
    }

    /// The available candidate of the highest weight.
    fn available_candidate(&self, now: Time, request: &PendingRequest) -> Option<EndpointId> {
        if request.missed_in_cache {
            return self.previous_endpoint(now, request);
        }
        let ranked = self.selection.ranked_candidates(request.request.key);
        ranked.into_iter().find(|id| self.is_available(now, request, *id))
    }

    /// The endpoint that held a missed key before its shard's migration, if it is available and the request
    /// has another attempt left for the origin.
    fn previous_endpoint(&self, now: Time, request: &PendingRequest) -> Option<EndpointId> {
        if request.attempts.len() + 1 >= request.max_attempts {
            return None;
        }
        let previous = self.selection.previous_endpoint(request.request.key)?;
        self.is_available(now, request, previous).then_some(previous)
    }

    /// The origin, if it is available and its attempts in flight are fewer than this share of its limit.
    fn available_origin(&self, now: Time, request: &PendingRequest, share: f64) -> Option<EndpointId> {
        let mut origins = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_origin() && endpoint.limit.has_capacity_within(share));
        let available = origins.find(|origin| self.is_available(now, request, origin.id()));
        available.map(Endpoint::id)
    }

    /// Whether every candidate of a read has failed, so that only the origin can serve it.
    fn have_all_candidates_failed(&self, now: Time, request: &PendingRequest) -> bool {
        if !self.settings.is_cache_aside() {
            return false;
        }
        let ranked = self.selection.ranked_candidates(request.request.key);
        !ranked.is_empty() && ranked.iter().all(|id| self.has_failed(now, request, *id))
    }

    /// Whether the endpoint is excluded from the request, is ejected, or is in a zone that takes no attempts.
    fn has_failed(&self, now: Time, request: &PendingRequest, id: EndpointId) -> bool {
        if request.excluded_endpoints.contains(&id) {
            return true;
        }
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.health.is_ejected() || !self.zones.is_attempt_allowed(now, endpoint.zone())
        })
    }

    /// Whether the site's rules permit an attempt at the endpoint and the endpoint has capacity.
    fn is_available(&self, now: Time, request: &PendingRequest, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        self.permission_gate(now).is_permitted(request, endpoint) && self.has_capacity(now, request, id)
    }

    /// Whether the endpoint's health, its zone and its concurrency limit allow an attempt of the request.
    pub(super) fn has_capacity(&self, now: Time, request: &PendingRequest, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        // Only idempotent requests probe an ejected endpoint or an unresponsive zone, since a probe may have
        // to be repeated elsewhere.
        let effect = self.settings.request_class(request.request.request_class).effect;
        let may_probe = effect == Effect::Idempotent;
        let is_probe = may_probe && endpoint.limit.in_flight() < 1.0 && endpoint.health.is_probe_due(now);
        let is_healthy = !endpoint.health.is_ejected() || is_probe;
        let is_excluded = request.excluded_endpoints.contains(&id);
        let is_zone_usable = endpoint.is_origin()
            || may_probe && self.zones.is_attempt_allowed(now, endpoint.zone())
            || !self.zones.is_unresponsive(endpoint.zone());
        !is_excluded && is_healthy && is_zone_usable && endpoint.limit.has_capacity(now)
    }

    pub(super) fn permission_gate(&self, now: Time) -> PermissionGate<'_> {
        PermissionGate {
            now,
            settings: &self.settings,
            endpoints: &self.endpoints,
            warmup: self.warmup_gate(now),
        }
    }

    fn warmup_gate(&self, now: Time) -> WarmupGate<'_> {
        WarmupGate {
            now,
            settings: &self.settings,
            traffic: &self.warmup_traffic,
            response_times: &self.response_times,
        }
    }

    /// Creates an attempt at an available endpoint, and records the attempt in the state of the request and
    /// of the endpoint.
    fn send(&mut self, now: Time, id: RequestId, target: EndpointId) -> Option<Attempt> {
        let begin_deadline = self.permission_gate(now).begin_deadline(self.requests.get(id)?);
        let class = self.requests.get(id)?.request.request_class;
        let is_idempotent = self.settings.request_class(class).effect == Effect::Idempotent;
        let pending = self.requests.get_mut(id)?;
        let request = pending.request;
        let sent = SentAttempt { request, endpoint: target, sent_at: now, in_flight: true };
        let number = AttemptNumber(pending.attempts.len() as u8);
        pending.attempts.push(sent);
        let priority = pending.priority;
        let attempt = Attempt {
            request: id,
            endpoint: target,
            timeout: pending.client_deadline - now,
            begin_within: begin_deadline - now,
            is_idempotent,
        };
        self.attempts.insert(id, number, sent);
        self.requests.clear_waiting(priority);
        if self.endpoints.role(target) == EndpointRole::Origin && !request.write {
            self.fetches.start(request.key, id);
        }
        self.account_for_attempt(now, &sent);
        let slo = self.settings.request_class(request.request_class).slo;
        self.requests.add_deadline(now + slo.scaled(SLOW_SLO_SHARE), id);
        Some(attempt)
    }

    /// Records an attempt in the state of its endpoint and of that endpoint's zone.
    fn account_for_attempt(&mut self, now: Time, sent: &SentAttempt) {
        let required_share = self.random.next_unit_float();
        let gate = self.warmup_gate(now);
        let Some(endpoint) = self.endpoints.get(sent.endpoint) else { return };
        let cost = gate.cost(endpoint, &sent.request);
        let remaining = gate.available(endpoint, cost) - cost;
        let Some(endpoint) = self.endpoints.get_mut(sent.endpoint) else { return };
        endpoint.warmup_budget.set(now, remaining, required_share);
        endpoint.limit.on_attempt_sent();
        endpoint.own_load.change_by(now, 1.0);
        endpoint.health.on_attempt_sent(now);
        if !endpoint.is_origin() {
            self.warmup_traffic.on_work_sent(now, &sent.request);
            self.zones.on_attempt_sent(now, endpoint.zone());
        }
    }
}
