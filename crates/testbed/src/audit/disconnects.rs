//! Clients that disconnect: what nodes send upstream for them afterwards.

use std::collections::HashMap;

use serde::Serialize;

use super::rules::{DRAIN_GRACE_MS, TOLERANCE_MS};
use crate::event_log::{ClientAttemptEnd, EventLog, Timestamp};

/// Fewer late attempts than this never count as a violation.
const MIN_LATE_ATTEMPTS: usize = 5;
/// The share of waiting attempts that may be forwarded late.
const MAX_LATE_SHARE: f64 = 0.25;

/// Attempts whose client disconnected, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DisconnectFigures {
    /// Attempts whose client disconnected.
    #[serde(rename = "left")]
    pub disconnected: usize,
    /// Of these, attempts for which nothing had been sent upstream by then.
    #[serde(rename = "waited")]
    pub waiting: usize,
    /// Of the waiting ones, attempts for which something was sent later than is allowed.
    pub sent_late: usize,
}

impl DisconnectFigures {
    /// Counts the attempts of a run; `link_delay_ms` is what injected delays may add to an attempt's way.
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

    /// Whether so many were sent late that the node does not react to disconnects.
    pub fn is_violation(&self) -> bool {
        self.sent_late >= MIN_LATE_ATTEMPTS && self.sent_late as f64 > MAX_LATE_SHARE * self.waiting as f64
    }
}

/// When the first attempt arrived at a server, by the client attempt's name.
fn first_arrivals(event_log: &EventLog) -> HashMap<&str, Timestamp> {
    let mut first: HashMap<&str, Timestamp> = HashMap::new();
    for attempt in &event_log.server_attempts {
        let known = first.entry(&attempt.id).or_insert(attempt.arrived);
        *known = (*known).min(attempt.arrived);
    }
    first
}
