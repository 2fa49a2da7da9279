//! What the split schedule decides by, and what it decides.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;

use crate::shard_growth::accounting_day::FrozenPeriod;
use crate::shard_growth::shard_map::{ShardId, ShardLayout, VersionedShardMap};

/// The present state of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConditions {
    /// Endpoints that fail.
    pub failing: BTreeSet<EndpointId>,
    /// Endpoints that are warming up.
    pub warming_up: BTreeSet<EndpointId>,
    /// Whether the origin is slow.
    pub is_origin_slow: bool,
    /// Whether fewer than a majority of the configured planners are live.
    pub lacks_planner_majority: bool,
    /// Fetches in a second that the origin can serve beyond what requests need.
    pub spare_fetches_per_second: f64,
    /// The frozen period that is in force or comes next.
    pub frozen_period: Option<FrozenPeriod>,
}

impl FleetConditions {
    /// Whether a frozen period is in force.
    pub(super) fn is_frozen(&self) -> bool {
        self.frozen_period.is_some_and(|period| period.begins_in == Span::ZERO && period.ends_in > Span::ZERO)
    }

    /// Whether something that takes `duration` ends before the next frozen period begins.
    pub(super) fn ends_before_frozen_period(&self, duration: Span) -> bool {
        self.frozen_period.is_none_or(|period| duration <= period.begins_in)
    }
}

/// What is known of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardOutlook {
    /// How soon the shard may outgrow its endpoints, by the upper bound of the forecast. None if not foreseen.
    pub earliest: Option<Span>,
    /// How soon it does so by the forecast itself. None if not foreseen.
    pub likely: Option<Span>,
    /// The number of keys that it holds.
    pub keys: f64,
    /// The endpoints that hold its keys now, and those that would after one more split.
    pub endpoints: BTreeSet<EndpointId>,
}

/// The outlook of each shard of which enough is known.
pub type ShardOutlooks = BTreeMap<ShardId, ShardOutlook>;

/// Why a split advances, waits or is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The shard may outgrow its endpoints.
    OutgrowsSoon,
    /// The time until the earliest forecast day, or until the frozen period that it falls into, is what a split may take.
    TimeToStart,
    /// The phase has lasted for its duration.
    Due,
    /// The shard is no longer forecast to outgrow its endpoints.
    NoLongerForeseen,
    /// A withdrawn split has waited long enough.
    WithdrawalExpired,
    /// One of the shard's endpoints fails.
    EndpointFails(EndpointId),
    /// One of the shard's endpoints is warming up.
    EndpointWarmingUp(EndpointId),
    /// The origin is slow.
    OriginSlow,
    /// Fewer than a majority of the configured planners are live.
    NoPlannerMajority,
    /// A frozen period is in force.
    Frozen,
    /// Another active split uses one of the shard's endpoints.
    EndpointInUse(EndpointId),
    /// As many splits are active as are allowed.
    TooManyActiveSplits,
    /// The split could not end before a frozen period.
    NoTimeBeforeFrozenPeriod,
    /// The origin has no spare fetches.
    NoSpareFetches,
    /// An operator has requested the withdrawal.
    Operator,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::OutgrowsSoon => f.write_str("the shard is forecast to outgrow its endpoints"),
            Reason::TimeToStart => f.write_str("the split has to start now to end in time"),
            Reason::Due => f.write_str("the phase has lasted for its duration"),
            Reason::NoLongerForeseen => {
                f.write_str("the shard is no longer forecast to outgrow its endpoints")
            }
            Reason::WithdrawalExpired => f.write_str("the withdrawn split has waited long enough"),
            Reason::EndpointFails(id) => write!(f, "endpoint {} fails", id.0),
            Reason::EndpointWarmingUp(id) => write!(f, "endpoint {} is warming up", id.0),
            Reason::OriginSlow => f.write_str("the origin is slow"),
            Reason::NoPlannerMajority => f.write_str("fewer than a majority of planners are live"),
            Reason::Frozen => f.write_str("a frozen period is in force"),
            Reason::EndpointInUse(id) => write!(f, "another split uses endpoint {}", id.0),
            Reason::TooManyActiveSplits => f.write_str("as many splits are active as are allowed"),
            Reason::NoTimeBeforeFrozenPeriod => f.write_str("the split could not end before a frozen period"),
            Reason::NoSpareFetches => f.write_str("the origin has no spare fetches"),
            Reason::Operator => f.write_str("an operator requested it"),
        }
    }
}

/// The next change of the shard map, which the planners have to agree on.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedChange {
    /// The shard that changes.
    pub shard: ShardId,
    /// Its layout in the map that was decided last.
    pub from: ShardLayout,
    /// Its next layout.
    pub to: ShardLayout,
    /// Why it changes.
    pub reason: Reason,
    /// The shard map with the change.
    pub shard_map: VersionedShardMap,
}
