//! Establishing connections to endpoints.
//!
//! An attempt whose connection is delayed moves to one that has become idle; else a surplus connection is
//! opened beside it, and whichever is established first carries the attempt. Its request was written to
//! neither before, so it cannot be executed twice.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::connection::UpstreamConnection;
use super::{AssignedAttempt, Upstream};
use crate::proxy::turn_context::TurnContext;
use crate::transport::{CloseReason, Connection, ConnectionId};

/// Connections to one endpoint that may be connecting beside those that attempts wait for. The limit keeps an
/// endpoint that is cut off from having the node open connections without end.
pub(super) const MAX_SURPLUS_CONNECTIONS: usize = 2;
/// A connecting connection that no attempt waits for any more is given this time to be established for the
/// next one.
pub(super) const SURPLUS_CONNECT_TIMEOUT: Span = Span::from_millis(2000);
/// Descriptors that are reserved for the watch on the endpoint list and for its successor. Attempts of
/// clients that have disconnected go on, and at unresponsive endpoints they would take all descriptors, so
/// that the announcement of a drain is missed.
const RESERVED_FOR_WATCH: usize = 2;

impl Upstream {
    /// Opens a connection to a known endpoint. Until an attempt is assigned to it, it is a surplus
    /// connection.
    pub(super) fn open(
        &mut self,
        cx: &mut TurnContext<'_>,
        endpoint: EndpointId,
    ) -> Result<ConnectionId, CloseReason> {
        let pool = self.pools.get_mut(&endpoint).ok_or(CloseReason::NoLongerNeeded)?;
        if cx.transport.available_connections() <= RESERVED_FOR_WATCH {
            return Err(CloseReason::NoFileDescriptor);
        }
        let connection = Connection::connect(cx.transport, pool.address, self.owner)?;
        let id = connection.id();
        pool.connecting.push(id);
        cx.transport.timers.set(id, cx.now + SURPLUS_CONNECT_TIMEOUT);
        let upstream = UpstreamConnection::new(connection, endpoint, pool.address, cx.now);
        self.connections.insert(id, upstream);
        Ok(id)
    }

    /// Handles the first event of a connecting connection.
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
        let took = upstream.time_since_progress(cx.now);
        upstream.last_progress_at = cx.now;
        // What has arrived before the request is written is no response to it.
        upstream.connection.receive();
        if let Some(pool) = self.pools.get_mut(&upstream.endpoint) {
            pool.connecting.retain(|connecting| *connecting != id);
            pool.record_connect_time(took);
        }
        match &upstream.attempt {
            Some(attempt) => cx.transport.timers.set(id, attempt.response_deadline),
            None => self.use_surplus_connection(cx, id),
        }
        Ok(())
    }

    /// Handles the delay of a connection that an attempt waits for.
    pub(super) fn on_connect_delayed(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        let Some(attempt) = &upstream.attempt else { return };
        let endpoint = upstream.endpoint;
        let is_idempotent = attempt.is_idempotent;
        // No connection is opened or taken for a request that has its response. This one is kept for the next
        // attempt.
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
            // Where none can be opened, the attempt stays where it is.
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

    /// How many connections to an endpoint are connecting that no attempt waits for.
    pub(super) fn surplus_connections(&self, endpoint: EndpointId) -> usize {
        let Some(pool) = self.pools.get(&endpoint) else { return 0 };
        let is_surplus =
            |id: &&ConnectionId| self.connections.get(id).is_some_and(|upstream| upstream.attempt.is_none());
        pool.connecting.iter().filter(is_surplus).count()
    }

    /// Moves the attempt of a connecting connection, to which nothing was written, to an established one. The
    /// first connection goes on as a surplus connection.
    fn reassign(&mut self, cx: &mut TurnContext<'_>, from: ConnectionId, to: ConnectionId) {
        let Some(delayed) = self.connections.get_mut(&from) else { return };
        if delayed.connection.is_connected() {
            return;
        }
        let Some(attempt) = delayed.attempt.take() else { return };
        cx.transport.timers.set(from, cx.now + SURPLUS_CONNECT_TIMEOUT);
        self.assign(cx, to, attempt);
    }

    /// Handles a surplus connection that is established: it carries the attempt that has waited longest for
    /// another connection to the endpoint, else it becomes idle.
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

    /// The connecting connection to an endpoint whose attempt has waited longest for a request without a
    /// response.
    fn longest_waiting(&self, cx: &TurnContext<'_>, endpoint: EndpointId) -> Option<ConnectionId> {
        let pool = self.pools.get(&endpoint)?;
        let carries_pending_request = |id: &&ConnectionId| {
            let attempt = self.connections.get(id).and_then(|upstream| upstream.attempt.as_ref());
            attempt.is_some_and(|attempt| cx.requests.is_pending(attempt.id.request))
        };
        pool.connecting.iter().find(carries_pending_request).copied()
    }
}
