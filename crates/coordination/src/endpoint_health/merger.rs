//! The merged view of all planners' updates at a forwarder.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ControlPlaneUpdate;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::aggregator::MAX_ENDPOINTS;
use super::error::HealthError;
use super::fragment::ReceivedFragments;
use super::update::{HealthStatus, HealthUpdate, Version};
use crate::member::{Incarnation, PlannerId};

/// How long a status is valid after it was received, so that a silent planner has no influence any longer.
const STATUS_LIFETIME: Span = Span::from_millis(2000);

/// Identifies an update of one planner. The identifiers of later updates are greater.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UpdateId {
    incarnation: Incarnation,
    version: Version,
}

#[derive(Clone, Copy)]
struct ReceivedStatus {
    endpoint: EndpointId,
    status: HealthStatus,
    received_at: Time,
}

/// The received fragments of one version of a planner's update.
struct ReceivedUpdate {
    id: UpdateId,
    fragments: ReceivedFragments,
    statuses: Vec<ReceivedStatus>,
}

/// The updates of one planner. While the latest update is incomplete, the previous one remains valid for the
/// endpoints that the latest does not name.
#[derive(Default)]
struct PlannerUpdates {
    previous: Option<ReceivedUpdate>,
    latest: Option<ReceivedUpdate>,
}

/// The most recent evidence about an endpoint.
#[derive(Clone, Copy)]
struct Evidence {
    /// When the answer or failure was reported to the planner, by this forwarder's clock.
    at: Time,
    is_failing: bool,
}

/// Merges the updates of all planners into one.
#[derive(Default)]
pub struct UpdateMerger {
    /// The updates of each planner. There are at most as many entries as planner numbers.
    planners: BTreeMap<PlannerId, PlannerUpdates>,
}

impl UpdateMerger {
    /// Creates a merger that has received no update.
    pub fn new() -> UpdateMerger {
        UpdateMerger::default()
    }

    /// Handles an update, or a fragment of one, from a planner.
    ///
    /// Returns the reason if the update is rejected: it is invalid, a duplicate, or older than the planner's
    /// latest update.
    pub fn on_update(
        &mut self,
        now: Time,
        from: PlannerId,
        incarnation: Incarnation,
        update: HealthUpdate,
    ) -> Result<(), HealthError> {
        update.fragment.check()?;
        if update.statuses.len() > MAX_ENDPOINTS {
            return Err(HealthError::CapacityExceeded);
        }
        let id = UpdateId { incarnation, version: update.version };
        self.planners.entry(from).or_default().accept(now, id, update)
    }

    /// The merged update. Where planners differ on an endpoint, the status with the more recent evidence is
    /// used; if both are equally recent, the endpoint is not failing. An endpoint that this forwarder is
    /// assigned to probe is omitted, so that the balancer sends attempts to it.
    pub fn control_plane_update(&self, now: Time) -> ControlPlaneUpdate {
        let assigned_probes = self.assigned_probes(now);
        let mut update = ControlPlaneUpdate::default();
        for (endpoint, evidence) in self.latest_evidence(now) {
            if !evidence.is_failing {
                update.answering.push((endpoint, evidence.at));
            } else if assigned_probes.binary_search(&endpoint).is_err() {
                update.failing.push((endpoint, evidence.at));
            }
        }
        update
    }

    /// The failing endpoints that any planner has assigned to this forwarder for probes, in order.
    pub fn assigned_probes(&self, now: Time) -> Vec<EndpointId> {
        let mut assigned = BTreeSet::new();
        for received in self.valid_statuses(now) {
            if let HealthStatus::Probe { .. } = received.status {
                assigned.insert(received.endpoint);
            }
        }
        assigned.into_iter().collect()
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        let updates = self.planners.values().flat_map(|planner| [&planner.previous, &planner.latest]);
        updates.flatten().map(|update| 1 + update.statuses.len()).sum()
    }

    fn valid_statuses(&self, now: Time) -> impl Iterator<Item = ReceivedStatus> {
        self.planners.values().flat_map(move |planner| planner.valid_statuses(now))
    }

    fn latest_evidence(&self, now: Time) -> BTreeMap<EndpointId, Evidence> {
        let mut latest: BTreeMap<EndpointId, Evidence> = BTreeMap::new();
        for received in self.valid_statuses(now) {
            let evidence = Evidence::of(received);
            let known = latest.entry(received.endpoint).or_insert(evidence);
            if evidence.overrides(*known) {
                *known = evidence;
            }
        }
        latest
    }
}

impl Evidence {
    /// The evidence in a received status. Its age does not include the time in transit.
    fn of(received: ReceivedStatus) -> Evidence {
        let (ago, is_failing) = match received.status {
            HealthStatus::Failing { ago } | HealthStatus::Probe { ago } => (ago, true),
            HealthStatus::Recovered { ago } => (ago, false),
        };
        Evidence { at: Time(received.received_at.0.saturating_sub(ago.0)), is_failing }
    }

    fn overrides(self, other: Evidence) -> bool {
        self.at > other.at || self.at == other.at && !self.is_failing
    }
}

impl PlannerUpdates {
    fn accept(&mut self, now: Time, id: UpdateId, update: HealthUpdate) -> Result<(), HealthError> {
        if self.latest.as_ref().is_none_or(|latest| id > latest.id) {
            if let Some(superseded) = self.latest.take() {
                self.previous = Some(superseded);
            }
            let fragments = ReceivedFragments::default();
            self.latest = Some(ReceivedUpdate { id, fragments, statuses: Vec::new() });
        }
        let latest = self.latest.as_mut().filter(|latest| latest.id == id).ok_or(HealthError::Stale)?;
        if !latest.fragments.insert(update.fragment) {
            return Err(HealthError::Stale);
        }
        for (endpoint, status) in update.statuses {
            latest.statuses.push(ReceivedStatus { endpoint, status, received_at: now });
        }
        if latest.fragments.is_complete(update.fragment.count) {
            self.previous = None;
        }
        Ok(())
    }

    fn valid_statuses(&self, now: Time) -> impl Iterator<Item = ReceivedStatus> {
        let latest = self.latest.iter().flat_map(|update| &update.statuses);
        let named: BTreeSet<_> = latest.clone().map(|received| received.endpoint).collect();
        let previous = self.previous.iter().flat_map(|update| &update.statuses);
        let unnamed = previous.filter(move |received| !named.contains(&received.endpoint));
        let all = latest.chain(unnamed).copied();
        all.filter(move |received| now - received.received_at < STATUS_LIFETIME)
    }
}
