//! The adapter's wire: events are written into batches, replies are read into actions.

use std::fmt;

const EVENT_BYTES: usize = 48;
const ACTION_BYTES: usize = 24;
/// How an attempt can end.
pub const SERVED: u8 = 0;
pub const CANCELLED: u8 = 1;
pub const TIMED_OUT: u8 = 4;
pub const MISSED: u8 = 5;
pub const FULL: u8 = 8;
pub const NOT_SENT: u8 = 9;
pub const RESET: u8 = 10;
pub const ERRORED: u8 = 13;
pub const UNREACHABLE: u8 = 14;
/// What a list event carries.
pub const CHANGES: u8 = 0;
pub const FULL_LIST: u8 = 1;
pub const REMEMBERED_LIST: u8 = 2;
pub const LIST_FAILED: u8 = 3;
/// The states of a list entry.
pub const GONE: u8 = 0;
pub const READY: u8 = 1;
pub const DRAINING: u8 = 2;
/// The flags of a request.
const WORK_IS_TOLD: u8 = 1;
const IS_WRITE: u8 = 4;

/// One line of the list of endpoints.
#[derive(Clone, Copy)]
pub struct Entry {
    pub number: u16,
    pub kind: u16,
    pub size: f32,
    pub zone: u16,
    pub cell: u16,
    pub state: u8,
    /// When it last started; zero is a long time ago.
    pub started: u64,
}

/// A client's request as the node is told of it.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub product: u16,
    pub key: u64,
    pub budget: u32,
    pub work: Option<u32>,
    pub write: bool,
}

/// How an attempt ended.
pub struct Ending<'a> {
    pub attempt: u8,
    pub endpoint: u16,
    pub outcome: u8,
    pub latency: u32,
    pub finished: bool,
    pub report: &'a [f32],
}

/// A batch of events as it grows.
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

    pub fn node_starts(&mut self, node: u16, seed: u64, settings: &str) {
        let place = self.place(settings.as_bytes(), settings.len());
        self.record(10, node, &[&seed.to_be_bytes(), &place]);
    }

    pub fn node_stops(&mut self, node: u16) {
        self.record(11, node, &[]);
    }

    /// The entries, in a list of their own, and the event that refers to it.
    pub fn list(&mut self, node: u16, scope: u8, entries: &[Entry]) {
        let bytes: Vec<u8> = entries.iter().flat_map(entry_bytes).collect();
        let (place, sheet) = (self.place(&bytes, entries.len()), (self.lists % 16).to_be_bytes());
        self.lists += 1;
        self.record(7, u16::from_be_bytes([sheet[0], sheet[1]]), &[&sheet[2..], &place]);
        self.record(2, node, &[&[scope], &[0; 4], &sheet]);
    }

    pub fn list_fails(&mut self, node: u16) {
        self.record(2, node, &[&[LIST_FAILED]]);
    }

    pub fn request(&mut self, node: u16, id: u64, arrival: &Arrival) {
        let flags = arrival.work.map_or(0, |_| WORK_IS_TOLD) + if arrival.write { IS_WRITE } else { 0 };
        let fields: [&[u8]; 8] = [
            &id.to_be_bytes(),
            &arrival.product.to_be_bytes(),
            &[0; 4],
            &arrival.key.to_be_bytes(),
            &arrival.budget.to_be_bytes(),
            &arrival.work.unwrap_or(0).to_be_bytes(),
            &[0; 4],
            &[flags],
        ];
        self.record(9, node, &fields);
    }

    pub fn client_left(&mut self, node: u16, id: u64) {
        self.record(5, node, &[&id.to_be_bytes()]);
    }

    pub fn attempt_ended(&mut self, node: u16, id: u64, ending: &Ending<'_>) {
        let figures: Vec<u8> = ending.report.iter().flat_map(|f| f.to_be_bytes()).collect();
        let fields: [&[u8]; 9] = [
            &id.to_be_bytes(),
            &[ending.attempt],
            &address(ending.endpoint),
            &[ending.outcome],
            &ending.latency.to_be_bytes(),
            &[u8::from(ending.finished)],
            &[0],
            &[ending.report.len() as u8],
            &figures,
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
        assert!(self.records.len() <= end, "a record is too long");
        self.records.resize(end, 0);
    }

    /// Adds to the tail, and returns the field that says where.
    fn place(&mut self, bytes: &[u8], count: usize) -> [u8; 8] {
        let field = (self.tail.len() as u64) << 32 | count as u64;
        self.tail.extend(bytes);
        field.to_be_bytes()
    }
}

fn entry_bytes(entry: &Entry) -> Vec<u8> {
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

/// The address and port of an endpoint: its number stands in the address.
fn address(number: u16) -> [u8; 6] {
    let [high, low] = number.to_be_bytes();
    [10, 0, high, low, 0x1f, 0x90]
}

/// What the adapter decided for a node.
pub struct Action {
    pub node: u16,
    pub kind: ActionKind,
}

pub enum ActionKind {
    Send {
        request: u64,
        endpoint: u16,
        give_up_after: u64,
    },
    Timer {
        due: u64,
        token: u64,
    },
    Refuse {
        request: u64,
        come_back: u64,
    },
    Fail {
        request: u64,
    },
    Cancel {
        request: u64,
        attempt: u8,
    },
    Watch,
    /// One that no stream is expected to have.
    Other {
        code: u64,
    },
}

/// A big-endian number of up to eight bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

impl Action {
    fn read(record: &[u8]) -> Action {
        let id = number(&record[4..12]);
        let kind = match number(&record[..2]) {
            2 => ActionKind::Send {
                request: id,
                endpoint: number(&record[14..16]) as u16,
                give_up_after: number(&record[18..22]),
            },
            3 => ActionKind::Timer { due: id, token: number(&record[12..20]) },
            7 => ActionKind::Refuse { request: id, come_back: number(&record[12..16]) },
            10 => ActionKind::Fail { request: id },
            11 => ActionKind::Cancel { request: id, attempt: record[12] },
            12 => ActionKind::Watch,
            code => ActionKind::Other { code },
        };
        Action { node: number(&record[2..4]) as u16, kind }
    }
}

/// The actions of a whole reply, its length field included.
pub fn actions(reply: &[u8]) -> Vec<Action> {
    let count = number(&reply[4..8]) as usize;
    let records = &reply[8..];
    assert_eq!(records.len(), count * ACTION_BYTES, "a reply's records and its count");
    records.chunks_exact(ACTION_BYTES).map(Action::read).collect()
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "node {} ", self.node)?;
        match self.kind {
            ActionKind::Send { request, endpoint, give_up_after } => {
                write!(f, "send {request} to {endpoint} for {give_up_after}")
            }
            ActionKind::Timer { due, token } if due == token => write!(f, "timer {due}"),
            ActionKind::Timer { due, token } => write!(f, "timer {due} token {token}"),
            ActionKind::Refuse { request, come_back } => {
                write!(f, "refuse {request} come back after {come_back}")
            }
            ActionKind::Fail { request } => write!(f, "fail {request}"),
            ActionKind::Cancel { request, attempt } => write!(f, "cancel {request} attempt {attempt}"),
            ActionKind::Watch => write!(f, "watch"),
            ActionKind::Other { code } => write!(f, "action of code {code}"),
        }
    }
}
