//! Checks that no new attempt is sent to a draining or removed cache after the grace period.

use std::collections::{BTreeMap, HashMap};

use super::index::RunIndex;
use super::{DRAIN_GRACE_MS, Findings, Rule, TOLERANCE_MS};
use crate::event_log::{EndpointState, EventLog, NodeId, ServerAttempt, ServerId, Timestamp};

/// The attempts of a node at a cache while the endpoint list of the node had the cache as draining or
/// removed.
pub(in crate::audit) struct Drain<'a> {
    pub node: NodeId,
    pub server: ServerId,
    /// When the node was notified that the cache is draining or removed.
    pub notified: Timestamp,
    pub attempts: Vec<&'a ServerAttempt>,
}

/// Checks the attempts of each drain against the grace period.
pub(super) fn check(index: &RunIndex<'_>, findings: &mut Findings) {
    let max_delay_ms = DRAIN_GRACE_MS + TOLERANCE_MS + index.link_delay_ms;
    for drain in drains(index.event_log) {
        for attempt in &drain.attempts {
            let delay_ms = attempt.arrived.ms_since(drain.notified);
            if delay_ms > max_delay_ms && !index.link_was_silent(attempt) {
                let name = &index.event_log.servers[drain.server.0].name;
                let example =
                    format!("node {} to {name}, {delay_ms:.0} ms after the notification", drain.node.0);
                findings.add(Rule::Draining, "a new shot to a draining or gone cache", example);
            }
        }
    }
}

/// A period in which a node's endpoint list had a cache as draining or removed; it was listed as ready again
/// at `to`.
struct DrainPeriod {
    from: Timestamp,
    to: Timestamp,
}

/// All drains of a run, by node and server.
pub(in crate::audit) fn drains(event_log: &EventLog) -> Vec<Drain<'_>> {
    let mut attempts: HashMap<(NodeId, ServerId), Vec<&ServerAttempt>> = HashMap::new();
    for attempt in &event_log.server_attempts {
        attempts.entry((attempt.node, attempt.server)).or_default().push(attempt);
    }
    let mut drains = Vec::new();
    for ((node, server), periods) in drain_periods(event_log) {
        let attempts = attempts.get(&(node, server)).map_or(&[][..], Vec::as_slice);
        for DrainPeriod { from, to } in periods {
            let within = |attempt: &&&ServerAttempt| attempt.arrived > from && attempt.arrived <= to;
            let attempts = attempts.iter().filter(within).copied().collect();
            drains.push(Drain { node, server, notified: from, attempts });
        }
    }
    drains
}

/// The drain periods of each cache at each node, in the order of time.
fn drain_periods(event_log: &EventLog) -> BTreeMap<(NodeId, ServerId), Vec<DrainPeriod>> {
    let mut notifications: Vec<_> = event_log.endpoint_notifications.iter().collect();
    notifications.sort_by_key(|notification| notification.at);
    let mut periods: BTreeMap<(NodeId, ServerId), Vec<DrainPeriod>> = BTreeMap::new();
    for notification in notifications {
        let known_periods = periods.entry((notification.node, notification.server)).or_default();
        let open = known_periods.last_mut().filter(|period| period.to == Timestamp::MAX);
        match (notification.state, open) {
            (EndpointState::Ready, Some(period)) => period.to = notification.at,
            (EndpointState::Draining | EndpointState::Removed, None) => {
                known_periods.push(DrainPeriod { from: notification.at, to: Timestamp::MAX });
            }
            _ => {}
        }
    }
    periods
}
