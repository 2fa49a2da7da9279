//! The origin's capacity that is not leased, as one planner knows it.

use granitelb_balancer::time::Time;

use super::PlannerComponent;
use crate::leases::Resource;

/// What the origin could serve beyond what is leased, as one planner knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surplus {
    /// Fetches a second.
    pub fetches_per_second: f64,
    /// Whether any forwarder is short of what it needs.
    pub has_unmet_demand: bool,
}

impl PlannerComponent {
    /// What is available of this planner's escrow and of loans to it. Other planners' escrows and the guaranteed shares
    /// are not visible here, so the figure is too small and never too great. `None` while it is not known what an earlier
    /// incarnation granted.
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
