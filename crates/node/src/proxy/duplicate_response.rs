//! Detects a late duplicate of an earlier response on a connection that already carries the next request.
//!
//! A response does not identify its request, and a duplicate that arrives some milliseconds late is read
//! where the response to the next request is due. A duplicate has the same bytes as the original: a response
//! with a body that equals a response received on the same connection a moment ago is taken for a duplicate,
//! and the response to the current request is expected after it.
//!
//! Duplicates cannot be detected among responses that are equal from request to request:
//! - Responses without a body and unsuccessful responses are equal by nature. A duplicate of a response which
//!   says that its request was not executed would cause the next request to be sent again although the
//!   endpoint executes it. While such a duplicate may arrive, the connection carries no request that must not
//!   be executed twice.
//! - Successful responses can be equal too, as where each write gets the same response body. No response is
//!   taken for a duplicate until a run of responses has differed from one to the next.
//!
//! Invariant: each connection remembers at most [`MAX_REMEMBERED`] responses of the last
//! [`DUPLICATE_WINDOW`], each by its hash.

use std::hash::{DefaultHasher, Hash, Hasher};

use granitelb_balancer::time::{Span, Time};

use super::attempt_end::outcome_of_response;
use crate::http::Message;

/// A duplicate arrives within this time after the original response.
const DUPLICATE_WINDOW: Span = Span::from_millis(250);
/// The most responses that are remembered for one connection.
const MAX_REMEMBERED: usize = 8;
/// After this many consecutive responses that differ, a response that equals an earlier one is a duplicate.
const MIN_DISTINCT_RUN: u32 = 4;

struct RememberedResponse {
    received_at: Time,
    /// `None` for a response whose duplicates cannot be detected.
    hash: Option<u64>,
    /// Whether the response proves that the endpoint did not execute the request.
    proves_not_executed: bool,
}

/// The responses that one connection has recently delivered.
#[derive(Default)]
pub(super) struct RecentResponses {
    responses: Vec<RememberedResponse>,
}

impl RecentResponses {
    /// Records a response that was accepted.
    pub(super) fn record(&mut self, now: Time, response: &Message) {
        self.responses.retain(|remembered| now - remembered.received_at < DUPLICATE_WINDOW);
        if self.responses.len() >= MAX_REMEMBERED {
            self.responses.remove(0);
        }
        let proves_not_executed = outcome_of_response(response).proves_not_executed();
        self.responses.push(RememberedResponse {
            received_at: now,
            hash: hash_response(response),
            proves_not_executed,
        });
    }

    /// Whether a response within [`DUPLICATE_WINDOW`] proved that its request was not executed. A duplicate
    /// of that response may still arrive.
    pub(super) fn has_not_executed_response(&self, now: Time) -> bool {
        let mut recent = self.recent(now);
        recent.any(|remembered| remembered.proves_not_executed)
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &RememberedResponse> {
        self.responses.iter().filter(move |remembered| now - remembered.received_at < DUPLICATE_WINDOW)
    }

    /// Whether `response` equals a response that was received within [`DUPLICATE_WINDOW`].
    pub(super) fn contains(&self, now: Time, response: &Message) -> bool {
        let Some(hash) = hash_response(response) else { return false };
        let mut recent = self.recent(now);
        recent.any(|remembered| remembered.hash == Some(hash))
    }
}

/// Tracks whether the responses to reads, or those to writes, differ from one to the next, over all
/// connections.
#[derive(Default)]
pub(super) struct ResponseVariety {
    last_hash: Option<u64>,
    distinct_run: u32,
}

impl ResponseVariety {
    /// Records a response that was accepted.
    pub(super) fn record(&mut self, response: &Message) {
        let Some(hash) = hash_response(response) else { return };
        let differs = self.last_hash != Some(hash);
        self.last_hash = Some(hash);
        self.distinct_run = if differs { self.distinct_run.saturating_add(1) } else { 0 };
    }

    /// Whether enough consecutive responses have differed for a repeated response to count as a duplicate.
    pub(super) fn is_established(&self) -> bool {
        self.distinct_run >= MIN_DISTINCT_RUN
    }
}

/// The hash of a response's headers and body; `None` for a response whose duplicates cannot be detected.
fn hash_response(response: &Message) -> Option<u64> {
    if response.head.status != 200 || response.body.is_empty() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    response.head.headers.hash(&mut hasher);
    response.body.hash(&mut hasher);
    Some(hasher.finish())
}
