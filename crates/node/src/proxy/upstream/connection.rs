//! A connection to an endpoint, and the attempt that it carries.

use std::net::SocketAddr;

use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};

use crate::http::{Message, MessageDecoder, MessageKind, ParseError};
use crate::proxy::attempt_end::RequestProgress;
use crate::proxy::duplicate_response::RecentResponses;
use crate::transport::{CloseReason, Connection};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) number: AttemptNumber,
}

/// The attempt that a connection is for.
pub(super) struct AssignedAttempt {
    pub(super) id: AttemptId,
    pub(super) started_at: Time,
    /// When its connection has to be established.
    pub(super) connect_deadline: Time,
    /// When its first byte has to have been sent.
    pub(super) start_deadline: Time,
    /// When its response is no longer waited for.
    pub(super) response_deadline: Time,
    /// Whether its request may run more than once.
    pub(super) is_idempotent: bool,
    /// The length of its request, once that was handed to the connection.
    pub(super) request_bytes: Option<usize>,
    /// Whether data arrived on the connection before the last byte of the request was sent.
    pub(super) has_early_data: bool,
}

impl AssignedAttempt {
    /// Until when it waits for its connection to be established.
    pub(super) fn connection_wait_deadline(&self) -> Time {
        self.connect_deadline.min(self.start_deadline).min(self.response_deadline)
    }
}

/// A connection to an endpoint. It carries one attempt at a time.
pub(super) struct UpstreamConnection {
    pub(super) connection: Connection,
    pub(super) decoder: MessageDecoder,
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) attempt: Option<AssignedAttempt>,
    pub(super) recent_responses: RecentResponses,
    /// When it was opened, was established, or delivered its last response, whichever is latest.
    pub(super) last_progress_at: Time,
}

impl UpstreamConnection {
    /// A connection that was opened now and carries no attempt yet.
    pub(super) fn new(
        connection: Connection,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Time,
    ) -> UpstreamConnection {
        UpstreamConnection {
            connection,
            decoder: MessageDecoder::new(MessageKind::Response),
            endpoint,
            address,
            attempt: None,
            recent_responses: RecentResponses::default(),
            last_progress_at: now,
        }
    }

    /// Whether a byte of the attempt's request was sent.
    pub(super) fn has_started(&self) -> bool {
        let Some(attempt) = &self.attempt else { return false };
        let unsent = self.connection.output.len();
        attempt.request_bytes.is_some_and(|length| unsent < length)
    }

    /// How far the attempt's request was sent.
    pub(super) fn request_progress(&self) -> RequestProgress {
        if self.has_started() && self.connection.output.is_empty() {
            RequestProgress::FullyWritten
        } else {
            RequestProgress::PartlyWritten
        }
    }

    /// Whether the peer has neither ended the connection nor sent data that is not consumed.
    pub(super) fn is_clean(&self) -> bool {
        self.connection.close_reason().is_none() && self.connection.input.is_empty()
    }

    /// Whether the connection may carry a request: no copy of an answer may still come that says that a request which
    /// must not run twice did not run.
    pub(super) fn is_fit_for(&self, now: Time, is_idempotent: bool) -> bool {
        is_idempotent || !self.recent_responses.has_not_executed(now)
    }

    /// How long ago it last made progress.
    pub(super) fn time_since_progress(&self, now: Time) -> Span {
        now - self.last_progress_at
    }

    /// Sends buffered output, unless the peer has ended the connection: what has not been sent by then never
    /// runs there.
    pub(super) fn flush(&mut self) -> Result<(), CloseReason> {
        if self.connection.close_reason().is_some() {
            return Ok(());
        }
        self.connection.flush()
    }

    /// The next complete response, also one that the orderly end of the connection completes.
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

    /// Forgets early data that was an interim response: it is no part of the response.
    pub(super) fn forget_early_interim_response(&mut self) {
        let is_between_messages = self.decoder.is_between_messages() && self.connection.input.is_empty();
        if let Some(attempt) = &mut self.attempt {
            attempt.has_early_data &= !is_between_messages;
        }
    }

    /// Whether an established connection still has the attempt's request to be written.
    pub(super) fn has_unwritten_attempt(&self) -> bool {
        self.connection.is_connected()
            && self.attempt.as_ref().is_some_and(|attempt| attempt.request_bytes.is_none())
    }
}
