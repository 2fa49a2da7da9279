//! How attempts end, and what the balancer learns of it. This is the one place that maps the one to the
//! other.

use granitelb_balancer::AttemptOutcome;

use crate::http::Message;
use crate::transport::CloseReason;

/// How far the request of an attempt was written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestProgress {
    /// Not written, or in part: the endpoint never executes it.
    PartlyWritten,
    /// Written to its last byte: the endpoint may have executed it.
    FullyWritten,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// A complete response arrived.
    Response(Message),
    /// The attempt ended without a response, as its connection was closed or was taken from it.
    NoResponse {
        /// Why it ended.
        reason: CloseReason,
        /// How far its request was written.
        progress: RequestProgress,
    },
}

impl AttemptEnd {
    /// The first value of a header of the response, if one arrived.
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

    /// The outcome that the balancer is told.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptEnd::Response(response) => outcome_of_response(response),
            AttemptEnd::NoResponse { reason, progress } => outcome_without_response(*reason, *progress),
        }
    }

    /// The response that the client gets: that of an attempt that fulfilled the request.
    pub fn into_final_response(self) -> Option<Message> {
        let is_fulfilled = self.outcome() == AttemptOutcome::Fulfilled;
        match self {
            AttemptEnd::Response(response) if is_fulfilled => Some(response),
            AttemptEnd::Response(_) | AttemptEnd::NoResponse { .. } => None,
        }
    }
}

/// The outcome that the balancer is told of a complete response.
pub(super) fn outcome_of_response(response: &Message) -> AttemptOutcome {
    match response.head.status {
        200 => AttemptOutcome::Fulfilled,
        404 => AttemptOutcome::CacheMiss,
        503 | 504 if is_marked_unprocessed(response) => AttemptOutcome::Rejected,
        // The endpoint did not state that nothing was executed.
        _ => AttemptOutcome::Errored,
    }
}

fn is_marked_unprocessed(response: &Message) -> bool {
    response.head.header_text("x-not-processed") == Some("1")
}

fn outcome_without_response(reason: CloseReason, progress: RequestProgress) -> AttemptOutcome {
    let is_partly_written = progress == RequestProgress::PartlyWritten;
    match reason {
        // This is not the endpoint's fault: nothing is learnt of it.
        CloseReason::NoFileDescriptor => AttemptOutcome::NotSent,
        CloseReason::NoLongerNeeded if is_partly_written => AttemptOutcome::NotSent,
        CloseReason::Cancelled => AttemptOutcome::Cancelled,
        CloseReason::DeadlineExceeded | CloseReason::PeerTimeout => AttemptOutcome::TimedOut,
        // A request that was not fully written is never executed.
        CloseReason::Refused | CloseReason::ConnectTimeout => AttemptOutcome::Unreachable,
        _ if is_partly_written => AttemptOutcome::Unreachable,
        CloseReason::ProtocolError => AttemptOutcome::Errored,
        CloseReason::ClosedByPeer | CloseReason::SocketError | CloseReason::NoLongerNeeded => {
            AttemptOutcome::Reset
        }
    }
}
