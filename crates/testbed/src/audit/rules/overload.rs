//! Checks that neither a cache that is warming up nor the origin is overloaded.

use super::index::RunIndex;
use super::{Findings, Rule};
use crate::event_log::{EndpointState, Event, ServerAttempt, ServerId, Timestamp};

const MILLIS_PER_SECOND: f64 = 1e3;

/// Checks the events that report overloaded servers.
pub(super) fn check(index: &RunIndex<'_>, findings: &mut Findings) {
    for timed in &index.event_log.events {
        let seconds = timed.at.seconds();
        match &timed.event {
            Event::CacheOverloaded { server } if is_caused_by_notified_nodes(index, *server, timed.at) => {
                let name = &index.event_log.servers[server.0].name;
                findings.add(Rule::Overload, "a cold cache pushed over", format!("{name} at {seconds:.3} s"));
            }
            Event::OriginOverloaded => {
                findings.add(Rule::Overload, "the origin overrun", format!("at {seconds:.3} s"));
            }
            _ => {}
        }
    }
}

/// Whether over two thirds of the attempts that overloaded a cache came from nodes notified that the cache is
/// ready.
fn is_caused_by_notified_nodes(index: &RunIndex<'_>, server: ServerId, at: Timestamp) -> bool {
    let window_ms = index.experiment.environment.cache.overload_window_s * MILLIS_PER_SECOND;
    let started = last_start(index, server, at);
    let mut attempts = 0;
    let mut notified_attempts = 0;
    for attempt in &index.event_log.server_attempts {
        let is_within = attempt.arrived <= at && at.ms_since(attempt.arrived) <= window_ms;
        if attempt.server != server || !is_within {
            continue;
        }
        attempts += 1;
        notified_attempts += usize::from(was_notified(index, attempt, started));
    }
    3 * notified_attempts > 2 * attempts
}

/// When a cache last started empty, at or before `at`.
fn last_start(index: &RunIndex<'_>, server: ServerId, at: Timestamp) -> Timestamp {
    let events = index.event_log.events.iter();
    let starts = events.filter(|timed| timed.at <= at && timed.event == Event::ColdStart { server });
    starts.map(|timed| timed.at).max().unwrap_or(Timestamp::MIN)
}

/// Whether an attempt's node had been notified, between the cache's start and the attempt, that the cache is
/// ready.
fn was_notified(index: &RunIndex<'_>, attempt: &ServerAttempt, started: Timestamp) -> bool {
    index.event_log.endpoint_notifications.iter().any(|notification| {
        notification.node == attempt.node
            && notification.server == attempt.server
            && notification.at >= started
            && notification.at <= attempt.arrived
            && notification.state == EndpointState::Ready
    })
}
