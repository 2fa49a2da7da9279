//! A bounded queue of sampled requests that wait to be reported, oldest first.

use std::collections::VecDeque;

use granitelb_balancer::time::{Span, Time};

use super::pending_misses::EndedRequest;
use super::{MESSAGE_HEADER_BYTES, age_ms};
use crate::counterfactual::sampled_request::SampledRequest;

/// The most bytes by which the encoded age exceeds the one byte of an age of 0.
const AGE_BYTES: usize = 4;

/// A request that waits to be reported, with the greatest size of its encoding.
struct QueuedRequest {
    ended: EndedRequest,
    max_encoded_bytes: usize,
}

/// The number of requests at the front of the queue that go into one message, and the greatest size of the
/// message.
#[derive(Clone, Copy)]
pub(super) struct Batch {
    pub requests: usize,
    pub bytes: usize,
}

/// The queue, and the number of requests that were dropped from it.
#[derive(Default)]
pub(super) struct ReportQueue {
    queue: VecDeque<QueuedRequest>,
    dropped: u64,
}

impl ReportQueue {
    /// The number of requests in the queue.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The number of requests that were dropped before they were reported.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The time at which the oldest request ended.
    pub fn oldest_ended_at(&self) -> Option<Time> {
        self.queue.front().map(|queued| queued.ended.ended_at)
    }

    /// Adds a request; if the queue already holds `capacity` requests, the oldest is dropped.
    pub fn push(&mut self, ended: EndedRequest, capacity: usize) {
        let Ok(encoded) = postcard::to_allocvec(&ended.request) else { return };
        if self.queue.len() >= capacity {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back(QueuedRequest { ended, max_encoded_bytes: encoded.len() + AGE_BYTES });
    }

    /// Drops requests that ended longer ago than `window`, which planners would reject as too old.
    pub fn drop_older_than(&mut self, now: Time, window: Span) {
        while self.oldest_ended_at().is_some_and(|ended_at| now - ended_at > window) {
            self.queue.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the batch of the oldest requests that fit into a message of `max_bytes`.
    pub fn next_batch(&self, max_bytes: usize) -> Batch {
        let mut batch = Batch { requests: 0, bytes: MESSAGE_HEADER_BYTES };
        for queued in &self.queue {
            if batch.bytes + queued.max_encoded_bytes > max_bytes {
                break;
            }
            batch.requests += 1;
            batch.bytes += queued.max_encoded_bytes;
        }
        batch
    }

    /// Removes a batch and returns its requests with their ages at `now`.
    pub fn take(&mut self, now: Time, batch: Batch) -> Vec<SampledRequest> {
        let taken = self.queue.drain(..batch.requests);
        taken
            .map(|queued| {
                let EndedRequest { ended_at, request } = queued.ended;
                SampledRequest { age_ms: age_ms(now, ended_at), ..request }
            })
            .collect()
    }
}
