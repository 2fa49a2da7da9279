//! A queue of timed events. Events of the same time are returned in the order in which they were scheduled,
//! so that a run depends only on its seed.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use granitelb_balancer::time::Time;

/// An event and the time for which it is scheduled.
pub(crate) struct ScheduledEvent<K> {
    pub(crate) at: Time,
    sequence: u64,
    pub(crate) kind: K,
}

impl<K> PartialEq for ScheduledEvent<K> {
    fn eq(&self, other: &ScheduledEvent<K>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<K> Eq for ScheduledEvent<K> {}

impl<K> PartialOrd for ScheduledEvent<K> {
    fn partial_cmp(&self, other: &ScheduledEvent<K>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for ScheduledEvent<K> {
    fn cmp(&self, other: &ScheduledEvent<K>) -> Ordering {
        self.at.cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// The events that have not been returned yet, ordered by time and then by scheduling.
pub(crate) struct EventQueue<K> {
    events: BinaryHeap<Reverse<ScheduledEvent<K>>>,
    last_sequence: u64,
}

impl<K> EventQueue<K> {
    pub(crate) fn new() -> EventQueue<K> {
        EventQueue { events: BinaryHeap::new(), last_sequence: 0 }
    }

    pub(crate) fn schedule(&mut self, at: Time, kind: K) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, kind }));
    }

    /// Removes and returns the next event, or `None` if the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent<K>> {
        self.events.pop().map(|Reverse(event)| event)
    }

    /// Returns the number of events that have been scheduled since the start, including returned events.
    pub(crate) fn scheduled_count(&self) -> u64 {
        self.last_sequence
    }
}
