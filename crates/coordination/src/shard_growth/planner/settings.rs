//! The settings of a planner's part in shard growth.

use std::collections::BTreeSet;

use granitelb_balancer::time::Span;

use crate::member::PlannerId;
use crate::shard_growth::split_schedule;

const MILLIS_PER_DAY: u64 = 86_400_000;

/// How a planner counts days, forecasts and proposes.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// All configured planners, this one included.
    pub planners: BTreeSet<PlannerId>,
    /// How splits are scheduled.
    pub schedule: split_schedule::Settings,
    /// The length of an accounting day; other than a calendar day only in tests.
    pub day_length: Span,
    /// A day is closed once this fraction of the next one has elapsed: forwarders report it to its end.
    pub day_close_fraction: f64,
    /// The bytes that the endpoints of an unsplit shard hold; each split doubles them. None disables splits.
    pub shard_capacity_bytes: Option<f64>,
    /// Days of the month on which no split advances, from 1, or from -1 backwards from the month's end.
    pub frozen_days: BTreeSet<i8>,
    /// How often other planners and forwarders are sent the present state.
    pub heartbeat_interval: Span,
    /// A proposal that is not decided is repeated after this time, which has to exceed two network round trips.
    pub proposal_retry_interval: Span,
    /// A forwarder's report of an endpoint expires after this time.
    pub endpoint_report_ttl: Span,
    /// A forwarder's report of a slow origin expires after this time: four of the heartbeats by which forwarders repeat
    /// it, since messages are lost.
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
