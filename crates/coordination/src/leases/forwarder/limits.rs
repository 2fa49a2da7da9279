//! The limits on a forwarder's balancer: the guaranteed share, leases and long-term allocations added up.

use granitelb_balancer::Lease;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::ForwarderComponent;
use crate::leases::Resource;

/// The part at the end of a lease that is not used: the time in which the balancer reduces its rate to the
/// limit without the lease, plus one request interval, in which it is not notified again.
const LEASE_END_MARGIN: Span = Span::from_millis(750);

impl ForwarderComponent {
    /// The limits that apply to the balancer now, for each origin and each warming cache server. The balancer
    /// must be notified of them before any message that is polled afterwards is sent.
    pub fn current_leases(&mut self, now: Time) -> Vec<(EndpointId, Lease)> {
        self.holdings.expire(now);
        self.holdings.mark_applied();
        self.long_term.expire(now);
        self.long_term.mark_applied();
        let origins = self.usage.origins();
        if !origins.is_empty() {
            self.has_notified_balancer = true;
        }
        let origin_share = 1.0 / origins.len().max(1) as f64;
        let origin_lease = self.lease(now, Resource::Origin, origin_share);
        let mut leases: Vec<_> = origins.iter().map(|endpoint| (*endpoint, origin_lease)).collect();
        for endpoint in self.usage.warming_endpoints() {
            let resource = Resource::WarmingCache(endpoint.cache);
            leases.push((endpoint.cache, self.lease(now, resource, endpoint.size)));
        }
        leases
    }

    /// The balancer's limit on a resource, multiplied by `factor`, in fetches or seconds of work a second.
    fn lease(&self, now: Time, resource: Resource, factor: f64) -> Lease {
        let guaranteed = self.settings.guaranteed_share(resource);
        let in_units = |amount: u32| f64::from(amount) / resource.amounts_per_unit() * factor;
        let mut leased = self.holdings.usable(now, resource);
        let mut leased_until = self.holdings.first_expiry(now, resource);
        let (allocated, allocated_until) = match resource {
            Resource::Origin => (self.long_term.usable(now), self.long_term.first_expiry(now)),
            Resource::WarmingCache(_) => (0, None),
        };
        // When the limit expires, the balancer falls back to the guaranteed share. The lease is ignored
        // shortly before it expires, so that its expiry does not withdraw the long-term allocation too.
        if allocated_until.is_some() && leased_until.is_some_and(|until| until - now <= LEASE_END_MARGIN) {
            leased = 0;
            leased_until = None;
        }
        let quota = in_units(guaranteed.saturating_add(leased).saturating_add(allocated));
        let expires_at = leased_until.into_iter().chain(allocated_until).min().unwrap_or(now);
        Lease { quota, expires_at, quota_after_expiry: in_units(guaranteed) }
    }

    /// The amount of a resource that may be used without leases, in the resource's amounts.
    pub(super) fn share_without_leases(&self, now: Time, resource: Resource) -> u32 {
        let guaranteed = self.settings.guaranteed_share(resource);
        match resource {
            Resource::Origin => guaranteed.saturating_add(self.long_term.usable(now)),
            Resource::WarmingCache(_) => guaranteed,
        }
    }
}
