//! What the control plane tells a node: the health of endpoints, the form of the slot table, and leases.

use std::collections::BTreeMap;

use crate::ids::EndpointId;
use crate::time::{Span, Time};

/// How the shards of the slot table are split, as one version that all planners agree on. Half of a split
/// shard's keys, by one more bit of their hash, have other candidates. A map is always complete; a node that
/// misses one suffers cache misses and nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardMap {
    /// Newer maps have higher versions.
    pub version: u64,
    /// The splits by shard number; shards that are not listed are not split.
    pub shards: BTreeMap<u8, ShardSplit>,
}

/// How one shard is split.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardSplit {
    /// Number of further hash bits that tell the shard's keys apart.
    pub bits: u8,
    /// Progress of the migration to one further bit.
    pub migration: MigrationPhase,
}

/// Progress of a shard's migration to one further hash bit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MigrationPhase {
    /// No migration is under way.
    #[default]
    Stable,
    /// A part of the migrating keys is read at the new endpoints.
    Copying {
        /// The part in sixteenths.
        sixteenths: u8,
    },
    /// All migrating keys are read at the new endpoints, and a miss there asks the previous ones before the
    /// origin.
    DualRead,
    /// The previous endpoints are not asked any more.
    Switched,
}

/// Information from other members about endpoints, each with the time of the evidence that it rests on. The
/// balancer weighs it against its own evidence and never obeys it blindly.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlPlaneUpdate {
    /// Endpoints that leave other nodes' attempts unanswered.
    pub failing: Vec<(EndpointId, Time)>,
    /// Endpoints that had failed and answer other nodes again.
    pub answering: Vec<(EndpointId, Time)>,
    /// The slot table's shard map; `None` leaves the present one in place.
    pub shard_map: Option<ShardMap>,
    /// What this node may use of the origin and of endpoints that are warming up.
    pub leases: Vec<(EndpointId, Lease)>,
}

/// A node's quota of what the fleet may ask of one endpoint: of the origin in fetches per second, of an endpoint
/// in warm-up in seconds of work per second, as if it were warm. A lease only ever lowers what the node would
/// send without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    /// The quota while the lease is valid.
    pub quota: f64,
    /// The lease expires by itself then: its grantor may have given the quota to others.
    pub expires_at: Time,
    /// The quota that the node has without a lease.
    pub quota_after_expiry: f64,
}

/// Before it expires a lease's quota changes linearly to the quota without it, so that the end is no step.
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
