//! Handles complete messages: passes requests to the balancer, and answers all others itself.

use granitelb_balancer::time::{Span, Time};

use super::Downstream;
use super::WRITE_TIMEOUT;
use super::client::ClientState;
use super::memory_budget::MemoryBudget;
use super::rejection::Rejection;
use super::request_decoder::{DecodedRequest, RequestError};
use super::request_log::{self, ClientLabel, RequestLabel};
use super::unusual_form::UnusualForm;
use crate::http::{Message, MessageHead, write_local_reply};
use crate::proxy::request_table::RefusedRequest;
use crate::proxy::turn_context::TurnContext;
use crate::transport::{ConnectionId, RingBuffer};

impl Downstream {
    /// Handles a complete message from a client.
    pub(super) fn on_message(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        message: Message,
        arrived_at: Time,
    ) {
        self.begin_message(cx, id, message.head.keep_alive);
        if message.head.target.path_segments().next() == Some("health") {
            return self.answer_health_check(cx, id, &message.head);
        }
        // Only clients with a request in progress count here. The others delay no request, and are evicted
        // first when there are too many clients.
        let has_memory = self.memory.can_reserve(MemoryBudget::reservation_for(&message));
        let is_overloaded = cx.requests.pending_count() >= self.limits.served || !has_memory;
        match self.decoder.decode(&message.head) {
            Ok(decoded) if is_overloaded => {
                self.refuse(cx, id, decoded, Rejection::Overloaded);
            }
            Ok(decoded) => {
                self.log_unusual_forms(cx, id, &message.head, &decoded);
                self.admit(cx, id, arrived_at, decoded, message);
            }
            Err(error) => {
                let label = RequestLabel::of(&message.head);
                self.reject_request(cx, id, Rejection::NotServed(error), &label);
            }
        }
    }

    fn log_unusual_forms(
        &self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        head: &MessageHead,
        decoded: &DecodedRequest,
    ) {
        let Some(client) = self.clients.get(&id) else { return };
        for form in UnusualForm::of(head, decoded) {
            let count = cx.requests.count_unusual_form(form.name());
            if request_log::is_logged(count) {
                let client = ClientLabel::of(&client.connection);
                request_log::log_unusual_form(client, &RequestLabel::of(head), form, count);
            }
        }
    }

    pub(super) fn begin_message(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, keep_alive: bool) {
        cx.transport.mark_busy(id);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.sent_continue = false;
        client.is_new = false;
        client.keep_alive = keep_alive;
        self.evict_first.remove(id);
    }

    fn answer_health_check(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, head: &MessageHead) {
        let status = match head.target.path_segments().nth(1) {
            Some("ready" | "live") if head.method != "GET" => {
                return self.reply_locally(cx, id, 405, &[("Allow", b"GET")]);
            }
            Some("ready") if self.shutdown_deadline.is_some() => 503,
            Some("ready" | "live") => 200,
            _ => 404,
        };
        self.reply_locally(cx, id, status, &[]);
    }

    fn reply_locally(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        status: u16,
        headers: &[(&str, &[u8])],
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let keep_alive = client.keeps_alive(self.shutdown_deadline.is_some());
        write_local_reply(&mut client.connection.output, status, headers, keep_alive);
        self.begin_writing(cx, id, keep_alive);
    }

    /// Passes a request to the balancer. The request's budget counts from the arrival of its last byte, since
    /// the request may have waited long behind another one on its connection.
    fn admit(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        arrived_at: Time,
        decoded: DecodedRequest,
        message: Message,
    ) {
        let shutdown_deadline = self.shutdown_deadline.unwrap_or(Time(u64::MAX));
        let budget = (arrived_at + decoded.request.client_timeout).min(shutdown_deadline) - cx.now;
        if budget == Span::ZERO {
            return self.refuse(cx, id, decoded, Rejection::Expired);
        }
        let DecodedRequest { mut request, client_request_id } = decoded;
        request.client_timeout = budget;
        let reserved_bytes = MemoryBudget::reservation_for(&message);
        let request_id = match cx.requests.insert(cx.now, id, request, client_request_id, message) {
            Ok(request_id) => request_id,
            Err(RefusedRequest { error, client_request_id }) => {
                let class = self.decoder.class_name(request.request_class);
                let label = RequestLabel::new(Some(client_request_id), class);
                return self.reject_request(cx, id, Rejection::RequestId(error), &label);
            }
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.state = ClientState::AwaitingResponse(request_id);
        client.reserved_bytes = reserved_bytes;
        // The balancer answers within the budget. This timer closes the connection if no response ever comes.
        cx.transport.timers.set(id, cx.now + budget + WRITE_TIMEOUT);
        self.count_memory(id);
    }

    /// Rejects a valid request that is not accepted, or as a copy if its identifier was used before.
    fn refuse(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        decoded: DecodedRequest,
        rejection: Rejection,
    ) {
        let rejection = match cx.requests.use_up_id(&decoded.client_request_id) {
            Ok(()) => rejection,
            Err(error) => Rejection::RequestId(error),
        };
        let class = self.decoder.class_name(decoded.request.request_class);
        let label = RequestLabel::new(Some(decoded.client_request_id), class);
        self.reject_request(cx, id, rejection, &label);
    }

    /// Rejects requests that exceeded the memory for requests sent ahead. Nothing was forwarded for them.
    pub(super) fn reject_excess(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, count: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.is_new = false;
        client.keep_alive = !client.pipeline.is_finished();
        let keep_alive = client.keeps_alive(self.shutdown_deadline.is_some());
        for left in (0..count).rev() {
            let keep_alive = keep_alive || left > 0;
            write_with_retry_after(&mut client.connection.output, 429, self.retry_after, keep_alive);
        }
        log::debug!("rejected {count} requests that a client had sent ahead in excess of the limit");
        cx.requests.count_excess_requests(count);
        cx.transport.mark_busy(id);
        self.evict_first.remove(id);
        self.begin_writing(cx, id, keep_alive);
    }

    /// Answers input with an error that is no complete message.
    pub(super) fn reject(&mut self, cx: &mut TurnContext<'_>, id: ConnectionId, rejection: Rejection) {
        self.reject_request(cx, id, rejection, &RequestLabel::default());
    }

    /// Answers a message with an error, for which nothing was forwarded. Complete requests behind it are
    /// answered in any case; further ones can follow unless the rejection ends the connection.
    pub(super) fn reject_request(
        &mut self,
        cx: &mut TurnContext<'_>,
        id: ConnectionId,
        rejection: Rejection,
        label: &RequestLabel,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let status = rejection.status();
        let count = cx.requests.count_rejection(rejection.name());
        if request_log::is_logged(count) {
            request_log::log_rejection(ClientLabel::of(&client.connection), label, rejection, count);
        }
        let is_shutting_down = self.shutdown_deadline.is_some();
        let keep_alive = match rejection.keeps_connection() {
            true => client.keeps_alive(is_shutting_down),
            false => client.pipeline.has_request(),
        };
        let retry_after = if rejection.is_temporary() { self.retry_after } else { Span::ZERO };
        let output = &mut client.connection.output;
        match rejection {
            Rejection::NotServed(RequestError::MethodNotAllowed) => {
                write_local_reply(output, status, &[("Allow", b"GET, PUT")], keep_alive);
            }
            _ => write_with_retry_after(output, status, retry_after, keep_alive),
        }
        client.is_new = false;
        self.evict_first.remove(id);
        cx.transport.mark_busy(id);
        self.begin_writing(cx, id, keep_alive);
    }
}

/// Writes a response of the node itself, with a `Retry-After` header unless `retry_after` is zero.
pub(super) fn write_with_retry_after(
    output: &mut RingBuffer,
    status: u16,
    retry_after: Span,
    keep_alive: bool,
) {
    if retry_after == Span::ZERO {
        return write_local_reply(output, status, &[], keep_alive);
    }
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    let headers = [("Retry-After", seconds.as_bytes())];
    write_local_reply(output, status, &headers, keep_alive);
}
