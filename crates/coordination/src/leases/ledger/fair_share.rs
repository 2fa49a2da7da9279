//! Max-min fairness: demands are met in full up to a level that is common to all forwarders.

use crate::leases::Demand;

/// The share of a demand at a level, in the resource's amounts. Forwarders for which another planner requests
/// already hold an amount there, which is subtracted.
pub fn fair_share(demand: &Demand, level: u32) -> u32 {
    let for_all_requesters = u64::from(level) * u64::from(demand.requesters.max(1));
    let limit = for_all_requesters.saturating_sub(u64::from(demand.already_held));
    u64::from(demand.amount).min(limit) as u32
}

/// Returns the greatest level at which the shares of all demands add up to at most the available amount, or
/// [`u32::MAX`] if all demands are met. The level is found by bisection, in whole amounts.
pub fn max_min_level(demands: &[Demand], available: u64) -> u32 {
    let greatest =
        demands.iter().map(|demand| demand.amount.saturating_add(demand.already_held)).max().unwrap_or(0);
    let mut low = 0;
    let mut high = greatest;
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if total_at(demands, middle) <= available {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    if low == greatest { u32::MAX } else { low }
}

fn total_at(demands: &[Demand], level: u32) -> u64 {
    demands.iter().map(|demand| u64::from(fair_share(demand, level))).sum()
}
