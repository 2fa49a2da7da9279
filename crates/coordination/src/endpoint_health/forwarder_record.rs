//! A planner's record of a forwarder that reports to it.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::fragment::ReceivedFragments;
use crate::member::Incarnation;

/// Identifies a report of one forwarder. The identifiers of later reports are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportId {
    pub incarnation: Incarnation,
    pub sequence: u64,
}

/// The state of a forwarder by its latest report.
pub struct ForwarderRecord {
    /// The identifier of the latest report.
    pub report: ReportId,
    /// The fragments of the latest report that were received.
    pub fragments: ReceivedFragments,
    /// When the last fragment of a report was received.
    pub last_heard: Time,
    /// When the last update was sent to the forwarder; `None` if none was sent.
    pub last_update: Option<Time>,
    /// When the next update is due; `None` if the forwarder has not reported since the last update.
    pub update_due: Option<Time>,
    /// The attempts in flight at each endpoint in the latest report.
    pub in_flight: BTreeMap<EndpointId, f64>,
    /// The attempts in flight at each endpoint in the report before the latest one.
    pub previous_in_flight: BTreeMap<EndpointId, f64>,
}

impl ForwarderRecord {
    /// Creates the record of a forwarder whose first report is being received.
    pub fn new(report: ReportId, now: Time) -> ForwarderRecord {
        ForwarderRecord {
            report,
            fragments: ReceivedFragments::default(),
            last_heard: now,
            last_update: None,
            update_due: None,
            in_flight: BTreeMap::new(),
            previous_in_flight: BTreeMap::new(),
        }
    }

    /// Starts the next report. The attempts in flight in the previous report are kept as the previous ones.
    pub fn start_report(&mut self, report: ReportId) {
        self.report = report;
        self.fragments = ReceivedFragments::default();
        self.previous_in_flight = std::mem::take(&mut self.in_flight);
    }

    /// Returns when the next update is due, now that the forwarder has reported: as soon as the minimum
    /// interval since the last update allows.
    pub fn next_update_time(&self, now: Time, min_interval: Span) -> Time {
        if let Some(due) = self.update_due {
            return due;
        }
        self.last_update.map_or(now, |last| now.max(last + min_interval))
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        1 + self.in_flight.len() + self.previous_in_flight.len()
    }
}
