//! One timer for each connection.

use std::collections::{BTreeSet, HashMap};

use granitelb::units::Time;

use super::ConnId;

#[derive(Default)]
pub struct Timers {
    order: BTreeSet<(Time, ConnId)>,
    set: HashMap<ConnId, Time>,
}

impl Timers {
    /// Sets a connection's timer, in place of the one it had.
    pub fn set(&mut self, id: ConnId, at: Time) {
        self.clear(id);
        self.set.insert(id, at);
        self.order.insert((at, id));
    }

    /// Sets a connection's timer unless it has one that runs out sooner.
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

    pub fn first(&self) -> Option<Time> {
        self.order.first().map(|t| t.0)
    }

    /// A connection whose timer has run out; the timer is then no longer set.
    pub fn due(&mut self, now: Time) -> Option<ConnId> {
        let (_, id) = *self.order.first().filter(|t| t.0 <= now)?;
        self.clear(id);
        Some(id)
    }
}
