//! A planner's side of long-term allocations: its long-term escrow, and who may hold how much of it.

use granitelb_balancer::time::{Span, Time};

use super::apportionment::Apportionment;
use crate::leases::ledger::{ClaimId, GrantTarget, Ledger};
use crate::leases::{Demand, LeaseError, LongTermRequest, Resource, Settings};
use crate::member::{Incarnation, Sender};

/// A planner's long-term escrow and the claims on it.
#[derive(Clone, Debug)]
pub struct LongTermGrantor {
    incarnation: Incarnation,
    ledger: Ledger,
    /// Until then, what an earlier incarnation granted may still be held.
    startup_wait_until: Option<Time>,
    shares: Option<Apportionment>,
}

impl LongTermGrantor {
    /// Creates the state of a planner that starts.
    pub fn new(settings: &Settings, incarnation: Incarnation, now: Time) -> LongTermGrantor {
        LongTermGrantor {
            incarnation,
            ledger: Ledger::new(settings.long_term_escrow()),
            startup_wait_until: Some(now + grantor_duration(settings)),
            shares: None,
        }
    }

    /// Takes up other settings, after the same wait as at a start. What is held stays in the ledger.
    pub fn on_settings_update(&mut self, settings: &Settings, now: Time) {
        self.startup_wait_until = Some(now + grantor_duration(settings));
        self.ledger.set_escrow(settings.long_term_escrow());
        // What forwarders report of earlier incarnations' grants no longer counts, because requests from before this
        // moment name this incarnation too.
        self.incarnation = Incarnation(u64::MAX);
    }

    /// Handles a request. Returns the amount that is granted, or `None` where the request is not answered with a grant.
    ///
    /// # Errors
    /// Returns why the request is ignored.
    pub fn on_request(
        &mut self,
        now: Time,
        from: Sender,
        request: LongTermRequest,
        settings: &Settings,
    ) -> Result<Option<u32>, LeaseError> {
        let claim = ClaimId::of(from);
        if !claim.is_forwarder() {
            return Err(LeaseError::UnexpectedMessage);
        }
        self.end_startup_wait(now);
        self.ledger.expire(now);
        self.ledger.remove_idle_claims(now, grantor_duration(settings));
        self.record_request(now, claim, request, settings)?;
        if self.startup_wait_until.is_some() {
            return Ok(self.grant_again(now, claim, request, settings));
        }
        let shares = self.current_shares(now, settings);
        let target = GrantTarget {
            amount: shares.share(demand_of(request, settings)),
            total_shortfall: shares.total_shortfall(),
            borrowed: 0,
        };
        Ok(Some(self.ledger.grant_target(now, claim, target, grantor_duration(settings))))
    }

    /// Takes back what the sender was granted for requests up to this one.
    pub fn on_release(&mut self, from: Sender, request_id: u64) {
        self.ledger.release(ClaimId::of(from), request_id);
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.ledger.entries()
    }

    /// All that may be held of the escrow by this incarnation's grants.
    pub fn outstanding(&self) -> u64 {
        self.ledger.leased()
    }

    /// All state that decides what the grantor does next, for a search over states.
    pub fn hashable_state(&self) -> impl std::hash::Hash + '_ {
        let shares = self.shares.map(|shares| shares.hashable_state());
        (self.incarnation, &self.ledger, self.startup_wait_until, shares)
    }

    fn end_startup_wait(&mut self, now: Time) {
        if self.startup_wait_until.is_some_and(|until| until <= now) {
            self.startup_wait_until = None;
        }
    }

    fn record_request(
        &mut self,
        now: Time,
        claim: ClaimId,
        request: LongTermRequest,
        settings: &Settings,
    ) -> Result<(), LeaseError> {
        if self.ledger.has_later_incarnation(claim) {
            return Err(LeaseError::Outdated);
        }
        if self.ledger.claim_count() >= settings.max_claims && !self.ledger.has_claim(claim) {
            return Err(LeaseError::TooManyEntries);
        }
        self.ledger.revoke_earlier_incarnations(claim);
        let demand = Demand {
            resource: Resource::Origin,
            amount: demand_of(request, settings),
            request_in_use: request.request_in_use,
            requesters: 1,
            already_held: 0,
        };
        if !self.ledger.record_request(now, claim, request.request_id, demand) {
            return Err(LeaseError::Outdated);
        }
        Ok(())
    }

    /// During the wait after a start: grants what the forwarder holds already. A request that does not report it to this
    /// incarnation is not answered with a grant: the forwarder continues with what it holds.
    fn grant_again(
        &mut self,
        now: Time,
        claim: ClaimId,
        request: LongTermRequest,
        settings: &Settings,
    ) -> Option<u32> {
        let is_addressed_here = request.planner_incarnation == self.incarnation;
        let reported = if is_addressed_here { request.already_held } else { 0 };
        let amount = self.ledger.outstanding(claim).min(request.already_held).max(reported);
        if amount == 0 {
            return None;
        }
        let target = GrantTarget { amount, total_shortfall: 0, borrowed: 0 };
        Some(self.ledger.grant_target(now, claim, target, grantor_duration(settings)))
    }

    fn current_shares(&mut self, now: Time, settings: &Settings) -> Apportionment {
        if let Some(shares) = self.shares
            && shares.is_current(now, settings.target_refresh_interval)
        {
            return shares;
        }
        let shares = Apportionment::compute(now, &self.ledger);
        self.shares = Some(shares);
        shares
    }
}

/// What a request demands of this planner: the same part is demanded of each planner.
fn demand_of(request: LongTermRequest, settings: &Settings) -> u32 {
    request.demand / settings.planners.len().max(1) as u32
}

fn grantor_duration(settings: &Settings) -> Span {
    settings.grantor_duration(settings.long_term_duration)
}
