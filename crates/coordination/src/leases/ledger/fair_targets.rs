//! The fair targets of a ledger's claims, and what is missing to them.

use granitelb_balancer::time::{Span, Time};

use super::fair_share::{fair_share, max_min_level};
use super::{ClaimId, GrantPolicy, Ledger};
use crate::leases::Demand;
use crate::member::{Member, PlannerId};

/// The levels of max-min fairness: all that are short of a resource have as much as each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct FairLevels {
    computed_at: Time,
    /// The level for planners that borrow.
    loans: u32,
    /// The level for forwarders.
    leases: u32,
    /// The sum of what forwarders have less than their targets.
    pub(super) total_shortfall: u64,
}

/// What a planner should ask another one for, on behalf of its forwarders that are short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BorrowingDemand {
    /// The sum of what they are short of.
    pub amount: u32,
    /// How many are short.
    pub requesters: u32,
    /// What they have without that planner.
    pub already_held: u32,
}

impl Ledger {
    /// What this planner should ask the lender for, if its forwarders are short.
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
        let mut short = demands.len();
        for demand in &demands {
            if *demand * short as u64 > available {
                break;
            }
            available -= demand;
            short -= 1;
        }
        if short == 0 {
            return None;
        }
        let wanted: u64 = demands.iter().rev().take(short).sum();
        Some(BorrowingDemand {
            amount: saturate(wanted - available),
            requesters: saturate(short as u64),
            already_held: saturate(available),
        })
    }

    /// A claim's target: all of its demand, or as much as the others that are short have.
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

    /// The level for loans is that of all who request. Loans come back slowly: until they do, this planner's forwarders
    /// share evenly what is left.
    fn compute_levels(&mut self, now: Time, policy: GrantPolicy) -> FairLevels {
        let recent = || self.recent_claims(now, policy.demand_window);
        let by_planners: Vec<Demand> =
            recent().filter(|(id, _)| !id.is_forwarder()).map(|(_, claim)| claim.demand).collect();
        let by_forwarders: Vec<Demand> =
            recent().filter(|(id, _)| id.is_forwarder()).map(|(_, claim)| claim.demand).collect();
        let all: Vec<Demand> = by_planners.iter().chain(&by_forwarders).copied().collect();
        let planned = u64::from(self.escrow) + self.newest_loans(None);
        let loan_level = max_min_level(&all, planned);
        let due_to_planners: u64 =
            by_planners.iter().map(|demand| u64::from(fair_share(demand, loan_level))).sum();
        let assured =
            u64::from(self.escrow) + self.borrowed_until(now + policy.lease_grantor_duration, |_| 0);
        let remaining = planned.min(assured).saturating_sub(self.loaned.max(due_to_planners));
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
