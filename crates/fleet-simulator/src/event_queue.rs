//! A queue of timed events. Events of the same time come in the order in which they were scheduled, so that a run depends
//! on its seed alone.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use granitelb_balancer::time::Time;

/// An event and when it happens.
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

/// Events that are still to happen.
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

    /// Takes the next event.
    pub(crate) fn pop(&mut self) -> Option<ScheduledEvent<K>> {
        self.events.pop().map(|Reverse(event)| event)
    }

    /// The number of events that were ever scheduled.
    pub(crate) fn scheduled(&self) -> u64 {
        self.last_sequence
    }
}
