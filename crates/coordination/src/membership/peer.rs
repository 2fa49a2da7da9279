//! The state of another member, as known from its messages.

use granitelb_balancer::time::{Span, Time};

use super::error::MembershipError;
use super::replay_window::{ReplayWindow, SequenceStatus};
use crate::component::{FAILURE_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::member::{Incarnation, Member, Sender};

/// The state of one other member.
#[derive(Clone, Debug)]
pub struct PeerState {
    incarnation: Incarnation,
    window: ReplayWindow,
    last_heard: Time,
    /// When the member returned under an incarnation that was considered failed; `None` unless it is rejected
    /// for that.
    returned_at: Option<Time>,
    /// When an earlier incarnation of the member was last notified that this one supersedes it.
    last_superseded_notice: Option<Time>,
}

impl PeerState {
    /// Creates the state after the first message of an incarnation.
    pub fn new(now: Time, from: Sender) -> PeerState {
        let mut window = ReplayWindow::default();
        window.insert(from.sequence);
        PeerState {
            incarnation: from.incarnation,
            window,
            last_heard: now,
            returned_at: None,
            last_superseded_notice: None,
        }
    }

    /// The time at which the last message of the member arrived.
    pub fn last_heard(&self) -> Time {
        self.last_heard
    }

    /// Whether the member is considered alive.
    pub fn is_alive(&self, now: Time) -> bool {
        self.returned_at.is_none() && now - self.last_heard < FAILURE_TIMEOUT
    }

    /// Whether the member continues under an incarnation that was considered failed.
    pub fn is_declared_failed(&self) -> bool {
        self.returned_at.is_some()
    }

    /// Returns the known incarnation if it is greater than `incarnation` and no notice of it was returned
    /// within the last heartbeat interval. The notice is counted as sent.
    pub fn take_superseded_notice(&mut self, now: Time, incarnation: Incarnation) -> Option<Incarnation> {
        let sent_recently = self.last_superseded_notice.is_some_and(|at| now - at < HEARTBEAT_INTERVAL);
        if self.incarnation <= incarnation || sent_recently {
            return None;
        }
        self.last_superseded_notice = Some(now);
        Some(self.incarnation)
    }

    /// Extends the member's deadline by a time in which this process itself was stalled.
    pub fn extend_deadline(&mut self, stall: Span) {
        self.last_heard = self.last_heard + stall;
    }

    /// Updates the state by a message that has arrived from the member.
    ///
    /// # Errors
    /// Returns the reason if the message must be ignored.
    pub fn accept(&mut self, now: Time, from: Sender) -> Result<(), MembershipError> {
        if from.incarnation < self.incarnation {
            return Err(MembershipError::StaleIncarnation);
        }
        if from.incarnation > self.incarnation {
            *self = PeerState::new(now, from);
            return Ok(());
        }
        match self.window.status(from.sequence) {
            SequenceStatus::Duplicate => return Err(MembershipError::Duplicate),
            SequenceStatus::TooOld => return Err(MembershipError::TooOld),
            SequenceStatus::New => self.window.insert(from.sequence),
        }
        // A silent member is recognized when it sends again, so it does not matter whether the host polled
        // during the silence.
        if now - self.last_heard >= FAILURE_TIMEOUT {
            self.returned_at = Some(now);
        }
        self.last_heard = now;
        self.check_return(now, from.member)
    }

    /// Rejects a member that returned after it was considered failed. A planner is accepted again after one
    /// heartbeat interval: messages that were in its queues when it stalled arrive within that time, and by
    /// then the planner knows that it was stalled.
    fn check_return(&mut self, now: Time, member: Member) -> Result<(), MembershipError> {
        let Some(returned_at) = self.returned_at else { return Ok(()) };
        let is_planner = matches!(member, Member::Planner(_));
        if is_planner && now - returned_at >= HEARTBEAT_INTERVAL {
            self.returned_at = None;
            return Ok(());
        }
        Err(MembershipError::DeclaredFailed)
    }
}
