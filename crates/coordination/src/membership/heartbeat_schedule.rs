//! When the next heartbeat to each member is due.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::Time;

use crate::member::Member;

/// The members that receive heartbeats, ordered by the time of the next one.
#[derive(Default)]
pub struct HeartbeatSchedule {
    due_at: BTreeMap<Member, Time>,
    /// The same entries in the order of their times.
    queue: BTreeSet<(Time, Member)>,
}

impl HeartbeatSchedule {
    /// Whether the member receives heartbeats.
    pub fn contains(&self, member: Member) -> bool {
        self.due_at.contains_key(&member)
    }

    /// Sets the time of the next heartbeat to the member, in place of an earlier one.
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

    /// The member whose heartbeat is due first, if it is due by now.
    pub fn first_due(&self, now: Time) -> Option<Member> {
        let (at, member) = self.queue.first().copied()?;
        if at <= now { Some(member) } else { None }
    }

    /// The time of the next heartbeat.
    pub fn next_time(&self) -> Option<Time> {
        self.queue.first().map(|(at, _)| *at)
    }

    /// The number of members that receive heartbeats.
    pub fn len(&self) -> usize {
        self.due_at.len()
    }
}
