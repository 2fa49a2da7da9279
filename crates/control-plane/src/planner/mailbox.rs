//! A bounded queue of messages for one component, in the order of their arrival.
//!
//! When the queue is full, its oldest observation is shed, since a later observation tells more. Other
//! messages, such as a request for a lease or the return of a lease, are never shed: if the queue holds only
//! such messages, the sender has to wait. The mailbox of an unresponsive component is closed: it holds no
//! messages and drops those that arrive.
//!
//! A channel of tokio keeps the order but can't drop its oldest entry. The queue is therefore behind a lock,
//! which is held for a few steps and never across an await.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{Member, Sender};
use tokio::sync::Notify;

/// A message that was authenticated and is not a duplicate.
#[derive(Debug, PartialEq)]
pub(super) struct ReceivedMessage {
    pub(super) sender: Sender,
    pub(super) message: Message,
}

impl ReceivedMessage {
    /// Whether the message is a forwarder's observation. Forwarders report observations repeatedly.
    fn is_observation(&self) -> bool {
        let is_of_observing_component = matches!(
            self.message.kind(),
            ComponentKind::EndpointHealth | ComponentKind::ShardGrowth | ComponentKind::Counterfactual
        );
        is_of_observing_component && matches!(self.sender.member, Member::Forwarder(_))
    }
}

/// The error of a full mailbox without a message that may be shed. It returns the message that was not added.
#[derive(Debug, PartialEq)]
pub(super) struct MailboxFull(pub(super) Box<ReceivedMessage>);

/// The queue of messages from the message router to one component's task.
pub(super) struct Mailbox {
    capacity: usize,
    queue: Mutex<Queue>,
    message_added: Notify,
    message_removed: Notify,
}

#[derive(Default)]
struct Queue {
    messages: VecDeque<ReceivedMessage>,
    /// The number of observations in `messages`.
    observations: usize,
    /// The number of messages that were shed since the count was last taken.
    shed_count: u64,
    is_closed: bool,
}

impl Queue {
    /// Removes the oldest observation, and returns whether there was one.
    fn shed_oldest_observation(&mut self) -> bool {
        if self.observations == 0 {
            return false;
        }
        let Some(index) = self.messages.iter().position(ReceivedMessage::is_observation) else {
            return false;
        };
        self.messages.remove(index);
        self.observations -= 1;
        self.shed_count += 1;
        true
    }
}

impl Mailbox {
    pub(super) fn new(capacity: usize) -> Mailbox {
        Mailbox {
            capacity,
            queue: Mutex::default(),
            message_added: Notify::new(),
            message_removed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        // The queue is valid even if a thread panicked with the lock: that thread had changed at most one
        // entry.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message. If the mailbox is full, sheds its oldest observation to make room, or else the message
    /// itself if that is an observation.
    ///
    /// # Errors
    /// Returns the message if there is no room and the message must not be shed. The caller has to wait for
    /// [`Mailbox::wait_for_capacity`] before it adds the message again.
    pub(super) fn push(&self, received: ReceivedMessage) -> Result<(), MailboxFull> {
        let mut queue = self.lock();
        if queue.is_closed {
            queue.shed_count += 1;
            return Ok(());
        }
        let is_observation = received.is_observation();
        if queue.messages.len() >= self.capacity && !queue.shed_oldest_observation() {
            if !is_observation {
                return Err(MailboxFull(Box::new(received)));
            }
            queue.shed_count += 1;
            return Ok(());
        }
        queue.observations += usize::from(is_observation);
        queue.messages.push_back(received);
        drop(queue);
        self.message_added.notify_one();
        Ok(())
    }

    /// Removes and returns the next message; `None` if the mailbox is empty.
    pub(super) fn try_receive(&self) -> Option<ReceivedMessage> {
        let mut queue = self.lock();
        let received = queue.messages.pop_front()?;
        queue.observations -= usize::from(received.is_observation());
        drop(queue);
        self.message_removed.notify_one();
        Some(received)
    }

    /// Waits for the next message and removes it. A cancelled call loses no message.
    pub(super) async fn receive(&self) -> ReceivedMessage {
        loop {
            if let Some(received) = self.try_receive() {
                return received;
            }
            self.message_added.notified().await;
        }
    }

    /// Waits until there may be room for a message.
    pub(super) async fn wait_for_capacity(&self) {
        while self.lock().messages.len() >= self.capacity {
            self.message_removed.notified().await;
        }
    }

    /// Drops all messages in the mailbox, and all that arrive until [`Mailbox::reopen`].
    pub(super) fn close(&self) {
        let mut queue = self.lock();
        queue.is_closed = true;
        queue.shed_count += queue.messages.len() as u64;
        queue.messages.clear();
        queue.observations = 0;
        drop(queue);
        self.message_removed.notify_one();
    }

    /// Accepts messages again after [`Mailbox::close`].
    pub(super) fn reopen(&self) {
        self.lock().is_closed = false;
        self.message_removed.notify_one();
    }

    /// The number of messages that were shed since the last call.
    pub(super) fn take_shed_count(&self) -> u64 {
        std::mem::take(&mut self.lock().shed_count)
    }
}

#[cfg(test)]
mod tests;
