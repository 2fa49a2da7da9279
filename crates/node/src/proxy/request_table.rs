//! The requests in progress, shared by the downstream and the upstream side.
//!
//! Invariants: [`RequestTable::start_attempt`] admits every attempt, and only for requests without a final
//! response; [`RequestTable::finish`] accepts only the first final response of a request. A request stays in
//! the table until its response was collected and its last attempt has ended.

use std::collections::{HashMap, VecDeque};

use granitelb_balancer::ids::{AttemptNumber, EndpointId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, LoadReport, LocalReply, Request};

use super::attempt_end::AttemptEnd;
use super::client_request_id::ClientRequestId;
use super::final_response::FinalResponse;
use super::load_report::parse_load_report;
use super::request_ids::{RepeatPolicy, RequestIdError, RequestIds, ReservedId};
use super::request_metrics::RequestMetrics;
use crate::http::Message;
use crate::transport::ConnectionId;

/// A client whose input has not been read whole for this time may have disconnected: the end of its connection
/// may stand behind the rest. An attempt may begin at most this long after its client has disconnected.
const MAX_UNREAD_TIME: Span = Span::from_millis(100);

/// Whether a request has its final response.
enum ResponseState {
    /// The request waits for its final response.
    Pending,
    /// The final response is known and has not been collected.
    Ready(FinalResponse),
    /// The final response was collected.
    Collected,
}

/// A request in progress.
pub struct ActiveRequest {
    /// The client's connection.
    client: ConnectionId,
    /// Since when the client's input has not been read whole; `None` if it has.
    client_unread_since: Option<Time>,
    request: Request,
    /// The message that is forwarded to endpoints.
    message: Message,
    /// The client's identifier for the request.
    client_request_id: ClientRequestId,
    attempts_started: u8,
    attempts_in_flight: usize,
    /// The attempts that were written to a connection and may have executed the request, or may yet.
    effective_attempts: Vec<AttemptNumber>,
    missed_in_cache: bool,
    response: ResponseState,
}

impl ActiveRequest {
    /// The client's request, in the balancer's types.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// The message that is forwarded to endpoints.
    pub fn message(&self) -> &Message {
        &self.message
    }

    /// The client's identifier for the request.
    pub fn client_request_id(&self) -> &str {
        self.client_request_id.as_str()
    }

    /// Whether the request is a read for which a cache server reported a cache miss.
    pub fn is_missed_read(&self) -> bool {
        self.missed_in_cache && !self.request.write
    }

    fn is_pending(&self) -> bool {
        matches!(self.response, ResponseState::Pending)
    }

    /// Whether the request has its final response and no endpoint has executed it, or will.
    fn has_never_run(&self) -> bool {
        !self.is_pending() && self.effective_attempts.is_empty()
    }

    fn may_be_disconnected(&self, now: Time) -> bool {
        self.client_unread_since.is_some_and(|since| now - since >= MAX_UNREAD_TIME)
    }

    fn is_finished(&self) -> bool {
        matches!(self.response, ResponseState::Collected) && self.attempts_in_flight == 0
    }
}

/// An attempt that has ended, as it is reported to the balancer.
pub struct FinishedAttempt {
    /// The request that the attempt was for.
    pub request: RequestId,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The length of the response's body in bytes; 0 without a response.
    pub response_bytes: u32,
    /// The load report in the response, if there was one that could be parsed.
    pub load_report: Option<LoadReport>,
}

/// A request that was not added to the table.
#[derive(Debug)]
pub struct RefusedRequest {
    /// Why its identifier cannot be used.
    pub error: RequestIdError,
    /// The client's identifier for the request.
    pub client_request_id: ClientRequestId,
}

/// A final response that is to be delivered to a client.
pub struct UndeliveredResponse {
    /// The request that the response answers.
    pub request: RequestId,
    /// The connection of the client.
    pub client: ConnectionId,
    /// The final response.
    pub response: FinalResponse,
}

/// All requests in progress, with queues of events for the balancer driver and of final responses for the
/// downstream side.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, ActiveRequest>,
    /// The clients' identifiers that were used.
    ids: RequestIds,
    last_id: u64,
    arrived: VecDeque<RequestId>,
    disconnected: VecDeque<RequestId>,
    finished_attempts: VecDeque<FinishedAttempt>,
    undelivered: VecDeque<RequestId>,
    /// The response header that carries load reports.
    load_report_header: Option<Box<str>>,
    metrics: RequestMetrics,
}

/// For the downstream side.
impl RequestTable {
    /// Adds a request that has arrived at `now`, and returns its identifier.
    ///
    /// # Errors
    ///
    /// Fails if a request of any client with the same `client_request_id` was read before, as far as is remembered:
    /// endpoints could not tell the two requests apart. Fails also if this one must not be repeated and its
    /// identifier cannot be held.
    pub fn insert(
        &mut self,
        now: Time,
        client: ConnectionId,
        request: Request,
        client_request_id: ClientRequestId,
        message: Message,
    ) -> Result<RequestId, RefusedRequest> {
        let id = RequestId(self.last_id + 1);
        if let Err(error) = self.ids.insert(now, &client_request_id, id, request.request_class) {
            return Err(RefusedRequest { error, client_request_id });
        }
        self.last_id = id.0;
        let active = ActiveRequest {
            client,
            client_unread_since: None,
            request,
            message,
            client_request_id,
            attempts_started: 0,
            attempts_in_flight: 0,
            effective_attempts: Vec::new(),
            missed_in_cache: false,
            response: ResponseState::Pending,
        };
        self.requests.insert(id, active);
        self.arrived.push_back(id);
        Ok(id)
    }

    /// Reserves the identifier of a request that was read and waits for its turn; `None` if it was used before.
    pub(super) fn reserve_id(&mut self, client_request_id: &ClientRequestId) -> Option<ReservedId> {
        self.ids.reserve(client_request_id)
    }

    /// Ends a reservation, since the request has its turn, or has none as its connection has ended.
    pub(super) fn end_reservation(&mut self, reserved: &ReservedId) {
        self.ids.end_reservation(reserved);
    }

    /// Records that a request with this identifier was read and is not accepted.
    ///
    /// # Errors
    ///
    /// Fails if a request with the same identifier was read before, as far as is remembered. That one may have been
    /// executed, so that the response must not promise the opposite.
    pub(super) fn use_up_id(&mut self, client_request_id: &ClientRequestId) -> Result<(), RequestIdError> {
        self.ids.use_up(client_request_id)
    }

    /// Records that the client of a request has disconnected and gets no response.
    pub fn on_client_disconnect(&mut self, id: RequestId) {
        if self.finish(id, FinalResponse::ClientDisconnected) {
            self.disconnected.push_back(id);
        }
    }

    /// Records since when the input of a request's client has not been read whole; `None` if it has.
    pub fn set_client_unread_since(&mut self, id: RequestId, since: Option<Time>) {
        if let Some(active) = self.requests.get_mut(&id) {
            active.client_unread_since = since;
        }
    }

    /// Counts requests that were rejected unread, as their client had sent too many ahead.
    pub(super) fn count_excess_requests(&mut self, count: u64) {
        self.metrics.count_excess_requests(count);
    }

    /// Counts a message that was rejected for this reason, and returns the number of those since the last report.
    pub(super) fn count_rejection(&mut self, reason: &'static str) -> u64 {
        self.metrics.count_rejection(reason)
    }

    /// Counts an accepted request of an unusual form, and returns the number of those since the last report.
    pub(super) fn count_unusual_form(&mut self, form: &'static str) -> u64 {
        self.metrics.count_unusual_form(form)
    }

    /// Returns the next final response to deliver.
    pub fn poll_response(&mut self) -> Option<UndeliveredResponse> {
        loop {
            let id = self.undelivered.pop_front()?;
            let undelivered = self.collect_response(id);
            self.remove_if_finished(id);
            if undelivered.is_some() {
                return undelivered;
            }
        }
    }

    fn collect_response(&mut self, id: RequestId) -> Option<UndeliveredResponse> {
        let active = self.requests.get_mut(&id)?;
        if active.is_pending() {
            return None;
        }
        match std::mem::replace(&mut active.response, ResponseState::Collected) {
            ResponseState::Ready(response) => {
                Some(UndeliveredResponse { request: id, client: active.client, response })
            }
            ResponseState::Pending | ResponseState::Collected => None,
        }
    }
}

/// For the upstream side.
impl RequestTable {
    /// The request with this identifier, if it is in progress.
    pub fn get(&self, id: RequestId) -> Option<&ActiveRequest> {
        self.requests.get(&id)
    }

    /// Whether a request waits for its final response.
    pub fn is_pending(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(ActiveRequest::is_pending)
    }

    /// Ends a request with an error if its client may have disconnected, so that it gets no further attempt.
    pub fn finish_if_unread(&mut self, id: RequestId, now: Time) {
        if self.requests.get(&id).is_some_and(|active| active.may_be_disconnected(now)) {
            self.finish(id, FinalResponse::Local(LocalReply::Errored));
        }
    }

    /// Records that the request of an attempt was handed to a connection, which may send all of it from now on.
    pub(super) fn on_attempt_written(&mut self, id: RequestId, number: AttemptNumber) {
        if let Some(active) = self.requests.get_mut(&id) {
            active.effective_attempts.push(number);
        }
    }

    /// Records the end of an attempt. If the attempt fulfilled the request, its response becomes the final
    /// one unless there already is a final response.
    pub fn on_attempt_end(
        &mut self,
        id: RequestId,
        number: AttemptNumber,
        endpoint: EndpointId,
        end: AttemptEnd,
        latency: Span,
    ) {
        let load_report = self.read_load_report(&end);
        let response_bytes = end.body_bytes();
        let outcome = end.outcome();
        let may_have_run = end.may_have_run();
        if let Some(response) = end.into_final_response() {
            self.finish(id, FinalResponse::Upstream(response));
        }
        self.metrics.count_attempt(outcome);
        let Some(active) = self.requests.get_mut(&id) else { return };
        active.attempts_in_flight = active.attempts_in_flight.saturating_sub(1);
        if !may_have_run {
            active.effective_attempts.retain(|effective| *effective != number);
        }
        active.missed_in_cache |= outcome == AttemptOutcome::CacheMiss;
        let answered = !active.is_pending();
        let result = AttemptResult { number, endpoint, outcome, latency, answered };
        self.finished_attempts.push_back(FinishedAttempt {
            request: id,
            result,
            response_bytes,
            load_report,
        });
        self.release_if_never_run(id);
        self.remove_if_finished(id);
    }

    fn read_load_report(&mut self, end: &AttemptEnd) -> Option<LoadReport> {
        let header = self.load_report_header.as_ref()?;
        let text = end.header(header)?;
        let report = parse_load_report(text);
        if report.is_none() {
            self.metrics.count_unreadable_load_report();
        }
        report
    }
}

/// For the node.
impl RequestTable {
    /// Creates an empty table for a node with this memory limit in bytes. `load_report_header` is the response header
    /// that carries load reports.
    pub(super) fn new(
        memory: usize,
        repeat_policy: RepeatPolicy,
        load_report_header: Option<Box<str>>,
    ) -> RequestTable {
        let mut table = RequestTable { load_report_header, ..RequestTable::default() };
        table.set_repeat_policy(repeat_policy);
        table.set_memory(memory);
        table
    }

    /// Sets which requests may be repeated, for requests that arrive from now on.
    pub fn set_repeat_policy(&mut self, policy: RepeatPolicy) {
        self.ids.set_policy(policy);
    }

    /// Sets the memory limit of the node in bytes, of which remembered identifiers may take a share.
    pub(super) fn set_memory(&mut self, bytes: usize) {
        self.ids.set_memory(bytes);
    }
}

/// For the balancer driver.
impl RequestTable {
    /// Sets the response header that carries load reports.
    pub fn set_load_report_header(&mut self, name: Option<Box<str>>) {
        self.load_report_header = name;
    }

    /// Returns the next request that has arrived.
    pub fn poll_arrived(&mut self) -> Option<(RequestId, Request)> {
        loop {
            let id = self.arrived.pop_front()?;
            // A request whose client disconnected at once may already be removed: the next one is returned.
            if let Some(active) = self.requests.get(&id) {
                return Some((id, active.request));
            }
        }
    }

    /// Returns the next request whose client has disconnected, or that was ended otherwise without the balancer.
    pub fn poll_disconnected(&mut self) -> Option<RequestId> {
        self.disconnected.pop_front()
    }

    /// Returns the next attempt that has ended.
    pub fn poll_finished_attempt(&mut self) -> Option<FinishedAttempt> {
        self.finished_attempts.pop_front()
    }

    /// Admits an attempt and returns its number; `None` if the request already has its final response. Every
    /// attempt is admitted by this function.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<AttemptNumber> {
        let active = self.requests.get_mut(&id)?;
        if !active.is_pending() {
            return None;
        }
        let number = AttemptNumber(active.attempts_started);
        active.attempts_started += 1;
        active.attempts_in_flight += 1;
        Some(number)
    }

    /// Accepts a final response unless the request already has one, and returns whether it was accepted.
    /// Every final response is accepted by this function.
    pub fn finish(&mut self, id: RequestId, response: FinalResponse) -> bool {
        let Some(active) = self.requests.get_mut(&id) else { return false };
        if !active.is_pending() {
            return false;
        }
        self.metrics.count_response(&response);
        self.ids.on_finished(&active.client_request_id);
        active.response = ResponseState::Ready(response);
        // No further attempt is written. Attempts that are still in flight need no message.
        active.message = Message::default();
        self.undelivered.push_back(id);
        self.release_if_never_run(id);
        true
    }

    /// Ends all requests that wait for their final response with an error: they may have been executed.
    pub fn fail_pending(&mut self) {
        let pending = self.requests.iter().filter(|(_, active)| active.is_pending());
        let mut pending: Vec<_> = pending.map(|(id, _)| *id).collect();
        pending.sort();
        for id in pending {
            self.finish(id, FinalResponse::Local(LocalReply::Errored));
            // The balancer gives up the request as it does for one whose client has disconnected.
            self.disconnected.push_back(id);
        }
    }

    /// The number of requests that wait for their final response.
    pub fn pending_count(&self) -> usize {
        self.ids.pending_count()
    }

    /// Returns the metrics since the last call, and resets them.
    pub(super) fn take_metrics(&mut self) -> RequestMetrics {
        std::mem::take(&mut self.metrics)
    }

    fn release_if_never_run(&mut self, id: RequestId) {
        if let Some(active) = self.requests.get(&id)
            && active.has_never_run()
        {
            self.ids.release(&active.client_request_id, id);
        }
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(ActiveRequest::is_finished) {
            self.requests.remove(&id);
        }
    }
}
