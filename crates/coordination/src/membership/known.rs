//! Another member, as far as its letters tell.

use granitelb_balancer::time::{Span, Time};

use super::stale::MembershipError;
use super::window::{Place, Window};
use crate::component::{FAILURE_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::member::{Incarnation, Member, Sender};

#[derive(Clone, Debug)]
pub struct Known {
    incarnation: Incarnation,
    window: Window,
    heard: Time,
    /// It came back under the life under which it was taken for dead, at this time.
    gone: Option<Time>,
    /// When an earlier life was told of this one last.
    told: Option<Time>,
}

impl Known {
    pub fn new(now: Time, from: Sender) -> Known {
        let mut window = Window::default();
        window.take(from.number);
        Known { incarnation: from.incarnation, window, heard: now, gone: None, told: None }
    }

    pub fn heard(&self) -> Time {
        self.heard
    }

    pub fn alive(&self, now: Time) -> bool {
        self.gone.is_none() && now - self.heard < FAILURE_TIMEOUT
    }

    /// Whether it says things under a life that is over.
    pub fn is_gone(&self) -> bool {
        self.gone.is_some()
    }

    /// This life, if it is a greater one than that, which has not been told so for a beat.
    pub fn succeeds(&mut self, now: Time, incarnation: Incarnation) -> Option<Incarnation> {
        let lately = self.told.is_some_and(|at| now - at < HEARTBEAT_INTERVAL);
        let greater = (self.incarnation > incarnation && !lately).then_some(self.incarnation)?;
        self.told = Some(now);
        Some(greater)
    }

    /// So much time is not held against it.
    pub fn excuse(&mut self, gap: Span) {
        self.heard = self.heard + gap;
    }

    pub fn take(&mut self, now: Time, from: Sender) -> Result<(), MembershipError> {
        if from.incarnation < self.incarnation {
            return Err(MembershipError::OlderLife);
        }
        if from.incarnation > self.incarnation {
            *self = Known::new(now, from);
            return Ok(());
        }
        match self.window.place(from.number) {
            Place::Taken => return Err(MembershipError::Twice),
            Place::TooLate => return Err(MembershipError::TooLate),
            Place::New => self.window.take(from.number),
        }
        // Judged when it speaks: whether anyone looked while it was silent is of no account.
        if now - self.heard >= FAILURE_TIMEOUT {
            self.gone = Some(now);
        }
        self.heard = now;
        match (self.gone, from.member) {
            // What it had in its queues when it stopped comes within a beat; by then it knows that it stood still.
            (Some(since), Member::Planner(_)) if now - since >= HEARTBEAT_INTERVAL => self.gone = None,
            (Some(_), _) => return Err(MembershipError::WasGone),
            (None, _) => {}
        }
        Ok(())
    }
}
