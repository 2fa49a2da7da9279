//! The queues of messages to be sent and of events to be logged.

use std::collections::VecDeque;

use crate::component::Event;
use crate::member::Member;
use crate::shard_growth::message::GrowthMessage;

const MAX_MESSAGES: usize = 1024;
const MAX_EVENTS: usize = 64;

/// The queue of messages other than those of the consensus. A message to a full queue is dropped; receivers
/// tolerate the loss of messages.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    messages: VecDeque<(Member, GrowthMessage)>,
}

impl Outbox {
    pub(super) fn send(&mut self, to: Member, message: GrowthMessage) {
        if !self.is_full() {
            self.messages.push_back((to, message));
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.messages.len() >= MAX_MESSAGES
    }

    pub(super) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    pub(super) fn pop(&mut self) -> Option<(Member, GrowthMessage)> {
        self.messages.pop_front()
    }

    pub(super) fn entries(&self) -> usize {
        self.messages.len()
    }
}

/// The queue of events for the log. An event to a full queue is dropped.
#[derive(Debug, Default)]
pub(super) struct EventLog {
    events: VecDeque<Event>,
}

impl EventLog {
    pub(super) fn info(&mut self, name: &'static str, message: String) {
        self.push(Event { name, message, is_warning: false });
    }

    pub(super) fn warn(&mut self, name: &'static str, message: String) {
        self.push(Event { name, message, is_warning: true });
    }

    fn push(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }

    pub(super) fn pop(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub(super) fn entries(&self) -> usize {
        self.events.len()
    }
}
