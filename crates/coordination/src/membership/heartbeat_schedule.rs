//! The schedule of the next heartbeat to each member.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::Time;

use crate::member::Member;

/// The members that receive heartbeats, with the time at which the next heartbeat to each is due.
#[derive(Default)]
pub struct HeartbeatSchedule {
    due_at: BTreeMap<Member, Time>,
    /// The entries of `due_at`, in the order of their times.
    queue: BTreeSet<(Time, Member)>,
}

impl HeartbeatSchedule {
    /// Whether the member receives heartbeats.
    pub fn contains(&self, member: Member) -> bool {
        self.due_at.contains_key(&member)
    }

    /// Sets the time of the next heartbeat to the member, and replaces the time that was set before.
    pub fn set(&mut self, member: Member, at: Time) {
        if let Some(before) = self.due_at.insert(member, at) {
            self.queue.remove(&(before, member));
        }
        self.queue.insert((at, member));
    }

    /// Stops the heartbeats to the member.
    pub fn remove(&mut self, member: Member) {
        if let Some(at) = self.due_at.remove(&member) {
            self.queue.remove(&(at, member));
        }
    }

    /// Returns the member whose heartbeat is due first, if that heartbeat is due by `now`.
    pub fn first_due(&self, now: Time) -> Option<Member> {
        let (at, member) = self.queue.first().copied()?;
        if at <= now { Some(member) } else { None }
    }

    /// The time at which the next heartbeat to any member is due.
    pub fn next_time(&self) -> Option<Time> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// The number of members that receive heartbeats.
    pub fn len(&self) -> usize {
        self.due_at.len()
    }
}
