//! The forwarder's side of the lease component. It estimates the forwarder's demand from what the balancer
//! does, requests leases from one planner at a time, and limits the balancer to what the forwarder holds.

mod limits;
mod planner_selection;
mod usage;

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::time::{Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::long_term::{LongTermAllocations, LongTermDemandEstimator, REQUEST_INTERVAL};
use super::{Holdings, LeaseError, LeaseMessage, PlannerIncarnation, Resource, ResourceAmount, Settings};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, Sender};
use crate::observation::{Observation, ObservedEndpoint};
use planner_selection::PlannerSelector;
use usage::ResourceUsage;

/// The interval at which the component checks whether the balancer was notified of its limits, before the
/// first long-term request.
const FIRST_NOTIFICATION_POLL: Span = Span::from_millis(50);
/// A time that is never reached.
const NEVER: Time = Time(u64::MAX);

/// The lease component of a forwarder.
pub struct ForwarderComponent {
    settings: Settings,
    me: ForwarderId,
    holdings: Holdings,
    planners: PlannerSelector,
    usage: ResourceUsage,
    outbox: VecDeque<(Member, LeaseMessage)>,
    next_request: Time,
    long_term: LongTermAllocations,
    long_term_demand: LongTermDemandEstimator,
    next_long_term_request: Time,
    /// Whether the balancer was notified of its limit at the origin in this incarnation. Until then it may
    /// still use the allocation of an earlier incarnation, which the first long-term request revokes at the
    /// planners.
    has_notified_balancer: bool,
    /// Whether leases were held at the last log line about them.
    has_leases: bool,
    events: VecDeque<Event>,
}

impl ForwarderComponent {
    /// Creates the component. The settings must have been checked with [`Settings::check`].
    pub fn new(
        settings: Settings,
        me: ForwarderId,
        _incarnation: Incarnation,
        now: Time,
    ) -> ForwarderComponent {
        // First requests are spread over the interval, because all forwarders may start at the same time.
        let offset = xxh3_64_with_seed(&[], me.0) % settings.request_interval.0.max(1);
        let first_request = now + Span(offset);
        let has_long_term = settings.long_term_escrow() > 0;
        let even_share = even_share(&settings, Resource::Origin);
        ForwarderComponent {
            settings,
            me,
            holdings: Holdings::default(),
            planners: PlannerSelector::new(me),
            usage: ResourceUsage::new(now),
            outbox: VecDeque::new(),
            next_request: first_request,
            long_term: LongTermAllocations::default(),
            long_term_demand: LongTermDemandEstimator::new(now, even_share),
            next_long_term_request: if has_long_term { first_request } else { NEVER },
            has_notified_balancer: false,
            has_leases: false,
            events: VecDeque::new(),
        }
    }

    /// Updates the estimates of demand by what the balancer did.
    pub fn on_observation(&mut self, now: Time, observation: &Observation) {
        match observation {
            Observation::EndpointsChanged(endpoints) => self.on_endpoints_changed(now, endpoints),
            Observation::AttemptSent { is_origin: true, write: false, .. } | Observation::FetchDenied => {
                // Rejected fetches count too. With sent fetches alone, a demand far beyond the limit would be
                // found only step by step.
                let amount = Resource::Origin.amounts_per_unit();
                self.usage.record_fetch(amount);
                self.long_term_demand.record_usage(amount);
            }
            Observation::AttemptSent { cache, is_origin: false, .. } => {
                self.usage.record_cache_attempt(now, *cache, &self.settings);
            }
            Observation::AttemptFinished(attempt) => self.usage.record_finished_attempt(attempt),
            Observation::AttemptSent { .. } => {}
        }
    }

    /// Releases all leases and long-term allocations, so that other forwarders need not wait until they
    /// expire. The balancer must have stopped sending.
    pub fn shut_down(&mut self) {
        for (planner, message) in self.holdings.release_all() {
            self.outbox.push_back((Member::Planner(planner), message));
        }
        let released = self.long_term.release_all();
        for planner in released.planners {
            let message = LeaseMessage::ReleaseLongTerm { request_id: released.last_request_id };
            self.outbox.push_back((Member::Planner(planner), message));
        }
        self.next_request = NEVER;
        self.next_long_term_request = NEVER;
    }

    fn on_endpoints_changed(&mut self, now: Time, endpoints: &[ObservedEndpoint]) {
        let has_new_warming_cache = self.usage.on_endpoints_changed(now, endpoints, &self.settings);
        if has_new_warming_cache {
            // Requests are spread over the interval, because the other forwarders see the new cache server at
            // the same time.
            let offset = Span(self.me.0 % self.settings.request_interval.0.max(1));
            self.next_request = self.next_request.min(now + offset);
        }
    }

    /// Requests leases for the demand that exceeds the share without leases.
    fn request_leases(&mut self, now: Time) {
        self.usage.forget_warm_caches(now, &self.settings);
        self.holdings.expire(now);
        let amounts = self.amounts_to_request(now);
        if amounts.is_empty() {
            return;
        }
        let Some(planner) = self.planners.select(now, &self.settings) else { return };
        self.planners.on_request_sent(now, planner);
        for message in self.holdings.request(now, planner, &amounts) {
            self.outbox.push_back((Member::Planner(planner), message));
        }
    }

    fn amounts_to_request(&mut self, now: Time) -> Vec<ResourceAmount> {
        let origin_share = self.share_without_leases(now, Resource::Origin);
        let mut amounts = BTreeMap::new();
        for (resource, estimator) in self.usage.estimators() {
            let share = match resource {
                Resource::Origin => origin_share,
                Resource::WarmingCache(_) => self.settings.guaranteed_share(resource),
            };
            let leased = self.holdings.usable(now, resource);
            let permitted = f64::from(share.saturating_add(leased));
            let capacity = f64::from(self.settings.capacity(resource));
            let even_share = even_share(&self.settings, resource);
            let demand = estimator.estimate(now, permitted, even_share).min(capacity);
            let excess = (demand - f64::from(share)).max(0.0) as u32;
            // A demand that has fallen to zero is still reported while a lease is held, so that the planner
            // learns of the fall.
            if excess > 0 || leased > 0 {
                amounts.insert(resource, excess);
            }
        }
        for resource in self.holdings.resources() {
            amounts.entry(resource).or_insert(0);
        }
        amounts.into_iter().map(|(resource, amount)| ResourceAmount { resource, amount }).collect()
    }

    /// Requests a long-term allocation from each planner that is alive.
    fn request_long_term(&mut self, now: Time) {
        self.long_term.expire(now);
        let demand = self.long_term_demand.estimate(now);
        for planner in self.planners.candidates(&self.settings) {
            let request = self.long_term.request(now, planner, demand);
            self.outbox.push_back((Member::Planner(planner), LeaseMessage::RequestLongTerm(request)));
        }
    }

    /// Logs that the first lease is held, or that no lease is held any more.
    fn log_lease_changes(&mut self, now: Time) {
        let has_leases = self.holdings.resources().any(|resource| self.holdings.usable(now, resource) > 0);
        if has_leases == self.has_leases || !has_leases && !self.planners.has_unavailable_planner() {
            return;
        }
        self.has_leases = has_leases;
        let message = if has_leases {
            "this forwarder uses leases of planners beyond its guaranteed share"
        } else {
            "no planner grants leases: this forwarder is limited to its guaranteed share and its long-term allocations; \
             check that the planners run and can be reached from here"
        };
        self.events.push_back(Event {
            name: "leases",
            message: message.to_string(),
            is_warning: !has_leases,
        });
    }
}

/// The share of each forwarder if a resource's capacity is divided evenly, in the resource's amounts.
fn even_share(settings: &Settings, resource: Resource) -> f64 {
    f64::from(settings.capacity(resource)) / f64::from(settings.forwarder_count.max(1))
}

impl Component for ForwarderComponent {
    type Message = LeaseMessage;
    type Error = LeaseError;

    fn on_message(&mut self, now: Time, from: Sender, message: LeaseMessage) -> Result<(), LeaseError> {
        let Member::Planner(planner) = from.member else { return Err(LeaseError::UnexpectedMessage) };
        if !self.settings.planners.contains(&planner) {
            return Err(LeaseError::UnknownPlanner);
        }
        let sender = PlannerIncarnation { planner, incarnation: from.incarnation };
        self.long_term.on_planner_message(sender);
        match message {
            // The planner has only announced its incarnation. The next request reports to this incarnation
            // what is held.
            LeaseMessage::GrantLongTerm { duration: 0, .. } => Ok(()),
            LeaseMessage::GrantLongTerm { request_id, amount, duration } => {
                let duration = Span(u64::from(duration)).min(self.settings.long_term_duration);
                self.long_term.on_grant(now, sender, request_id, amount, duration)
            }
            LeaseMessage::Grant { request_id, granted, duration } => {
                let duration = Span(u64::from(duration)).min(self.settings.max_duration);
                self.holdings.on_grant(now, sender, request_id, &granted, duration)?;
                self.planners.on_answer(planner);
                self.log_lease_changes(now);
                Ok(())
            }
            LeaseMessage::Request { .. }
            | LeaseMessage::Release { .. }
            | LeaseMessage::RequestLongTerm(_)
            | LeaseMessage::ReleaseLongTerm { .. } => Err(LeaseError::UnexpectedMessage),
        }
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        self.planners.on_membership_change(alive);
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, LeaseMessage)> {
        if now >= self.next_request {
            self.next_request = now + self.settings.request_interval;
            self.request_leases(now);
            self.log_lease_changes(now);
        }
        if now >= self.next_long_term_request {
            if self.has_notified_balancer {
                self.next_long_term_request = now + REQUEST_INTERVAL;
                self.request_long_term(now);
            } else {
                self.next_long_term_request = now + FIRST_NOTIFICATION_POLL;
            }
        }
        self.outbox.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.outbox.is_empty() {
            return Some(now);
        }
        Some(self.next_request.min(self.next_long_term_request).max(now))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        self.holdings.entries()
            + self.long_term.entries()
            + self.usage.entries()
            + self.planners.unanswered_count()
            + self.outbox.len()
    }
}
