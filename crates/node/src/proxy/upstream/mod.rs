//! The upstream side: connections to cache servers and the origin, and the attempts on them.
//!
//! Invariants:
//! - [`Upstream::start_request`] writes the request of every attempt, whichever connection the attempt waited
//!   for. The request states the time that is left at that moment.
//! - An attempt is assigned to one connection at a time.
//! - A successful response is accepted only after the last byte of the attempt's request was written. Each
//!   attempt gets at most one response.

mod connecting;
mod connection;
mod exchange;
mod pool;

use std::collections::BTreeMap;

use granitelb_balancer::Attempt;
use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};

use self::connecting::{MAX_SURPLUS_CONNECTIONS, SURPLUS_CONNECT_TIMEOUT};
use self::connection::{AssignedAttempt, AttemptId, UpstreamConnection};
use self::pool::EndpointPool;
use super::attempt_end::{AttemptEnd, RequestProgress};
use super::endpoint_directory::KnownEndpoint;
use super::turn_context::TurnContext;
use crate::transport::{CloseReason, ConnectionId, Owner, ReadinessEvent, Transport};

/// An idle connection is closed after this share of the time after which the endpoint may close it: a request
/// that is written while the endpoint closes the connection is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;

/// The upstream side: the connections to all endpoints.
pub struct Upstream {
    owner: Owner,
    pools: BTreeMap<EndpointId, EndpointPool>,
    connections: BTreeMap<ConnectionId, UpstreamConnection>,
    connections_by_attempt: BTreeMap<AttemptId, ConnectionId>,
    /// The connections that have delivered a response in this turn.
    answered: Vec<ConnectionId>,
    connect_timeout: Span,
    idle_timeout: Span,
}

impl Upstream {
    /// Creates an upstream side without endpoints. Endpoints may close connections after `keep_alive` without
    /// a request.
    pub fn new(owner: Owner, connect_timeout: Span, keep_alive: Span) -> Upstream {
        Upstream {
            owner,
            pools: BTreeMap::new(),
            connections: BTreeMap::new(),
            connections_by_attempt: BTreeMap::new(),
            answered: Vec::new(),
            connect_timeout,
            idle_timeout: keep_alive.scaled(IDLE_TIMEOUT_SHARE),
        }
    }

    /// Sets the timeouts that apply from now on.
    pub fn set_timeouts(&mut self, connect_timeout: Span, keep_alive: Span) {
        self.connect_timeout = connect_timeout;
        self.idle_timeout = keep_alive.scaled(IDLE_TIMEOUT_SHARE);
    }

    /// Sets the endpoints that may get attempts; all others are removed. An endpoint whose process was replaced
    /// is removed and added: a connection to the former process may stay open and silent.
    pub fn set_endpoints(
        &mut self,
        cx: &mut TurnContext<'_>,
        endpoints: &BTreeMap<EndpointId, KnownEndpoint>,
    ) {
        let is_removed = |endpoint: &EndpointId, pool: &EndpointPool| {
            endpoints.get(endpoint).is_none_or(|known| known.incarnation() != pool.incarnation)
        };
        let removed = self.pools.iter().filter(|(endpoint, pool)| is_removed(endpoint, pool));
        let removed: Vec<_> = removed.map(|(endpoint, _)| *endpoint).collect();
        for endpoint in removed {
            self.remove_endpoint(cx, endpoint);
        }
        for (endpoint, known) in endpoints {
            self.pools.entry(*endpoint).or_insert_with(|| EndpointPool::new(known.incarnation()));
        }
    }

    /// Removes an endpoint. Attempts that have not started are not sent, idle and connecting connections are
    /// closed, and a connection that carries a started attempt is closed after its response.
    fn remove_endpoint(&mut self, cx: &mut TurnContext<'_>, endpoint: EndpointId) {
        let Some(pool) = self.pools.remove(&endpoint) else { return };
        for id in pool.connecting.into_iter().chain(pool.idle) {
            self.close(cx, id, CloseReason::NoLongerNeeded);
        }
    }

    /// Sends an attempt on an idle connection, or on a new one.
    pub fn send(&mut self, cx: &mut TurnContext<'_>, attempt: &Attempt, number: AttemptNumber) {
        let idle = self.take_idle(cx, attempt.endpoint, attempt.is_idempotent);
        let opened = match idle {
            Some(id) => Ok(id),
            None => self.open(cx, attempt.endpoint),
        };
        let id = match opened {
            Ok(id) => id,
            Err(reason) => {
                let end = AttemptEnd::NoResponse { reason, progress: RequestProgress::PartlyWritten };
                cx.requests.on_attempt_end(attempt.request, number, attempt.endpoint, end, Span::ZERO);
                return;
            }
        };
        let assigned = AssignedAttempt {
            id: AttemptId { request: attempt.request, number },
            started_at: cx.now,
            connect_deadline: cx.now + self.connect_timeout,
            start_deadline: cx.now + attempt.begin_within,
            response_deadline: cx.now + attempt.timeout,
            is_idempotent: attempt.is_idempotent,
            request_bytes: None,
            has_early_data: false,
        };
        self.assign(cx, id, assigned);
    }

    /// Assigns an attempt to a connection. The request is written once the connection is established.
    fn assign(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, attempt: AssignedAttempt) {
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        cx.transport.mark_busy(id);
        self.connections_by_attempt.insert(attempt.id, id);
        cx.transport.timers.set(id, attempt.response_deadline);
        if !upstream.connection.is_connected() {
            let pool = self.pools.get(&upstream.endpoint);
            let delay = pool.map_or(Span::ZERO, |pool| pool.connect_delay(self.connect_timeout));
            cx.transport.timers.set(id, (cx.now + delay).min(attempt.connection_wait_deadline()));
        }
        upstream.attempt = Some(attempt);
        self.advance(cx, id);
    }

    /// Takes the connection that has been idle for longest, if it may carry the request and the endpoint has
    /// not ended it: a request that is written to an ended connection is lost. The longer a connection has been
    /// idle, the less likely is a duplicate, and connections that take turns are not closed for being idle.
    /// Every attempt that gets no new connection gets it here.
    fn take_idle(
        &mut self,
        cx: &mut TurnContext<'_>,
        endpoint: EndpointId,
        is_idempotent: bool,
    ) -> Option<ConnectionId> {
        loop {
            let id = self.remove_usable_idle(cx.now, endpoint, is_idempotent)?;
            let upstream = self.connections.get_mut(&id)?;
            upstream.connection.receive();
            if upstream.is_clean() {
                return Some(id);
            }
            self.remove(cx.transport, id, CloseReason::ClosedByPeer);
        }
    }

    fn remove_usable_idle(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        is_idempotent: bool,
    ) -> Option<ConnectionId> {
        let pool = self.pools.get_mut(&endpoint)?;
        let connections = &self.connections;
        let can_carry = |id: &ConnectionId| {
            connections.get(id).is_none_or(|upstream| upstream.can_carry(now, is_idempotent))
        };
        // The pool's idle connections are in the order in which they became idle.
        let index = pool.idle.iter().position(can_carry)?;
        Some(pool.idle.remove(index))
    }

    /// Adds a connection to the idle connections of its endpoint, if the endpoint is known.
    fn add_idle(&mut self, cx: &mut TurnContext<'_>, endpoint: EndpointId, id: ConnectionId) {
        let Some(pool) = self.pools.get_mut(&endpoint) else { return };
        pool.idle.push(id);
        cx.transport.mark_idle(id, cx.now);
        cx.transport.timers.set(id, cx.now + self.idle_timeout);
    }

    /// Cancels an attempt. Its connection is kept if no byte of the request was sent, and closed otherwise.
    pub fn cancel(&mut self, cx: &mut TurnContext<'_>, request: RequestId, number: AttemptNumber) {
        let Some(id) = self.connections_by_attempt.get(&AttemptId { request, number }).copied() else {
            return;
        };
        if self.connections.get(&id).is_some_and(UpstreamConnection::has_started) {
            self.close(cx, id, CloseReason::Cancelled);
        } else {
            self.release(cx, id, CloseReason::Cancelled);
        }
    }

    /// Ends a turn. `now` is read here: the node may have been held up since the turn began, and a response of
    /// this turn may have arrived as late as now. The time in which its duplicate may arrive counts from here.
    pub fn end_turn(&mut self, now: Time) {
        for id in self.answered.drain(..) {
            if let Some(upstream) = self.connections.get_mut(&id) {
                upstream.last_response_at = Some(now);
            }
        }
    }

    /// Handles an event of a connection.
    pub fn on_event(&mut self, cx: &mut TurnContext<'_>, event: ReadinessEvent) {
        let Some(upstream) = self.connections.get(&event.id) else { return };
        if !upstream.connection.is_connected()
            && let Err(reason) = self.on_connecting_event(cx, event.id)
        {
            return self.close(cx, event.id, reason);
        }
        let Some(upstream) = self.connections.get_mut(&event.id) else { return };
        upstream.connection.on_event(&event);
        self.advance(cx, event.id);
    }

    /// Handles the timer of a connection.
    pub fn on_timer(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        let Some(attempt) = &upstream.attempt else {
            return self.close(cx, id, CloseReason::NoLongerNeeded);
        };
        if attempt.response_deadline <= cx.now {
            return self.close(cx, id, CloseReason::DeadlineExceeded);
        }
        if upstream.connection.is_connected() {
            return cx.transport.timers.set(id, attempt.response_deadline);
        }
        if attempt.start_deadline <= cx.now {
            return self.release(cx, id, CloseReason::NoLongerNeeded);
        }
        if attempt.connect_deadline > cx.now {
            return self.on_connect_delayed(cx, id);
        }
        self.close(cx, id, CloseReason::ConnectTimeout);
    }

    /// Closes an idle connection to free its descriptor.
    pub fn evict(&mut self, transport: &mut Transport, id: ConnectionId) {
        self.remove_from_idle(id);
        self.remove(transport, id, CloseReason::NoLongerNeeded);
    }

    fn remove_from_idle(&mut self, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        if let Some(pool) = self.pools.get_mut(&upstream.endpoint) {
            pool.idle.retain(|idle| *idle != id);
        }
    }

    /// Ends an attempt of which nothing was sent. Its connection, which is not the cause, is kept for the
    /// next attempt.
    fn release(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        let Some(attempt) = upstream.attempt.take() else { return };
        let endpoint = upstream.endpoint;
        upstream.connection.output.clear();
        self.connections_by_attempt.remove(&attempt.id);
        let end = AttemptEnd::NoResponse { reason, progress: RequestProgress::PartlyWritten };
        let latency = cx.now - attempt.started_at;
        cx.requests.on_attempt_end(attempt.id.request, attempt.id.number, endpoint, end, latency);
        if upstream.connection.is_connected() {
            self.keep_released(cx, id, reason);
        } else {
            cx.transport.timers.set(id, cx.now + SURPLUS_CONNECT_TIMEOUT);
            if self.surplus_connections(endpoint) > MAX_SURPLUS_CONNECTIONS {
                self.remove(cx.transport, id, reason);
            }
        }
    }

    /// Makes an established connection idle after its attempt was released, or closes the connection if it
    /// cannot carry another attempt.
    fn keep_released(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        let endpoint = upstream.endpoint;
        if !upstream.is_clean() || !is_current(&self.pools, upstream) {
            return self.remove(cx.transport, id, reason);
        }
        self.add_idle(cx, endpoint, id);
        if let Some(upstream) = self.connections.get_mut(&id) {
            upstream.connection.update_interest(cx.transport);
        }
    }

    /// Closes a connection and ends the attempt on it, if there is one.
    fn close(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        let progress = upstream.request_progress();
        let endpoint = upstream.endpoint;
        if let Some(attempt) = upstream.attempt.take() {
            self.connections_by_attempt.remove(&attempt.id);
            let end = AttemptEnd::NoResponse { reason, progress };
            let latency = cx.now - attempt.started_at;
            cx.requests.on_attempt_end(attempt.id.request, attempt.id.number, endpoint, end, latency);
        } else {
            self.remove_from_idle(id);
        }
        self.remove(cx.transport, id, reason);
    }

    /// Closes a connection that carries no attempt and is not idle.
    fn remove(&mut self, transport: &mut Transport, id: ConnectionId, reason: CloseReason) {
        let Some(upstream) = self.connections.remove(&id) else { return };
        if let Some(pool) = self.pools.get_mut(&upstream.endpoint) {
            pool.connecting.retain(|connecting| *connecting != id);
        }
        log::debug!("connection to endpoint {} closed: {reason:?}", upstream.incarnation.address);
        upstream.connection.close(transport);
    }
}

/// Whether a connection leads to the process that serves its endpoint now.
fn is_current(pools: &BTreeMap<EndpointId, EndpointPool>, upstream: &UpstreamConnection) -> bool {
    pools.get(&upstream.endpoint).is_some_and(|pool| pool.incarnation == upstream.incarnation)
}
