//! The planner's side of the lease component. It grants leases to forwarders and loans to other planners, and
//! requests loans when its forwarders are short of a resource.

mod borrowing;
mod surplus;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::ledger::{ClaimId, GrantPolicy, Ledger};
use super::long_term::LongTermGrantor;
use super::message::{Demand, LeaseMessage, LongTermRequest, MAX_DEMANDS_PER_MESSAGE};
use super::{LeaseError, Resource, ResourceAmount, Settings};
use crate::component::{Component, Event};
use crate::member::{Incarnation, Member, PlannerId, Sender};
use borrowing::LoanRequests;

pub use surplus::Surplus;

/// The maximum number of messages that wait for the host. While the queue is full, requests are rejected,
/// which has the same effect as their loss.
const MAX_QUEUED_MESSAGES: usize = 8192;

/// What members may hold of one resource by a planner's grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutstandingGrants {
    /// The resource.
    pub resource: Resource,
    /// The sum of what forwarders may hold, in the resource's amounts.
    pub leased: u64,
    /// The sum of what other planners may have borrowed, in the resource's amounts.
    pub loaned: u64,
}

/// The lease component of a planner.
#[derive(Clone, Debug)]
pub struct PlannerComponent {
    settings: Settings,
    me: PlannerId,
    /// The end of the wait in which grants of an earlier incarnation may still be held; `None` once the wait
    /// is over.
    startup_wait_until: Option<Time>,
    ledgers: BTreeMap<Resource, Ledger>,
    long_term: LongTermGrantor,
    alive_planners: BTreeSet<PlannerId>,
    outbox: VecDeque<(Member, LeaseMessage)>,
    loan_requests: LoanRequests,
    next_loan_requests: Time,
    events: VecDeque<Event>,
}

impl PlannerComponent {
    /// Creates the component. The settings must have been checked with [`Settings::check`], and the
    /// incarnation must be greater than every earlier one of this planner.
    pub fn new(settings: Settings, me: PlannerId, incarnation: Incarnation, now: Time) -> PlannerComponent {
        let startup_wait_until = Some(now + settings.grantor_duration(settings.max_duration));
        let long_term = LongTermGrantor::new(&settings, incarnation, now);
        PlannerComponent {
            settings,
            me,
            startup_wait_until,
            ledgers: BTreeMap::new(),
            long_term,
            alive_planners: BTreeSet::new(),
            outbox: VecDeque::new(),
            loan_requests: LoanRequests::default(),
            next_loan_requests: now,
            events: VecDeque::new(),
        }
    }

    /// Applies other settings, after the same wait as at a start: other members may use the former settings
    /// for a while.
    pub fn on_settings_update(&mut self, now: Time, settings: Settings) {
        let max_duration = self.settings.max_duration.max(settings.max_duration);
        let wait = self.settings.grantor_duration(max_duration).max(settings.grantor_duration(max_duration));
        self.startup_wait_until = Some(now + wait);
        self.settings = settings;
        self.long_term.on_settings_update(&self.settings, now);
        for ledger in self.ledgers.values_mut() {
            ledger.set_escrow(0);
        }
    }

    /// All state that determines the component's behaviour, for a search over states.
    pub fn hashable_state(&self) -> impl std::hash::Hash + '_ {
        (
            self.startup_wait_until,
            &self.ledgers,
            self.long_term.hashable_state(),
            &self.alive_planners,
            &self.outbox,
            self.loan_requests.pending(),
            self.next_loan_requests,
        )
    }

    /// What members may hold by this planner's grants, for each resource.
    pub fn outstanding_grants(&self) -> impl Iterator<Item = OutstandingGrants> + '_ {
        self.ledgers.iter().map(|(resource, ledger)| OutstandingGrants {
            resource: *resource,
            leased: ledger.leased(),
            loaned: ledger.loaned(),
        })
    }

    fn end_startup_wait(&mut self, now: Time) {
        if self.startup_wait_until.is_none_or(|until| until > now) {
            return;
        }
        self.startup_wait_until = None;
        for (resource, ledger) in &mut self.ledgers {
            ledger.set_escrow(self.settings.escrow(*resource));
        }
        let message =
            "the wait after the start or a change of settings is over: this planner grants leases from its escrow".to_string();
        self.events.push_back(Event { name: "leases_ready", message, is_warning: false });
    }

    /// Returns the ledger of a resource. Creates it if the limit on warming cache servers allows.
    fn ledger(&mut self, resource: Resource) -> Result<&mut Ledger, LeaseError> {
        if !self.ledgers.contains_key(&resource) && self.ledgers.len() > self.settings.max_warming_caches {
            return Err(LeaseError::TooManyEntries);
        }
        let escrow = match self.startup_wait_until {
            Some(_) => 0,
            None => self.settings.escrow(resource),
        };
        Ok(self.ledgers.entry(resource).or_insert_with(|| Ledger::new(escrow)))
    }

    /// The duration of a grant to this member.
    fn grant_duration(&self, member: Member) -> Result<Span, LeaseError> {
        match member {
            Member::Forwarder(_) => Ok(self.settings.lease_duration),
            Member::Planner(id) if id == self.me || !self.settings.planners.contains(&id) => {
                Err(LeaseError::UnknownPlanner)
            }
            Member::Planner(_) => Ok(self.settings.loan_duration),
        }
    }

    fn on_request(
        &mut self,
        now: Time,
        from: Sender,
        request_id: u64,
        demands: &[Demand],
    ) -> Result<(), LeaseError> {
        if self.outbox.len() >= MAX_QUEUED_MESSAGES {
            return Err(LeaseError::TooManyEntries);
        }
        let duration = self.grant_duration(from.member)?;
        let policy = GrantPolicy {
            grantor_duration: self.settings.grantor_duration(duration),
            lease_grantor_duration: self.settings.grantor_duration(self.settings.lease_duration),
            demand_window: self.settings.lease_duration,
            target_refresh_interval: self.settings.target_refresh_interval,
        };
        let mut granted = Vec::new();
        let mut last_error = None;
        for demand in demands.iter().take(MAX_DEMANDS_PER_MESSAGE) {
            match self.grant_demand(now, ClaimId::of(from), request_id, *demand, policy) {
                Ok(amount) => granted.push(ResourceAmount { resource: demand.resource, amount }),
                Err(error) => last_error = Some(error),
            }
        }
        // A request that was answered before is not answered again, because its grant may have been released
        // since.
        match last_error {
            Some(error) if granted.is_empty() => Err(error),
            _ => {
                let grant = LeaseMessage::Grant { request_id, granted, duration: duration.0 as u32 };
                self.outbox.push_back((from.member, grant));
                Ok(())
            }
        }
    }

    /// Records one demand of a request and returns the amount that is granted to it, in the resource's
    /// amounts.
    fn grant_demand(
        &mut self,
        now: Time,
        claim: ClaimId,
        request_id: u64,
        demand: Demand,
        policy: GrantPolicy,
    ) -> Result<u32, LeaseError> {
        let max_claims = self.settings.max_claims;
        let ledger = self.ledger(demand.resource)?;
        if ledger.claim_count() >= max_claims && !ledger.has_claim(claim) {
            return Err(LeaseError::TooManyEntries);
        }
        if !ledger.record_request(now, claim, request_id, demand) {
            return Err(LeaseError::Outdated);
        }
        Ok(ledger.grant(now, claim, policy))
    }

    fn on_long_term_request(
        &mut self,
        now: Time,
        from: Sender,
        request: LongTermRequest,
    ) -> Result<(), LeaseError> {
        if self.outbox.len() >= MAX_QUEUED_MESSAGES {
            return Err(LeaseError::TooManyEntries);
        }
        let request_id = request.request_id;
        let grant = match self.long_term.on_request(now, from, request, &self.settings)? {
            Some(amount) => {
                let duration = self.settings.long_term_duration.0 as u32;
                LeaseMessage::GrantLongTerm { request_id, amount, duration }
            }
            // During the wait after a start, the answer to a request that is addressed to an earlier
            // incarnation grants nothing. It announces this incarnation, so that the forwarder can address
            // its next request to it.
            None => LeaseMessage::GrantLongTerm { request_id, amount: 0, duration: 0 },
        };
        self.outbox.push_back((from.member, grant));
        Ok(())
    }
}

impl Component for PlannerComponent {
    type Message = LeaseMessage;
    type Error = LeaseError;

    fn on_message(&mut self, now: Time, from: Sender, message: LeaseMessage) -> Result<(), LeaseError> {
        self.end_startup_wait(now);
        match message {
            LeaseMessage::Request { request_id, demands } => self.on_request(now, from, request_id, &demands),
            LeaseMessage::Grant { request_id, granted, duration } => {
                let duration = Span(u64::from(duration)).min(self.settings.max_duration);
                self.on_loan(from, request_id, &granted, duration)
            }
            LeaseMessage::Release { request_id } => {
                for ledger in self.ledgers.values_mut() {
                    ledger.release(ClaimId::of(from), request_id);
                }
                Ok(())
            }
            LeaseMessage::RequestLongTerm(request) => self.on_long_term_request(now, from, request),
            LeaseMessage::ReleaseLongTerm { request_id } => {
                self.long_term.on_release(from, request_id);
                Ok(())
            }
            LeaseMessage::GrantLongTerm { .. } => Err(LeaseError::UnexpectedMessage),
        }
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|member| match member {
            Member::Planner(id) if self.settings.planners.contains(id) => Some(*id),
            _ => None,
        });
        self.alive_planners = planners.collect();
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, LeaseMessage)> {
        self.end_startup_wait(now);
        if now >= self.next_loan_requests {
            self.next_loan_requests = now + self.settings.request_interval;
            self.request_loans(now);
        }
        self.outbox.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.outbox.is_empty() {
            return Some(now);
        }
        if self.ledgers.is_empty() {
            return None;
        }
        let end_of_wait = self.startup_wait_until.unwrap_or(self.next_loan_requests);
        Some(self.next_loan_requests.min(end_of_wait).max(now))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        let ledgers: usize = self.ledgers.values().map(|ledger| 1 + ledger.entries()).sum();
        ledgers + self.long_term.entries() + self.outbox.len() + self.loan_requests.len()
    }
}
