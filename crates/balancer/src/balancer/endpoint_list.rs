//! The endpoint list, and the state that the balancer stores for each endpoint.

use std::collections::{BTreeMap, BTreeSet};

use crate::control_plane::Lease;
use crate::decaying::DecayingLevel;
use crate::endpoint::{EndpointRole, EndpointUpdate};
use crate::ids::{EndpointId, ZoneId};
use crate::seeded_hash::SeededRandom;
use crate::settings::Settings;
use crate::time::{Span, Time};

use super::MINORITY_SHARE;
use super::concurrency_limit::ConcurrencyLimit;
use super::load_reports::{ReceivedLoadReport, USAGE_TIME_CONSTANT};
use super::outlier_detection::EndpointHealth;
use super::warmup::{WarmupBudget, warmup_factor};

/// How long the state of an endpoint is kept after the list dropped the endpoint, where only draining
/// excludes an endpoint from new attempts.
pub const REMOVED_ENDPOINT_TTL: Span = Span::from_millis(60_000);
/// The least endpoint size that usage and the slot table's ranking are divided by.
const MIN_SIZE: f64 = 1e-3;
/// The fastest response time of an endpoint that has not responded yet: longer than any response.
const NO_RESPONSE_TIME: Span = Span(1 << 40);

/// The state of one endpoint.
pub(super) struct Endpoint {
    /// The endpoint's last list entry, except that `ready` is false while a dropped endpoint is out of
    /// service.
    pub listed: EndpointUpdate,
    pub role: EndpointRole,
    pub health: EndpointHealth,
    pub limit: ConcurrencyLimit,
    /// The number of the node's own attempts in flight at the endpoint, averaged over time.
    pub own_load: DecayingLevel,
    pub warmup_budget: WarmupBudget,
    pub lease: Option<Lease>,
    /// The paper's push b\[n\] (equation 8).
    pub push: f64,
    /// The time of the fastest recent response; it grows slowly until a faster response arrives.
    pub fastest_response: Span,
    /// When the latest attempt with a prompt answer was sent.
    pub last_prompt_attempt_at: Time,
    /// When the endpoint last responded to any attempt.
    pub last_response_at: Time,
    pub last_load_report: Option<ReceivedLoadReport>,
    /// When the list dropped the endpoint while it was ready, that is without listing it as draining before.
    pub removed_at: Option<Time>,
}

impl Endpoint {
    /// The state of a new or restarted endpoint with `in_flight` attempts in flight already.
    fn new(
        listed: EndpointUpdate,
        settings: &Settings,
        required_warmup_share: f64,
        in_flight: f64,
        now: Time,
    ) -> Endpoint {
        let is_origin = Some(listed.kind) == settings.origin;
        Endpoint {
            listed,
            role: if is_origin { EndpointRole::Origin } else { EndpointRole::Cache },
            health: EndpointHealth::new(),
            limit: ConcurrencyLimit::new(settings.nodes, in_flight, now),
            own_load: DecayingLevel::starting_at(in_flight, USAGE_TIME_CONSTANT, now),
            warmup_budget: WarmupBudget::new(required_warmup_share, now),
            lease: None,
            push: 0.0,
            fastest_response: NO_RESPONSE_TIME,
            last_prompt_attempt_at: now,
            last_response_at: now,
            last_load_report: None,
            removed_at: None,
        }
    }

    pub fn id(&self) -> EndpointId {
        self.listed.id
    }

    pub fn zone(&self) -> ZoneId {
        self.listed.zone
    }

    pub fn is_origin(&self) -> bool {
        self.role == EndpointRole::Origin
    }

    /// Whether the endpoint is a ready cache, which can be a candidate of keys.
    pub fn is_serving(&self) -> bool {
        self.listed.ready && !self.is_origin()
    }

    /// The endpoint's listed size where listed sizes are capacities, otherwise one.
    pub fn size(&self, settings: &Settings) -> f64 {
        if settings.sizes_are_capacities { self.listed.size.max(MIN_SIZE) } else { 1.0 }
    }

    pub fn warmup_factor(&self, now: Time, settings: &Settings) -> f64 {
        warmup_factor(now, self.listed.started, settings)
    }

    /// Takes the endpoint out of service. Where only draining excludes an endpoint, the time of the removal
    /// is recorded if the endpoint was ready until then.
    fn remove(&mut self, now: Time, only_draining_excludes: bool) {
        if self.removed_at.is_none() && self.listed.ready && only_draining_excludes {
            self.removed_at = Some(now);
        }
        self.listed.ready = false;
    }

    /// Whether the endpoint is ready, or was dropped from the list less than [`REMOVED_ENDPOINT_TTL`] ago.
    fn is_retained(&self, now: Time) -> bool {
        match self.removed_at {
            Some(removed_at) => now - removed_at < REMOVED_ENDPOINT_TTL,
            None => self.listed.ready,
        }
    }
}

/// All known endpoints, in the order of their ids.
#[derive(Default)]
pub(super) struct EndpointList {
    endpoints: BTreeMap<EndpointId, Endpoint>,
}

impl EndpointList {
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.endpoints.values_mut()
    }

    /// The role of an endpoint; an unknown endpoint counts as a cache.
    pub fn role(&self, id: EndpointId) -> EndpointRole {
        self.get(id).map_or(EndpointRole::Cache, |endpoint| endpoint.role)
    }

    pub fn zones(&self) -> BTreeSet<ZoneId> {
        self.iter().map(Endpoint::zone).collect()
    }

    /// Applies list entries. If the list is complete, endpoints without an entry are removed.
    pub fn apply(
        &mut self,
        now: Time,
        updates: &[EndpointUpdate],
        complete: bool,
        settings: &Settings,
        random: &mut SeededRandom,
    ) {
        if complete {
            self.remove_unlisted(now, updates, settings.only_draining_excludes);
        }
        for update in updates {
            // The random number is drawn for each entry, even if unused: later draws depend on the number of
            // draws.
            let required_warmup_share = random.next_unit_float();
            self.apply_update(now, update, settings, required_warmup_share);
        }
    }

    fn remove_unlisted(&mut self, now: Time, updates: &[EndpointUpdate], only_draining_excludes: bool) {
        let listed: BTreeSet<EndpointId> = updates.iter().map(|update| update.id).collect();
        for endpoint in self.endpoints.values_mut() {
            if !listed.contains(&endpoint.id()) {
                endpoint.remove(now, only_draining_excludes);
            }
        }
    }

    fn apply_update(
        &mut self,
        now: Time,
        update: &EndpointUpdate,
        settings: &Settings,
        required_warmup_share: f64,
    ) {
        let mut in_flight = 0.0;
        if let Some(endpoint) = self.endpoints.get_mut(&update.id) {
            if !update.ready && !update.draining {
                return endpoint.remove(now, settings.only_draining_excludes);
            }
            if endpoint.listed.started == update.started {
                endpoint.listed = *update;
                endpoint.removed_at = None;
                return;
            }
            // The endpoint restarted under the same id: it warms up again, and its former state is dropped.
            // Only its attempts in flight still count.
            in_flight = endpoint.limit.in_flight();
        }
        let endpoint = Endpoint::new(*update, settings, required_warmup_share, in_flight, now);
        self.endpoints.insert(update.id, endpoint);
    }

    /// Decides which of the endpoints that the list dropped stay in service, where only draining excludes an
    /// endpoint. The origin, and all caches if the list dropped more than a minority of them, stay in service
    /// and are assessed by their responses, since such a list is doubted. If these endpoints are in fact
    /// gone, probes of them cost attempts until [`REMOVED_ENDPOINT_TTL`] has passed.
    pub fn update_removed_endpoints(&mut self, now: Time) {
        self.endpoints.retain(|_, endpoint| endpoint.is_retained(now) || endpoint.limit.in_flight() > 0.0);
        let caches: Vec<&Endpoint> = self.iter().filter(|endpoint| !endpoint.is_origin()).collect();
        let removed = caches.iter().filter(|cache| cache.removed_at.is_some()).count();
        let is_doubted = removed as f64 > caches.len() as f64 * MINORITY_SHARE;
        for endpoint in self.endpoints.values_mut() {
            if endpoint.removed_at.is_some() {
                endpoint.listed.ready = (is_doubted || endpoint.is_origin()) && endpoint.is_retained(now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
