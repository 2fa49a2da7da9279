//! Runs the balancers of all simulated nodes: decodes each event into a call of a balancer, and encodes the
//! balancers' decisions as actions.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::Time;
use granitelb_balancer::{Balancer, EndpointUpdate, LocalReply};
use granitelb_settings::LoadColumn;

use crate::error::AdapterError;
use crate::frame::{Batch, Record, Reply, endpoint_bytes, span_bytes};
use crate::wire::{self, EventKind, ListScope, action};

/// The balancers of all simulated nodes.
#[derive(Default)]
pub struct Host {
    /// The running nodes by number.
    nodes: BTreeMap<u16, Node>,
    /// Endpoint lists by number. The simulator sends each list once, and nodes refer to it by number.
    lists: BTreeMap<u32, Vec<EndpointUpdate>>,
}

struct Node {
    balancer: Balancer,
    load_columns: Vec<LoadColumn>,
    /// When the timer comes due that the simulator was last asked to set; `None` once it has fired.
    timer: Option<Time>,
}

impl Host {
    /// Processes a batch of events and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch violates the wire format.
    pub fn on_batch(&mut self, bytes: &[u8]) -> Result<Vec<u8>, AdapterError> {
        let batch = Batch::split(bytes)?;
        let now = Time(batch.clock);
        let mut nodes_with_events = BTreeSet::new();
        for record in batch.records() {
            if let Some(number) = self.on_event(&batch, record, now)? {
                nodes_with_events.insert(number);
            }
        }
        let mut reply = Reply::default();
        for number in nodes_with_events {
            if let Some(node) = self.nodes.get_mut(&number) {
                node.poll(number, now, &mut reply);
            }
        }
        Ok(reply.encode())
    }

    /// Processes an event, and returns the number of the node that received it, if that node is running.
    fn on_event(
        &mut self,
        batch: &Batch<'_>,
        record: Record<'_>,
        now: Time,
    ) -> Result<Option<u16>, AdapterError> {
        let kind = EventKind::of(record);
        if kind == EventKind::ListDefinition {
            self.define_list(batch, record)?;
            return Ok(None);
        }
        let number = record.u16(2);
        match kind {
            EventKind::NodeStart => {
                self.nodes.insert(number, Node::start(batch, record, now)?);
                return Ok(Some(number));
            }
            EventKind::NodeStop => {
                self.nodes.remove(&number);
                return Ok(None);
            }
            _ => {}
        }
        let Some(node) = self.nodes.get_mut(&number) else { return Ok(None) };
        node.on_event(kind, record, now, &self.lists)?;
        Ok(Some(number))
    }

    fn define_list(&mut self, batch: &Batch<'_>, record: Record<'_>) -> Result<(), AdapterError> {
        let entries = batch.tail(record, 6, wire::LIST_ENTRY_BYTES)?;
        let entries = entries.chunks_exact(wire::LIST_ENTRY_BYTES);
        let list = entries.map(|bytes| wire::endpoint_update(Record { bytes, position: record.position }));
        self.lists.insert(record.u32(2), list.collect());
        Ok(())
    }
}

impl Node {
    fn start(batch: &Batch<'_>, record: Record<'_>, now: Time) -> Result<Node, AdapterError> {
        let text = batch.tail(record, 12, 1)?;
        let decoded = granitelb_settings::decode(text)
            .map_err(|error| AdapterError::Settings { record: record.position, error })?;
        let seed = record.u64(4);
        let balancer = Balancer::new(decoded.balancer_settings, seed, now);
        Ok(Node { balancer, load_columns: decoded.load_columns, timer: None })
    }

    fn on_event(
        &mut self,
        kind: EventKind,
        record: Record<'_>,
        now: Time,
        lists: &BTreeMap<u32, Vec<EndpointUpdate>>,
    ) -> Result<(), AdapterError> {
        match kind {
            EventKind::Timer => self.on_timer(Time(record.u64(4))),
            EventKind::Endpoints => self.on_endpoints(record, now, lists)?,
            EventKind::ClientDisconnect => {
                self.balancer.on_client_disconnect(now, wire::request_id(record));
            }
            EventKind::AttemptFinished => self.on_attempt_finished(record, now)?,
            EventKind::Request => {
                self.balancer.on_request(now, wire::request_id(record), wire::request(record));
            }
            EventKind::ListDefinition | EventKind::NodeStart | EventKind::NodeStop | EventKind::Other => {}
        }
        Ok(())
    }

    /// Handles a timer that is due. Only the timer set last is in force; earlier ones are outdated and
    /// ignored.
    fn on_timer(&mut self, due_at: Time) {
        if self.timer == Some(due_at) {
            self.timer = None;
        }
    }

    fn on_endpoints(
        &mut self,
        record: Record<'_>,
        now: Time,
        lists: &BTreeMap<u32, Vec<EndpointUpdate>>,
    ) -> Result<(), AdapterError> {
        let scope = ListScope::of(record);
        if scope == ListScope::Failed {
            self.balancer.on_endpoints_watch_failed(now);
            return Ok(());
        }
        let number = record.u32(9);
        let Some(list) = lists.get(&number) else {
            return Err(AdapterError::UnknownList { record: record.position, list: number });
        };
        match scope {
            ListScope::Restored => self.balancer.on_endpoints_restored(now, list),
            ListScope::Complete => self.balancer.on_endpoints_update(now, list, true),
            ListScope::Changes | ListScope::Failed => self.balancer.on_endpoints_update(now, list, false),
        }
        Ok(())
    }

    fn on_attempt_finished(&mut self, record: Record<'_>, now: Time) -> Result<(), AdapterError> {
        let result = wire::attempt_result(record)?;
        let values = wire::load_values(record);
        if !values.is_empty() {
            let columns = self.load_columns.iter().copied();
            let report = granitelb_settings::load_report(columns.zip(values));
            self.balancer.on_load_report(now, result.endpoint, &report);
        }
        self.balancer.on_attempt_finished(now, wire::request_id(record), &result);
        Ok(())
    }

    /// Polls the balancer for all its decisions and appends them to the reply.
    fn poll(&mut self, number: u16, now: Time, reply: &mut Reply) {
        self.poll_cancellations(number, reply);
        while let Some(attempt) = self.balancer.poll_attempt(now) {
            let id = attempt.request.0.to_be_bytes();
            let endpoint = endpoint_bytes(attempt.endpoint);
            reply.push(action::SEND_ATTEMPT, number, &[&id, &endpoint, &span_bytes(attempt.timeout)]);
        }
        while let Some((id, response)) = self.balancer.poll_response(now) {
            let id = id.0.to_be_bytes();
            match response {
                LocalReply::RateLimited { retry_after } => {
                    reply.push(action::RATE_LIMIT, number, &[&id, &span_bytes(retry_after)]);
                }
                LocalReply::Errored => reply.push(action::FAIL_REQUEST, number, &[&id]),
            }
        }
        // The responses polled above make the balancer cancel the attempts of their requests.
        self.poll_cancellations(number, reply);
        if self.balancer.poll_watch_request(now) {
            reply.push(action::WATCH_ENDPOINTS, number, &[&[1]]);
        }
        self.set_timer(number, now, reply);
    }

    fn poll_cancellations(&mut self, number: u16, reply: &mut Reply) {
        while let Some((id, attempt)) = self.balancer.poll_cancellation() {
            reply.push(action::CANCEL_ATTEMPT, number, &[&id.0.to_be_bytes(), &[attempt.0]]);
        }
    }

    /// Sets the timer to the balancer's next timeout, unless it is already set to an earlier time in the
    /// future.
    fn set_timer(&mut self, number: u16, now: Time, reply: &mut Reply) {
        let Some(timeout) = self.balancer.poll_timeout(now) else { return };
        let is_needed = self.timer.is_none_or(|timer| timeout < timer || timer <= now);
        if is_needed {
            self.timer = Some(timeout);
            let earliest = timeout.0.to_be_bytes();
            reply.push(action::SET_TIMER, number, &[&earliest, &earliest]);
        }
    }
}
