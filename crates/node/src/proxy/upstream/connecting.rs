//! Establishes connections to endpoints, and finds other connections for attempts whose connection is
//! delayed.
//!
//! An attempt whose connection is delayed moves to an idle connection. If there is none, a surplus connection
//! is opened, and the connection that is established first carries the attempt. The request is written to
//! that connection only, so it cannot be executed twice.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::connection::UpstreamConnection;
use super::{AssignedAttempt, Upstream};
use crate::proxy::turn_context::TurnContext;
use crate::transport::{CloseReason, Connection, ConnectionId};

/// The most surplus connections to one endpoint: connections that are connecting without an attempt. Without
/// this limit, the node would open more and more connections to an endpoint that is cut off.
pub(super) const MAX_SURPLUS_CONNECTIONS: usize = 2;
/// A surplus connection has this time to be established for the next attempt, and is closed otherwise.
pub(super) const SURPLUS_CONNECT_TIMEOUT: Span = Span::from_millis(2000);
/// Descriptors that are reserved for the watch on the endpoint list and for the watch that replaces it.
/// Attempts go on after their client has disconnected. At unresponsive endpoints such attempts could take all
/// descriptors, and without a watch the node would miss that an endpoint drains.
const RESERVED_FOR_WATCH: usize = 2;

impl Upstream {
    /// Opens a connection to a known endpoint. It is a surplus connection until an attempt is assigned to it.
    pub(super) fn open(
        &mut self,
        cx: &mut TurnContext<'_>,
        endpoint: EndpointId,
    ) -> Result<ConnectionId, CloseReason> {
        let pool = self.pools.get_mut(&endpoint).ok_or(CloseReason::NoLongerNeeded)?;
        if cx.transport.available_connections() <= RESERVED_FOR_WATCH {
            return Err(CloseReason::NoFileDescriptor);
        }
        let connection = Connection::connect(cx.transport, pool.incarnation.address, self.owner)?;
        let id = connection.id();
        pool.connecting.push(id);
        cx.transport.timers.set(id, cx.now + SURPLUS_CONNECT_TIMEOUT);
        let upstream = UpstreamConnection::new(connection, endpoint, pool.incarnation, cx.now);
        self.connections.insert(id, upstream);
        Ok(id)
    }

    /// Handles an event of a connection that is not established yet.
    pub(super) fn on_connecting_event(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
    ) -> Result<(), CloseReason> {
        let Some(upstream) = self.connections.get_mut(&id) else { return Ok(()) };
        upstream.connection.finish_connect()?;
        if !upstream.connection.is_connected() {
            return Ok(());
        }
        let connect_time = upstream.age(cx.now);
        // Receives data that the endpoint sent before the request is written: it cannot be the response.
        upstream.connection.receive();
        if let Some(pool) = self.pools.get_mut(&upstream.endpoint) {
            pool.connecting.retain(|connecting| *connecting != id);
            pool.record_connect_time(connect_time);
        }
        match &upstream.attempt {
            Some(attempt) => cx.transport.timers.set(id, attempt.response_deadline),
            None => self.use_surplus_connection(cx, id),
        }
        Ok(())
    }

    /// Moves an attempt whose connection is delayed to an idle connection, or opens a surplus connection.
    pub(super) fn on_connect_delayed(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        let Some(attempt) = &upstream.attempt else { return };
        let endpoint = upstream.endpoint;
        let is_idempotent = attempt.is_idempotent;
        // A request that has its final response needs no other connection. The delayed connection is kept for
        // the next attempt.
        if !cx.requests.is_pending(attempt.id.request) {
            return self.release(cx, id, CloseReason::NoLongerNeeded);
        }
        let next_check = self.next_delay_check(cx.now, endpoint, attempt);
        cx.transport.timers.set(id, next_check);
        if let Some(idle) = self.take_idle(cx, endpoint, is_idempotent) {
            return self.reassign(cx, id, idle);
        }
        let may_open = self.surplus_connections(endpoint) < MAX_SURPLUS_CONNECTIONS
            && cx.transport.available_connections() > MAX_SURPLUS_CONNECTIONS;
        if may_open {
            // If no connection can be opened, the attempt goes on waiting for the delayed one.
            let _ = self.open(cx, endpoint);
        }
    }

    fn next_delay_check(&self, now: Time, endpoint: EndpointId, attempt: &AssignedAttempt) -> Time {
        let next_check = match self.pools.get(&endpoint) {
            Some(pool) => now + pool.connect_delay(self.connect_timeout),
            None => attempt.connect_deadline,
        };
        next_check.min(attempt.connection_wait_deadline())
    }

    /// The number of surplus connections to an endpoint.
    pub(super) fn surplus_connections(&self, endpoint: EndpointId) -> usize {
        let Some(pool) = self.pools.get(&endpoint) else { return 0 };
        let is_surplus =
            |id: &&ConnectionId| self.connections.get(id).is_some_and(|upstream| upstream.attempt.is_none());
        pool.connecting.iter().filter(is_surplus).count()
    }

    /// Moves the attempt of the connecting connection `from`, to which nothing was written, to the
    /// established connection `to`. `from` becomes a surplus connection.
    fn reassign(&mut self, cx: &mut TurnContext<'_>, from: ConnectionId, to: ConnectionId) {
        let Some(delayed) = self.connections.get_mut(&from) else { return };
        if delayed.connection.is_connected() {
            return;
        }
        let Some(attempt) = delayed.attempt.take() else { return };
        cx.transport.timers.set(from, cx.now + SURPLUS_CONNECT_TIMEOUT);
        self.assign(cx, to, attempt);
    }

    /// Assigns a surplus connection that is now established to the attempt that has waited longest for a
    /// connection to the endpoint. If no attempt waits, the connection becomes idle.
    fn use_surplus_connection(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        if !upstream.is_clean() {
            return;
        }
        let endpoint = upstream.endpoint;
        if let Some(delayed) = self.longest_waiting(cx, endpoint) {
            return self.reassign(cx, delayed, id);
        }
        self.add_idle(cx, endpoint, id);
    }

    /// The connecting connection to an endpoint whose attempt has waited longest, among the attempts of
    /// requests without a final response.
    fn longest_waiting(&self, cx: &TurnContext<'_>, endpoint: EndpointId) -> Option<ConnectionId> {
        let pool = self.pools.get(&endpoint)?;
        let carries_pending_request = |id: &&ConnectionId| {
            let attempt = self.connections.get(id).and_then(|upstream| upstream.attempt.as_ref());
            attempt.is_some_and(|attempt| cx.requests.is_pending(attempt.id.request))
        };
        pool.connecting.iter().find(carries_pending_request).copied()
    }
}
