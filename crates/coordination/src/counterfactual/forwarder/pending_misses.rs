//! Requests that missed in the cache to which they were sent first, until another endpoint responds.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::time::Time;

use crate::counterfactual::sampled_request::{SampledRequest, ServiceOutcome, tenths_of_millisecond};

/// A sampled request that has ended, ready to be reported.
pub(super) struct EndedRequest {
    pub ended_at: Time,
    pub request: SampledRequest,
}

/// A request that waits for a response after a cache miss.
struct PendingMiss {
    request: SampledRequest,
    sent_at: Time,
    /// When the request's last attempt ended.
    last_attempt_at: Time,
}

/// The time up to which a request waits for a response.
struct Deadline {
    at: Time,
    request_hash: u64,
}

/// The requests that wait for a response after a cache miss, with their deadlines.
///
/// Invariant: each pending request has a deadline in the queue; a deadline may remain after its request was
/// removed.
#[derive(Default)]
pub(super) struct PendingMisses {
    by_request: BTreeMap<u64, PendingMiss>,
    /// The deadlines in the order of the cache misses, which is also the order of time.
    deadlines: VecDeque<Deadline>,
}

impl PendingMisses {
    /// The number of pending requests.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// The number of entries in memory: requests and deadlines.
    pub fn entries(&self) -> usize {
        self.by_request.len() + self.deadlines.len()
    }

    /// The time of the next deadline.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.front().map(|deadline| deadline.at)
    }

    /// Adds a request that was sent at `sent_at`, missed now and waits for a response until `deadline`.
    pub fn insert(&mut self, now: Time, request: SampledRequest, sent_at: Time, deadline: Time) {
        let request_hash = request.request_hash;
        self.by_request.insert(request_hash, PendingMiss { request, sent_at, last_attempt_at: now });
        self.deadlines.push_back(Deadline { at: deadline, request_hash });
    }

    /// Records that another attempt of a pending request has ended. Returns whether the request is pending.
    pub fn record_attempt(&mut self, now: Time, request_hash: u64) -> bool {
        let Some(pending) = self.by_request.get_mut(&request_hash) else { return false };
        pending.last_attempt_at = now;
        true
    }

    /// Removes a pending request. The request's duration is the time until its last attempt ended.
    pub fn finish(&mut self, request_hash: u64, outcome: ServiceOutcome) -> Option<EndedRequest> {
        let PendingMiss { mut request, sent_at, last_attempt_at } = self.by_request.remove(&request_hash)?;
        request.outcome = outcome;
        request.duration = tenths_of_millisecond(last_attempt_at - sent_at);
        Some(EndedRequest { ended_at: last_attempt_at, request })
    }

    /// Removes the oldest pending request and returns it as censored.
    pub fn finish_oldest(&mut self) -> Option<EndedRequest> {
        while let Some(deadline) = self.deadlines.pop_front() {
            let ended = self.finish(deadline.request_hash, ServiceOutcome::Censored);
            if ended.is_some() {
                return ended;
            }
        }
        None
    }

    /// Removes the next pending request whose deadline has passed and returns it as censored.
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
