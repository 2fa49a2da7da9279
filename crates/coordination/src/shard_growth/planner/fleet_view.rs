//! What a planner knows of the fleet's members, endpoints and origin. Nothing of it is persisted.

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

/// What the host knows of the fleet from endpoint health and leases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetStatus {
    /// Endpoints that fail.
    pub failing: BTreeSet<EndpointId>,
    /// Whether the origin is slow.
    pub is_origin_slow: bool,
    /// Fetches in a second that the origin can serve beyond what requests need.
    pub spare_fetches_per_second: f64,
}

/// Live members, and what they and the host report.
#[derive(Debug)]
pub(super) struct FleetView {
    pub(super) status: Option<FleetStatus>,
    pub(super) live_forwarders: BTreeSet<ForwarderId>,
    /// The live planners of those that are configured, this one included.
    pub(super) live_planners: BTreeSet<PlannerId>,
    pub(super) slow_origin: SlowOriginReports,
    endpoint_reports: EndpointReports,
    endpoints: EndpointView,
    /// The endpoints of a shard by its number of bits, for as long as the endpoint list stays.
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

    /// Records a report of endpoints; [`FleetView::update_endpoints`] makes it count.
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

    /// Takes what enough forwarders report now.
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

    /// The endpoints that hold a shard's keys if they are divided by `bits` bits.
    pub(super) fn endpoints_of(&mut self, shard: ShardId, bits: u8) -> BTreeSet<EndpointId> {
        let sizes = &self.endpoints.sizes;
        self.shard_endpoints
            .entry((shard, bits))
            .or_insert_with(|| shard_placement(shard.0, bits, sizes))
            .clone()
    }

    /// What splits depend on; none while it is not known which endpoints there are, which of them fail, or what the
    /// origin has to spare. Without endpoints, none could be seen to be in use.
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
