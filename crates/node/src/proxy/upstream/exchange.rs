//! Writes requests to connections and reads the responses.

use granitelb_balancer::time::{Span, Time};

use super::connection::UpstreamConnection;
use super::{Upstream, is_current};
use crate::http::{Message, write_request};
use crate::proxy::attempt_end::AttemptEnd;
use crate::proxy::request_table::RequestTable;
use crate::proxy::turn_context::TurnContext;
use crate::transport::{CloseReason, ConnectionId};

const MICROS_PER_MILLI: u64 = 1000;

/// Whether a connection is still open after received data was handled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionStatus {
    Open,
    Closed,
}

impl Upstream {
    /// Writes a connection's pending output and handles its received data.
    pub(super) fn advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(upstream) = self.connections.get(&id) else { return };
        // No response is due on an idle connection. Data that arrives there would be read as the beginning of
        // the response to the next request, whose client would get a response to another request.
        if upstream.attempt.is_none() && !upstream.connection.input.is_empty() {
            return self.close(cx, id, CloseReason::ProtocolError);
        }
        if is_writing_for_finished_request(upstream, cx.requests) {
            return self.close(cx, id, CloseReason::NoLongerNeeded);
        }
        if let Err(reason) = self.start_request(cx.requests, cx.now, id) {
            return self.release(cx, id, reason);
        }
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        upstream.record_early_data();
        let written = upstream.flush();
        if self.read_responses(cx, id, written) == ConnectionStatus::Closed {
            return;
        }
        let Some(upstream) = self.connections.get_mut(&id) else { return };
        upstream.forget_early_interim_response();
        // Data that arrived before the request was written cannot be the response to it.
        let early_data = upstream.has_unwritten_attempt().then_some(CloseReason::ProtocolError);
        let close_reason = upstream.connection.close_reason().or(written.err()).or(early_data);
        match close_reason {
            Some(reason) => self.close(cx, id, reason),
            None => upstream.connection.update_interest(cx.transport),
        }
    }

    /// Writes the request of an attempt. The first byte of every attempt passes this check: it is sent only
    /// while the request is pending, before the start deadline, and to the process that serves the endpoint now. A request
    /// whose client may have disconnected ends here.
    ///
    /// The request states the time that is left now, since connecting may have taken long. Nothing is written
    /// if data or the end of the connection has arrived: that is handled first.
    fn start_request(
        &mut self,
        requests: &mut RequestTable,
        now: Time,
        id: ConnectionId,
    ) -> Result<(), CloseReason> {
        let Some(upstream) = self.connections.get_mut(&id) else { return Ok(()) };
        if !upstream.connection.is_connected() || upstream.has_started() {
            return Ok(());
        }
        let is_clean = upstream.is_clean();
        let is_current = is_current(&self.pools, upstream);
        let Some(attempt) = &mut upstream.attempt else { return Ok(()) };
        requests.finish_if_unread(attempt.id.request, now);
        let is_pending = requests.is_pending(attempt.id.request);
        let request = requests.get(attempt.id.request).filter(|_| is_current && is_pending);
        let request = request.ok_or(CloseReason::NoLongerNeeded)?;
        if attempt.response_deadline <= now {
            return Err(CloseReason::DeadlineExceeded);
        }
        // A repeat that is sent after the start deadline is no longer recognized as a repeat.
        if attempt.start_deadline <= now {
            return Err(CloseReason::NoLongerNeeded);
        }
        if attempt.request_bytes.is_none() && is_clean {
            let output = &mut upstream.connection.output;
            let time_left_ms = (attempt.response_deadline - now).0 / MICROS_PER_MILLI;
            write_request(output, request.message(), &upstream.incarnation.address.to_string(), time_left_ms);
            attempt.request_bytes = Some(output.len());
            requests.on_attempt_written(attempt.id.request, attempt.id.number);
        }
        Ok(())
    }

    fn read_responses(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        written: Result<(), CloseReason>,
    ) -> ConnectionStatus {
        loop {
            let Some(upstream) = self.connections.get_mut(&id) else { return ConnectionStatus::Closed };
            let response = match upstream.next_response() {
                Ok(Some(response)) => response,
                Ok(None) => return ConnectionStatus::Open,
                Err(_) => {
                    self.close(cx, id, CloseReason::ProtocolError);
                    return ConnectionStatus::Closed;
                }
            };
            if upstream.attempt.is_none() {
                return ConnectionStatus::Open;
            }
            if self.on_response(cx, id, response, written) == ConnectionStatus::Closed {
                return ConnectionStatus::Closed;
            }
        }
    }

    fn on_response(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        response: Message,
        written: Result<(), CloseReason>,
    ) -> ConnectionStatus {
        let Some(upstream) = self.connections.get(&id) else { return ConnectionStatus::Closed };
        let Some(attempt) = &upstream.attempt else { return ConnectionStatus::Open };
        // An endpoint begins to execute a request once it has received all of it: a response that began to
        // arrive earlier answers no pending request.
        if response.head.status == 200 && attempt.has_early_data {
            self.close(cx, id, CloseReason::ProtocolError);
            return ConnectionStatus::Closed;
        }
        self.finish_attempt(cx, id, response, written)
    }

    /// Ends an attempt with its response. The connection becomes idle if it can be reused, else it is closed.
    fn finish_attempt(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        response: Message,
        written: Result<(), CloseReason>,
    ) -> ConnectionStatus {
        let Some(upstream) = self.connections.get_mut(&id) else { return ConnectionStatus::Closed };
        let Some(attempt) = upstream.attempt.take() else { return ConnectionStatus::Open };
        let endpoint = upstream.endpoint;
        self.connections_by_attempt.remove(&attempt.id);
        let is_reusable =
            response.head.keep_alive && !attempt.has_early_data && upstream.is_clean() && written.is_ok();
        upstream.last_response_at = Some(cx.now);
        self.answered.push(id);
        let is_current = is_current(&self.pools, upstream);
        let latency: Span = cx.now - attempt.started_at;
        let end = AttemptEnd::Response(response);
        cx.requests.on_attempt_end(attempt.id.request, attempt.id.number, endpoint, end, latency);
        if !is_reusable || !is_current {
            self.remove(cx.transport, id, CloseReason::NoLongerNeeded);
            return ConnectionStatus::Closed;
        }
        self.add_idle(cx, endpoint, id);
        ConnectionStatus::Open
    }
}

/// Whether bytes of a started request are still to be written although the request has its final response.
fn is_writing_for_finished_request(upstream: &UpstreamConnection, requests: &RequestTable) -> bool {
    let Some(attempt) = &upstream.attempt else { return false };
    let is_writing = upstream.has_started() && !upstream.connection.output.is_empty();
    is_writing && !requests.is_pending(attempt.id.request)
}
