//! Compares the caches that planners reported to be worse than others with the caches that faults slowed
//! down.

use std::collections::BTreeSet;

use crate::event_log::{EventLog, Member};
use crate::experiment::{Experiment, FaultKind};
use crate::message_reference::{self, Comparison, CounterfactualMessage, MessageKind};

/// The number of caches that planners reported to be worse than others.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Detections {
    /// Reported caches that a fault slowed down.
    pub slow: usize,
    /// Reported caches that no fault slowed down.
    pub not_slow: usize,
}

impl Detections {
    /// Counts the caches that the planners' messages of a run report.
    pub fn read(experiment: &Experiment, event_log: &EventLog) -> Detections {
        let reported = reported_as_worse(event_log);
        let mut slow_slots = BTreeSet::new();
        for fault in experiment.faults() {
            if fault.kind == FaultKind::Slow {
                slow_slots.extend(fault.target_caches(experiment));
            }
        }
        let mut detections = Detections { slow: 0, not_slow: 0 };
        for server in &event_log.servers {
            if !reported.contains(&message_reference::endpoint_number(&server.name)) {
                continue;
            }
            if server.slot.is_some_and(|slot| slow_slots.contains(&slot)) {
                detections.slow += 1;
            } else {
                detections.not_slow += 1;
            }
        }
        detections
    }
}

/// The endpoint numbers of all caches that at least one planner reported to be worse than others.
fn reported_as_worse(event_log: &EventLog) -> BTreeSet<u64> {
    let mut reported = BTreeSet::new();
    for message in &event_log.messages {
        if !matches!(message.from, Member::Planner(_)) || message.corrupted {
            continue;
        }
        let decoded =
            message_reference::decode(&event_log.secret, MessageKind::Counterfactual, &message.bytes);
        let reports = match decoded {
            Some((_, CounterfactualMessage::Comparisons(reports))) => reports,
            Some((_, CounterfactualMessage::LatencyRatios(reports))) => reports,
            _ => continue,
        };
        for report in reports {
            if report.comparison == Comparison::Worse {
                reported.insert(report.cache);
            }
        }
    }
    reported
}
