//! How a planner divides its long-term escrow. Each forwarder gets its long-term demand plus a margin for
//! random arrivals. If the escrow is smaller than the sum of the demands, they are met up to a max-min fair
//! level.

use granitelb_balancer::time::{Span, Time};

use crate::leases::Demand;
use crate::leases::ledger::{Claim, Ledger, max_min_level};

/// Forwarders that have sent no request for this time keep what they were granted, and nothing more is
/// reserved for them.
const DEMAND_WINDOW: Span = Span::from_millis(4000);
/// The amount that remains when all demands are met is divided in proportion to the demands' standard
/// deviations, up to this multiple of each.
const MAX_DEVIATIONS: f64 = 4.0;
/// The amount of one fetch, in thousandths of a fetch.
const AMOUNT_PER_FETCH: f64 = 1000.0;

/// How the long-term escrow is divided among claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Apportionment {
    computed_at: Time,
    /// The max-min fair level up to which demands are met.
    level: u32,
    /// The multiple of its standard deviation that is added to each demand's share.
    deviations: f64,
    /// The sum of the amounts by which claims are below their shares.
    total_shortfall: u64,
}

impl Apportionment {
    /// Divides the ledger's escrow, without what silent claimants hold, among the claims with a recent
    /// request.
    pub fn compute(now: Time, ledger: &Ledger) -> Apportionment {
        let is_recent = |claim: &&Claim| now - claim.requested_at < DEMAND_WINDOW;
        let held_by_silent: u64 = ledger
            .claims()
            .filter(|claim| !is_recent(claim))
            .map(|claim| u64::from(claim.outstanding()))
            .sum();
        let available = u64::from(ledger.escrow()).saturating_sub(held_by_silent);
        let demands: Vec<Demand> = ledger.claims().filter(is_recent).map(|claim| claim.demand).collect();
        let level = max_min_level(&demands, available);
        let met: u64 = demands.iter().map(|demand| u64::from(demand.amount.min(level))).sum();
        let total_deviation: f64 = demands.iter().map(|demand| standard_deviation(demand.amount)).sum();
        let remaining = available.saturating_sub(met) as f64;
        let deviations = (remaining / total_deviation.max(1.0)).min(MAX_DEVIATIONS);
        let mut shares = Apportionment { computed_at: now, level, deviations, total_shortfall: 0 };
        shares.total_shortfall = ledger
            .claims()
            .filter(is_recent)
            .map(|claim| claim.shortfall(shares.share(claim.demand.amount)))
            .sum();
        shares
    }

    /// Whether the apportionment was computed less than `max_age` ago.
    pub fn is_current(&self, now: Time, max_age: Span) -> bool {
        now - self.computed_at < max_age
    }

    /// The share of a claim with this demand, in thousandths of a fetch a second; at least 1.
    pub fn share(&self, demand: u32) -> u32 {
        let margin = self.deviations * standard_deviation(demand);
        ((f64::from(demand.min(self.level)) + margin) as u32).max(1)
    }

    /// The sum of the amounts by which claims are below their shares, in thousandths of a fetch a second.
    pub fn total_shortfall(&self) -> u64 {
        self.total_shortfall
    }

    /// All fields in a form that can be hashed, for a search over states.
    pub fn hashable_state(&self) -> impl std::hash::Hash + use<> {
        (self.computed_at, self.level, self.deviations.to_bits(), self.total_shortfall)
    }
}

/// The standard deviation of the number of fetches in a second for random arrivals at the demanded rate, in
/// thousandths of a fetch.
fn standard_deviation(demand: u32) -> f64 {
    (f64::from(demand) * AMOUNT_PER_FETCH).sqrt()
}
