//! The inputs of the split schedule and the changes that it proposes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;

use crate::shard_growth::accounting_day::FrozenPeriod;
use crate::shard_growth::shard_map::{ShardId, ShardLayout, VersionedShardMap};

/// The present state of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConditions {
    /// The endpoints that are failing.
    pub failing: BTreeSet<EndpointId>,
    /// The endpoints that are warming up.
    pub warming_up: BTreeSet<EndpointId>,
    /// Whether the origin is slow.
    pub is_origin_slow: bool,
    /// Whether fewer than a majority of the configured planners are live.
    pub lacks_planner_majority: bool,
    /// The fetches per second that the origin can serve in addition to those that requests need.
    pub spare_fetches_per_second: f64,
    /// The frozen period that has begun, or else the next one; none if no day is frozen.
    pub frozen_period: Option<FrozenPeriod>,
}

impl FleetConditions {
    /// Whether the fleet is in a frozen period.
    pub(super) fn is_frozen(&self) -> bool {
        self.frozen_period.is_some_and(|period| period.begins_in == Span::ZERO && period.ends_in > Span::ZERO)
    }

    /// Whether a split that takes `duration` from now ends before the next frozen period begins.
    pub(super) fn ends_before_frozen_period(&self, duration: Span) -> bool {
        self.frozen_period.is_none_or(|period| duration <= period.begins_in)
    }
}

/// The forecast, size and endpoints of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardOutlook {
    /// The time until the shard may outgrow its endpoints, by the upper bound of the forecast. None if this
    /// is not forecast.
    pub earliest: Option<Span>,
    /// The time until the shard outgrows its endpoints, by the expected value of the forecast. None if this
    /// is not forecast.
    pub likely: Option<Span>,
    /// The number of keys of the shard.
    pub keys: f64,
    /// The endpoints that store the shard's keys now, and those that would store them after one more split.
    pub endpoints: BTreeSet<EndpointId>,
}

/// The outlook of each shard of which enough is known to decide on its split.
pub type ShardOutlooks = BTreeMap<ShardId, ShardOutlook>;

/// The reason why a split advances, waits or is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The shard is forecast to outgrow its endpoints.
    OutgrowsSoon,
    /// The split has to start now to end before the earliest forecast day, or before a frozen period that
    /// precedes or covers this day.
    TimeToStart,
    /// The phase has lasted for its minimum duration.
    Due,
    /// The shard is no longer forecast to outgrow its endpoints.
    NoLongerForeseen,
    /// The waiting time of a withdrawn split is over.
    WithdrawalExpired,
    /// One of the shard's endpoints is failing.
    EndpointFails(EndpointId),
    /// One of the shard's endpoints is warming up.
    EndpointWarmingUp(EndpointId),
    /// The origin is slow.
    OriginSlow,
    /// Fewer than a majority of the configured planners are live.
    NoPlannerMajority,
    /// The fleet is in a frozen period.
    Frozen,
    /// Another active split uses one of the shard's endpoints.
    EndpointInUse(EndpointId),
    /// The maximum number of splits is active.
    TooManyActiveSplits,
    /// The split would not end before the next frozen period.
    NoTimeBeforeFrozenPeriod,
    /// The origin has no spare fetches for copying keys.
    NoSpareFetches,
    /// An operator requested the withdrawal.
    Operator,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::OutgrowsSoon => f.write_str("the shard is forecast to outgrow its endpoints"),
            Reason::TimeToStart => {
                f.write_str("the split has to start now to end before the forecast day or a frozen period")
            }
            Reason::Due => f.write_str("the split's phase has lasted for its minimum duration"),
            Reason::NoLongerForeseen => {
                f.write_str("the shard is no longer forecast to outgrow its endpoints")
            }
            Reason::WithdrawalExpired => f.write_str("the waiting time after the split's withdrawal is over"),
            Reason::EndpointFails(id) => write!(f, "endpoint {} is failing", id.0),
            Reason::EndpointWarmingUp(id) => write!(f, "endpoint {} is warming up", id.0),
            Reason::OriginSlow => f.write_str("the origin is slow"),
            Reason::NoPlannerMajority => {
                f.write_str("fewer than a majority of the configured planners are live")
            }
            Reason::Frozen => f.write_str("the fleet is in a frozen period"),
            Reason::EndpointInUse(id) => write!(f, "another active split uses endpoint {}", id.0),
            Reason::TooManyActiveSplits => f.write_str("the maximum number of splits is active"),
            Reason::NoTimeBeforeFrozenPeriod => {
                f.write_str("the split would not end before the next frozen period")
            }
            Reason::NoSpareFetches => f.write_str("the origin has no spare fetches for copying keys"),
            Reason::Operator => f.write_str("an operator requested the withdrawal"),
        }
    }
}

/// The next change of the shard map, which takes effect once the planners agree on it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedChange {
    /// The shard that changes.
    pub shard: ShardId,
    /// The shard's layout in the last decided map.
    pub from: ShardLayout,
    /// The shard's next layout.
    pub to: ShardLayout,
    /// Why the layout changes.
    pub reason: Reason,
    /// The shard map with the change.
    pub shard_map: VersionedShardMap,
}
