//! The planner's side of long-term allocations: its long-term escrow, and the amount that each forwarder may
//! hold of it.

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
    /// The end of the wait in which grants of an earlier incarnation may still be held; `None` once the wait
    /// is over.
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

    /// Applies other settings, after the same wait as at a start. Existing grants stay in the ledger.
    pub fn on_settings_update(&mut self, settings: &Settings, now: Time) {
        self.startup_wait_until = Some(now + grantor_duration(settings));
        self.ledger.set_escrow(settings.long_term_escrow());
        // Reports of what forwarders hold of earlier incarnations' grants are ignored from now on, because
        // requests that were sent before this moment name this incarnation too.
        self.incarnation = Incarnation(u64::MAX);
    }

    /// Handles a request. Returns the granted amount in thousandths of a fetch a second, or `None` if nothing
    /// is granted.
    ///
    /// Returns the reason if the request is ignored.
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

    /// Stops counting what the sender was granted for requests up to this one.
    pub fn on_release(&mut self, from: Sender, request_id: u64) {
        self.ledger.release(ClaimId::of(from), request_id);
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.ledger.entries()
    }

    /// The most that forwarders may hold by this incarnation's grants, in thousandths of a fetch a second.
    pub fn outstanding(&self) -> u64 {
        self.ledger.leased()
    }

    /// All state that determines the grantor's behaviour, for a search over states.
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

    /// Answers a request during the wait after a start: grants the amount that the forwarder holds already.
    /// If the request does not report that amount to this incarnation, nothing is granted, and the forwarder
    /// continues with what it holds.
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

/// The part of a request's demand that this planner is to grant. The demand is divided evenly among the
/// planners.
fn demand_of(request: LongTermRequest, settings: &Settings) -> u32 {
    request.demand / settings.planners.len().max(1) as u32
}

fn grantor_duration(settings: &Settings) -> Span {
    settings.grantor_duration(settings.long_term_duration)
}
