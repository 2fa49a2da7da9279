//! A planner's ledger of one resource: the requests of each claimant, and the grants that may still be held.
//!
//! # Invariant
//!
//! The total of leases and the total of loans are always the sums of the amounts at which claims are counted,
//! and a claim is counted at the greatest of its grants that have not expired. So the totals may be greater
//! than what is held, but never smaller.

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

/// The maximum number of grants of a claim, and of loans from a lender, that are counted separately.
const MAX_SEPARATE_GRANTS: usize = 16;

/// The time at which a claim's greatest grant expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Expiry {
    at: Time,
    claim: ClaimId,
}

/// The durations by which a planner computes grants.
#[derive(Clone, Copy)]
pub struct GrantPolicy {
    /// How long the requested grant counts in the ledger.
    pub grantor_duration: Span,
    /// How long a lease counts in the ledger.
    pub lease_grantor_duration: Span,
    /// The age up to which a reported demand counts.
    pub demand_window: Span,
    /// How long fair-share levels are used before they are recomputed. Recomputed at each request, they would
    /// make a request cost more the more forwarders there are.
    pub target_refresh_interval: Span,
}

/// The target of a grant, and the quantities that limit it.
#[derive(Clone, Copy, Debug)]
pub struct GrantTarget {
    /// The amount that the claim should have.
    pub amount: u32,
    /// The sum of the amounts by which claims are below their targets.
    pub total_shortfall: u64,
    /// The amount that other planners lend for as long as the grant counts.
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
    /// The claims in the order in which their greatest grants expire. Without this order, a request would
    /// cost more the more forwarders there are.
    expiries: BTreeSet<Expiry>,
    levels: Option<FairLevels>,
}

impl Ledger {
    /// Creates a ledger without claims.
    pub fn new(escrow: u32) -> Ledger {
        Ledger { escrow, ..Ledger::default() }
    }

    /// The planner's own part of the resource, in the resource's amounts.
    pub fn escrow(&self) -> u32 {
        self.escrow
    }

    /// Replaces the planner's own part of the resource. Existing grants stay counted.
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

    /// Whether there is a claim with this id.
    pub fn has_claim(&self, id: ClaimId) -> bool {
        self.claims.contains_key(&id)
    }

    /// The most that a claimant may hold, in the resource's amounts; 0 if there is no claim with this id.
    pub fn outstanding(&self, id: ClaimId) -> u32 {
        self.claims.get(&id).map_or(0, Claim::outstanding)
    }

    /// Records a request. Returns whether it is newer than all earlier requests of the claim; an older one
    /// changes nothing.
    pub fn record_request(&mut self, now: Time, id: ClaimId, request_id: u64, demand: Demand) -> bool {
        if self.claims.get(&id).is_some_and(|claim| claim.request_id >= request_id) {
            return false;
        }
        let claim = self.claims.entry(id).or_insert_with(|| Claim::new(now, request_id, demand));
        claim.demand = demand;
        claim.request_id = request_id;
        claim.requested_at = now;
        self.update_claim(id, |claim| claim.remove_while(|grant| grant.request_id < demand.request_in_use));
        true
    }

    /// Stops counting the grants for requests up to this one, and sets the claim's demand to zero.
    pub fn release(&mut self, id: ClaimId, request_id: u64) {
        self.update_claim(id, |claim| {
            claim.remove_while(|grant| grant.request_id <= request_id);
            claim.demand.amount = 0;
            claim.request_id = claim.request_id.max(request_id);
        });
        self.levels = None;
    }

    /// Removes grants and loans that have expired.
    pub fn expire(&mut self, now: Time) {
        while let Some(expiry) = self.expiries.first().copied().filter(|expiry| expiry.at <= now) {
            self.update_claim(expiry.claim, |claim| claim.remove_while(|grant| grant.expires_at <= now));
        }
        for lender in self.lenders.values_mut() {
            lender.expire(now);
        }
        self.lenders.retain(|_, lender| !lender.is_empty());
    }

    /// Removes the claims that hold nothing and have sent no request for the given time. Returns whether the
    /// ledger still has claims or loans.
    pub fn remove_idle_claims(&mut self, now: Time, idle_after: Span) -> bool {
        self.claims.retain(|_, claim| !claim.is_empty() || now - claim.requested_at < idle_after);
        !self.claims.is_empty() || !self.lenders.is_empty()
    }

    /// Grants a claim its fair target as far as the ledger allows, and returns the granted amount.
    pub fn grant(&mut self, now: Time, id: ClaimId, policy: GrantPolicy) -> u32 {
        self.expire(now);
        let amount = self.fair_target(now, id, policy);
        let borrowed = match id.member {
            Member::Forwarder(_) => self.borrowed_until(now + policy.grantor_duration, |_| 0),
            // A planner does not lend what it has borrowed.
            Member::Planner(_) => 0,
        };
        let total_shortfall = self.levels.map_or(0, |levels| levels.total_shortfall);
        let target = GrantTarget { amount, total_shortfall, borrowed };
        self.grant_target(now, id, target, policy.grantor_duration)
    }

    /// Grants a target as far as the escrow and the borrowed amount allow, and returns the granted amount.
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
        // The claim's earlier grants are still counted. If nothing else is available, that amount may be
        // granted again, but no more.
        let available = (u64::from(self.escrow) + target.borrowed).saturating_sub(taken_by_others);
        // What other claims have released becomes available only after a delay. Until then each claim gets a
        // part of the available amount in proportion to its shortfall; otherwise the first claim to request
        // after each release would get all of it.
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

    /// Revokes the grants to earlier incarnations of the member.
    pub fn revoke_earlier_incarnations(&mut self, id: ClaimId) {
        let first = ClaimId { incarnation: Incarnation(0), ..id };
        let earlier: Vec<_> = self.claims.range(first..id).map(|(earlier, _)| *earlier).collect();
        for earlier in earlier {
            self.update_claim(earlier, Claim::clear);
            self.claims.remove(&earlier);
        }
    }

    /// Records a loan to this planner. A loan that is older than a known one may have been released already,
    /// and is ignored.
    pub fn add_loan(&mut self, lender: PlannerIncarnation, loan: Loan) {
        self.lenders.entry(lender).or_default().add(loan);
    }

    /// Releases the lender's loans except the newest, if the ledger balances without them. Returns the number
    /// of the request for the oldest loan that is still in use, 0 if there is none.
    pub fn release_older_loans(&mut self, now: Time, lender: PlannerId, lease_grantor_duration: Span) -> u64 {
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
        // The numbers are those of this planner's own requests. So the least one serves for all incarnations
        // of the lender.
        incarnations.filter_map(|(_, loans)| loans.oldest_request()).min().unwrap_or(0)
    }

    /// The amount that is neither leased nor lent, including loans to this planner, in the resource's
    /// amounts.
    pub fn available(&self) -> u64 {
        (u64::from(self.escrow) + self.newest_loans(None)).saturating_sub(self.leased + self.loaned)
    }

    /// The sum of what forwarders may hold, in the resource's amounts.
    pub fn leased(&self) -> u64 {
        self.leased
    }

    /// The sum of what other planners may have borrowed, in the resource's amounts.
    pub fn loaned(&self) -> u64 {
        self.loaned
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        let claims: usize = self.claims.values().map(|claim| 1 + claim.grant_count()).sum();
        let loans: usize = self.lenders.values().map(LenderLoans::len).sum();
        claims + loans
    }

    /// Changes a claim, and updates the totals and the order of expiries accordingly.
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

    /// The amount that other planners lend at least until `at`, by loans for the requests from
    /// `first_request` on.
    fn borrowed_until(&self, at: Time, first_request: impl Fn(&PlannerIncarnation) -> u64) -> u64 {
        self.lenders.iter().map(|(id, loans)| u64::from(loans.lasting_until(at, first_request(id)))).sum()
    }

    /// The amount that other planners lend by their newest loans. Targets are computed from this amount.
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
