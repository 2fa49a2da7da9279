//! The simulator's side of the wire protocol: encodes events into batches, and decodes replies into actions.

use std::fmt;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
/// The outcomes of attempts.
pub const FULFILLED: u8 = 0;
pub const CANCELLED: u8 = 1;
pub const TIMED_OUT: u8 = 4;
pub const CACHE_MISS: u8 = 5;
pub const REJECTED: u8 = 8;
pub const NOT_SENT: u8 = 9;
pub const RESET: u8 = 10;
pub const ERRORED: u8 = 13;
pub const UNREACHABLE: u8 = 14;
/// The scopes of endpoint list events.
pub const CHANGES: u8 = 0;
pub const COMPLETE_LIST: u8 = 1;
pub const RESTORED_LIST: u8 = 2;
pub const LIST_FAILED: u8 = 3;
/// The states of a list entry.
pub const REMOVED: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;
/// Bits of the flags of a request.
const HAS_WORK: u8 = 1;
const IS_WRITE: u8 = 4;

/// An entry of the endpoint list.
#[derive(Clone, Copy)]
pub struct ListEntry {
    pub number: u16,
    pub kind: u16,
    pub size: f32,
    pub zone: u16,
    pub cell: u16,
    pub state: u8,
    /// The time of the endpoint's latest start, in microseconds; 0 for a start long ago.
    pub started: u64,
}

/// A client's request as the node receives it.
#[derive(Clone, Copy)]
pub struct ClientRequest {
    pub request_class: u16,
    pub key: u64,
    pub budget: u32,
    pub work: Option<u32>,
    pub write: bool,
}

/// The result of an attempt.
pub struct AttemptResult<'a> {
    pub attempt: u8,
    pub endpoint: u16,
    pub outcome: u8,
    pub latency: u32,
    pub finished: bool,
    pub report: &'a [f32],
}

/// A batch of events, which is built by appending events.
#[derive(Default)]
pub struct Batch {
    records: Vec<u8>,
    tail: Vec<u8>,
    lists: u32,
}

impl Batch {
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub fn encode(&self, clock: u64) -> Vec<u8> {
        let count = (self.records.len() / EVENT_BYTES) as u32;
        let length = (12 + self.records.len() + self.tail.len()) as u32;
        let header = [&length.to_be_bytes()[..], &count.to_be_bytes(), &clock.to_be_bytes()].concat();
        [&header[..], &self.records, &self.tail].concat()
    }

    pub fn node_start(&mut self, node: u16, seed: u64, settings: &str) {
        let reference = self.append_tail(settings.as_bytes(), settings.len());
        self.record(10, node, &[&seed.to_be_bytes(), &reference]);
    }

    pub fn node_stop(&mut self, node: u16) {
        self.record(11, node, &[]);
    }

    /// Appends the definition of an endpoint list, and the event by which the node receives the list.
    pub fn list(&mut self, node: u16, scope: u8, entries: &[ListEntry]) {
        let bytes: Vec<u8> = entries.iter().flat_map(entry_bytes).collect();
        let (reference, list_number) =
            (self.append_tail(&bytes, entries.len()), (self.lists % 16).to_be_bytes());
        self.lists += 1;
        self.record(
            7,
            u16::from_be_bytes([list_number[0], list_number[1]]),
            &[&list_number[2..], &reference],
        );
        self.record(2, node, &[&[scope], &[0; 4], &list_number]);
    }

    pub fn watch_failed(&mut self, node: u16) {
        self.record(2, node, &[&[LIST_FAILED]]);
    }

    pub fn request(&mut self, node: u16, id: u64, client_request: &ClientRequest) {
        let flags =
            client_request.work.map_or(0, |_| HAS_WORK) + if client_request.write { IS_WRITE } else { 0 };
        let fields: [&[u8]; 8] = [
            &id.to_be_bytes(),
            &client_request.request_class.to_be_bytes(),
            &[0; 4],
            &client_request.key.to_be_bytes(),
            &client_request.budget.to_be_bytes(),
            &client_request.work.unwrap_or(0).to_be_bytes(),
            &[0; 4],
            &[flags],
        ];
        self.record(9, node, &fields);
    }

    pub fn client_disconnect(&mut self, node: u16, id: u64) {
        self.record(5, node, &[&id.to_be_bytes()]);
    }

    pub fn attempt_finished(&mut self, node: u16, id: u64, result: &AttemptResult<'_>) {
        let values: Vec<u8> = result.report.iter().flat_map(|value| value.to_be_bytes()).collect();
        let fields: [&[u8]; 9] = [
            &id.to_be_bytes(),
            &[result.attempt],
            &address(result.endpoint),
            &[result.outcome],
            &result.latency.to_be_bytes(),
            &[u8::from(result.finished)],
            &[0],
            &[result.report.len() as u8],
            &values,
        ];
        self.record(6, node, &fields);
    }

    pub fn timer(&mut self, node: u16, token: u64) {
        self.record(1, node, &[&token.to_be_bytes()]);
    }

    fn record(&mut self, code: u16, first_field: u16, fields: &[&[u8]]) {
        let end = self.records.len() + EVENT_BYTES;
        self.records.extend(code.to_be_bytes());
        self.records.extend(first_field.to_be_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        assert!(self.records.len() <= end, "the fields exceed the size of a record");
        self.records.resize(end, 0);
    }

    /// Appends bytes to the tail, and returns the field that refers to them: offset and count.
    fn append_tail(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let field = (self.tail.len() as u64) << 32 | count as u64;
        self.tail.extend(bytes);
        field.to_be_bytes()
    }
}

fn entry_bytes(entry: &ListEntry) -> Vec<u8> {
    let fields: [&[u8]; 7] = [
        &entry.kind.to_be_bytes(),
        &entry.size.to_be_bytes(),
        &entry.zone.to_be_bytes(),
        &[entry.state],
        &address(entry.number),
        &entry.started.to_be_bytes(),
        &entry.cell.to_be_bytes(),
    ];
    fields.concat()
}

/// The address and port of an endpoint. The address contains the endpoint's number.
fn address(number: u16) -> [u8; 6] {
    let [high, low] = number.to_be_bytes();
    [10, 0, high, low, 0x1f, 0x90]
}

/// An action that the adapter decided for a node.
pub struct Action {
    pub node: u16,
    pub kind: ActionKind,
}

pub enum ActionKind {
    Send {
        request: u64,
        endpoint: u16,
        timeout: u64,
    },
    Timer {
        due: u64,
        token: u64,
    },
    RateLimit {
        request: u64,
        retry_after: u64,
    },
    Fail {
        request: u64,
    },
    Cancel {
        request: u64,
        attempt: u8,
    },
    Watch,
    /// An action that no stream should contain.
    Other {
        code: u64,
    },
}

/// Decodes a big-endian number of up to eight bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl Action {
    fn decode(record: &[u8]) -> Action {
        let id = number(&record[4..12]);
        let kind = match number(&record[..2]) {
            2 => ActionKind::Send {
                request: id,
                endpoint: number(&record[14..16]) as u16,
                timeout: number(&record[18..22]),
            },
            3 => ActionKind::Timer { due: id, token: number(&record[12..20]) },
            7 => ActionKind::RateLimit { request: id, retry_after: number(&record[12..16]) },
            10 => ActionKind::Fail { request: id },
            11 => ActionKind::Cancel { request: id, attempt: record[12] },
            12 => ActionKind::Watch,
            code => ActionKind::Other { code },
        };
        Action { node: number(&record[2..4]) as u16, kind }
    }
}

/// Decodes the actions of a reply that includes its length field.
pub fn actions(reply: &[u8]) -> Vec<Action> {
    let count = number(&reply[4..8]) as usize;
    let records = &reply[8..];
    assert_eq!(records.len(), count * ACTION_BYTES, "the number of records matches the reply's count");
    records.chunks_exact(ACTION_BYTES).map(Action::decode).collect()
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "node {} ", self.node)?;
        match self.kind {
            ActionKind::Send { request, endpoint, timeout } => {
                write!(f, "send {request} to {endpoint} for {timeout}")
            }
            ActionKind::Timer { due, token } if due == token => write!(f, "timer {due}"),
            ActionKind::Timer { due, token } => write!(f, "timer {due} token {token}"),
            ActionKind::RateLimit { request, retry_after } => {
                write!(f, "refuse {request} come back after {retry_after}")
            }
            ActionKind::Fail { request } => write!(f, "fail {request}"),
            ActionKind::Cancel { request, attempt } => write!(f, "cancel {request} attempt {attempt}"),
            ActionKind::Watch => write!(f, "watch"),
            ActionKind::Other { code } => write!(f, "action of code {code}"),
        }
    }
}
