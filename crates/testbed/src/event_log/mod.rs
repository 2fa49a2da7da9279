//! The event log of a run: the records of the emulated servers, the relay, discovery and the clients.
//!
//! The records are written during the run and evaluated after the run by [`crate::audit`]. No record comes
//! from the program under test. Names in reports and in event logs on disk are fixed by `#[serde(rename =
//! "…")]`.

mod event;
mod identity;
mod records;
mod writer;

use serde::Serialize;

pub use event::{Event, TimedEvent};
pub use identity::{Member, NodeId, RequestId, ServerId, Timestamp, Version};
pub use records::{
    ClientAttempt, ClientAttemptEnd, Effect, EndpointNotification, EndpointState, Fetch, RelayedMessage,
    ResourceUsage, ServerAttempt, ServerAttemptEnd, ServerInfo,
};
pub use writer::EventLogWriter;

/// All records of a run.
#[derive(Debug, Default, Serialize)]
pub struct EventLog {
    /// All servers of the run; a [`ServerId`] is an index into them.
    pub servers: Vec<ServerInfo>,
    /// The clients' attempts, ordered by their end.
    #[serde(rename = "tries")]
    pub client_attempts: Vec<ClientAttempt>,
    /// The nodes' attempts, ordered by their arrival at servers.
    #[serde(rename = "shots")]
    pub server_attempts: Vec<ServerAttempt>,
    /// The writes that the origin executed.
    pub effects: Vec<Effect>,
    /// The reads that the origin executed.
    pub fetches: Vec<Fetch>,
    /// The endpoint updates that discovery sent to nodes.
    #[serde(rename = "told")]
    pub endpoint_notifications: Vec<EndpointNotification>,
    /// Samples of the nodes' resource usage.
    pub usage: Vec<ResourceUsage>,
    /// Injected faults, and starts, stops and failures of processes and servers.
    pub events: Vec<TimedEvent>,
    /// The messages between members that the relay received.
    #[serde(rename = "letters")]
    pub messages: Vec<RelayedMessage>,
    /// The secret that messages are signed with.
    #[serde(skip)]
    pub secret: Vec<u8>,
    /// The longest stall of the testbed's own process, in microseconds.
    #[serde(rename = "stalled")]
    pub max_stall_us: u64,
    /// The delay of each request's start after its due time, in microseconds.
    #[serde(rename = "lateness")]
    pub lateness_us: Vec<u64>,
}
