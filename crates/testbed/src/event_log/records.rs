//! Records of attempts, messages, endpoint updates and resource usage.

use std::time::Duration;

use serde::Serialize;

use super::{Member, NodeId, RequestId, ServerId, Timestamp, Version};

/// A message between members that the relay received.
#[derive(Clone, Debug, Serialize)]
pub struct RelayedMessage {
    /// The sender.
    pub from: Member,
    /// The receiver.
    pub to: Member,
    /// When the relay received the message.
    #[serde(rename = "taken")]
    pub received_at: Timestamp,
    /// When the relay forwarded each copy of the message; empty for a lost message.
    #[serde(rename = "passed")]
    pub forwarded_at: Vec<Timestamp>,
    /// Whether the relay corrupted the message.
    #[serde(rename = "changed")]
    pub corrupted: bool,
    /// The message's bytes as forwarded.
    #[serde(skip)]
    pub bytes: Vec<u8>,
}

/// How a client's attempt ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum ClientAttemptEnd {
    /// The client received a value, or the confirmation of a write.
    Fulfilled {
        /// The ID of the attempt that the server made the response for, as stated by the server.
        made_for: String,
        /// The version of the value.
        version: Option<Version>,
    },
    /// The request was rejected by a rate limit.
    RateLimited {
        /// The response's `Retry-After`.
        #[serde(rename = "come_back")]
        retry_after: Option<Duration>,
    },
    /// The client received another status.
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
        /// Whether the connection had carried an earlier request: the node may then have closed the
        /// connection as idle, without reading this request, which was on its way.
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
    /// The attempt's number: 0 for the first attempt, from 1 for the client's own retries.
    #[serde(rename = "nth")]
    pub number: u8,
    /// The attempt's ID, which nodes and servers receive.
    pub id: String,
    /// The idempotency key, which deduplicated writes have.
    pub idempotency_key: Option<String>,
    /// The node that the attempt is sent to.
    pub node: NodeId,
    /// The index of the request class in the experiment.
    #[serde(rename = "product")]
    pub request_class: usize,
    /// The key that the attempt reads or writes.
    pub key: u64,
    /// When the request was due.
    pub due: Timestamp,
    /// When the attempt was sent.
    pub sent: Timestamp,
    /// When the attempt ended.
    pub ended: Timestamp,
    /// How the attempt ended.
    pub end: ClientAttemptEnd,
}

/// How a server ended a node's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerAttemptEnd {
    /// The server returned a value or executed the write.
    Answered,
    /// The cache did not have the value.
    #[serde(rename = "Lacked")]
    CacheMiss,
    /// The server rejected the attempt before processing it.
    #[serde(rename = "TurnedAway")]
    Rejected,
    /// The server returned an error.
    Failed,
    /// The server returned nothing, or the node closed the connection before the response.
    Dropped,
}

/// A node's attempt as recorded by the server.
#[derive(Clone, Debug, Serialize)]
pub struct ServerAttempt {
    /// The server.
    pub server: ServerId,
    /// The node that sent the attempt.
    pub node: NodeId,
    /// The ID of the client's attempt that this attempt serves.
    pub id: String,
    /// When the last byte of the attempt arrived.
    pub arrived: Timestamp,
    /// When the server had finished processing the attempt.
    pub ended: Option<Timestamp>,
    /// How the attempt ended.
    pub end: ServerAttemptEnd,
    /// The attempt's cost at a warm server, in core-seconds.
    #[serde(rename = "work")]
    pub work_s: f64,
}

/// A write that the origin executed.
#[derive(Clone, Debug, Serialize)]
pub struct Effect {
    /// The ID of the client's attempt.
    pub id: String,
    /// The idempotency key, which deduplicated writes have.
    pub idempotency_key: Option<String>,
    /// The key that was written.
    pub key: u64,
    /// When the write was executed.
    pub at: Timestamp,
    /// The version that the write created.
    pub version: Version,
}

/// A read that the origin executed.
#[derive(Clone, Debug, Serialize)]
pub struct Fetch {
    /// When the read was executed.
    pub at: Timestamp,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum EndpointState {
    /// Listed for new requests.
    Ready,
    /// Listed, but not for new requests.
    Draining,
    /// No longer listed.
    #[serde(rename = "Gone")]
    Removed,
}

/// An endpoint update that discovery sent to a node.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointNotification {
    /// The node.
    pub node: NodeId,
    /// The server whose state the update sets.
    pub server: ServerId,
    /// The server's new state.
    #[serde(rename = "listed")]
    pub state: EndpointState,
    /// When discovery wrote the update to its connection.
    pub at: Timestamp,
}

/// A server of the run.
#[derive(Clone, Debug, Serialize)]
pub struct ServerInfo {
    /// The server's name in the endpoint list.
    pub name: String,
    /// The cache slot that the server occupies; `None` for the origin.
    #[serde(rename = "seat")]
    pub slot: Option<usize>,
    /// When the server started with an empty cache; `None` if it did not start during the run.
    pub started: Option<Timestamp>,
}

/// A sample of the resource usage of a node's process, as reported by the operating system.
#[derive(Clone, Debug, Serialize)]
pub struct ResourceUsage {
    /// The node.
    pub node: NodeId,
    /// When the sample was taken.
    pub at: Timestamp,
    /// The resident memory, in megabytes.
    pub memory_mb: f64,
    /// The number of open file descriptors.
    pub descriptors: usize,
    /// The processor time since the start of the process, in seconds.
    pub cpu_s: f64,
}
