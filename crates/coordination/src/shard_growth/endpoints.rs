//! Forwarders' reports of the fleet's endpoints. From them the split schedule derives which endpoints a shard
//! occupies and which endpoints are warming up.
//!
//! A property of an endpoint counts while two forwarders report it, or the only live forwarder does, so that
//! false reports of a single forwarder have no effect. Each message is complete on its own, and a report
//! expires unless it is repeated, so messages may be lost, duplicated or late.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use super::message::GrowthError;
use crate::member::ForwarderId;
use crate::observation::ObservedEndpoint;

/// The maximum number of endpoints in one message. An encoded endpoint takes at most 20 bytes.
pub const MAX_ENDPOINTS_PER_MESSAGE: usize = 50;

/// The maximum number of endpoints that one forwarder reports.
const MAX_ENDPOINTS_PER_FORWARDER: usize = 512;

/// The maximum number of endpoints of which a planner keeps reports.
const MAX_ENDPOINTS: usize = 2048;

/// The greatest valid size of an endpoint.
const MAX_SIZE: f64 = 1e9;

/// The number of forwarders that have to report the same property; all live ones if fewer are live.
const MIN_REPORTERS: usize = 2;

/// The properties of an endpoint that a forwarder reports.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's size relative to other endpoints.
    pub size: f64,
    /// Whether the endpoint is warming up after a start.
    pub is_warming_up: bool,
}

/// The endpoints in a forwarder's endpoint list, and their properties when last reported.
#[derive(Debug, Default)]
pub struct EndpointReporter {
    endpoints: Vec<ObservedEndpoint>,
    reported: BTreeMap<EndpointId, ReportedEndpoint>,
    full_report_due: Time,
}

impl EndpointReporter {
    /// Replaces the endpoint list. The origin and endpoints beyond `MAX_ENDPOINTS_PER_FORWARDER` are left
    /// out.
    pub fn set_endpoints(&mut self, endpoints: &[ObservedEndpoint]) {
        let caches = endpoints.iter().filter(|endpoint| !endpoint.is_origin);
        self.endpoints = caches.take(MAX_ENDPOINTS_PER_FORWARDER).copied().collect();
    }

    /// Makes the next report include all endpoints, for a planner that has joined and may have no reports
    /// yet.
    pub fn request_full_report(&mut self) {
        self.full_report_due = Time(0);
    }

    /// The endpoints to report now: all of them once per `full_report_interval`, otherwise only those that
    /// have changed.
    pub fn poll_report(&mut self, now: Time, full_report_interval: Span) -> Vec<ReportedEndpoint> {
        let current: Vec<_> = self.endpoints.iter().map(|endpoint| as_reported(endpoint, now)).collect();
        let is_full_report = now >= self.full_report_due;
        if is_full_report {
            self.full_report_due = now + full_report_interval;
        }
        let is_due = |endpoint: &&ReportedEndpoint| {
            is_full_report || self.reported.get(&endpoint.endpoint) != Some(*endpoint)
        };
        let report = current.iter().filter(is_due).copied().collect();
        self.reported = current.into_iter().map(|endpoint| (endpoint.endpoint, endpoint)).collect();
        report
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        self.endpoints.len() + self.reported.len()
    }
}

fn as_reported(endpoint: &ObservedEndpoint, now: Time) -> ReportedEndpoint {
    ReportedEndpoint {
        endpoint: endpoint.cache,
        size: endpoint.size,
        is_warming_up: endpoint.started.is_some_and(|started| now - started < endpoint.warm_after),
    }
}

/// A report and the time of its arrival.
#[derive(Clone, Copy, Debug)]
struct DatedReport {
    endpoint: ReportedEndpoint,
    received_at: Time,
}

/// A planner's latest report of each endpoint from each forwarder.
#[derive(Debug, Default)]
pub struct EndpointReports {
    reports: BTreeMap<EndpointId, BTreeMap<ForwarderId, DatedReport>>,
    endpoints_per_forwarder: BTreeMap<ForwarderId, usize>,
}

/// The endpoints and properties that enough forwarders report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointView {
    /// The size of each endpoint, ordered by endpoint.
    pub sizes: Vec<(EndpointId, f64)>,
    /// Endpoints that are warming up.
    pub warming_up: BTreeSet<EndpointId>,
}

impl EndpointReports {
    /// Records a forwarder's report.
    ///
    /// # Errors
    /// [`GrowthError::InvalidValue`] if a value or the number of endpoints is out of range; nothing is
    /// recorded then. [`GrowthError::CapacityExceeded`] if an endpoint exceeds the number that is kept; only
    /// the endpoints before this one are recorded.
    pub fn on_report(
        &mut self,
        now: Time,
        from: ForwarderId,
        report: &[ReportedEndpoint],
    ) -> Result<(), GrowthError> {
        if report.len() > MAX_ENDPOINTS_PER_MESSAGE || !report.iter().all(is_valid) {
            return Err(GrowthError::InvalidValue);
        }
        for endpoint in report {
            self.record(now, from, *endpoint)?;
        }
        Ok(())
    }

    fn record(
        &mut self,
        now: Time,
        from: ForwarderId,
        endpoint: ReportedEndpoint,
    ) -> Result<(), GrowthError> {
        let id = endpoint.endpoint;
        let has_capacity = self.reports.len() < MAX_ENDPOINTS || self.reports.contains_key(&id);
        let forwarder_count = self.endpoints_per_forwarder.entry(from).or_default();
        let is_known = self.reports.get(&id).is_some_and(|reports| reports.contains_key(&from));
        let forwarder_has_capacity = is_known || *forwarder_count < MAX_ENDPOINTS_PER_FORWARDER;
        if !has_capacity || !forwarder_has_capacity {
            return Err(GrowthError::CapacityExceeded);
        }
        if !is_known {
            *forwarder_count += 1;
        }
        self.reports.entry(id).or_default().insert(from, DatedReport { endpoint, received_at: now });
        Ok(())
    }

    /// Drops reports of forwarders that are not live and reports older than `time_to_live`.
    pub fn expire(&mut self, now: Time, time_to_live: Span, live: &BTreeSet<ForwarderId>) {
        for reports in self.reports.values_mut() {
            reports.retain(|from, report| live.contains(from) && now - report.received_at < time_to_live);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.endpoints_per_forwarder.clear();
        for from in self.reports.values().flat_map(BTreeMap::keys) {
            *self.endpoints_per_forwarder.entry(*from).or_default() += 1;
        }
    }

    /// The endpoints that enough forwarders report, if `live_forwarders` forwarders are live. If forwarders
    /// report different sizes, the size that most of them report counts.
    pub fn view(&self, live_forwarders: usize) -> EndpointView {
        let min_reporters = MIN_REPORTERS.min(live_forwarders).max(1);
        let mut view = EndpointView::default();
        for (endpoint, reports) in &self.reports {
            let Some(most_reported) = most_reported_size(reports) else { continue };
            if most_reported.reporter_count >= min_reporters {
                view.sizes.push((*endpoint, most_reported.size));
            }
            let warming_up = reports.values().filter(|report| report.endpoint.is_warming_up).count();
            if warming_up >= min_reporters {
                view.warming_up.insert(*endpoint);
            }
        }
        view
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        self.endpoints_per_forwarder.len() + self.reports.values().map(BTreeMap::len).sum::<usize>()
    }
}

/// A size, and the number of forwarders that report it.
struct SizeReporters {
    size: f64,
    reporter_count: usize,
}

fn most_reported_size(reports: &BTreeMap<ForwarderId, DatedReport>) -> Option<SizeReporters> {
    let mut reporter_counts: BTreeMap<u64, usize> = BTreeMap::new();
    for report in reports.values() {
        *reporter_counts.entry(report.endpoint.size.to_bits()).or_default() += 1;
    }
    let (size, reporter_count) = reporter_counts.into_iter().max_by_key(|(_, count)| *count)?;
    Some(SizeReporters { size: f64::from_bits(size), reporter_count })
}

fn is_valid(endpoint: &ReportedEndpoint) -> bool {
    endpoint.size.is_finite() && endpoint.size > 0.0 && endpoint.size <= MAX_SIZE
}
