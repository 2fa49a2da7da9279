//! The origin's capacity that is not leased, as far as one planner knows.

use granitelb_balancer::time::Time;

use super::PlannerComponent;
use crate::leases::Resource;

/// The origin's capacity that is not leased, as far as one planner knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surplus {
    /// The available capacity, in fetches a second.
    pub fetches_per_second: f64,
    /// Whether the planner cannot meet the demand of every forwarder that requests leases from it.
    pub has_unmet_demand: bool,
}

impl PlannerComponent {
    /// Returns the part of this planner's escrow and of loans to it that is available. Other planners'
    /// escrows and the guaranteed shares are not included, so the result is at most the origin's real
    /// surplus. `None` during the wait after a start, while the grants of an earlier incarnation are unknown.
    pub fn surplus(&self, now: Time) -> Option<Surplus> {
        if self.startup_wait_until.is_some_and(|until| until > now) {
            return None;
        }
        let amounts_per_fetch = Resource::Origin.amounts_per_unit();
        let Some(ledger) = self.ledgers.get(&Resource::Origin) else {
            let available = f64::from(self.settings.escrow(Resource::Origin));
            return Some(Surplus {
                fetches_per_second: available / amounts_per_fetch,
                has_unmet_demand: false,
            });
        };
        let unmet_demand = ledger.borrowing_demand(now, self.settings.lease_duration, self.me);
        let has_unmet_demand = unmet_demand.is_some();
        let fetches_per_second =
            if has_unmet_demand { 0.0 } else { ledger.available() as f64 / amounts_per_fetch };
        Some(Surplus { fetches_per_second, has_unmet_demand })
    }
}
