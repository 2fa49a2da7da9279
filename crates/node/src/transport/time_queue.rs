//! A queue of connections ordered by time, with at most one time per connection.

use std::collections::{BTreeSet, HashMap};

use granitelb_balancer::time::Time;

use super::ConnectionId;

/// A priority queue of connections by time: the deadline of a timer, or the time since which a connection is
/// idle.
///
/// Invariant: `order` and `times` hold the same pairs.
#[derive(Default)]
pub struct TimeQueue {
    order: BTreeSet<(Time, ConnectionId)>,
    times: HashMap<ConnectionId, Time>,
}

impl TimeQueue {
    /// Sets the time of a connection, and replaces the previous time.
    pub fn set(&mut self, id: ConnectionId, at: Time) {
        self.remove(id);
        self.times.insert(id, at);
        self.order.insert((at, id));
    }

    /// Sets the time of a connection unless its current one is as early or earlier.
    pub fn set_earlier(&mut self, id: ConnectionId, at: Time) {
        if self.times.get(&id).is_none_or(|current| *current > at) {
            self.set(id, at);
        }
    }

    /// Removes a connection from the queue.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(at) = self.times.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    /// The connection with the earliest time, and that time.
    pub fn first(&self) -> Option<(Time, ConnectionId)> {
        self.order.first().copied()
    }

    /// Removes and returns the connection with the earliest time, if that time is not after `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<ConnectionId> {
        let (at, id) = self.first()?;
        if at > now {
            return None;
        }
        self.remove(id);
        Some(id)
    }
}
