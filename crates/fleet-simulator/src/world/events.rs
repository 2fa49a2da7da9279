//! Events of the simulation and their order.

use std::cmp::Ordering;

use granitelb_balancer::time::Time;
use granitelb_balancer::{AttemptOutcome, EndpointUpdate};
use granitelb_coordination::Sender;
use granitelb_coordination::message::Message;

use super::messaging::MemberIndex;
use super::requests::ClientRequest;
use crate::server::ServerJob;

/// Identifies an attempt. Events of an earlier incarnation of a node are ignored once the node has been
/// killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub node: usize,
    pub incarnation: u32,
    pub request: u64,
    pub number: u8,
}

/// The kind of an event, with the event's parameters.
#[derive(Debug)]
pub enum EventKind {
    /// A client sends a new request to a node.
    RequestArrives { node: usize },
    /// A client sends a request to the node for the second time.
    RequestRetried { node: usize, request: ClientRequest },
    /// The connection for an attempt is established.
    ConnectionEstablished { attempt: AttemptId },
    /// An attempt arrives at a server.
    AttemptArrives { attempt: AttemptId, server: usize, job: ServerJob },
    /// A server has finished a job.
    JobCompleted { server: usize, incarnation: u32, job: ServerJob },
    /// The node receives the outcome of an attempt. `fills_caches` is whether the response has a value that
    /// caches may store.
    AttemptFinished { attempt: AttemptId, outcome: AttemptOutcome, fills_caches: bool },
    /// The timeout of an attempt expires.
    AttemptTimeout { attempt: AttemptId },
    /// The timeout of a node's policy expires.
    PolicyTimeout { node: usize, incarnation: u32 },
    /// Service discovery reports a new or changed endpoint to a node.
    EndpointReported { node: usize, incarnation: u32, endpoint: EndpointUpdate },
    /// All caches of a zone fail.
    ZoneFails { zone: usize },
    /// The failed caches of a zone start again, cold.
    ZoneReturns { zone: usize },
    /// A cache starts to drain and a new one is added.
    CacheReplaced { old: usize },
    /// A cache that has drained stops.
    CacheStops { server: usize },
    /// A node is killed and restarts.
    NodeKilled { node: usize },
    /// A control plane message arrives at a member.
    MessageArrives { to: MemberIndex, incarnation: u32, sender: Sender, message: Box<Message> },
    /// The timeout of a control plane member expires.
    MemberTimeout { member: MemberIndex, incarnation: u32 },
    /// All planners fail.
    PlannersFail,
    /// All planners restart without state.
    PlannersReturn,
}

/// An event and its time. Events of the same time are processed in the order in which they were scheduled.
pub struct ScheduledEvent {
    pub at: Time,
    pub sequence: u64,
    pub kind: EventKind,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.at.cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

#[cfg(test)]
mod tests;
