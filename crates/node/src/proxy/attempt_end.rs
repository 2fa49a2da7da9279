//! How attempts end. This module alone maps the end of an attempt to the outcome that the balancer gets.

use granitelb_balancer::AttemptOutcome;

use crate::http::Message;
use crate::transport::CloseReason;

/// How much of an attempt's request was written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// The request was not written, or only in part: the endpoint never executes it.
    PartlyWritten,
    /// The request was written to its last byte: the endpoint may have executed it.
    FullyWritten,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// A complete response arrived.
    Response(Message),
    /// The attempt ended without a response: its connection was closed, or was released for other attempts.
    NoResponse {
        /// Why the attempt ended.
        reason: CloseReason,
        /// How much of the request was written.
        progress: RequestProgress,
    },
}

impl AttemptEnd {
    /// The first value of a response header; `None` without a response or without this header.
    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            AttemptEnd::Response(response) => response.head.header_text(name),
            AttemptEnd::NoResponse { .. } => None,
        }
    }

    /// The length of the response's body in bytes; 0 without a response.
    pub fn body_bytes(&self) -> u32 {
        match self {
            AttemptEnd::Response(response) => u32::try_from(response.body.len()).unwrap_or(u32::MAX),
            AttemptEnd::NoResponse { .. } => 0,
        }
    }

    /// The outcome that is reported to the balancer.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptEnd::Response(response) => outcome_of_response(response),
            AttemptEnd::NoResponse { reason, progress } => outcome_without_response(*reason, *progress),
        }
    }

    /// Whether the endpoint may have executed the request, or may yet.
    pub fn may_have_run(&self) -> bool {
        match self {
            AttemptEnd::Response(response) => {
                !matches!(outcome_of_response(response), AttemptOutcome::CacheMiss | AttemptOutcome::Rejected)
            }
            AttemptEnd::NoResponse { progress, .. } => *progress == RequestProgress::FullyWritten,
        }
    }

    /// The response for the client, if the attempt fulfilled the request.
    pub fn into_final_response(self) -> Option<Message> {
        let is_fulfilled = self.outcome() == AttemptOutcome::Fulfilled;
        match self {
            AttemptEnd::Response(response) if is_fulfilled => Some(response),
            AttemptEnd::Response(_) | AttemptEnd::NoResponse { .. } => None,
        }
    }
}

/// The outcome that is reported to the balancer for a complete response.
pub(super) fn outcome_of_response(response: &Message) -> AttemptOutcome {
    match response.head.status {
        200 => AttemptOutcome::Fulfilled,
        404 => AttemptOutcome::CacheMiss,
        503 | 504 if is_marked_unprocessed(response) => AttemptOutcome::Rejected,
        // Without the statement that the request was not processed, the endpoint may have executed it.
        _ => AttemptOutcome::Errored,
    }
}

fn is_marked_unprocessed(response: &Message) -> bool {
    response.head.header_text("x-not-processed") == Some("1")
}

fn outcome_without_response(reason: CloseReason, progress: RequestProgress) -> AttemptOutcome {
    let is_partly_written = progress == RequestProgress::PartlyWritten;
    match reason {
        // The node lacks descriptors: this outcome says nothing about the endpoint.
        CloseReason::NoFileDescriptor => AttemptOutcome::NotSent,
        CloseReason::NoLongerNeeded if is_partly_written => AttemptOutcome::NotSent,
        CloseReason::Cancelled => AttemptOutcome::Cancelled,
        CloseReason::DeadlineExceeded | CloseReason::PeerTimeout => AttemptOutcome::TimedOut,
        // An endpoint never executes a request that was not fully written.
        CloseReason::Refused | CloseReason::ConnectTimeout => AttemptOutcome::Unreachable,
        _ if is_partly_written => AttemptOutcome::Unreachable,
        CloseReason::ProtocolError => AttemptOutcome::Errored,
        CloseReason::ClosedByPeer | CloseReason::SocketError | CloseReason::NoLongerNeeded => {
            AttemptOutcome::Reset
        }
    }
}
