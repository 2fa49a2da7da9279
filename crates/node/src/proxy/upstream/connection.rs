//! A connection to an endpoint, and the attempt that it carries.
//!
//! A response does not say which request it answers: on HTTP/1.1 only its place and time tell. An endpoint may
//! send a response a second time, some milliseconds late. On a connection that carries the next request by
//! then, it would be taken for the response to that one, whatever its content.
//!
//! Invariant: a request is written only to a connection that has delivered no response yet, or nothing at all
//! since its last response for the time in which a duplicate of that response arrives. A connection on which
//! something arrives in that time, or at any time without a request in progress, carries no request again.

use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};

use crate::http::{Message, MessageDecoder, MessageKind, ParseError};
use crate::proxy::attempt_end::RequestProgress;
use crate::proxy::endpoint_directory::Incarnation;
use crate::transport::{CloseReason, Connection};

/// A duplicate of a response arrives within this time after the original.
const DUPLICATE_WINDOW: Span = Span::from_millis(100);
/// The same for connections that are to carry a request which must not be executed twice. A duplicate that
/// says that nothing was executed would have such a request sent again although the endpoint executes it.
const DUPLICATE_WINDOW_NON_IDEMPOTENT: Span = Span::from_millis(250);

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: AttemptNumber,
}

/// An attempt that is assigned to a connection.
pub(super) struct AssignedAttempt {
    pub(super) id: AttemptId,
    pub(super) started_at: Time,
    /// The time by which the connection must be established.
    pub(super) connect_deadline: Time,
    /// The time by which the first byte of the request must be sent.
    pub(super) start_deadline: Time,
    /// The time until which the node waits for the response.
    pub(super) response_deadline: Time,
    /// Whether the request may be executed more than once.
    pub(super) is_idempotent: bool,
    /// The length of the request in bytes; `None` until the request was handed to the connection.
    pub(super) request_bytes: Option<usize>,
    /// Whether data arrived on the connection before the last byte of the request was sent.
    pub(super) has_early_data: bool,
}

impl AssignedAttempt {
    /// The time until which the attempt waits for its connection to be established.
    pub(super) fn connection_wait_deadline(&self) -> Time {
        self.connect_deadline.min(self.start_deadline).min(self.response_deadline)
    }
}

/// A connection to an endpoint. It carries one attempt at a time.
pub(super) struct UpstreamConnection {
    pub(super) connection: Connection,
    pub(super) decoder: MessageDecoder,
    pub(super) endpoint: EndpointId,
    /// The process to which the connection leads.
    pub(super) incarnation: Incarnation,
    pub(super) attempt: Option<AssignedAttempt>,
    /// When the connection was opened.
    opened_at: Time,
    /// When the connection delivered its last response; `None` if it has delivered none.
    pub(super) last_response_at: Option<Time>,
}

impl UpstreamConnection {
    /// Creates the state of a connection that was opened at `now` and carries no attempt yet.
    pub(super) fn new(
        connection: Connection,
        endpoint: EndpointId,
        incarnation: Incarnation,
        now: Time,
    ) -> UpstreamConnection {
        UpstreamConnection {
            connection,
            decoder: MessageDecoder::new(MessageKind::Response),
            endpoint,
            incarnation,
            attempt: None,
            opened_at: now,
            last_response_at: None,
        }
    }

    /// Whether a byte of the attempt's request was sent.
    pub(super) fn has_started(&self) -> bool {
        let Some(attempt) = &self.attempt else { return false };
        let unsent = self.connection.output.len();
        attempt.request_bytes.is_some_and(|length| unsent < length)
    }

    /// How much of the attempt's request was sent.
    pub(super) fn request_progress(&self) -> RequestProgress {
        if self.has_started() && self.connection.output.is_empty() {
            RequestProgress::FullyWritten
        } else {
            RequestProgress::PartlyWritten
        }
    }

    /// Whether the peer keeps the connection open and all data that it sent was consumed.
    pub(super) fn is_clean(&self) -> bool {
        self.connection.close_reason().is_none() && self.connection.input.is_empty()
    }

    /// Whether the connection may carry a request: no duplicate of its last response can arrive any more.
    pub(super) fn can_carry(&self, now: Time, is_idempotent: bool) -> bool {
        let window = if is_idempotent { DUPLICATE_WINDOW } else { DUPLICATE_WINDOW_NON_IDEMPOTENT };
        self.last_response_at.is_none_or(|received_at| now - received_at >= window)
    }

    /// The time since the connection was opened.
    pub(super) fn age(&self, now: Time) -> Span {
        now - self.opened_at
    }

    /// Sends buffered output unless the peer has ended the connection. The endpoint never executes a request
    /// that was not fully sent by then.
    pub(super) fn flush(&mut self) -> Result<(), CloseReason> {
        if self.connection.close_reason().is_some() {
            return Ok(());
        }
        self.connection.flush()
    }

    /// Returns the next complete response. The orderly end of the connection completes a response without a
    /// length.
    pub(super) fn next_response(&mut self) -> Result<Option<Message>, ParseError> {
        if let Some(response) = self.decoder.next(&mut self.connection.input)? {
            return Ok(Some(response));
        }
        if self.connection.close_reason() != Some(CloseReason::ClosedByPeer) {
            return Ok(None);
        }
        Ok(self.decoder.finish())
    }

    /// Records whether data has arrived before the last byte of the request was sent.
    pub(super) fn record_early_data(&mut self) {
        let has_input = !self.connection.input.is_empty();
        let is_written = self.request_progress() == RequestProgress::FullyWritten;
        if let Some(attempt) = &mut self.attempt {
            attempt.has_early_data |= has_input && !is_written;
        }
    }

    /// Clears the early-data flag if the early data was an interim response, which is no part of the
    /// response.
    pub(super) fn forget_early_interim_response(&mut self) {
        let is_between_messages = self.decoder.is_between_messages() && self.connection.input.is_empty();
        if let Some(attempt) = &mut self.attempt {
            attempt.has_early_data &= !is_between_messages;
        }
    }

    /// Whether the connection is established and the request of its attempt is still to be written.
    pub(super) fn has_unwritten_attempt(&self) -> bool {
        self.connection.is_connected()
            && self.attempt.as_ref().is_some_and(|attempt| attempt.request_bytes.is_none())
    }
}
