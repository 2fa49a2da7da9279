//! What happens in a fleet, in order of time.

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::Time;
use granitelb_balancer::{AttemptOutcome, EndpointUpdate};
use granitelb_coordination::Sender;
use granitelb_coordination::message::Message;

use super::talk::Seat;
use crate::server::Job;

/// A shot, by its node's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShotId {
    pub node: usize,
    pub incarnation: u32,
    pub call: u64,
    pub number: u8,
}

#[derive(Debug)]
pub enum What {
    Call { node: usize },
    Again { node: usize, first: Time, key: Key, write: bool, deadline: Time },
    Connected { shot: ShotId },
    Comes { shot: ShotId, server: usize, job: Job },
    Done { server: usize, incarnation: u32, job: Job },
    LocalReply { shot: ShotId, outcome: AttemptOutcome, stored: bool },
    GiveUp { shot: ShotId },
    Wake { node: usize, incarnation: u32 },
    List { node: usize, incarnation: u32, listing: EndpointUpdate },
    Loses { zone: usize },
    Returns { zone: usize },
    Replaces { old: usize },
    Leaves { server: usize },
    Kills { node: usize },
    Message { to: Seat, incarnation: u32, sender: Sender, letter: Box<Message> },
    Round { of: Seat, incarnation: u32 },
    PlannersDie,
    PlannersReturn,
}

/// An event at its time; the order of making parts those of one time.
pub struct Next(pub Time, pub u64, pub What);

impl PartialEq for Next {
    fn eq(&self, other: &Next) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Next) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    fn cmp(&self, other: &Next) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[cfg(test)]
mod tests;
