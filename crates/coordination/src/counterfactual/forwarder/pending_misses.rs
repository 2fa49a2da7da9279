//! Requests that missed in the cache to which they were sent first, until they are answered from elsewhere.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::time::Time;

use crate::counterfactual::sampled_request::{SampledRequest, ServiceOutcome, tenths_of_millisecond};

/// A sampled request that has ended, ready to be reported.
pub(super) struct EndedRequest {
    pub ended_at: Time,
    pub request: SampledRequest,
}

struct PendingMiss {
    request: SampledRequest,
    sent_at: Time,
    /// When its last attempt ended.
    last_attempt_at: Time,
}

struct Deadline {
    at: Time,
    request_hash: u64,
}

/// Invariant: each pending request has a deadline in the queue; a deadline may outlive its request.
#[derive(Default)]
pub(super) struct PendingMisses {
    by_request: BTreeMap<u64, PendingMiss>,
    /// In the order in which requests missed, which is that of their deadlines.
    deadlines: VecDeque<Deadline>,
}

impl PendingMisses {
    /// How many requests are pending.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// How many entries are held.
    pub fn entries(&self) -> usize {
        self.by_request.len() + self.deadlines.len()
    }

    /// When the next deadline is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.front().map(|deadline| deadline.at)
    }

    /// Adds a request that was sent at `sent_at`, missed now and is awaited until `deadline`.
    pub fn insert(&mut self, now: Time, request: SampledRequest, sent_at: Time, deadline: Time) {
        let request_hash = request.request_hash;
        self.by_request.insert(request_hash, PendingMiss { request, sent_at, last_attempt_at: now });
        self.deadlines.push_back(Deadline { at: deadline, request_hash });
    }

    /// Notes that another attempt of a pending request has ended. Returns whether the request is pending.
    pub fn record_attempt(&mut self, now: Time, request_hash: u64) -> bool {
        let Some(pending) = self.by_request.get_mut(&request_hash) else { return false };
        pending.last_attempt_at = now;
        true
    }

    /// Removes a pending request. Its duration is the time until its last attempt ended.
    pub fn finish(&mut self, request_hash: u64, outcome: ServiceOutcome) -> Option<EndedRequest> {
        let PendingMiss { mut request, sent_at, last_attempt_at } = self.by_request.remove(&request_hash)?;
        request.outcome = outcome;
        request.duration = tenths_of_millisecond(last_attempt_at - sent_at);
        Some(EndedRequest { ended_at: last_attempt_at, request })
    }

    /// Removes the oldest pending request, as a censored one.
    pub fn finish_oldest(&mut self) -> Option<EndedRequest> {
        while let Some(deadline) = self.deadlines.pop_front() {
            let ended = self.finish(deadline.request_hash, ServiceOutcome::Censored);
            if ended.is_some() {
                return ended;
            }
        }
        None
    }

    /// Removes the next request whose deadline has passed, as a censored one.
    pub fn finish_expired(&mut self, now: Time) -> Option<EndedRequest> {
        while let Some(deadline) = self.deadlines.front() {
            let request_hash = deadline.request_hash;
            if deadline.at > now && self.by_request.contains_key(&request_hash) {
                return None;
            }
            self.deadlines.pop_front();
            let ended = self.finish(request_hash, ServiceOutcome::Censored);
            if ended.is_some() {
                return ended;
            }
        }
        None
    }
}
