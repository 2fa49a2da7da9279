//! Letters that wait for a faculty, in order and bounded. Where there is no room the oldest observation goes: the next
//! one tells more. What is no observation, such as an ask for a lease or its return, is never shed; if nothing but such
//! letters wait, whoever puts them in has to wait as well. One that is shut, since nobody comes to it, takes none and
//! holds none.
//!
//! A channel of tokio's would keep the order but can't let go of its oldest entry, so this is one of our own: a queue
//! under a lock that is held for a few steps and never over an await.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use granitelb_coordination::message::{ComponentKind, Message};
use granitelb_coordination::{Member, Sender};
use tokio::sync::Notify;

pub struct Mailbox {
    most: usize,
    queue: Mutex<Queue>,
    came: Notify,
    went: Notify,
}

#[derive(Default)]
struct Queue {
    letters: VecDeque<(Sender, Message)>,
    observations: usize,
    shed: u64,
    shut: bool,
}

/// What forwarders saw: it is said anew all the time.
fn is_observation((from, letter): &(Sender, Message)) -> bool {
    matches!(
        letter.kind(),
        ComponentKind::EndpointHealth | ComponentKind::ShardGrowth | ComponentKind::Counterfactual
    ) && matches!(from.member, Member::Forwarder(_))
}

/// There is no room, and nothing that may be shed.
#[derive(Debug, PartialEq)]
pub struct Full(pub Box<(Sender, Message)>);

impl Mailbox {
    pub fn new(most: usize) -> Mailbox {
        Mailbox { most, queue: Mutex::default(), came: Notify::new(), went: Notify::new() }
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        // Whoever died with the lock had changed no more than one entry.
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// # Errors
    /// Gives the letter back where it has to wait until [`Mailbox::room`].
    pub fn put(&self, letter: (Sender, Message)) -> Result<(), Full> {
        let mut queue = self.queue();
        if queue.shut {
            queue.shed += 1;
            return Ok(());
        }
        if queue.letters.len() >= self.most {
            let oldest = Some(&queue.letters)
                .filter(|_| queue.observations > 0)
                .and_then(|l| l.iter().position(is_observation));
            match oldest {
                Some(at) => {
                    queue.letters.remove(at);
                    queue.observations -= 1;
                    queue.shed += 1;
                }
                None if is_observation(&letter) => {
                    queue.shed += 1;
                    return Ok(());
                }
                None => return Err(Full(Box::new(letter))),
            }
        }
        queue.observations += usize::from(is_observation(&letter));
        queue.letters.push_back(letter);
        drop(queue);
        self.came.notify_one();
        Ok(())
    }

    pub fn try_take(&self) -> Option<(Sender, Message)> {
        let mut queue = self.queue();
        let letter = queue.letters.pop_front()?;
        queue.observations -= usize::from(is_observation(&letter));
        drop(queue);
        self.went.notify_one();
        Some(letter)
    }

    /// The next letter, when there is one. It may be dropped before; no letter is lost by it.
    pub async fn take(&self) -> (Sender, Message) {
        loop {
            if let Some(letter) = self.try_take() {
                return letter;
            }
            self.came.notified().await;
        }
    }

    /// Waits until there may be room.
    pub async fn room(&self) {
        while self.queue().letters.len() >= self.most {
            self.went.notified().await;
        }
    }

    /// Lets go of all that waits, and of all that comes until it is opened again.
    pub fn shut(&self, shut: bool) {
        let mut queue = self.queue();
        queue.shut = shut;
        if shut {
            queue.shed += queue.letters.len() as u64;
            queue.letters.clear();
            queue.observations = 0;
        }
        drop(queue);
        self.went.notify_one();
    }

    /// How many were shed since this was last asked.
    pub fn take_shed(&self) -> u64 {
        std::mem::take(&mut self.queue().shed)
    }
}
