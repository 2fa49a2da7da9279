//! One watch request and the stream of endpoint lists in its response.

use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};

use super::WatchEvent;
use super::line_decoder::{DecodedLine, LineDecoder};
use crate::http::{EndpointListUpdate, MessageHead, MessageKind, MessagePart, Parser};
use crate::transport::{CloseReason, Connection, ReadinessEvent, Transport};

/// A watch is lost after this time without a complete line. Discovery sends a line every 2 s at least; the
/// timeout is longer by five eighths. Updates that a watch missed count as received 6 s after its last line.
/// Before that, a new watch, which is requested within 0.75 s, has 2 s to be answered and time to be
/// requested once more.
///
/// Only complete lines restart the timeout. If other data did, a line that trickles in, or a list that was
/// cut off with empty lines after it, would keep a watch open for ever that reports nothing.
const LINE_TIMEOUT: Span = Span::from_millis(3250);

/// The state of the response to a watch request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamState {
    /// No final status was received.
    Requested,
    /// Status 200 was received, but no complete line.
    Accepted,
    /// A complete line was received.
    Established,
}

/// A connection to discovery on which lists are streamed.
pub(super) struct WatchStream {
    pub(super) address: SocketAddr,
    pub(super) connection: Connection,
    parser: Parser,
    state: StreamState,
    /// The time until which the node waits for the watch to be established.
    pub(super) deadline: Time,
    lines: LineDecoder,
}

impl WatchStream {
    /// Creates a stream on a connection to discovery at `address` whose output holds the request.
    pub(super) fn new(address: SocketAddr, connection: Connection, deadline: Time) -> WatchStream {
        WatchStream {
            address,
            connection,
            parser: Parser::new(MessageKind::Response),
            state: StreamState::Requested,
            deadline,
            lines: LineDecoder::default(),
        }
    }

    /// Whether a complete line was received.
    pub(super) fn is_established(&self) -> bool {
        self.state == StreamState::Established
    }

    /// Handles an event of the connection, and adds the lists that were received to `updates`.
    ///
    /// # Errors
    ///
    /// Returns why the stream has ended or cannot be used.
    pub(super) fn on_event(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: ReadinessEvent,
        updates: &mut Vec<WatchEvent>,
    ) -> Result<(), CloseReason> {
        if !self.connection.is_connected() {
            self.connection.finish_connect()?;
            transport.timers.set(self.connection.id(), self.deadline);
        }
        self.connection.flush()?;
        self.connection.on_event(&event);
        while let Some(part) = self.next_part()? {
            match part {
                MessagePart::Head(head) => self.on_head(transport, now, &head)?,
                MessagePart::Body(bytes) => self.on_body(transport, now, bytes, updates)?,
                MessagePart::Trailer(_) => {}
                MessagePart::End if self.state == StreamState::Requested => {}
                MessagePart::End => return Err(CloseReason::ClosedByPeer),
            }
        }
        if let Some(reason) = self.connection.close_reason() {
            return Err(reason);
        }
        self.connection.update_interest(transport);
        Ok(())
    }

    fn next_part(&mut self) -> Result<Option<MessagePart>, CloseReason> {
        self.parser.next(&mut self.connection.input).map_err(|_| CloseReason::ProtocolError)
    }

    fn on_head(
        &mut self,
        transport: &mut Transport,
        now: Time,
        head: &MessageHead,
    ) -> Result<(), CloseReason> {
        match head.status {
            // An interim response precedes the final one.
            ..200 => Ok(()),
            200 => {
                self.state = StreamState::Accepted;
                // While the list does not change, the first line is a heartbeat 2 s after the head.
                self.deadline = now + LINE_TIMEOUT;
                transport.timers.set(self.connection.id(), self.deadline);
                Ok(())
            }
            status => {
                log::warn!(
                    event = "watch_refused", status = status;
                    "discovery at {} refused the endpoint list watch with status {status}", self.address
                );
                Err(CloseReason::ClosedByPeer)
            }
        }
    }

    fn on_body(
        &mut self,
        transport: &mut Transport,
        now: Time,
        bytes: Vec<u8>,
        updates: &mut Vec<WatchEvent>,
    ) -> Result<(), CloseReason> {
        self.lines.push(bytes);
        while let Some(line) = self.lines.next() {
            let list = match line {
                DecodedLine::Incomplete => continue,
                DecodedLine::WithoutList => None,
                DecodedLine::List(list) => Some(list),
            };
            transport.timers.set(self.connection.id(), now + LINE_TIMEOUT);
            let is_first_line = !self.is_established();
            self.state = StreamState::Established;
            match list {
                Some(list) => updates.push(WatchEvent::Update(list)),
                // The first line establishes the watch, whatever the line contains.
                None if is_first_line => updates.push(WatchEvent::Update(EndpointListUpdate::default())),
                None => {}
            }
        }
        if self.lines.is_over_limit() {
            return Err(CloseReason::ProtocolError);
        }
        Ok(())
    }
}
