//! A planner's view of the fleet's members, endpoints and origin. The view is not persisted.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::slot_table::shard_placement;
use granitelb_balancer::time::Time;

use super::settings::PlannerSettings;
use crate::member::{ForwarderId, Member, PlannerId};
use crate::shard_growth::accounting_day::{CalendarMoment, next_frozen_period};
use crate::shard_growth::endpoints::{EndpointReports, EndpointView, ReportedEndpoint};
use crate::shard_growth::message::GrowthError;
use crate::shard_growth::origin_latency::SlowOriginReports;
use crate::shard_growth::shard_map::ShardId;
use crate::shard_growth::split_schedule::FleetConditions;

/// The fleet's state according to the endpoint health and lease components.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// The endpoints that are failing.
    pub failing: BTreeSet<EndpointId>,
    /// Whether the origin is slow.
    pub is_origin_slow: bool,
    /// The fetches per second that the origin can serve in addition to those that requests need.
    pub spare_fetches_per_second: f64,
}

/// The live members, the forwarders' reports, and the fleet status.
#[derive(Debug)]
pub(super) struct FleetView {
    pub(super) status: Option<FleetStatus>,
    pub(super) live_forwarders: BTreeSet<ForwarderId>,
    /// The configured planners that are live, including this one.
    pub(super) live_planners: BTreeSet<PlannerId>,
    pub(super) slow_origin: SlowOriginReports,
    endpoint_reports: EndpointReports,
    endpoints: EndpointView,
    /// A cache of the endpoints of each shard, by shard and number of hash bits. Cleared when the endpoints
    /// change.
    shard_endpoints: BTreeMap<(ShardId, u8), BTreeSet<EndpointId>>,
}

impl FleetView {
    pub(super) fn new(me: PlannerId) -> FleetView {
        FleetView {
            status: None,
            live_forwarders: BTreeSet::new(),
            live_planners: BTreeSet::from([me]),
            slow_origin: SlowOriginReports::default(),
            endpoint_reports: EndpointReports::default(),
            endpoints: EndpointView::default(),
            shard_endpoints: BTreeMap::new(),
        }
    }

    pub(super) fn on_membership_change(
        &mut self,
        me: PlannerId,
        configured: &BTreeSet<PlannerId>,
        alive: &[Member],
    ) {
        self.live_planners = BTreeSet::from([me]);
        self.live_forwarders.clear();
        for member in alive {
            match member {
                Member::Planner(id) if configured.contains(id) => {
                    self.live_planners.insert(*id);
                }
                Member::Planner(_) => {}
                Member::Forwarder(id) => {
                    self.live_forwarders.insert(*id);
                }
            }
        }
    }

    /// Records a report of endpoints, which takes effect at the next call of [`FleetView::update_endpoints`].
    pub(super) fn on_endpoint_report(
        &mut self,
        now: Time,
        from: ForwarderId,
        report: &[ReportedEndpoint],
    ) -> Result<(), GrowthError> {
        self.endpoint_reports.on_report(now, from, report)
    }

    pub(super) fn expire_endpoint_reports(&mut self, now: Time, settings: &PlannerSettings) {
        self.endpoint_reports.expire(now, settings.endpoint_report_ttl, &self.live_forwarders);
    }

    /// Updates the endpoints to those that enough forwarders report now.
    pub(super) fn update_endpoints(&mut self) {
        let endpoints = self.endpoint_reports.view(self.live_forwarders.len());
        if endpoints.sizes != self.endpoints.sizes {
            self.shard_endpoints.clear();
        }
        self.endpoints = endpoints;
    }

    pub(super) fn knows_endpoints(&self) -> bool {
        !self.endpoints.sizes.is_empty()
    }

    /// The endpoints that store a shard's keys if `bits` hash bits divide the keys.
    pub(super) fn endpoints_of(&mut self, shard: ShardId, bits: u8) -> BTreeSet<EndpointId> {
        let sizes = &self.endpoints.sizes;
        self.shard_endpoints
            .entry((shard, bits))
            .or_insert_with(|| shard_placement(shard.0, bits, sizes))
            .clone()
    }

    /// The conditions that splits depend on. None while the endpoint list, the failing endpoints or the
    /// origin's spare fetches are unknown: without the endpoint list, two splits could use the same endpoint
    /// unnoticed.
    pub(super) fn conditions(
        &self,
        now: Time,
        moment: CalendarMoment,
        settings: &PlannerSettings,
    ) -> Option<FleetConditions> {
        if !self.knows_endpoints() {
            return None;
        }
        let status = self.status.as_ref()?;
        let is_reported_slow =
            self.slow_origin.is_origin_slow(now, settings.slow_origin_report_ttl, &self.live_forwarders);
        Some(FleetConditions {
            failing: status.failing.clone(),
            warming_up: self.endpoints.warming_up.clone(),
            is_origin_slow: status.is_origin_slow || is_reported_slow,
            lacks_planner_majority: self.live_planners.len() <= settings.planners.len() / 2,
            spare_fetches_per_second: status.spare_fetches_per_second,
            frozen_period: next_frozen_period(&settings.frozen_days, moment, settings.day_length),
        })
    }

    pub(super) fn entries(&self) -> usize {
        self.live_forwarders.len()
            + self.slow_origin.entries()
            + self.endpoint_reports.entries()
            + self.endpoints.sizes.len()
            + self.shard_endpoints.len()
    }
}
