//! A client's connection and its state.

use granitelb_balancer::ids::RequestId;
use granitelb_balancer::time::{Span, Time};

use super::memory_budget::ClientMemory;
use super::pipeline::{Pipeline, ReadAheadLimits};
use super::turn_budget::TurnBudget;
use crate::transport::Connection;

/// What is read from each connection that is readable, in bytes: more than a usual request.
const FIRST_READ_BYTES: usize = 4 * 1024;
/// The size in bytes of each further read from a connection in the same turn, and the most such reads. Together they
/// take more than a message of the maximum length.
const MAX_READ_BYTES: usize = 16 * 1024;
const MAX_READS_PER_TURN: usize = 8;
/// How long a request waits at most while its client sends faster than the node reads.
const MAX_UNREAD_DELAY: Span = Span::from_millis(250);
/// How long a request waits at most for the rest of an incomplete message behind it. The rest is on its way,
/// also where none of it has reached this machine yet.
const MAX_INCOMPLETE_DELAY: Span = Span::from_millis(100);

/// The state of a client's connection.
#[derive(Clone, Copy)]
pub(super) enum ClientState {
    /// The node waits for the next request or reads it.
    Reading,
    /// A request is in progress.
    AwaitingResponse(RequestId),
    /// The node writes a response.
    WritingResponse {
        /// Whether the connection is kept open after the response.
        keep_alive: bool,
    },
    /// The last response was written. The connection stays open for a while so that the client can finish
    /// sending.
    Lingering,
}

/// A client's connection.
pub(super) struct Client {
    pub(super) connection: Connection,
    /// The requests that have not had their turn.
    pub(super) pipeline: Pipeline,
    pub(super) state: ClientState,
    /// Since when no request before the next one is in progress.
    pub(super) next_since: Time,
    /// Whether `100 Continue` was sent for the request that is being read.
    pub(super) sent_continue: bool,
    /// Whether the client keeps the connection open after its current request.
    pub(super) keep_alive: bool,
    /// Whether no complete message has arrived yet.
    pub(super) is_new: bool,
    /// What is reserved for the request in progress, in bytes.
    pub(super) reserved_bytes: usize,
    /// The memory of the client that the budget of all clients contains.
    pub(super) counted: ClientMemory,
    /// Whether the client had sent more than was read when it last had its turn.
    pub(super) sends_ahead: bool,
    /// Since when the input has not been read whole; `None` if it has.
    unread_since: Option<Time>,
}

impl Client {
    /// Creates the state of a client that has just connected.
    pub(super) fn new(connection: Connection, now: Time) -> Client {
        Client {
            connection,
            pipeline: Pipeline::default(),
            state: ClientState::Reading,
            next_since: now,
            sent_continue: false,
            keep_alive: true,
            is_new: true,
            reserved_bytes: 0,
            counted: ClientMemory::default(),
            sends_ahead: false,
            unread_since: None,
        }
    }

    /// Whether the client is between two requests.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Reading)
            && self.pipeline.is_idle()
            && self.connection.input.is_empty()
    }

    /// Whether the last response was written.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, ClientState::Lingering)
    }

    /// The memory that the client takes now.
    pub(super) fn memory(&self) -> ClientMemory {
        let response = match self.state {
            ClientState::AwaitingResponse(_) => self.reserved_bytes,
            _ => self.connection.output.capacity(),
        };
        ClientMemory { input: self.pipeline.memory_bytes() + self.connection.input.capacity(), response }
    }

    /// Receives and decodes what the operating system has buffered, as far as the turn's budget allows, and holds
    /// what the limits allow. Returns whether everything was received.
    pub(super) fn receive(&mut self, now: Time, budget: &mut TurnBudget, limits: ReadAheadLimits) -> bool {
        if !self.sends_ahead {
            self.connection.receive_at_most(FIRST_READ_BYTES);
            self.decode(now, limits);
        }
        for _ in 0..MAX_READS_PER_TURN {
            if self.connection.is_drained() || !budget.can_read() {
                break;
            }
            budget.count_bytes(self.connection.receive_at_most(MAX_READ_BYTES));
            self.decode(now, limits);
        }
        if !self.connection.is_drained() {
            self.connection.peek();
        }
        let has_received_all = self.connection.is_drained();
        self.sends_ahead = !has_received_all;
        self.unread_since = if has_received_all { None } else { self.unread_since.or(Some(now)) };
        has_received_all
    }

    /// The request in progress, with the time since when the input has not been read whole.
    pub(super) fn request_in_progress(&self) -> Option<(RequestId, Option<Time>)> {
        match self.state {
            ClientState::AwaitingResponse(request) => Some((request, self.unread_since)),
            _ => None,
        }
    }

    /// Receives and discards what the operating system has buffered, with at most `max_reads` reads.
    pub(super) fn discard_input(&mut self, max_reads: usize) {
        for _ in 0..max_reads {
            self.connection.input.clear();
            if self.connection.is_drained() {
                return;
            }
            self.connection.receive();
        }
    }

    /// Decodes the received input. The input of a lingering client is discarded.
    fn decode(&mut self, now: Time, limits: ReadAheadLimits) {
        if self.is_lingering() {
            self.connection.input.clear();
        } else {
            self.pipeline.decode(&mut self.connection.input, now, limits);
        }
    }

    /// Until when the next request waits, at most, for more of the input; `None` if its turn has come.
    ///
    /// While the client has sent more than was read, the end of the connection may stand behind that.
    pub(super) fn reads_on_until(&self, now: Time) -> Option<Time> {
        let waits_since = self.next_since.max(self.pipeline.next_arrived_at()?);
        let deadline = waits_since + self.max_read_delay()?;
        (now < deadline).then_some(deadline)
    }

    /// How long the next request waits at most for more of the input; `None` if nothing shows that there is
    /// more.
    fn max_read_delay(&self) -> Option<Span> {
        if !self.connection.is_drained() {
            return Some(MAX_UNREAD_DELAY);
        }
        let is_amid_message = self.pipeline.is_amid_message() || !self.connection.input.is_empty();
        is_amid_message.then_some(MAX_INCOMPLETE_DELAY)
    }

    /// Whether the connection is kept open after the response to the current request. While the node shuts
    /// down, the response to the last request that was received ends the connection.
    pub(super) fn keeps_alive(&self, is_shutting_down: bool) -> bool {
        let is_last = is_shutting_down && !self.pipeline.has_request();
        self.keep_alive && !is_last
    }

    /// Writes `100 Continue` if the client waits for that response, and returns whether it was written.
    pub(super) fn send_continue_if_expected(&mut self) -> bool {
        let head = self.pipeline.incomplete_head();
        let is_expected = head.is_some_and(|head| head.has_token("expect", "100-continue"));
        if !is_expected || self.sent_continue {
            return false;
        }
        self.sent_continue = true;
        self.connection.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        true
    }
}
