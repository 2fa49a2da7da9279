//! What one component of a planner publishes for the others.
//!
//! Each component overwrites its own entry and reads those of others. Only the latest value matters, so nothing queues. An
//! entry that was not renewed within [`STATUS_EXPIRY`] is ignored, since its component's task may have died.

use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::leases::Surplus;
use granitelb_coordination::shard_growth::FleetStatus;
use granitelb_coordination::shard_growth::shard_map::ShardMapVersion;
use tokio::sync::watch;

/// How often components publish and read status.
pub(super) const STATUS_INTERVAL: Span = Span::from_millis(250);
const STATUS_EXPIRY: Span = Span::from_millis(3000);

#[derive(Clone, Debug)]
struct Timestamped<T> {
    published_at: Time,
    value: T,
}

impl<T> Timestamped<T> {
    fn unexpired(&self, now: Time) -> Option<&T> {
        if now - self.published_at < STATUS_EXPIRY { Some(&self.value) } else { None }
    }
}

/// The entries of all components. Every clone reads and writes the same ones.
#[derive(Clone, Debug)]
pub(super) struct ComponentStatus {
    failing_endpoints: watch::Sender<Option<Timestamped<BTreeSet<EndpointId>>>>,
    spare_capacity: watch::Sender<Option<Timestamped<Surplus>>>,
    /// Does not expire.
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

    /// Publishes the endpoints that fail, as endpoint health sees them.
    pub(super) fn publish_failing_endpoints(&self, now: Time, value: BTreeSet<EndpointId>) {
        self.failing_endpoints.send_replace(Some(Timestamped { published_at: now, value }));
    }

    /// Publishes what leases leave of the origin's capacity; `None` while that is unknown.
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

    /// The fleet's state on which shard growth decides; `None` if any part of it is unknown.
    ///
    /// Without leases, the spare capacity is the configured one. With leases it is what they leave, but at most the
    /// configured one.
    pub(super) fn fleet(
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
