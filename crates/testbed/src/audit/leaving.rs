//! Clients that left: what was sent on for them after they had gone.

use std::collections::HashMap;

use serde::Serialize;

use super::rules::{GRACE_MS, SLACK_MS};
use crate::event_log::{ClientAttemptEnd, EventLog, ServerAttempt, Timestamp};

/// So many late ones are never a breach.
const FEW: usize = 5;
/// Of those that waited for a first attempt, the share that may be sent on late.
const MOST: f64 = 0.25;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Leaving {
    /// Tries whose client left.
    pub left: usize,
    /// Of these, tries for which nothing had been sent by then.
    pub waited: usize,
    /// Of these, tries for which something was sent later than is allowed.
    pub sent_late: usize,
}

impl Leaving {
    pub fn measure(event_log: &EventLog, delay_ms: f64) -> Leaving {
        let mut first: HashMap<&str, Timestamp> = HashMap::new();
        for ServerAttempt { id, arrived, .. } in &event_log.shots {
            let known = first.entry(id).or_insert(*arrived);
            *known = (*known).min(*arrived);
        }
        let mut leaving = Leaving::default();
        for t in event_log.tries.iter().filter(|t| t.end == ClientAttemptEnd::Left) {
            leaving.left += 1;
            let after = first.get(t.id.as_str()).map(|at| at.ms_since(t.ended));
            if after.is_none_or(|ms| ms > 0.0) {
                leaving.waited += 1;
                leaving.sent_late += usize::from(after.is_some_and(|ms| ms > GRACE_MS + SLACK_MS + delay_ms));
            }
        }
        leaving
    }

    pub fn breaks(&self) -> bool {
        self.sent_late >= FEW && self.sent_late as f64 > MOST * self.waited as f64
    }
}
