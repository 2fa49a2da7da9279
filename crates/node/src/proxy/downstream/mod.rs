//! The downstream side: receives requests on clients' connections and delivers the responses.
//!
//! Invariants: a client has at most one request in progress, and no further request has its turn until that
//! one is answered; everything that clients send is read as it arrives, also while a request is in progress,
//! and no request has its turn before all that had arrived by then was read, so that the end of a connection
//! is noticed first; each connection has a timer, so that no connection outlives a vanished peer.

mod client;
mod client_limits;
mod pipeline;
mod request_decoder;
mod requests;

use std::collections::BTreeMap;

use granitelb_balancer::LocalReply;
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use self::client::{Client, ClientState};
use self::client_limits::ClientLimits;
pub(super) use self::client_limits::ResourceLimits;
pub use self::pipeline::{Pipeline, PipelineEntry, READ_AHEAD_BYTES};
use self::request_decoder::RequestDecoder;
use self::requests::write_with_retry_after;
use super::final_response::FinalResponse;
use super::request_table::UndeliveredResponse;
use super::turn_context::TurnContext;
use crate::http::{write_local_reply, write_response};
use crate::transport::{CloseReason, ConnectionId, Listener, Owner, ReadinessEvent, TimeQueue, Transport};

/// The first message of a client must be complete this long after the client connected, a later message this
/// long after its first byte. An incomplete message must get an error or a close within 3 s, and no client
/// waits this long for the response to a request.
const MESSAGE_TIMEOUT: Span = Span::from_millis(2500);
/// A client must accept a response within this time, which is far longer than any live peer needs.
const WRITE_TIMEOUT: Span = Span::from_millis(10_000);
/// An idle client is closed after this time: a client whose machine has vanished never closes its connection.
const IDLE_TIMEOUT: Span = Span::from_millis(120_000);
/// While there are many clients, a client is closed after being idle for this time. Otherwise clients that
/// stay connected after one request would take the connections of clients with requests.
const SHORT_IDLE_TIMEOUT: Span = Span::from_millis(2000);
/// While there are many clients, a client that has sent no complete message may be evicted this long after it
/// connected, and a lingering client this long after its last response. Both are evicted before clients that
/// may send another request: a client with a request sends it as soon as it has connected.
const EVICT_FIRST_AFTER: Span = Span::from_millis(250);
/// How long a rejected client may go on sending before its connection is closed. If the connection were
/// closed at once, the response could be lost in transit.
const LINGER_TIME: Span = Span::from_millis(1000);
/// The most reads from a connection in one turn. Each read fills the input buffer; together they take more
/// than a message of the maximum length.
const MAX_READS_PER_TURN: usize = 8;
/// The most reads that discard the input of a client which has disconnected: together they take more than the
/// system buffers for a connection. A close with unread input would reset the connection.
const MAX_DISCARDING_READS: usize = 512;
/// The most rejections of requests in excess that are written at once, and how often that is done in a turn.
const MAX_EXCESS_REPLIES: u64 = 64;
const MAX_EXCESS_WRITES_PER_TURN: usize = 16;

/// The downstream side: the connections of all clients.
pub(super) struct Downstream {
    owner: Owner,
    clients: BTreeMap<ConnectionId, Client>,
    /// The clients that are evicted first: those without a complete message, by the time when they connected,
    /// and lingering ones, by the time of their last response.
    evict_first: TimeQueue,
    limits: ClientLimits,
    decoder: RequestDecoder,
    /// The `Retry-After` time for rejected clients; zero if rejections do not carry that header.
    retry_after: Span,
    /// Set once the node shuts down: the time by which every request has its response.
    shutdown_deadline: Option<Time>,
    /// Whether connections between two requests are closed, as at the end of a shutdown.
    closes_idle: bool,
}

impl Downstream {
    /// Creates a downstream side without clients.
    pub(super) fn new(
        owner: Owner,
        limits: ResourceLimits,
        names: Names,
        client_timeouts: Vec<Span>,
        retry_after: Span,
    ) -> Downstream {
        Downstream {
            owner,
            clients: BTreeMap::new(),
            evict_first: TimeQueue::default(),
            limits: ClientLimits::within(limits),
            decoder: RequestDecoder::new(names, client_timeouts),
            retry_after,
            shutdown_deadline: None,
            closes_idle: false,
        }
    }

    /// Replaces the request classes, their timeouts and the `Retry-After` time.
    pub(super) fn on_settings_update(&mut self, names: Names, client_timeouts: Vec<Span>, retry_after: Span) {
        self.decoder = RequestDecoder::new(names, client_timeouts);
        self.retry_after = retry_after;
    }

    /// Sets the resources from which the limits on clients are derived.
    pub(super) fn set_limits(&mut self, limits: ResourceLimits) {
        self.limits = ClientLimits::within(limits);
    }

    /// Whether the number of clients has reached the limit on served clients.
    pub(super) fn is_at_served_limit(&self) -> bool {
        self.clients.len() >= self.limits.served
    }

    /// Whether the number of clients has reached the limit on accepted clients.
    pub(super) fn is_at_accept_limit(&self) -> bool {
        self.clients.len() >= self.limits.served + self.limits.excess
    }

    /// The client to evict first for a new one: a client that has sent no complete message or is lingering,
    /// else the client that has been idle for longest.
    pub(super) fn first_to_evict(&self, transport: &Transport, now: Time) -> Option<ConnectionId> {
        match self.evict_first.first() {
            Some((since, id)) if now - since >= EVICT_FIRST_AFTER => Some(id),
            _ => transport.longest_idle(now, Some(self.owner)),
        }
    }

    /// A client that has been idle for [`SHORT_IDLE_TIMEOUT`], if there are many clients.
    pub(super) fn idle_too_long(&self, transport: &Transport, now: Time) -> Option<ConnectionId> {
        let (since, id) = transport.first_idle(self.owner)?;
        let is_too_long = self.clients.len() > self.limits.idle && now - since >= SHORT_IDLE_TIMEOUT;
        is_too_long.then_some(id)
    }

    /// Accepts the next client, and returns whether there was one.
    pub(super) fn accept(&mut self, transport: &mut Transport, listener: &mut Listener, now: Time) -> bool {
        let Some(connection) = listener.accept(transport, self.owner) else { return false };
        let id = connection.id();
        self.clients.insert(id, Client::new(connection, now));
        self.evict_first.set(id, now);
        transport.mark_idle(id, now);
        transport.timers.set(id, now + MESSAGE_TIMEOUT);
        true
    }

    /// Handles an event of a connection.
    pub(super) fn on_event(&mut self, cx: &mut TurnContext<'_>, event: ReadinessEvent) {
        let Some(client) = self.clients.get_mut(&event.id) else { return };
        client.connection.on_event(&event);
        self.receive_and_advance(cx, event.id);
    }

    /// Receives what the operating system has buffered for a connection, including its end, and handles it.
    /// Returns whether everything was received within [`MAX_READS_PER_TURN`].
    ///
    /// A request and the end of its connection may arrive together. The end follows the request, so the rest
    /// of the input is read before the request has its turn: otherwise the request would be forwarded for a
    /// client that has disconnected.
    fn receive_and_advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return true };
        let has_received_all = client.receive(cx.now, MAX_READS_PER_TURN);
        if !has_received_all && client.connection.is_end_reported() {
            // The client has disconnected: the end stands behind what was not read yet.
            client.discard_input(MAX_DISCARDING_READS);
            self.close(cx, id, CloseReason::ClosedByPeer);
            return true;
        }
        if let Some((request, unread_since)) = client.request_in_progress() {
            cx.requests.set_client_unread_since(request, unread_since);
        }
        self.advance(cx, id);
        has_received_all
    }

    /// Handles the timer of a connection.
    pub(super) fn on_timer(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get(&id) else { return };
        match client.state {
            ClientState::Reading => self.on_read_timeout(cx, id),
            ClientState::Lingering => self.close(cx, id, CloseReason::NoLongerNeeded),
            ClientState::AwaitingResponse(_) | ClientState::WritingResponse { .. } => {
                self.close(cx, id, CloseReason::PeerTimeout);
            }
        }
    }

    fn on_read_timeout(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let has_next = self.clients.get(&id).is_some_and(|client| !client.pipeline.is_empty());
        // Data that the operating system has buffered arrived in time: one turn reads only a part of a long
        // message.
        self.receive_and_advance(cx, id);
        if has_next {
            // A complete request has waited for the message behind it, whose own time is not up.
            return;
        }
        let Some(client) = self.clients.get(&id) else { return };
        if client.is_idle() {
            self.close(cx, id, CloseReason::NoLongerNeeded);
        } else if matches!(client.state, ClientState::Reading) && client.pipeline.is_empty() {
            // The sender of an incomplete message gets an error response before the connection is closed.
            self.reject(cx, id, 408);
            self.advance(cx, id);
        }
    }

    /// Closes a connection that is idle, has sent no complete message, or is lingering. A request that a last
    /// read finds on the connection keeps it open: a request that has arrived must not be lost.
    pub(super) fn evict(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let has_read_all = self.receive_and_advance(cx, id);
        let Some(client) = self.clients.get(&id) else { return };
        let is_unused = has_read_all && client.pipeline.is_empty() && (client.is_idle() || client.is_new);
        if is_unused || client.is_lingering() {
            self.close(cx, id, CloseReason::NoLongerNeeded);
        }
    }

    /// Closes each connection after its next response from now on. Every accepted request gets its response
    /// by `deadline`.
    pub(super) fn begin_shutdown(&mut self, deadline: Time) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Closes every connection that is between two requests, and later each one that becomes idle.
    pub(super) fn close_idle(&mut self, cx: &mut TurnContext<'_>) {
        self.closes_idle = true;
        let idle = self.clients.iter().filter(|(_, client)| client.is_idle());
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.evict(cx, id);
        }
    }

    /// Whether all clients' connections are closed.
    ///
    /// Lingering clients count as open: their response was sent and may not have arrived. If the process
    /// ended while bytes from such a client are unread, the connection would be reset and the rest of the
    /// response would be lost.
    pub(super) fn is_drained(&self) -> bool {
        self.clients.is_empty()
    }

    /// Delivers a final response to its client.
    pub(super) fn deliver(&mut self, cx: &mut TurnContext<'_>, undelivered: &UndeliveredResponse) {
        let id = undelivered.client;
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.state {
            ClientState::AwaitingResponse(request) if request == undelivered.request => {}
            _ => return,
        }
        if self.shutdown_deadline.is_some() {
            // Requests that have arrived by now must not be lost behind a response that ends the connection.
            client.receive(cx.now, MAX_READS_PER_TURN);
        }
        let keep_alive = client.keeps_alive(self.shutdown_deadline.is_some());
        let output = &mut client.connection.output;
        match &undelivered.response {
            FinalResponse::Upstream(message) => write_response(output, message, keep_alive),
            FinalResponse::Local(LocalReply::RateLimited { retry_after }) => {
                write_with_retry_after(output, 429, *retry_after, keep_alive);
            }
            FinalResponse::Local(LocalReply::Errored) => write_local_reply(output, 502, &[], keep_alive),
            FinalResponse::ClientDisconnected => return,
        }
        let has_next = !client.pipeline.is_empty();
        self.begin_writing(cx, id, keep_alive);
        if has_next {
            // The client may have disconnected since its next request was read.
            self.receive_and_advance(cx, id);
        } else {
            self.advance(cx, id);
        }
    }

    fn begin_writing(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, keep_alive: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.state = ClientState::WritingResponse { keep_alive };
        cx.transport.timers.set(id, cx.now + WRITE_TIMEOUT);
    }

    /// Writes pending output and handles received data, as far as the connection allows now.
    fn advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let mut excess_writes = 0;
        while excess_writes < MAX_EXCESS_WRITES_PER_TURN {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if let Err(reason) = client.connection.flush() {
                return self.close(cx, id, reason);
            }
            match client.state {
                ClientState::WritingResponse { .. } if !client.connection.output.is_empty() => break,
                ClientState::WritingResponse { keep_alive: false } => self.linger(cx, id),
                ClientState::WritingResponse { keep_alive: true } => {
                    // The loop goes on with requests that were already read. Further data is received in
                    // the next turn, so that a client which sends without end does not delay this turn.
                    client.state = ClientState::Reading;
                    client.next_since = cx.now;
                }
                ClientState::Lingering | ClientState::AwaitingResponse(_) => break,
                ClientState::Reading if client.reads_on_until(cx.now).is_some() => break,
                ClientState::Reading => match client.pipeline.pop(MAX_EXCESS_REPLIES) {
                    // The client has sent faster than the node reads for too long.
                    Some(PipelineEntry::Request { .. }) if !client.connection.is_drained() => {
                        self.reject_excess(cx, id, 1);
                        excess_writes += 1;
                    }
                    Some(PipelineEntry::Request { message, arrived_at }) => {
                        self.on_message(cx, id, message, arrived_at);
                    }
                    Some(PipelineEntry::Excess { count }) => {
                        self.reject_excess(cx, id, count);
                        excess_writes += 1;
                    }
                    Some(PipelineEntry::Invalid(error)) => self.reject(cx, id, error.status()),
                    None if client.send_continue_if_expected() => {}
                    None => break,
                },
            }
        }
        self.finish_advance(cx, id);
    }

    /// Closes a connection that has ended. Otherwise sets its timers if the node reads from it, and registers
    /// the events that epoll reports next.
    fn finish_advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(reason) = client.connection.close_reason() {
            return self.close(cx, id, reason);
        }
        if matches!(client.state, ClientState::Reading) {
            self.set_reading_timers(cx, id);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.update_interest(cx.transport);
    }

    fn set_reading_timers(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.is_idle() {
            cx.transport.mark_busy(id);
            // The first byte of a message sets the timer, and later bytes that trickle in do not postpone it.
            let timeout = client.reads_on_until(cx.now).unwrap_or(cx.now + MESSAGE_TIMEOUT);
            cx.transport.timers.set_earlier(id, timeout);
        } else if self.closes_idle {
            // The client's last response was begun before the shutdown and did not announce the close.
            self.linger(cx, id);
        } else {
            cx.transport.mark_idle(id, cx.now);
            if !client.is_new {
                cx.transport.timers.set(id, cx.now + IDLE_TIMEOUT);
            }
        }
    }

    /// Ends the node's side of a connection and lets the client finish sending. What the client still sends
    /// is read and discarded, since closing a connection with unread data would reset it.
    fn linger(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.shutdown_write();
        client.connection.input.clear();
        client.pipeline = Pipeline::default();
        client.state = ClientState::Lingering;
        self.evict_first.set(id, cx.now);
        cx.transport.mark_busy(id);
        cx.transport.timers.set(id, cx.now + LINGER_TIME);
    }

    fn close(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.evict_first.remove(id);
        if let ClientState::AwaitingResponse(request) = client.state {
            cx.requests.on_client_disconnect(request);
        }
        log::debug!("client connection closed: {reason:?}");
        client.connection.close(cx.transport);
    }
}
