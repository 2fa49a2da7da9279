//! The downstream side: receives requests on clients' connections and delivers the responses.
//!
//! Invariants: a client has at most one request in progress, and no further request has its turn until that
//! one is answered; everything that clients send is read as it arrives, also while a request is in progress,
//! and no request has its turn before all that had arrived by then was read, so that the end of a connection
//! is noticed first; each connection has a timer, so that no connection outlives a vanished peer.

mod advance;
mod client;
mod client_limits;
mod memory_budget;
mod pipeline;
mod rejection;
mod request_attributes;
mod request_decoder;
mod request_log;
mod requests;
mod turn_budget;
mod unusual_form;

use std::collections::BTreeMap;

use granitelb_balancer::LocalReply;
use granitelb_balancer::time::{Span, Time};

use self::client::{Client, ClientState};
use self::client_limits::ClientLimits;
pub(super) use self::client_limits::ResourceLimits;
use self::memory_budget::MemoryBudget;
pub use self::pipeline::{Pipeline, PipelineEntry, READ_AHEAD_BYTES, ReadAheadLimits};
use self::rejection::Rejection;
pub(super) use self::request_decoder::RequestClassTerms;
use self::request_decoder::RequestDecoder;
use self::requests::write_with_retry_after;
use self::turn_budget::TurnBudget;
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
/// While there are many clients, a client is closed after being idle for this time. Otherwise clients that
/// stay connected after one request would take the connections of clients with requests.
const SHORT_IDLE_TIMEOUT: Span = Span::from_millis(2000);
/// While there are many clients, a client that has sent no complete message may be evicted this long after it
/// connected, and a lingering client this long after its last response. Both are evicted before clients that
/// may send another request: a client with a request sends it as soon as it has connected.
const EVICT_FIRST_AFTER: Span = Span::from_millis(250);
/// The downstream side: the connections of all clients.
pub(super) struct Downstream {
    owner: Owner,
    clients: BTreeMap<ConnectionId, Client>,
    /// The clients that are evicted first: those without a complete message, by the time when they connected,
    /// and lingering ones, by the time of their last response.
    evict_first: TimeQueue,
    limits: ClientLimits,
    /// The memory that all clients together take, and may take.
    memory: MemoryBudget,
    /// What is left of the work of this turn.
    turn_budget: TurnBudget,
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
        classes: Vec<RequestClassTerms>,
        retry_after: Span,
    ) -> Downstream {
        let memory = MemoryBudget::within(limits.memory);
        Downstream {
            owner,
            clients: BTreeMap::new(),
            evict_first: TimeQueue::default(),
            limits: ClientLimits::within(limits.connections, memory.max_clients()),
            memory,
            turn_budget: TurnBudget::default(),
            decoder: RequestDecoder::new(classes),
            retry_after,
            shutdown_deadline: None,
            closes_idle: false,
        }
    }

    /// Begins a turn of the event loop.
    pub(super) fn begin_turn(&mut self) {
        self.turn_budget = TurnBudget::default();
    }

    /// Replaces the terms of the request classes and the `Retry-After` time.
    pub(super) fn on_settings_update(&mut self, classes: Vec<RequestClassTerms>, retry_after: Span) {
        self.decoder = RequestDecoder::new(classes);
        self.retry_after = retry_after;
    }

    /// Sets the resources from which the limits on clients are derived.
    pub(super) fn set_limits(&mut self, limits: ResourceLimits) {
        self.memory.set_limit(limits.memory);
        self.limits = ClientLimits::within(limits.connections, self.memory.max_clients());
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
        client.connection.record_end(&event);
        self.receive_and_advance(cx, event.id);
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
            self.reject(cx, id, Rejection::Incomplete);
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
        let Some(client) = self.clients.get(&id) else { return };
        match client.state {
            ClientState::AwaitingResponse(request) if request == undelivered.request => {}
            _ => return,
        }
        if self.shutdown_deadline.is_some() {
            // Requests that have arrived by now must not be lost behind a response that ends the connection.
            self.receive(cx.now, id);
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
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
}
