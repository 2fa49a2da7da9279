//! Information that the control plane sends to a node: health of endpoints, the shard map, and leases.

use std::collections::BTreeMap;

use crate::ids::EndpointId;
use crate::time::{Span, Time};

/// One version of how the slot table's shards are split, on which all planners agree. Splitting a shard by
/// one more bit of the keys' hashes gives half of its keys other candidates. A map is always complete, so a
/// node that misses a version has cache misses and no other harm.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardMap {
    /// The version, which is higher in newer maps.
    pub version: u64,
    /// The splits by shard number; shards that are not listed are not split.
    pub shards: BTreeMap<u8, ShardSplit>,
}

/// How one shard is split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardSplit {
    /// The number of additional hash bits by which the shard's keys are distributed.
    pub bits: u8,
    /// The phase of the migration to one more bit.
    pub migration: MigrationPhase,
}

/// The phase of a shard's migration to one more hash bit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MigrationPhase {
    /// No migration is under way.
    #[default]
    Stable,
    /// A part of the migrating keys is read from the new endpoints.
    Copying {
        /// The part of the migrating keys, in sixteenths.
        sixteenths: u8,
    },
    /// All migrating keys are read from the new endpoints. After a cache miss there, a key is read from its
    /// previous endpoint before it is fetched from the origin.
    DualRead,
    /// All migrating keys are read from the new endpoints only.
    Switched,
}

/// Information from other members about endpoints. Reports of endpoint health have the time of the underlying
/// observation, and the balancer ignores a report of failures if the node's own observations are newer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlPlaneUpdate {
    /// Endpoints that leave other nodes' attempts unanswered, each with the time of the observation.
    pub failing: Vec<(EndpointId, Time)>,
    /// Endpoints that had failed and answer other nodes again, each with the time of the observation.
    pub answering: Vec<(EndpointId, Time)>,
    /// The slot table's shard map; `None` keeps the present map.
    pub shard_map: Option<ShardMap>,
    /// This node's leases of the origin and of endpoints in warm-up.
    pub leases: Vec<(EndpointId, Lease)>,
}

/// A node's lease on a part of the load that the fleet may send to one endpoint. The quota of the origin is
/// in fetches per second. The quota of an endpoint in warm-up is in seconds of work per second, as if the
/// endpoint were warm. A lease never raises the load that the node would send without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The quota while the lease is valid.
    pub quota: f64,
    /// The time at which the lease expires without a message: from then on the grantor may lease the quota to
    /// others.
    pub expires_at: Time,
    /// The quota that the node has after the lease has expired.
    pub quota_after_expiry: f64,
}

/// The time before a lease's expiry during which its quota changes linearly to `quota_after_expiry`, so that
/// the quota has no sudden change at the expiry.
const EXPIRY_RAMP: Span = Span::from_millis(500);

impl Lease {
    /// The quota at the time `now`.
    pub fn quota_at(&self, now: Time) -> f64 {
        if now >= self.expires_at {
            return self.quota_after_expiry;
        }
        let remaining = ((self.expires_at - now).as_secs_f64() / EXPIRY_RAMP.as_secs_f64()).min(1.0);
        if remaining >= 1.0 {
            return self.quota;
        }
        self.quota * remaining + self.quota_after_expiry * (1.0 - remaining)
    }
}

#[cfg(test)]
mod tests;
