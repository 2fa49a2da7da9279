//! The rules' gate: every attempt passes [`PermissionGate::is_permitted`] before it is sent.

use crate::ids::EndpointId;
use crate::pending_request::PendingRequest;
use crate::settings::{DedupScope, Effect, Settings};
use crate::time::Time;

use super::endpoint_list::{Endpoint, EndpointList};
use super::warmup::WarmupGate;

/// A deduplicated request is repeated within this share of its window only: the attempt has to arrive, and to wait in
/// the endpoint's queue, before the window ends.
const REPEAT_WINDOW_SHARE: f64 = 0.5;

/// Checks the rules that no attempt may break, at one moment.
pub(super) struct PermissionGate<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub endpoints: &'a EndpointList,
    pub warmup: WarmupGate<'a>,
}

impl PermissionGate<'_> {
    /// Whether an attempt of the request may be sent to the endpoint.
    pub fn is_permitted(&self, request: &PendingRequest, endpoint: &Endpoint) -> bool {
        // Rule 1: no attempt for a request that has ended, and no more attempts than the site allows.
        let is_active = self.now < request.client_deadline && request.attempts.len() < request.max_attempts;
        // Rule 2: no effect twice, and no two attempts in flight where the site forbids hedged requests.
        let is_single = self.settings.hedged_requests || request.first_in_flight().is_none();
        let is_harmless = is_single && self.may_repeat(request, endpoint);
        // Rule 3: no new work from the moment that the node knows of draining, well within the grace period.
        let is_ready = endpoint.listed.ready;
        // Rule 4: the node's budget of an endpoint in warm-up, and of the origin where it is leased.
        let is_within_budget = self.warmup.is_permitted(endpoint, &request.request);
        is_active && is_harmless && is_ready && is_within_budget
    }

    /// Whether no effect can happen twice if the request goes to this endpoint too.
    pub fn may_repeat(&self, request: &PendingRequest, endpoint: &Endpoint) -> bool {
        let Some(number) = request.first_possible_execution() else { return true };
        let first = &request.attempts[number];
        match self.settings.request_class(request.request.request_class).effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { scope, window } => {
                self.is_in_scope(scope, first.endpoint, endpoint)
                    && self.now < first.sent_at + window.scaled(REPEAT_WINDOW_SHARE)
            }
        }
    }

    fn is_in_scope(&self, scope: DedupScope, first: EndpointId, endpoint: &Endpoint) -> bool {
        let first = self.endpoints.get(first);
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => first.is_some_and(|first| first.zone() == endpoint.zone()),
            DedupScope::Cell => first.is_some_and(|first| first.listed.cell == endpoint.listed.cell),
        }
    }

    /// Until when an attempt of the request may begin. The gate is passed once, and the attempt's connection may be
    /// established later.
    pub fn begin_deadline(&self, request: &PendingRequest) -> Time {
        let effect = self.settings.request_class(request.request.request_class).effect;
        match (effect, request.first_possible_execution()) {
            (Effect::Deduplicated { window, .. }, Some(first)) => {
                let repeat_deadline = request.attempts[first].sent_at + window.scaled(REPEAT_WINDOW_SHARE);
                request.client_deadline.min(repeat_deadline)
            }
            _ => request.client_deadline,
        }
    }
}

#[cfg(test)]
mod tests;
