//! The settings of a planner's shard growth component.

use std::collections::BTreeSet;

use granitelb_balancer::time::Span;

use crate::member::PlannerId;
use crate::shard_growth::split_schedule;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// The settings by which a planner closes days, forecasts growth and proposes splits.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// All configured planners, including this one.
    pub planners: BTreeSet<PlannerId>,
    /// The settings of the split schedule.
    pub schedule: split_schedule::Settings,
    /// The length of an accounting day: a calendar day, except in tests.
    pub day_length: Span,
    /// The fraction of the next day that elapses before a day is closed, since forwarders report a day's last
    /// counts only after its end.
    pub day_close_fraction: f64,
    /// The capacity of an unsplit shard's endpoints in bytes, which each split doubles. None disables splits.
    pub shard_capacity_bytes: Option<f64>,
    /// The days of the month on which no split advances: from 1, or from -1 backwards from the month's end.
    pub frozen_days: BTreeSet<i8>,
    /// The interval at which the present state is sent to other planners and to forwarders.
    pub heartbeat_interval: Span,
    /// The time after which a proposal that is not decided is repeated. It has to exceed two network round
    /// trips.
    pub proposal_retry_interval: Span,
    /// The time after which a forwarder's report of an endpoint expires.
    pub endpoint_report_ttl: Span,
    /// The time after which a forwarder's report of a slow origin expires: more than four of the heartbeats
    /// with which forwarders repeat the report, since messages may be lost.
    pub slow_origin_report_ttl: Span,
}

impl Default for PlannerSettings {
    fn default() -> PlannerSettings {
        PlannerSettings {
            planners: BTreeSet::from([PlannerId(1)]),
            schedule: split_schedule::Settings::default(),
            day_length: Span::from_millis(MILLIS_PER_DAY),
            day_close_fraction: 0.125,
            shard_capacity_bytes: None,
            frozen_days: BTreeSet::new(),
            heartbeat_interval: Span::from_millis(5000),
            proposal_retry_interval: Span::from_millis(2000),
            endpoint_report_ttl: Span::from_millis(75_000),
            slow_origin_report_ttl: Span::from_millis(45_000),
        }
    }
}
