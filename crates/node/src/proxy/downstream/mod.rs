//! The downstream side: receives requests on clients' connections and delivers the responses.
//!
//! Invariants: a client has at most one request in progress, and reads no further until it is answered; each
//! connection has a timer, so that none outlives a peer that has vanished.

mod client;
mod client_limits;
mod request_decoder;
mod requests;

use std::collections::BTreeMap;

use granitelb_balancer::LocalReply;
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use self::client::{Client, ClientState};
use self::client_limits::ClientLimits;
pub(super) use self::client_limits::ResourceLimits;
use self::request_decoder::RequestDecoder;
use self::requests::write_with_retry_after;
use super::final_response::FinalResponse;
use super::request_table::UndeliveredResponse;
use super::turn_context::TurnContext;
use crate::http::{write_local_reply, write_response};
use crate::transport::{
    CloseReason, Connection, ConnectionId, Listener, Owner, ReadinessEvent, TimeQueue, Transport,
};

/// A first message must be complete this long after its client connected, a later one this long after its
/// first byte: whoever sends an incomplete one is owed an error or a close within 3 s, and no request waits
/// for as long.
const MESSAGE_TIMEOUT: Span = Span::from_millis(2500);
/// A response must be accepted within this time: far longer than any live peer needs.
const WRITE_TIMEOUT: Span = Span::from_millis(10_000);
/// An idle client is closed after this time: one whose machine has vanished never says so.
const IDLE_TIMEOUT: Span = Span::from_millis(120_000);
/// While there are many clients, one is closed after being idle for this time, lest those who asked once and
/// stay take the connections of clients with requests.
const CROWDED_IDLE_TIMEOUT: Span = Span::from_millis(2000);
/// While there are many clients, one that has sent no complete message is evicted this long after connecting,
/// and a lingering one this long after its last response, before any that may send another request: whoever
/// has a request begins with it.
const UNWANTED_AFTER: Span = Span::from_millis(250);
/// How long a rejected client may go on sending before its connection is closed: closed at once, the response
/// could be lost on its way.
const LINGER_TIME: Span = Span::from_millis(1000);
/// Reads before a connection is closed, each of as much as is buffered of its input: more than a longest
/// message.
const MAX_FINAL_READS: usize = 8;

/// All clients' connections.
pub(super) struct Downstream {
    owner: Owner,
    clients: BTreeMap<ConnectionId, Client>,
    /// Clients without a complete message, by when they connected, and lingering ones, by since when they
    /// linger.
    unwanted: TimeQueue,
    limits: ClientLimits,
    decoder: RequestDecoder,
    /// When rejected clients are told to retry; zero where they cannot be told.
    retry_after: Span,
    /// Once the node shuts down: when every request has its response.
    shutdown_deadline: Option<Time>,
    /// Whether connections between two requests are closed too.
    closes_idle: bool,
}

impl Downstream {
    /// A downstream side without clients.
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
            unwanted: TimeQueue::default(),
            limits: ClientLimits::within(limits),
            decoder: RequestDecoder::new(names, client_timeouts),
            retry_after,
            shutdown_deadline: None,
            closes_idle: false,
        }
    }

    /// Sets which requests are served from now on.
    pub(super) fn on_settings_update(&mut self, names: Names, client_timeouts: Vec<Span>, retry_after: Span) {
        self.decoder = RequestDecoder::new(names, client_timeouts);
        self.retry_after = retry_after;
    }

    /// Sets the resources of which clients have their shares.
    pub(super) fn set_limits(&mut self, limits: ResourceLimits) {
        self.limits = ClientLimits::within(limits);
    }

    /// Whether there are as many clients as are served.
    pub(super) fn is_crowded(&self) -> bool {
        self.clients.len() >= self.limits.served
    }

    /// Whether there are as many clients as are accepted.
    pub(super) fn is_full(&self) -> bool {
        self.clients.len() >= self.limits.served + self.limits.excess
    }

    /// The client to evict first for a new one: one that has sent nothing complete or was rejected, else the
    /// one that has been idle for longest.
    pub(super) fn first_to_evict(&self, transport: &Transport, now: Time) -> Option<ConnectionId> {
        match self.unwanted.first() {
            Some((since, id)) if now - since >= UNWANTED_AFTER => Some(id),
            _ => transport.longest_idle(now, Some(self.owner)),
        }
    }

    /// A client that has been idle for too long, where there are many.
    pub(super) fn idle_too_long(&self, transport: &Transport, now: Time) -> Option<ConnectionId> {
        let (since, id) = transport.first_idle(self.owner)?;
        let is_too_long = self.clients.len() > self.limits.idle && now - since >= CROWDED_IDLE_TIMEOUT;
        is_too_long.then_some(id)
    }

    /// Accepts the next client, and returns whether there was one.
    pub(super) fn accept(&mut self, transport: &mut Transport, listener: &mut Listener, now: Time) -> bool {
        let Some(connection) = listener.accept(transport, self.owner) else { return false };
        let id = connection.id();
        self.clients.insert(id, Client::new(connection));
        self.unwanted.set(id, now);
        transport.mark_idle(id, now);
        transport.timers.set(id, now + MESSAGE_TIMEOUT);
        true
    }

    /// Handles an event of a connection.
    pub(super) fn on_event(&mut self, cx: &mut TurnContext<'_>, event: ReadinessEvent) {
        let Some(client) = self.clients.get_mut(&event.id) else { return };
        client.receive(cx.now, |connection| connection.on_event(&event));
        self.advance(cx, event.id);
        // A request and its client's end may arrive at once, also after the event was reported. The end
        // follows the request: it is looked for before the request is reported, which would else be forwarded
        // for a client that has disconnected.
        let is_awaiting = self.clients.get(&event.id).is_some_and(Client::is_awaiting_response);
        if event.read_closed || event.closed || is_awaiting {
            self.receive_all(cx, event.id);
        }
    }

    /// Receives all that the system holds for a connection, an end too, and returns whether that was all.
    fn receive_all(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) -> bool {
        for _ in 0..MAX_FINAL_READS {
            let Some(client) = self.clients.get_mut(&id) else { return true };
            let has_received = client.receive(cx.now, Connection::receive);
            self.advance(cx, id);
            if !has_received {
                return true;
            }
        }
        false
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
        // What the system has buffered arrived in time: of a long message only a part is read in one turn.
        self.receive_all(cx, id);
        let Some(client) = self.clients.get(&id) else { return };
        if client.is_idle() {
            self.close(cx, id, CloseReason::NoLongerNeeded);
        } else if matches!(client.state, ClientState::Reading) {
            // The sender of an incomplete message is told before the connection ends.
            self.reject(cx, id, 408);
            self.advance(cx, id);
        }
    }

    /// Closes a connection that is idle, has brought nothing complete, or lingers, unless a last read finds a
    /// request on it: one that has arrived must not be lost.
    pub(super) fn evict(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let has_read_all = self.receive_all(cx, id);
        let Some(client) = self.clients.get(&id) else { return };
        let is_unused = has_read_all && (client.is_idle() || client.is_new);
        if is_unused || client.is_lingering() {
            self.close(cx, id, CloseReason::NoLongerNeeded);
        }
    }

    /// Has connections end with the response that is due on them, from now on; requests that are accepted
    /// have theirs by `deadline`.
    pub(super) fn begin_shutdown(&mut self, deadline: Time) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Closes every connection that is between two requests, now or later.
    pub(super) fn close_idle(&mut self, cx: &mut TurnContext<'_>) {
        self.closes_idle = true;
        let idle = self.clients.iter().filter(|(_, client)| client.is_idle());
        let idle: Vec<_> = idle.map(|(id, _)| *id).collect();
        for id in idle {
            self.evict(cx, id);
        }
    }

    /// Whether no client is owed anything.
    ///
    /// Lingering clients count as well: they were sent their response and may not have it yet. If the process
    /// ended while bytes of theirs are unread, their connections would be reset and the rest of the response
    /// be lost.
    pub(super) fn is_drained(&self) -> bool {
        self.clients.is_empty()
    }

    /// Delivers a final response.
    pub(super) fn deliver(&mut self, cx: &mut TurnContext<'_>, undelivered: &UndeliveredResponse) {
        let id = undelivered.client;
        let Some(client) = self.clients.get_mut(&id) else { return };
        match client.state {
            ClientState::AwaitingResponse(request) if request == undelivered.request => {}
            _ => return,
        }
        let keep_alive = client.keep_alive && self.shutdown_deadline.is_none();
        let output = &mut client.connection.output;
        match &undelivered.response {
            FinalResponse::Upstream(message) => write_response(output, message, keep_alive),
            FinalResponse::Local(LocalReply::RateLimited { retry_after }) => {
                write_with_retry_after(output, 429, *retry_after, keep_alive);
            }
            FinalResponse::Local(LocalReply::Errored) => write_local_reply(output, 502, &[], keep_alive),
            FinalResponse::ClientDisconnected => return,
        }
        self.begin_writing(cx, id, keep_alive);
        self.advance(cx, id);
    }

    fn begin_writing(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, keep_alive: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.state = ClientState::WritingResponse { keep_alive };
        cx.transport.timers.set(id, cx.now + WRITE_TIMEOUT);
    }

    /// Goes as far with a connection as what has arrived and what can be written allow.
    fn advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if let Err(reason) = client.connection.flush() {
                return self.close(cx, id, reason);
            }
            match client.state {
                ClientState::WritingResponse { .. } if !client.connection.output.is_empty() => break,
                ClientState::WritingResponse { keep_alive: false } => self.linger(cx, id),
                ClientState::WritingResponse { keep_alive: true } => {
                    // What else has arrived is read in the next turn: nobody who sends without end holds up
                    // this one.
                    client.state = ClientState::Reading;
                }
                ClientState::Lingering => {
                    client.connection.input.clear();
                    break;
                }
                ClientState::AwaitingResponse(_) => break,
                ClientState::Reading => match client.decoder.next(&mut client.connection.input) {
                    Ok(Some(message)) => self.on_message(cx, id, message),
                    Ok(None) => {
                        if !client.send_continue_if_expected() {
                            break;
                        }
                    }
                    Err(error) => self.reject(cx, id, error.status()),
                },
            }
        }
        self.finish_advance(cx, id);
    }

    /// Handles the end of a connection, sets the timers of one that is read from, and has epoll report what
    /// comes next.
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
            // The first byte sets it: more that trickle in do not postpone it.
            cx.transport.timers.set_earlier(id, cx.now + MESSAGE_TIMEOUT);
        } else if self.closes_idle {
            // Its last response was begun before the shutdown, and did not announce the close.
            self.linger(cx, id);
        } else {
            cx.transport.mark_idle(id, cx.now);
            if !client.is_new {
                cx.transport.timers.set(id, cx.now + IDLE_TIMEOUT);
            }
        }
    }

    /// Tells a client that nothing more will be sent, and lets it finish: what it still sends is read and
    /// ignored, since closing the connection with unread data would reset it.
    fn linger(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.shutdown_write();
        client.state = ClientState::Lingering;
        self.unwanted.set(id, cx.now);
        cx.transport.mark_busy(id);
        cx.transport.timers.set(id, cx.now + LINGER_TIME);
    }

    fn close(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.unwanted.remove(id);
        if let ClientState::AwaitingResponse(request) = client.state {
            cx.requests.on_client_disconnect(request);
        }
        log::debug!("a client's connection closed: {reason:?}");
        client.connection.close(cx.transport);
    }
}
