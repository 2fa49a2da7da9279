//! Records of attempts, messages, endpoint updates and resource usage.

use std::time::Duration;

use serde::Serialize;

use super::{Member, NodeId, RequestId, ServerId, Timestamp, Version};

/// A message between members that the relay took.
#[derive(Clone, Debug, Serialize)]
pub struct RelayedMessage {
    /// The sender.
    pub from: Member,
    /// The receiver.
    pub to: Member,
    /// When the relay received it.
    #[serde(rename = "taken")]
    pub received_at: Timestamp,
    /// When the relay forwarded each copy of it; empty for a lost message.
    #[serde(rename = "passed")]
    pub forwarded_at: Vec<Timestamp>,
    /// Whether the relay corrupted it.
    #[serde(rename = "changed")]
    pub corrupted: bool,
    /// Its bytes as they were forwarded.
    #[serde(skip)]
    pub bytes: Vec<u8>,
}

/// How a client's attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum ClientAttemptEnd {
    /// A value came back.
    Fulfilled {
        /// The attempt that the server made the response for, by the server's own statement.
        made_for: String,
        /// The value's version.
        version: Option<Version>,
    },
    /// The request was rejected by a rate limit.
    RateLimited {
        /// The response's `Retry-After`.
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// Another status came back.
    Errored {
        /// The HTTP status.
        status: u16,
    },
    /// No response came within the client's timeout.
    #[serde(rename = "Unanswered")]
    TimedOut,
    /// The connection ended without a complete response.
    #[serde(rename = "Torn")]
    ConnectionLost {
        /// Whether the connection had carried a request before: the node may have closed it as idle while this one
        /// was on its way, unread.
        #[serde(rename = "used_before")]
        reused: bool,
    },
    /// No connection could be opened.
    #[serde(rename = "Unreached")]
    ConnectFailed,
    /// The client disconnected before it had a response.
    #[serde(rename = "Left")]
    Cancelled,
}

/// A client's attempt at a request.
#[derive(Clone, Debug, Serialize)]
pub struct ClientAttempt {
    /// The request.
    #[serde(rename = "call")]
    pub request: RequestId,
    /// 0 for the first attempt; later ones are the client's own retries.
    #[serde(rename = "nth")]
    pub number: u8,
    /// The name that the attempt goes by at nodes and servers.
    pub id: String,
    /// Given with deduplicated writes.
    pub idempotency_key: Option<String>,
    /// The node that is asked.
    pub node: NodeId,
    /// The index of the request class in the experiment.
    #[serde(rename = "product")]
    pub request_class: usize,
    /// The key that is read or written.
    pub key: u64,
    /// When the request was due.
    pub due: Timestamp,
    /// When the attempt was sent.
    pub sent: Timestamp,
    /// When the attempt ended.
    pub ended: Timestamp,
    /// How it ended.
    pub end: ClientAttemptEnd,
}

/// How a server ended a node's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerAttemptEnd {
    /// A value was returned, or the write was executed.
    Answered,
    /// The cache does not have the value.
    #[serde(rename = "Lacked")]
    CacheMiss,
    /// The attempt was rejected before it was looked at.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// An error was returned.
    Failed,
    /// The node closed the connection first, or nothing was returned.
    Dropped,
}

/// A node's attempt as the server saw it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerAttempt {
    /// The server.
    pub server: ServerId,
    /// The node that sent it.
    pub node: NodeId,
    /// The name of the client's attempt that it serves.
    pub id: String,
    /// When its last byte had arrived.
    pub arrived: Timestamp,
    /// When the server was done with it.
    pub ended: Option<Timestamp>,
    /// How it ended.
    pub end: ServerAttemptEnd,
    /// Its cost at a warm server, in seconds of a core.
    #[serde(rename = "work")]
    pub work_s: f64,
}

/// A write that the origin executed.
#[derive(Clone, Debug, Serialize)]
pub struct Effect {
    /// The name of the client's attempt.
    pub id: String,
    /// Given with deduplicated writes.
    pub idempotency_key: Option<String>,
    /// The key that was written.
    pub key: u64,
    /// When it was executed.
    pub at: Timestamp,
    /// The version that it made.
    pub version: Version,
}

/// A read that the origin executed.
#[derive(Clone, Debug, Serialize)]
pub struct Fetch {
    /// When it was executed.
    pub at: Timestamp,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointState {
    /// Listed for new requests.
    Ready,
    /// Listed, and to get no new requests.
    Draining,
    /// No longer listed.
    #[serde(rename = "Gone")]
    Removed,
}

/// An endpoint update that discovery wrote to a node.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointNotification {
    /// The node.
    pub node: NodeId,
    /// The server that the update is about.
    pub server: ServerId,
    /// Its new state.
    #[serde(rename = "listed")]
    pub state: EndpointState,
    /// When it was written.
    pub at: Timestamp,
}

/// A server of the run.
#[derive(Clone, Debug, Serialize)]
pub struct ServerInfo {
    /// Its name in the endpoint list.
    pub name: String,
    /// The cache slot that it occupies; `None` for the origin.
    #[serde(rename = "seat")]
    pub slot: Option<usize>,
    /// When it started with an empty cache, if that was during the run.
    pub started: Option<Timestamp>,
}

/// What a node's process used, by the operating system's account.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceUsage {
    /// The node.
    pub node: NodeId,
    /// When the sample was taken.
    pub at: Timestamp,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Processor time since the process started, in seconds.
    pub cpu_s: f64,
}
