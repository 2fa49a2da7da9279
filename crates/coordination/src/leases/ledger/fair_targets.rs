//! The fair targets of a ledger's claims, and the amounts by which claims are below them.

use granitelb_balancer::time::{Span, Time};

use super::fair_share::{fair_share, max_min_level};
use super::{ClaimId, GrantPolicy, Ledger};
use crate::leases::Demand;
use crate::member::{Member, PlannerId};

/// The levels of max-min fairness: all claimants that are short of a resource get the same amount of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct FairLevels {
    computed_at: Time,
    /// The level for planners that request loans.
    loans: u32,
    /// The level for forwarders that request leases.
    leases: u32,
    /// The sum of the amounts by which forwarders are below their targets.
    pub(super) total_shortfall: u64,
}

/// The loan that a planner should request from another planner, for its forwarders that are short of a
/// resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BorrowingDemand {
    /// The sum of what these forwarders are short of, in the resource's amounts.
    pub amount: u32,
    /// The number of forwarders that are short.
    pub requesters: u32,
    /// The amount that these forwarders have without the other planner.
    pub already_held: u32,
}

impl Ledger {
    /// Returns the loan that this planner should request from the lender, or `None` if its forwarders are not
    /// short.
    pub fn borrowing_demand(
        &self,
        now: Time,
        demand_window: Span,
        lender: PlannerId,
    ) -> Option<BorrowingDemand> {
        let mut demands: Vec<u64> = self
            .recent_claims(now, demand_window)
            .filter(|(id, _)| id.is_forwarder())
            .map(|(_, claim)| u64::from(claim.demand.amount))
            .collect();
        demands.sort_unstable();
        let mut available = u64::from(self.escrow) + self.newest_loans(Some(lender));
        let mut unmet_count = demands.len();
        for demand in &demands {
            if *demand * unmet_count as u64 > available {
                break;
            }
            available -= demand;
            unmet_count -= 1;
        }
        if unmet_count == 0 {
            return None;
        }
        let unmet_demand: u64 = demands.iter().rev().take(unmet_count).sum();
        Some(BorrowingDemand {
            amount: saturate(unmet_demand - available),
            requesters: saturate(unmet_count as u64),
            already_held: saturate(available),
        })
    }

    /// A claim's target: its whole demand, or as much as the other claims that are not fully met get.
    pub(super) fn fair_target(&mut self, now: Time, id: ClaimId, policy: GrantPolicy) -> u32 {
        let levels = match self.levels {
            Some(levels) if now - levels.computed_at < policy.target_refresh_interval => levels,
            _ => self.compute_levels(now, policy),
        };
        let Some(claim) = self.claims.get(&id) else { return 0 };
        match id.member {
            Member::Forwarder(_) => fair_share(&claim.demand, levels.leases),
            Member::Planner(_) => fair_share(&claim.demand, levels.loans),
        }
    }

    /// Recomputes the levels. The level for loans is computed over the demands of forwarders and planners
    /// together. Loans return slowly: until they do, this planner's forwarders share the rest evenly.
    fn compute_levels(&mut self, now: Time, policy: GrantPolicy) -> FairLevels {
        let recent = || self.recent_claims(now, policy.demand_window);
        let by_planners: Vec<Demand> =
            recent().filter(|(id, _)| !id.is_forwarder()).map(|(_, claim)| claim.demand).collect();
        let by_forwarders: Vec<Demand> =
            recent().filter(|(id, _)| id.is_forwarder()).map(|(_, claim)| claim.demand).collect();
        let all: Vec<Demand> = by_planners.iter().chain(&by_forwarders).copied().collect();
        let with_newest_loans = u64::from(self.escrow) + self.newest_loans(None);
        let loan_level = max_min_level(&all, with_newest_loans);
        let due_to_planners: u64 =
            by_planners.iter().map(|demand| u64::from(fair_share(demand, loan_level))).sum();
        let lasting_for_lease =
            u64::from(self.escrow) + self.borrowed_until(now + policy.lease_grantor_duration, |_| 0);
        let remaining =
            with_newest_loans.min(lasting_for_lease).saturating_sub(self.loaned.max(due_to_planners));
        let lease_level = max_min_level(&by_forwarders, remaining);
        let total_shortfall = recent()
            .filter(|(id, _)| id.is_forwarder())
            .map(|(_, claim)| claim.shortfall(fair_share(&claim.demand, lease_level)))
            .sum();
        let levels = FairLevels { computed_at: now, loans: loan_level, leases: lease_level, total_shortfall };
        self.levels = Some(levels);
        levels
    }
}

fn saturate(amount: u64) -> u32 {
    u32::try_from(amount).unwrap_or(u32::MAX)
}
