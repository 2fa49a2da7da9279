//! The codes of the wire protocol, and the decoding of records into the balancer's types.

use granitelb_balancer::ids::{AttemptNumber, CellId, Key, KindId, RequestClassId, RequestId, ZoneId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, EndpointUpdate, Request};

use crate::error::AdapterError;
use crate::frame::Record;

/// Size of an entry of an endpoint list, in bytes.
pub const LIST_ENTRY_BYTES: usize = 25;
/// Largest number of values in a load report.
const MAX_LOAD_VALUES: u8 = 4;
/// Size of a value of a load report, in bytes.
const LOAD_VALUE_BYTES: usize = 4;
/// Bits of the flags of a request.
const REQUEST_HAS_WORK: u8 = 1;
const REQUEST_IS_WRITE: u8 = 4;
/// The states of a list entry. All other states mean that the endpoint was removed.
const STATE_READY: u8 = 1;
const STATE_DRAINING: u8 = 2;

/// The codes of actions in a reply.
pub mod action {
    /// Send an attempt.
    pub const SEND_ATTEMPT: u16 = 2;
    /// Set the node's timer.
    pub const SET_TIMER: u16 = 3;
    /// Answer a request with a rate-limited response.
    pub const RATE_LIMIT: u16 = 7;
    /// Answer a request with an error.
    pub const FAIL_REQUEST: u16 = 10;
    /// Cancel an attempt.
    pub const CANCEL_ATTEMPT: u16 = 11;
    /// Open a watch on the endpoint list.
    pub const WATCH_ENDPOINTS: u16 = 12;
}

/// The kind of an event record.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// A node's timer is due.
    Timer,
    /// A node receives an endpoint list, or its watch on the list has failed.
    Endpoints,
    /// A client has disconnected before its request was answered.
    ClientDisconnect,
    /// An attempt has ended.
    AttemptFinished,
    /// The entries of an endpoint list, to which the events of all nodes refer by number.
    ListDefinition,
    /// A request arrives from a client.
    Request,
    /// A node starts.
    NodeStart,
    /// A node stops.
    NodeStop,
    /// An event that the adapter ignores.
    Other,
}

impl EventKind {
    /// Decodes the kind of an event record.
    pub fn of(record: Record<'_>) -> EventKind {
        match record.u16(0) {
            1 => EventKind::Timer,
            2 => EventKind::Endpoints,
            5 => EventKind::ClientDisconnect,
            6 => EventKind::AttemptFinished,
            7 => EventKind::ListDefinition,
            9 => EventKind::Request,
            10 => EventKind::NodeStart,
            11 => EventKind::NodeStop,
            _ => EventKind::Other,
        }
    }
}

/// What an event tells a node about the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ListScope {
    /// The changed entries of the list.
    Changes,
    /// The complete list.
    Complete,
    /// The list that the node's previous process received last.
    Restored,
    /// The watch on the list has failed.
    Failed,
}

impl ListScope {
    /// Decodes the scope of an event about the endpoint list.
    pub fn of(record: Record<'_>) -> ListScope {
        match record.u8(4) {
            1 => ListScope::Complete,
            2 => ListScope::Restored,
            3 => ListScope::Failed,
            _ => ListScope::Changes,
        }
    }
}

/// Decodes the request that an event refers to.
pub fn request_id(record: Record<'_>) -> RequestId {
    RequestId(record.u64(4))
}

/// Decodes a client's request.
pub fn request(record: Record<'_>) -> Request {
    let flags = record.u8(38);
    let work = Span(u64::from(record.u32(30)));
    Request {
        request_class: RequestClassId(record.u16(12)),
        key: Key(record.u64(18)),
        client_timeout: Span(u64::from(record.u32(26))),
        work: if flags & REQUEST_HAS_WORK != 0 { Some(work) } else { None },
        write: flags & REQUEST_IS_WRITE != 0,
    }
}

/// Decodes the result of an attempt.
///
/// # Errors
///
/// Returns an error if the code of the outcome is unknown.
pub fn attempt_result(record: Record<'_>) -> Result<AttemptResult, AdapterError> {
    let Some(outcome) = outcome(record.u8(19)) else {
        return Err(AdapterError::UnknownOutcome { record: record.position, outcome: record.u8(19) });
    };
    Ok(AttemptResult {
        number: AttemptNumber(record.u8(12)),
        endpoint: record.endpoint(13),
        outcome,
        latency: Span(u64::from(record.u32(20))),
        answered: record.u8(24) != 0,
    })
}

/// Decodes the values of the load report that the response to an attempt carried; empty without a report.
pub fn load_values(record: Record<'_>) -> Vec<f64> {
    let count = usize::from(record.u8(26).min(MAX_LOAD_VALUES));
    (0..count).map(|n| f64::from(record.f32(27 + LOAD_VALUE_BYTES * n))).collect()
}

/// Decodes one entry of an endpoint list.
pub fn endpoint_update(entry: Record<'_>) -> EndpointUpdate {
    let state = entry.u8(8);
    let started = entry.u64(15);
    EndpointUpdate {
        id: entry.endpoint(9),
        kind: KindId(entry.u16(0)),
        size: f64::from(entry.f32(2)),
        zone: ZoneId(u32::from(entry.u16(6))),
        cell: CellId(u32::from(entry.u16(23))),
        ready: state == STATE_READY,
        draining: state == STATE_DRAINING,
        // 0 stands for a start long ago.
        started: if started != 0 { Some(Time(started)) } else { None },
    }
}

fn outcome(code: u8) -> Option<AttemptOutcome> {
    match code {
        0 => Some(AttemptOutcome::Fulfilled),
        1 => Some(AttemptOutcome::Cancelled),
        4 => Some(AttemptOutcome::TimedOut),
        5 => Some(AttemptOutcome::CacheMiss),
        8 => Some(AttemptOutcome::Rejected),
        9 => Some(AttemptOutcome::NotSent),
        10 => Some(AttemptOutcome::Reset),
        13 => Some(AttemptOutcome::Errored),
        14 => Some(AttemptOutcome::Unreachable),
        _ => None,
    }
}
