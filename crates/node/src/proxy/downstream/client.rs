//! A client's connection and its state.

use granitelb_balancer::ids::RequestId;
use granitelb_balancer::time::Time;

use crate::http::{MessageDecoder, MessageKind};
use crate::proxy::arrival_times::ArrivalTimes;
use crate::transport::Connection;

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
    pub(super) decoder: MessageDecoder,
    pub(super) arrivals: ArrivalTimes,
    pub(super) state: ClientState,
    /// Whether `100 Continue` was sent for the request that is being read.
    pub(super) sent_continue: bool,
    /// Whether the client keeps the connection open after its current request.
    pub(super) keep_alive: bool,
    /// Whether no complete message has arrived yet.
    pub(super) is_new: bool,
}

impl Client {
    /// Creates the state of a client that has just connected.
    pub(super) fn new(connection: Connection) -> Client {
        Client {
            connection,
            decoder: MessageDecoder::new(MessageKind::Request),
            arrivals: ArrivalTimes::default(),
            state: ClientState::Reading,
            sent_continue: false,
            keep_alive: true,
            is_new: true,
        }
    }

    /// Whether the client is between two requests.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, ClientState::Reading)
            && self.decoder.is_between_messages()
            && self.connection.input.is_empty()
    }

    /// Whether a request is in progress.
    pub(super) fn is_awaiting_response(&self) -> bool {
        matches!(self.state, ClientState::AwaitingResponse(_))
    }

    /// Whether the last response was written.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, ClientState::Lingering)
    }

    /// Receives data by calling `receive`, records its arrival, and returns whether there was any.
    pub(super) fn receive(&mut self, now: Time, receive: impl FnOnce(&mut Connection)) -> bool {
        let buffered = self.connection.input.len();
        receive(&mut self.connection);
        let arrived = self.connection.input.len() - buffered;
        self.arrivals.record(arrived, now);
        arrived > 0
    }

    /// Writes `100 Continue` if the client waits for that response, and returns whether it was written.
    pub(super) fn send_continue_if_expected(&mut self) -> bool {
        let head = self.decoder.head();
        let is_expected = head.is_some_and(|head| head.has_token("expect", "100-continue"));
        if !is_expected || self.sent_continue {
            return false;
        }
        self.sent_continue = true;
        self.connection.output.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        true
    }
}
