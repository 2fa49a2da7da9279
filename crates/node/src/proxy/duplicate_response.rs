//! Detects a late duplicate of an earlier response on a connection that carries the next request by then.
//!
//! Nothing in a response identifies its request, and a duplicate that arrives some milliseconds late is on
//! the wire where the response to the next request is due. Its bytes are the same, though. A response with a
//! body that equals one received on its connection a moment ago is taken for a duplicate: the response to the
//! request follows it.
//!
//! Responses without a body, and unsuccessful ones, are equal from request to request by nature, and their
//! duplicates cannot be detected. A duplicate of one that denies that its request ran would have the next request sent
//! again although it runs: while one may come, the connection carries no request that must not run twice. Nor can duplicates where responses are equal for another reason, as where
//! each write is answered by the same word: unless a run of responses has differed from one to the next, none
//! is taken for a duplicate.
//!
//! Invariant: each connection remembers at most [`MAX_REMEMBERED`] responses of the last
//! [`DUPLICATE_WINDOW`], as a hash each.

use std::hash::{DefaultHasher, Hash, Hasher};

use granitelb_balancer::time::{Span, Time};

use super::attempt_end::outcome_of_response;
use crate::http::Message;

/// A duplicate arrives within this time after the response.
const DUPLICATE_WINDOW: Span = Span::from_millis(250);
/// Responses of one connection that are remembered.
const MAX_REMEMBERED: usize = 8;
/// This many consecutive responses that differ show that an equal one is a duplicate.
const MIN_DISTINCT_RUN: u32 = 4;

struct RememberedResponse {
    received_at: Time,
    /// None where a duplicate of it could not be detected.
    hash: Option<u64>,
    /// Whether it says that its request did not run.
    is_denial: bool,
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
        let is_denial = outcome_of_response(response).proves_not_executed();
        self.responses.push(RememberedResponse {
            received_at: now,
            hash: hash_response(response),
            is_denial,
        });
    }

    /// Whether a response within the window said that its request did not run: a duplicate of it may still come.
    pub(super) fn has_denial(&self, now: Time) -> bool {
        let mut recent = self.recent(now);
        recent.any(|remembered| remembered.is_denial)
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &RememberedResponse> {
        self.responses.iter().filter(move |remembered| now - remembered.received_at < DUPLICATE_WINDOW)
    }

    /// Whether this response equals one that was received within the window.
    pub(super) fn contains(&self, now: Time, response: &Message) -> bool {
        let Some(hash) = hash_response(response) else { return false };
        let mut recent = self.recent(now);
        recent.any(|remembered| remembered.hash == Some(hash))
    }
}

/// Tracks whether the responses to one kind of request differ from one to the next, over all connections.
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

    /// Whether the latest responses have differed often enough for an equal one to be a duplicate.
    pub(super) fn is_established(&self) -> bool {
        self.distinct_run >= MIN_DISTINCT_RUN
    }
}

/// Hashes a response whose duplicates can be detected.
fn hash_response(response: &Message) -> Option<u64> {
    if response.head.status != 200 || response.body.is_empty() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    response.head.headers.hash(&mut hasher);
    response.body.hash(&mut hasher);
    Some(hasher.finish())
}
