//! Attempts that nodes send upstream after the client of the request has disconnected.

use std::collections::HashMap;

use serde::Serialize;

use super::rules::{DRAIN_GRACE_MS, TOLERANCE_MS};
use crate::event_log::{ClientAttemptEnd, EventLog, Timestamp};

/// The fewest late attempts that count as a violation.
const MIN_LATE_ATTEMPTS: usize = 5;
/// The largest share of waiting attempts that nodes may forward late.
const MAX_LATE_SHARE: f64 = 0.25;

/// Counts of client attempts whose client disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DisconnectFigures {
    /// Client attempts whose client disconnected.
    #[serde(rename = "left")]
    pub disconnected: usize,
    /// The disconnected attempts for which the node had sent nothing upstream when the client disconnected.
    #[serde(rename = "waited")]
    pub waiting: usize,
    /// The waiting attempts for which the node sent something upstream later than is allowed.
    pub sent_late: usize,
}

impl DisconnectFigures {
    /// Counts the attempts of a run. `link_delay_ms` is the latency that injected link faults may add to an
    /// attempt.
    pub fn measure(event_log: &EventLog, link_delay_ms: f64) -> DisconnectFigures {
        let first_arrivals = first_arrivals(event_log);
        let max_delay_ms = DRAIN_GRACE_MS + TOLERANCE_MS + link_delay_ms;
        let mut figures = DisconnectFigures::default();
        for attempt in &event_log.client_attempts {
            if attempt.end != ClientAttemptEnd::Cancelled {
                continue;
            }
            figures.disconnected += 1;
            match first_arrivals.get(attempt.id.as_str()).map(|at| at.ms_since(attempt.ended)) {
                None => figures.waiting += 1,
                Some(delay_ms) if delay_ms > 0.0 => {
                    figures.waiting += 1;
                    figures.sent_late += usize::from(delay_ms > max_delay_ms);
                }
                Some(_) => {}
            }
        }
        figures
    }

    /// Whether nodes sent so many attempts late that they evidently ignore disconnects.
    pub fn is_violation(&self) -> bool {
        self.sent_late >= MIN_LATE_ATTEMPTS && self.sent_late as f64 > MAX_LATE_SHARE * self.waiting as f64
    }
}

/// When the first attempt for each client attempt arrived at a server, by the client attempt's identifier.
fn first_arrivals(event_log: &EventLog) -> HashMap<&str, Timestamp> {
    let mut first: HashMap<&str, Timestamp> = HashMap::new();
    for attempt in &event_log.server_attempts {
        let earliest = first.entry(&attempt.id).or_insert(attempt.arrived);
        *earliest = (*earliest).min(attempt.arrived);
    }
    first
}
