//! Checks that no deduplicated or non-idempotent effect is executed twice, and no request is sent to two
//! servers at once unless hedging is on.

use std::collections::BTreeMap;

use super::index::RunIndex;
use super::{Findings, Rule, TOLERANCE_MS};
use crate::event_log::{ClientAttempt, ClientAttemptEnd, ServerAttempt, ServerAttemptEnd};
use crate::experiment::RequestEffect;

/// Checks the writes that the origin executed.
pub(super) fn check_effects(index: &RunIndex<'_>, findings: &mut Findings) {
    let mut executions_by_id: BTreeMap<&str, usize> = BTreeMap::new();
    let mut executions_by_key: BTreeMap<&str, usize> = BTreeMap::new();
    for effect in &index.event_log.effects {
        *executions_by_id.entry(&effect.id).or_default() += 1;
        if let Some(key) = &effect.idempotency_key {
            *executions_by_key.entry(key).or_default() += 1;
        }
    }
    for (key, count) in executions_by_key {
        if count > 1 {
            findings.add(
                Rule::AtMostOnce,
                "a deduplicated effect twice",
                format!("key {key}, {count} times"),
            );
        }
    }
    for attempt in &index.event_log.client_attempts {
        if index.effect(attempt) == RequestEffect::NonIdempotent {
            let executions = executions_by_id.get(attempt.id.as_str()).copied().unwrap_or(0);
            check_non_idempotent(index, attempt, executions, findings);
        }
    }
}

fn check_non_idempotent(
    index: &RunIndex<'_>,
    attempt: &ClientAttempt,
    executions: usize,
    findings: &mut Findings,
) {
    let example = || format!("attempt {} at {:.3} s", attempt.id, attempt.sent.seconds());
    if executions > 1 {
        findings.add(Rule::AtMostOnce, "a non-idempotent effect twice", example());
    }
    if executions > 0 && matches!(attempt.end, ClientAttemptEnd::RateLimited { .. }) {
        findings.add(Rule::AtMostOnce, "rate-limited, though it ran", example());
    }
    let upstream = index.server_attempts_by_arrival(&attempt.id);
    let first_maybe_executed = upstream.iter().position(|attempt| may_have_executed(attempt));
    if first_maybe_executed.is_some_and(|n| n + 1 < upstream.len()) {
        findings.add(Rule::AtMostOnce, "sent again, though it may have run", example());
    }
}

/// Whether the server may have executed the attempt: it did not where it rejected the attempt or reported a
/// cache miss.
fn may_have_executed(attempt: &ServerAttempt) -> bool {
    !matches!(attempt.end, ServerAttemptEnd::Rejected | ServerAttemptEnd::CacheMiss)
}

/// Checks that no attempt is sent while another attempt for the same request is in flight, unless hedging is
/// on.
pub(super) fn check_hedging(index: &RunIndex<'_>, findings: &mut Findings) {
    if index.experiment.environment.hedging {
        return;
    }
    for id in index.forwarded_ids() {
        for pair in index.server_attempts_by_arrival(id).windows(2) {
            let next = pair[1].arrived;
            let has_ended = pair[0].ended.is_some_and(|ended| next.ms_since(ended) > -TOLERANCE_MS);
            if !has_ended && !index.link_was_silent(pair[0]) {
                let example = format!("attempt {id} at {:.3} s", next.seconds());
                findings.add(Rule::AtMostOnce, "a second copy while one was out", example);
            }
        }
    }
}
