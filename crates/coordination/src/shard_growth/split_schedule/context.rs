//! The inputs for the next step of one split, the possible steps, and the obstacles to a step forward.

use std::collections::BTreeSet;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Time;

use super::conditions::{FleetConditions, Reason, ShardOutlook, ShardOutlooks};
use crate::shard_growth::shard_map::{ShardId, ShardLayout, SplitPhase, VersionedShardMap};

/// A change of a shard's layout by one step of its split, with the reason for the step.
pub(super) struct SplitStep {
    pub(super) to: ShardLayout,
    pub(super) reason: Reason,
}

/// One split, and everything that its next step depends on.
pub(super) struct SplitContext<'a> {
    pub(super) now: Time,
    pub(super) shard: ShardId,
    pub(super) layout: ShardLayout,
    pub(super) phase: SplitPhase,
    pub(super) shard_map: &'a VersionedShardMap,
    pub(super) conditions: &'a FleetConditions,
    pub(super) outlooks: &'a ShardOutlooks,
    pub(super) outlook: &'a ShardOutlook,
    /// Whether the shard has an outlook. Without one, the split does not advance.
    pub(super) is_known: bool,
}

impl SplitContext<'_> {
    /// The step to another phase of the same split.
    pub(super) fn to_phase(&self, phase: SplitPhase, reason: Reason) -> SplitStep {
        SplitStep { to: ShardLayout { phase: Some(phase), ..self.layout }, reason }
    }

    /// The step that ends the split and leaves the shard with as many parts as before.
    pub(super) fn to_unsplit(&self, reason: Reason) -> SplitStep {
        SplitStep { to: ShardLayout { phase: None, ..self.layout }, reason }
    }

    /// The step that completes the split.
    pub(super) fn to_complete(&self) -> SplitStep {
        SplitStep { to: ShardLayout { bits: self.layout.bits + 1, phase: None }, reason: Reason::Due }
    }
}

/// The first obstacle that now prevents a split from advancing; none if there is no obstacle.
pub(super) fn obstacle(conditions: &FleetConditions, outlook: &ShardOutlook) -> Option<Reason> {
    let first_of =
        |endpoints: &BTreeSet<EndpointId>| outlook.endpoints.intersection(endpoints).next().copied();
    if conditions.lacks_planner_majority {
        return Some(Reason::NoPlannerMajority);
    }
    if let Some(endpoint) = first_of(&conditions.failing) {
        return Some(Reason::EndpointFails(endpoint));
    }
    if let Some(endpoint) = first_of(&conditions.warming_up) {
        return Some(Reason::EndpointWarmingUp(endpoint));
    }
    if conditions.is_origin_slow {
        return Some(Reason::OriginSlow);
    }
    if conditions.is_frozen() { Some(Reason::Frozen) } else { None }
}
