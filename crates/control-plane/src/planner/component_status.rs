//! The status that each component of a planner publishes for the planner's other components.
//!
//! Each component overwrites its own entry and reads the entries of others. Only the latest value of an entry
//! matters, so that there is no queue. An entry that was not renewed within [`STATUS_EXPIRY`] is ignored,
//! since the task of its component may have died.

use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::Surplus;
use granitelb_coordination::shard_growth::FleetStatus;
use granitelb_coordination::shard_growth::shard_map::ShardMapVersion;
use tokio::sync::watch;

/// The interval at which a component publishes its status and reads that of others.
pub(super) const STATUS_INTERVAL: Span = Span::from_millis(250);
/// The age from which an entry is ignored.
const STATUS_EXPIRY: Span = Span::from_millis(3000);

/// A value with the time at which it was published.
#[derive(Clone, Debug)]
struct Timestamped<T> {
    published_at: Time,
    value: T,
}

impl<T> Timestamped<T> {
    /// The value; `None` if it has expired.
    fn unexpired(&self, now: Time) -> Option<&T> {
        if now - self.published_at < STATUS_EXPIRY { Some(&self.value) } else { None }
    }
}

/// The status entries of all components. All clones share the same entries.
#[derive(Clone, Debug)]
pub(super) struct ComponentStatus {
    failing_endpoints: watch::Sender<Option<Timestamped<BTreeSet<EndpointId>>>>,
    spare_capacity: watch::Sender<Option<Timestamped<Surplus>>>,
    /// The version at which the shard map last changed. This entry does not expire.
    shard_map_version: watch::Sender<Option<ShardMapVersion>>,
}

impl ComponentStatus {
    pub(super) fn new() -> ComponentStatus {
        ComponentStatus {
            failing_endpoints: watch::Sender::new(None),
            spare_capacity: watch::Sender::new(None),
            shard_map_version: watch::Sender::new(None),
        }
    }

    /// Publishes the endpoints that endpoint health considers failing.
    pub(super) fn publish_failing_endpoints(&self, now: Time, value: BTreeSet<EndpointId>) {
        self.failing_endpoints.send_replace(Some(Timestamped { published_at: now, value }));
    }

    /// Publishes the origin's capacity that leases leave; `None` while this capacity is unknown.
    pub(super) fn publish_spare_capacity(&self, now: Time, spare: Option<Surplus>) {
        let entry = spare.map(|value| Timestamped { published_at: now, value });
        self.spare_capacity.send_replace(entry);
    }

    /// Publishes the version at which the shard map last changed.
    pub(super) fn publish_shard_map_version(&self, version: ShardMapVersion) {
        self.shard_map_version.send_replace(Some(version));
    }

    /// The version at which the shard map last changed, if shard growth has published one.
    pub(super) fn shard_map_version(&self) -> Option<ShardMapVersion> {
        *self.shard_map_version.borrow()
    }

    /// The state of the fleet by which shard growth decides; `None` if any part of this state is unknown.
    ///
    /// Without leases, the spare capacity is `configured_per_s` fetches a second. With leases, it is the
    /// capacity that leases leave, but at most `configured_per_s`.
    pub(super) fn fleet_status(
        &self,
        now: Time,
        has_leases: bool,
        configured_per_s: Option<f64>,
    ) -> Option<FleetStatus> {
        let failing = self.failing_endpoints.borrow().as_ref()?.unexpired(now).cloned()?;
        let spare = if has_leases {
            let published = *self.spare_capacity.borrow().as_ref()?.unexpired(now)?;
            let limit_per_s = configured_per_s.unwrap_or(f64::MAX);
            Surplus { fetches_per_second: published.fetches_per_second.min(limit_per_s), ..published }
        } else {
            Surplus { fetches_per_second: configured_per_s?, has_unmet_demand: false }
        };
        Some(FleetStatus {
            failing,
            is_origin_slow: spare.has_unmet_demand,
            spare_fetches_per_second: spare.fetches_per_second,
        })
    }
}

#[cfg(test)]
mod tests;
