//! The check of the site's rules: every attempt passes [`PermissionGate::is_permitted`] before it is sent.

use crate::ids::EndpointId;
use crate::pending_request::PendingRequest;
use crate::settings::{DedupScope, Effect, Settings};
use crate::time::Time;

use super::endpoint_list::{Endpoint, EndpointList};
use super::warmup::WarmupGate;

/// A deduplicated request is repeated only within this share of its deduplication window, since the attempt
/// must arrive and leave the endpoint's queue before the window ends.
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
        // Rule 1: no attempt after the client's deadline, and no more attempts than the site allows.
        let is_active = self.now < request.client_deadline && request.attempts.len() < request.max_attempts;
        // Rule 2: no effect may happen twice, and a request has no two attempts in flight unless the site
        // allows hedged requests.
        let may_add_attempt = self.settings.hedged_requests || request.first_in_flight().is_none();
        let is_harmless = may_add_attempt && self.may_repeat(request, endpoint);
        // Rule 3: no attempt from the moment that the node knows that the endpoint is draining or gone, which
        // is well within the grace period.
        let is_ready = endpoint.listed.ready;
        // Rule 4: no attempt beyond the node's budget for an endpoint in warm-up or for a leased origin.
        let is_within_budget = self.warmup.is_permitted(endpoint, &request.request);
        is_active && is_harmless && is_ready && is_within_budget
    }

    /// Whether an attempt at this endpoint cannot make the request's effect happen twice.
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

    /// The time until which the first byte of an attempt may be sent. The host has to check this time as
    /// well, since the attempt's connection may be established long after the rules were checked.
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
