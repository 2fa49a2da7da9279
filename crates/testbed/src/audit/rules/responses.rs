//! Checks that each request gets exactly one response in time, and that nothing is sent upstream for it
//! afterwards.

use super::index::RunIndex;
use super::{Findings, Rule, TOLERANCE_MS};
use crate::audit::disconnects::DisconnectFigures;
use crate::event_log::{ClientAttempt, ClientAttemptEnd, Event};

const CONNECTION_ENDED: &str = "connection ended without an answer";

/// Checks how each client attempt ended, that no surplus response was sent and that no process crashed.
pub(super) fn check_responses(index: &RunIndex<'_>, findings: &mut Findings) {
    for attempt in &index.event_log.client_attempts {
        if index.is_excused(attempt) {
            continue;
        }
        if let Some(kind) = response_violation(index, attempt) {
            let took_ms = attempt.ended.ms_since(attempt.sent);
            let example =
                format!("attempt {} at {:.3} s, {took_ms:.0} ms", attempt.id, attempt.sent.seconds());
            findings.add(Rule::SingleResponse, kind, example);
        }
    }
    check_events(index, findings);
}

/// The kind of violation in how a client attempt ended; `None` where it ended as it should.
fn response_violation(index: &RunIndex<'_>, attempt: &ClientAttempt) -> Option<&'static str> {
    let timeout_ms = index.experiment.request_classes[attempt.request_class].timeout_ms as f64;
    let is_late = attempt.ended.ms_since(attempt.sent) > timeout_ms + TOLERANCE_MS;
    let is_forwarded = !index.server_attempts(&attempt.id).is_empty();
    match &attempt.end {
        ClientAttemptEnd::Cancelled => None,
        ClientAttemptEnd::TimedOut => Some("no final answer"),
        // The node closed the idle connection before it read the request, so the node did not accept the
        // request.
        ClientAttemptEnd::ConnectionLost { reused: true } if !is_forwarded => None,
        ClientAttemptEnd::ConnectionLost { .. } => Some(CONNECTION_ENDED),
        ClientAttemptEnd::Fulfilled { made_for, .. } if *made_for != attempt.id => {
            Some("answer not made for the call")
        }
        ClientAttemptEnd::ConnectFailed if is_forwarded => Some(CONNECTION_ENDED),
        ClientAttemptEnd::ConnectFailed => Some("node not reached"),
        ClientAttemptEnd::Fulfilled { .. }
        | ClientAttemptEnd::RateLimited { .. }
        | ClientAttemptEnd::Errored { .. } => is_late.then_some("final answer after the client timeout"),
    }
}

/// Checks that no surplus response was sent and that no process crashed.
fn check_events(index: &RunIndex<'_>, findings: &mut Findings) {
    for timed in &index.event_log.events {
        let seconds = timed.at.seconds();
        match &timed.event {
            Event::UnexpectedBytes { node } => {
                let example = format!("node {} at {seconds:.3} s", node.0);
                findings.add(Rule::SingleResponse, "a second answer", example);
            }
            Event::PlannerCrashed { planner, how } => {
                let example = format!("planner {planner} at {seconds:.3} s: {how}");
                findings.add(Rule::SingleResponse, "a planner crashed", example);
            }
            Event::NodeCrashed { node, how } => {
                let example = format!("node {} at {seconds:.3} s: {how}", node.0);
                findings.add(Rule::SingleResponse, "a node crashed", example);
            }
            _ => {}
        }
    }
}

/// Checks that nodes send nothing upstream for a request after its response, and little after its client
/// disconnected.
pub(super) fn check_after_response(index: &RunIndex<'_>, findings: &mut Findings) {
    let max_delay_ms = TOLERANCE_MS + index.link_delay_ms;
    for upstream in &index.event_log.server_attempts {
        let Some(attempt) = index.client_attempt(&upstream.id) else {
            findings.add(Rule::SingleResponse, "a shot that no client asked for", upstream.id.clone());
            continue;
        };
        if attempt.end == ClientAttemptEnd::Cancelled {
            continue;
        }
        let delay_ms = upstream.arrived.ms_since(attempt.ended);
        if delay_ms > max_delay_ms && !index.link_was_silent(upstream) && !index.is_excused(attempt) {
            let example = format!("attempt {}, {delay_ms:.0} ms after its response", attempt.id);
            findings.add(Rule::SingleResponse, "sent after the final answer", example);
        }
    }
    let disconnects = DisconnectFigures::measure(index.event_log, index.link_delay_ms);
    if disconnects.is_violation() {
        let example = format!("{disconnects:?}");
        findings.add(Rule::SingleResponse, "sent on for clients that had left", example);
    }
}
