//! Connections by a point in time, at most one for each: when their timers run out, or since when they are idle.

use std::collections::{BTreeSet, HashMap};

use granitelb_balancer::time::Time;

use super::ConnId;

#[derive(Default)]
pub struct TimeOrder {
    order: BTreeSet<(Time, ConnId)>,
    set: HashMap<ConnId, Time>,
}

impl TimeOrder {
    /// Sets a connection's point in time, in place of the one it had.
    pub fn set(&mut self, id: ConnId, at: Time) {
        self.clear(id);
        self.set.insert(id, at);
        self.order.insert((at, id));
    }

    /// Sets a connection's point in time unless it has an earlier one.
    pub fn set_first(&mut self, id: ConnId, at: Time) {
        if self.set.get(&id).is_none_or(|set| *set > at) {
            self.set(id, at);
        }
    }

    pub fn clear(&mut self, id: ConnId) {
        if let Some(at) = self.set.remove(&id) {
            self.order.remove(&(at, id));
        }
    }

    pub fn first(&self) -> Option<(Time, ConnId)> {
        self.order.first().copied()
    }

    /// A connection whose point in time has come; it is then no longer set.
    pub fn due(&mut self, now: Time) -> Option<ConnId> {
        let (_, id) = self.first().filter(|t| t.0 <= now)?;
        self.clear(id);
        Some(id)
    }
}
