//! The requests without a final response, the order in which waiting requests are dispatched, and all
//! deadlines.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

use crate::ids::RequestId;
use crate::pending_request::{PendingRequest, RequestPriority};
use crate::time::Time;

/// A time at which a request must be checked again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Deadline {
    pub at: Time,
    pub id: RequestId,
}

/// The requests without a final response.
#[derive(Default)]
pub(super) struct RequestQueue {
    pending: HashMap<RequestId, PendingRequest>,
    /// The pending requests that wait for an attempt, in order of priority.
    waiting: BTreeMap<RequestPriority, RequestId>,
    /// The last waiting request that was returned in this round.
    cursor: Option<RequestPriority>,
    deadlines: BTreeSet<Deadline>,
    /// The number of requests that have been given a priority.
    sequence: u64,
}

impl RequestQueue {
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.pending.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.pending.get_mut(&id)
    }

    /// The number of entries in all collections.
    pub fn entry_count(&self) -> usize {
        self.pending.len() + self.waiting.len() + self.deadlines.len()
    }

    /// The priority of the next arriving request, by the request's value, which must not be negative.
    pub fn next_priority(&mut self, value: f64) -> RequestPriority {
        self.sequence += 1;
        RequestPriority { inverted_value: u64::MAX - value.to_bits(), sequence: self.sequence }
    }

    /// Adds a pending request that waits for its first attempt.
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.waiting.insert(request.priority, id);
        self.deadlines.insert(Deadline { at: request.client_deadline, id });
        self.pending.insert(id, request);
    }

    pub fn remove(&mut self, id: RequestId) {
        let Some(request) = self.pending.remove(&id) else { return };
        self.waiting.remove(&request.priority);
        self.deadlines.remove(&Deadline { at: request.client_deadline, id });
    }

    /// Makes a request wait for another attempt, if the request is still pending.
    pub fn set_waiting(&mut self, id: RequestId) {
        if let Some(request) = self.pending.get(&id) {
            self.waiting.insert(request.priority, id);
        }
    }

    pub fn clear_waiting(&mut self, priority: RequestPriority) {
        self.waiting.remove(&priority);
    }

    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Starts a new round, in which every waiting request is returned once.
    pub fn restart_round(&mut self) {
        self.cursor = None;
    }

    /// The waiting request that follows in this round, in order of priority.
    pub fn next_waiting(&mut self) -> Option<RequestId> {
        let after = self.cursor.map_or(Unbounded, Excluded);
        let (&priority, &id) = self.waiting.range((after, Unbounded)).next()?;
        self.cursor = Some(priority);
        Some(id)
    }

    pub fn add_deadline(&mut self, at: Time, id: RequestId) {
        self.deadlines.insert(Deadline { at, id });
    }

    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Removes and returns the earliest deadline, if it has passed.
    pub fn pop_due_deadline(&mut self, now: Time) -> Option<Deadline> {
        let deadline = *self.deadlines.first()?;
        if deadline.at > now {
            return None;
        }
        self.deadlines.remove(&deadline);
        Some(deadline)
    }
}

#[cfg(test)]
mod tests;
