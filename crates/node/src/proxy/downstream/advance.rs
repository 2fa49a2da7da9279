//! Reads from clients' connections and writes to them, and gives each request its turn.

use granitelb_balancer::time::{Span, Time};

use super::client::ClientState;
use super::memory_budget::ClientMemory;
use super::pipeline::PipelineEntry;
use super::rejection::Rejection;
use super::request_log::RequestLabel;
use super::{Downstream, MESSAGE_TIMEOUT, WRITE_TIMEOUT};
use crate::proxy::turn_context::TurnContext;
use crate::transport::{CloseReason, ConnectionId};

/// An idle client is closed after this time: a client whose machine has vanished never closes its connection.
const IDLE_TIMEOUT: Span = Span::from_millis(120_000);
/// How long a rejected client may go on sending before its connection is closed. If the connection were
/// closed at once, the response could be lost in transit.
const LINGER_TIME: Span = Span::from_millis(1000);
/// The most reads that discard the input of a client which has disconnected: together they take more than the
/// system buffers for a connection. A close with unread input would reset the connection.
const MAX_DISCARDING_READS: usize = 512;
/// The most rejections of requests in excess that are written at once.
const MAX_EXCESS_REPLIES: u64 = 64;
/// The most messages of one client that are taken in a turn, where rejections that are written at once count as
/// one. The other clients have their turns in between.
const MAX_MESSAGES_PER_TURN: usize = 16;
/// After this time a client whose messages were not all answered has its next turn.
const NEXT_TURN_DELAY: Span = Span(1);

impl Downstream {
    /// Receives what the operating system has buffered for a connection, including its end, and handles it.
    /// Returns whether everything was received within the reads of a turn.
    ///
    /// A request and the end of its connection may arrive together. The end follows the request, so the rest
    /// of the input is read before the request has its turn: otherwise the request would be forwarded for a
    /// client that has disconnected.
    pub(super) fn receive_and_advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) -> bool {
        let Some(has_received_all) = self.receive(cx.now, id) else { return true };
        let Some(client) = self.clients.get_mut(&id) else { return true };
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

    /// Receives and decodes what the operating system has buffered for a client, within the memory that is left.
    /// Returns whether everything was received; `None` if there is no such client.
    pub(super) fn receive(&mut self, now: Time, id: ConnectionId) -> Option<bool> {
        let client = self.clients.get_mut(&id)?;
        let limits = self.memory.read_ahead_limits(client.counted);
        let has_received_all = client.receive(now, &mut self.turn_budget, limits);
        self.count_memory(id);
        Some(has_received_all)
    }

    /// Counts the memory that a client takes now in the budget of all clients.
    pub(super) fn count_memory(&mut self, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let memory = client.memory();
        let before = std::mem::replace(&mut client.counted, memory);
        self.memory.update(before, memory);
    }

    pub(super) fn begin_writing(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, keep_alive: bool) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.state = ClientState::WritingResponse { keep_alive };
        cx.transport.timers.set(id, cx.now + WRITE_TIMEOUT);
    }

    /// Writes pending output and handles received data, as far as the connection allows now.
    pub(super) fn advance(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let mut taken = 0;
        loop {
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
                ClientState::Reading if taken == MAX_MESSAGES_PER_TURN => break,
                ClientState::Reading => {
                    // A client that sends little has its turn whatever the others send.
                    let may_take = !client.sends_ahead || self.turn_budget.take_message();
                    if !may_take || !self.take_next(cx, id) {
                        break;
                    }
                    taken += 1;
                }
            }
        }
        self.finish_advance(cx, id);
    }

    /// Handles what has its turn next on a connection, and returns whether there was something.
    fn take_next(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        let entry = client.pipeline.pop(MAX_EXCESS_REPLIES);
        if let Some(PipelineEntry::Request { reserved_id: Some(reserved), .. }) = &entry {
            cx.requests.end_reservation(reserved);
        }
        match entry {
            // The client has sent faster than the node reads for too long.
            Some(PipelineEntry::Request { .. }) if !client.connection.is_drained() => {
                self.reject_excess(cx, id, 1);
            }
            Some(PipelineEntry::Request { message, arrived_at, .. }) => {
                self.on_message(cx, id, message, arrived_at);
            }
            Some(PipelineEntry::Excess { count }) => self.reject_excess(cx, id, count),
            Some(PipelineEntry::Defective { defect, keep_alive, request_id }) => {
                self.begin_message(cx, id, keep_alive);
                self.reject_request(
                    cx,
                    id,
                    Rejection::Defective(defect),
                    &RequestLabel::new(request_id, None),
                );
            }
            Some(PipelineEntry::OutOfMemory) => self.reject(cx, id, Rejection::Overloaded),
            Some(PipelineEntry::Invalid(error)) => self.reject(cx, id, Rejection::Unparsable(error)),
            None => return client.send_continue_if_expected(),
        }
        true
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
        client.pipeline.reserve_ids(cx.requests);
        client.connection.update_interest(cx.transport);
        self.count_memory(id);
    }

    fn set_reading_timers(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.is_idle() {
            cx.transport.mark_busy(id);
            // The first byte of a message sets the timer, and later bytes that trickle in do not postpone it.
            let timeout = match client.reads_on_until(cx.now) {
                Some(deadline) => deadline,
                // Not everything that has its turn was handled.
                None if !client.pipeline.is_empty() => cx.now + NEXT_TURN_DELAY,
                None => cx.now + MESSAGE_TIMEOUT,
            };
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
    pub(super) fn linger(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.shutdown_write();
        client.connection.input.clear();
        client.pipeline.clear(cx.requests);
        client.state = ClientState::Lingering;
        self.evict_first.set(id, cx.now);
        cx.transport.mark_busy(id);
        cx.transport.timers.set(id, cx.now + LINGER_TIME);
    }

    pub(super) fn close(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, reason: CloseReason) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        client.pipeline.clear(cx.requests);
        self.evict_first.remove(id);
        self.memory.update(client.counted, ClientMemory::default());
        if let ClientState::AwaitingResponse(request) = client.state {
            cx.requests.on_client_disconnect(request);
        }
        log::debug!("client connection closed: {reason:?}");
        client.connection.close(cx.transport);
    }
}
