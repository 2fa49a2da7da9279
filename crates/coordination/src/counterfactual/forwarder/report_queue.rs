//! Sampled requests that wait to be reported, oldest first, within a bound.

use std::collections::VecDeque;

use granitelb_balancer::time::{Span, Time};

use super::pending_misses::EndedRequest;
use super::{MESSAGE_HEADER_BYTES, age_ms};
use crate::counterfactual::sampled_request::SampledRequest;

/// What an age takes at most in a message, beyond what it takes while it is still 0.
const AGE_BYTES: usize = 4;

struct QueuedRequest {
    ended: EndedRequest,
    encoded_bytes: usize,
}

/// The requests at the front of the queue that go into one message.
#[derive(Clone, Copy)]
pub(super) struct Batch {
    pub requests: usize,
    pub bytes: usize,
}

#[derive(Default)]
pub(super) struct ReportQueue {
    queue: VecDeque<QueuedRequest>,
    dropped: u64,
}

impl ReportQueue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// How many requests were dropped before they were reported.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// When the oldest request ended.
    pub fn oldest(&self) -> Option<Time> {
        self.queue.front().map(|queued| queued.ended.ended_at)
    }

    /// Adds a request; with `capacity` of them already there the oldest is dropped.
    pub fn push(&mut self, ended: EndedRequest, capacity: usize) {
        let Ok(encoded) = postcard::to_allocvec(&ended.request) else { return };
        if self.queue.len() >= capacity {
            self.queue.pop_front();
            self.dropped += 1;
        }
        self.queue.push_back(QueuedRequest { ended, encoded_bytes: encoded.len() + AGE_BYTES });
    }

    /// Drops requests that planners would find too old.
    pub fn drop_older_than(&mut self, now: Time, window: Span) {
        while self.oldest().is_some_and(|ended_at| now - ended_at > window) {
            self.queue.pop_front();
            self.dropped += 1;
        }
    }

    /// As many requests as fit into a message of `max_bytes`.
    pub fn next_batch(&self, max_bytes: usize) -> Batch {
        let mut batch = Batch { requests: 0, bytes: MESSAGE_HEADER_BYTES };
        for queued in &self.queue {
            if batch.bytes + queued.encoded_bytes > max_bytes {
                break;
            }
            batch.requests += 1;
            batch.bytes += queued.encoded_bytes;
        }
        batch
    }

    /// Removes a batch, with the requests' ages as of now.
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
