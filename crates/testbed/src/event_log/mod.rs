//! What the emulated servers, the relay, discovery and the clients saw of a run.
//!
//! Plain records, written down as things happen and judged afterwards by [`crate::audit`]. Nothing here comes from the
//! program under test. Reports and logs on disk keep the former names of fields and variants.

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
    /// The clients' attempts, in the order in which they ended.
    #[serde(rename = "tries")]
    pub client_attempts: Vec<ClientAttempt>,
    /// The nodes' attempts, in the order in which they arrived at servers.
    #[serde(rename = "shots")]
    pub server_attempts: Vec<ServerAttempt>,
    /// The writes that the origin executed.
    pub effects: Vec<Effect>,
    /// The reads that the origin executed.
    pub fetches: Vec<Fetch>,
    /// What discovery sent to nodes.
    #[serde(rename = "told")]
    pub endpoint_notifications: Vec<EndpointNotification>,
    /// Samples of what nodes used.
    pub usage: Vec<ResourceUsage>,
    /// What the run did and what befell it.
    pub events: Vec<TimedEvent>,
    /// The messages between members that the relay took.
    #[serde(rename = "letters")]
    pub messages: Vec<RelayedMessage>,
    /// The secret that messages are signed with.
    #[serde(skip)]
    pub secret: Vec<u8>,
    /// The longest stall of the testbed itself, in microseconds.
    #[serde(rename = "stalled")]
    pub max_stall_us: u64,
    /// How late the testbed began each request, in microseconds.
    #[serde(rename = "lateness")]
    pub lateness_us: Vec<u64>,
}
