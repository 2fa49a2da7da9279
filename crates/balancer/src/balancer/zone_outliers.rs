//! Outlier detection for whole zones.
//!
//! A node that rarely sends attempts to any single endpoint would detect the failure of a zone's endpoints
//! one by one. The detector combines the outcomes at all endpoints of a zone, so that the node detects the
//! failure of the zone after a few attempts.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EndpointId, ZoneId};
use crate::time::{Span, Time};

/// A zone is unresponsive after this many of its endpoints gave no response and no endpoint of the zone
/// responded in between. One or two failed endpoints do not indicate a failure of the zone.
const MIN_UNRESPONSIVE_ENDPOINTS: usize = 3;
/// The interval between probes of an unresponsive zone, which is probed less often than its endpoints would
/// be one by one.
const PROBE_INTERVAL: Span = Span::from_millis(1000);

/// The responses of one zone's endpoints.
#[derive(Default)]
struct ZoneState {
    /// The endpoints that gave no response since the zone's last response, at most
    /// `MIN_UNRESPONSIVE_ENDPOINTS`.
    unresponsive: Vec<EndpointId>,
    /// When the first of the `unresponsive` endpoints gave no response.
    unresponsive_since: Time,
    last_response_at: Time,
    next_probe_at: Time,
}

/// The state of each zone of the endpoint list.
#[derive(Default)]
pub(super) struct ZoneOutlierDetector {
    zones: BTreeMap<ZoneId, ZoneState>,
}

impl ZoneOutlierDetector {
    /// Drops the state of all zones that are not listed, so that the state stays bounded however many zones
    /// are listed over time.
    pub fn retain_zones(&mut self, listed: &BTreeSet<ZoneId>) {
        self.zones.retain(|zone, _| listed.contains(zone));
    }

    /// Records that an endpoint of the zone responded in any way.
    pub fn on_response(&mut self, now: Time, zone: ZoneId) {
        let state = self.zones.entry(zone).or_default();
        state.last_response_at = now;
        state.unresponsive.clear();
    }

    /// Records that an attempt at an endpoint of the zone had no response or found no connection.
    pub fn on_no_response(&mut self, now: Time, zone: ZoneId, endpoint: EndpointId) {
        let state = self.zones.entry(zone).or_default();
        if state.unresponsive.is_empty() {
            state.unresponsive_since = now;
        }
        let counts_already = state.unresponsive.contains(&endpoint);
        if state.unresponsive.len() < MIN_UNRESPONSIVE_ENDPOINTS && !counts_already {
            state.unresponsive.push(endpoint);
            state.next_probe_at = now + PROBE_INTERVAL;
        }
    }

    /// Whether the zone does not respond although another zone has responded since. If no zone responds, the
    /// node itself is disconnected or all zones have failed, and excluding all of them would not help.
    pub fn is_unresponsive(&self, zone: ZoneId) -> bool {
        let Some(state) = self.zones.get(&zone) else { return false };
        if state.unresponsive.len() < MIN_UNRESPONSIVE_ENDPOINTS {
            return false;
        }
        let mut others = self.zones.iter().filter(|(id, _)| **id != zone);
        others.any(|(_, other)| other.last_response_at >= state.unresponsive_since)
    }

    /// Whether attempts may be sent to the zone: the zone responds, or a probe of the zone is due.
    pub fn is_attempt_allowed(&self, now: Time, zone: ZoneId) -> bool {
        if !self.is_unresponsive(zone) {
            return true;
        }
        self.zones.get(&zone).is_none_or(|state| state.next_probe_at <= now)
    }

    /// Records that an attempt was sent to the zone. If the zone is unresponsive, the attempt is a probe and
    /// postpones the next probe.
    pub fn on_attempt_sent(&mut self, now: Time, zone: ZoneId) {
        if let Some(state) = self.zones.get_mut(&zone) {
            state.next_probe_at = state.next_probe_at.max(now + PROBE_INTERVAL);
        }
    }
}

#[cfg(test)]
mod tests;
