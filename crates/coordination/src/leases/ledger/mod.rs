//! A planner's ledger of one resource: who requested what, and all that may still be held by anyone.
//!
//! # Invariant
//!
//! The totals of leases and of loans are always the sums of what each claim counts, and a claim counts the greatest of its
//! grants that have not expired. The totals can therefore only be too great, never too small.

mod claim;
mod fair_share;
mod fair_targets;
mod loan;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Included};

use granitelb_balancer::time::{Span, Time};

pub use claim::{Claim, ClaimId};
pub use fair_share::max_min_level;
pub use fair_targets::BorrowingDemand;
pub use loan::Loan;

use super::{Demand, PlannerIncarnation};
use crate::member::{Incarnation, Member, PlannerId};
use claim::Grant;
use fair_targets::FairLevels;
use loan::LenderLoans;

/// The greatest number of grants of a claim, and of loans of a lender, that are counted separately.
const MAX_SEPARATE_GRANTS: usize = 16;

/// When a claim's greatest grant expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Expiry {
    at: Time,
    claim: ClaimId,
}

/// How a planner computes grants.
#[derive(Clone, Copy)]
pub struct GrantPolicy {
    /// How long the grant that is asked for counts in the ledger.
    pub grantor_duration: Span,
    /// How long a lease counts in the ledger.
    pub lease_grantor_duration: Span,
    /// Demands that were reported within this time count.
    pub demand_window: Span,
    /// How long the levels are used before they are computed anew. Computed at each request, they would cost more the
    /// more forwarders there are.
    pub target_refresh_interval: Span,
}

/// What a grant aims at.
#[derive(Clone, Copy, Debug)]
pub struct GrantTarget {
    /// The amount that the claim should have.
    pub amount: u32,
    /// What all claims together have less than their targets.
    pub total_shortfall: u64,
    /// What other planners lend for as long as the grant counts.
    pub borrowed: u64,
}

/// A planner's ledger of one resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    escrow: u32,
    claims: BTreeMap<ClaimId, Claim>,
    lenders: BTreeMap<PlannerIncarnation, LenderLoans>,
    leased: u64,
    loaned: u64,
    /// The claims by when their greatest grant expires. Without this order, a request would cost more the more forwarders
    /// there are.
    expiries: BTreeSet<Expiry>,
    levels: Option<FairLevels>,
}

impl Ledger {
    /// Creates a ledger without claims.
    pub fn new(escrow: u32) -> Ledger {
        Ledger { escrow, ..Ledger::default() }
    }

    /// The planner's own part of the resource.
    pub fn escrow(&self) -> u32 {
        self.escrow
    }

    /// Replaces the planner's own part of the resource. What is granted stays counted.
    pub fn set_escrow(&mut self, escrow: u32) {
        self.escrow = escrow;
    }

    /// All claims.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.values()
    }

    /// The number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is a claim of this id.
    pub fn has_claim(&self, id: ClaimId) -> bool {
        self.claims.contains_key(&id)
    }

    /// What a claim may hold, 0 for an unknown one.
    pub fn outstanding(&self, id: ClaimId) -> u32 {
        self.claims.get(&id).map_or(0, Claim::outstanding)
    }

    /// Records a request. Returns whether it is newer than those before; an older one changes nothing.
    pub fn record_request(&mut self, now: Time, id: ClaimId, request_id: u64, demand: Demand) -> bool {
        if self.claims.get(&id).is_some_and(|claim| claim.request_id >= request_id) {
            return false;
        }
        let claim = self.claims.entry(id).or_insert_with(|| Claim::new(now, request_id, demand));
        claim.demand = demand;
        claim.request_id = request_id;
        claim.requested_at = now;
        self.update_claim(id, |claim| claim.drop_while(|grant| grant.request_id < demand.request_in_use));
        true
    }

    /// Takes back what was granted for requests up to this one.
    pub fn release(&mut self, id: ClaimId, request_id: u64) {
        self.update_claim(id, |claim| {
            claim.drop_while(|grant| grant.request_id <= request_id);
            claim.demand.amount = 0;
            claim.request_id = claim.request_id.max(request_id);
        });
        self.levels = None;
    }

    /// Removes grants and loans that have expired.
    pub fn expire(&mut self, now: Time) {
        while let Some(expiry) = self.expiries.first().copied().filter(|expiry| expiry.at <= now) {
            self.update_claim(expiry.claim, |claim| claim.drop_while(|grant| grant.expires_at <= now));
        }
        for lender in self.lenders.values_mut() {
            lender.expire(now);
        }
        self.lenders.retain(|_, lender| !lender.is_empty());
    }

    /// Removes claims that hold nothing and sent no request for the given time. Returns whether the ledger still holds
    /// anything.
    pub fn remove_idle_claims(&mut self, now: Time, idle_after: Span) -> bool {
        self.claims.retain(|_, claim| !claim.is_empty() || now - claim.requested_at < idle_after);
        !self.claims.is_empty() || !self.lenders.is_empty()
    }

    /// Grants a claim its fair target as far as the ledger allows, and returns the amount.
    pub fn grant(&mut self, now: Time, id: ClaimId, policy: GrantPolicy) -> u32 {
        self.expire(now);
        let amount = self.fair_target(now, id, policy);
        let borrowed = match id.member {
            Member::Forwarder(_) => self.borrowed_until(now + policy.grantor_duration, |_| 0),
            // Loans are not lent on.
            Member::Planner(_) => 0,
        };
        let total_shortfall = self.levels.map_or(0, |levels| levels.total_shortfall);
        let target = GrantTarget { amount, total_shortfall, borrowed };
        self.grant_target(now, id, target, policy.grantor_duration)
    }

    /// Grants a target as far as the escrow and what is borrowed allow, and returns the amount.
    pub fn grant_target(
        &mut self,
        now: Time,
        id: ClaimId,
        target: GrantTarget,
        grantor_duration: Span,
    ) -> u32 {
        let Some(claim) = self.claims.get(&id) else { return 0 };
        let request_id = claim.request_id;
        let counted = u64::from(claim.outstanding());
        let taken_by_others = self.leased + self.loaned - counted;
        // An amount that was counted before is still counted: it may be granted again, and no more.
        let available = (u64::from(self.escrow) + target.borrowed).saturating_sub(taken_by_others);
        // What others have released becomes available later than it is due. While that is so, claims get of it in
        // proportion to what they are short of: else the first to ask after each release would get all of it.
        let target_amount = u64::from(target.amount);
        let shortfall = target_amount.saturating_sub(counted);
        let total_shortfall = target.total_shortfall.max(shortfall).max(1);
        let increase = (available.saturating_sub(counted) * shortfall).div_ceil(total_shortfall);
        let amount = target_amount.min(available).min(counted + increase) as u32;
        let grant = Grant { request_id, amount, expires_at: now + grantor_duration };
        self.update_claim(id, |claim| claim.add(grant));
        amount
    }

    /// Whether a later incarnation of the member has a claim.
    pub fn has_later_incarnation(&self, id: ClaimId) -> bool {
        let latest = ClaimId { incarnation: Incarnation(u64::MAX), ..id };
        self.claims.range((Excluded(id), Included(latest))).next().is_some()
    }

    /// Revokes what earlier incarnations of the member were granted.
    pub fn revoke_earlier_incarnations(&mut self, id: ClaimId) {
        let first = ClaimId { incarnation: Incarnation(0), ..id };
        let earlier: Vec<_> = self.claims.range(first..id).map(|(earlier, _)| *earlier).collect();
        for earlier in earlier {
            self.update_claim(earlier, Claim::clear);
            self.claims.remove(&earlier);
        }
    }

    /// Records a loan. One that is older than a known loan may have been given up, and is ignored.
    pub fn add_loan(&mut self, lender: PlannerIncarnation, loan: Loan) {
        self.lenders.entry(lender).or_default().add(loan);
    }

    /// Gives up the lender's loans except the newest, if the ledger balances without them. Returns the request of the
    /// oldest loan that is still in use, 0 if there is none.
    pub fn settle_loans(&mut self, now: Time, lender: PlannerId, lease_grantor_duration: Span) -> u64 {
        self.expire(now);
        let without_older = u64::from(self.escrow)
            + self.borrowed_until(now + lease_grantor_duration, |id| {
                if id.planner == lender { self.newest_request(id) } else { 0 }
            });
        if self.leased + self.loaned <= without_older {
            for (_, loans) in self.lenders.iter_mut().filter(|(id, _)| id.planner == lender) {
                loans.keep_newest();
            }
        }
        let incarnations = self.lenders.iter().filter(|(id, _)| id.planner == lender);
        // Request numbers are those of this planner's own incarnation. So one number serves for all incarnations of the
        // lender, provided that it is the least.
        incarnations.filter_map(|(_, loans)| loans.oldest_request()).min().unwrap_or(0)
    }

    /// What is neither leased nor lent, including what others lend to this planner.
    pub fn available(&self) -> u64 {
        (u64::from(self.escrow) + self.newest_loans(None)).saturating_sub(self.leased + self.loaned)
    }

    /// All that forwarders may hold.
    pub fn leased(&self) -> u64 {
        self.leased
    }

    /// All that other planners may have borrowed.
    pub fn loaned(&self) -> u64 {
        self.loaned
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        let claims: usize = self.claims.values().map(|claim| 1 + claim.grant_count()).sum();
        let loans: usize = self.lenders.values().map(LenderLoans::len).sum();
        claims + loans
    }

    /// Changes a claim, and keeps the totals and the order of expiries consistent with it.
    fn update_claim(&mut self, id: ClaimId, update: impl FnOnce(&mut Claim)) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let outstanding_before = u64::from(claim.outstanding());
        let expiry_before = claim.first_expiry();
        update(claim);
        let outstanding = u64::from(claim.outstanding());
        let expiry = claim.first_expiry();
        if let Some(at) = expiry_before {
            self.expiries.remove(&Expiry { at, claim: id });
        }
        if let Some(at) = expiry {
            self.expiries.insert(Expiry { at, claim: id });
        }
        let total = match id.member {
            Member::Forwarder(_) => &mut self.leased,
            Member::Planner(_) => &mut self.loaned,
        };
        *total = (*total + outstanding).saturating_sub(outstanding_before);
    }

    fn newest_request(&self, lender: &PlannerIncarnation) -> u64 {
        self.lenders.get(lender).and_then(LenderLoans::newest).map_or(0, |loan| loan.request_id)
    }

    /// What others lend at least up to `at`, by loans for the requests from `first_request` on.
    fn borrowed_until(&self, at: Time, first_request: impl Fn(&PlannerIncarnation) -> u64) -> u64 {
        self.lenders.iter().map(|(id, loans)| u64::from(loans.lasting_until(at, first_request(id)))).sum()
    }

    /// What others lend by their newest loans, which is what targets are computed from.
    fn newest_loans(&self, except: Option<PlannerId>) -> u64 {
        self.lenders
            .iter()
            .filter(|(id, _)| Some(id.planner) != except)
            .filter_map(|(_, loans)| loans.newest())
            .map(|loan| u64::from(loan.amount))
            .sum()
    }

    fn recent_claims(&self, now: Time, demand_window: Span) -> impl Iterator<Item = (&ClaimId, &Claim)> {
        self.claims.iter().filter(move |(_, claim)| now - claim.requested_at < demand_window)
    }
}
