//! What the stand-ins and the clients saw of a run: plain records, written down as things happen and judged
//! afterwards. Nothing here comes from the program under test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Microseconds since the first call was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Timestamp(pub i64);

impl Timestamp {
    pub fn from_s(seconds: f64) -> Timestamp {
        Timestamp((seconds * 1e6) as i64)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn plus(self, span: Duration) -> Timestamp {
        Timestamp(self.0 + span.as_micros() as i64)
    }

    /// Milliseconds since `earlier`.
    pub fn ms_since(self, earlier: Timestamp) -> f64 {
        (self.0 - earlier.0) as f64 / 1e3
    }
}

/// A server by its name in the list: one that comes back under a new name is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct ServerId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct NodeId(pub usize);

/// A member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Member {
    Node(usize),
    Planner(usize),
}

/// A letter that the relay took from a member.
#[derive(Clone, Debug, Serialize)]
pub struct RelayedMessage {
    pub from: Member,
    pub to: Member,
    pub taken: Timestamp,
    /// When each copy of it was passed on.
    pub passed: Vec<Timestamp>,
    pub changed: bool,
    /// As it was passed on.
    #[serde(skip)]
    pub bytes: Vec<u8>,
}

/// A call as its user means it; its tries share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RequestId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum ClientAttemptEnd {
    /// Whose answer it says it is, by the server's word, and which version.
    Fulfilled {
        made_for: String,
        version: Option<Version>,
    },
    RateLimited {
        come_back: Option<Duration>,
    },
    Errored {
        status: u16,
    },
    /// The client waited its time out.
    Unanswered,
    /// The connection ended without an answer, or with part of one. One that was used before may have been closed
    /// while the call was on its way, unread.
    Torn {
        used_before: bool,
    },
    /// There was no connection to be had.
    Unreached,
    /// The client went before.
    Left,
}

/// One try of a client's.
#[derive(Clone, Debug, Serialize)]
pub struct ClientAttempt {
    pub call: RequestId,
    /// From 0; later ones are the client's own repeats.
    pub nth: u8,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub node: NodeId,
    pub product: usize,
    pub key: u64,
    pub due: Timestamp,
    pub sent: Timestamp,
    pub ended: Timestamp,
    pub end: ClientAttemptEnd,
}

/// How a server ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ServerAttemptEnd {
    Answered,
    Lacked,
    /// Turned away unseen.
    TurnedAway,
    Failed,
    /// The node ended the connection before, or nothing was answered.
    Dropped,
}

/// A shot as the server saw it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerAttempt {
    pub server: ServerId,
    pub node: NodeId,
    pub id: String,
    /// When its last byte had come.
    pub arrived: Timestamp,
    pub ended: Option<Timestamp>,
    pub end: ServerAttemptEnd,
    /// What it takes of the server, in seconds of a core when warm.
    pub work: f64,
}

/// A write that has run at the origin.
#[derive(Clone, Debug, Serialize)]
pub struct Effect {
    pub id: String,
    pub idempotency_key: Option<String>,
    pub key: u64,
    pub at: Timestamp,
    pub version: Version,
}

/// A read that the origin ran.
#[derive(Clone, Debug, Serialize)]
pub struct Fetch {
    pub at: Timestamp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// What discovery wrote to a node.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointNotification {
    pub node: NodeId,
    pub server: ServerId,
    pub listed: Listed,
    pub at: Timestamp,
}

/// A server that the world had.
#[derive(Clone, Debug, Serialize)]
pub struct ServerInfo {
    pub name: String,
    /// Where it stands; the origin stands nowhere.
    pub seat: Option<usize>,
    /// When it started cold, if within memory.
    pub started: Option<Timestamp>,
}

/// What a node used, by the system's account.
#[derive(Clone, Debug, Serialize)]
pub struct Usage {
    pub node: NodeId,
    pub at: Timestamp,
    pub memory_mb: f64,
    pub descriptors: usize,
    pub cpu_s: f64,
}

/// Something that the run did or that befell it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Event {
    FaultBegan {
        what: String,
    },
    FaultEnded {
        what: String,
    },
    /// A node stops in order: it owes an answer to all that it has taken, and takes nothing new until it is up.
    NodeStops {
        node: NodeId,
    },
    /// A node could not be expected to answer from then on, or again.
    NodeDown {
        node: NodeId,
    },
    NodeUp {
        node: NodeId,
    },
    /// The same of a planner.
    PlannerDown {
        planner: usize,
    },
    PlannerUp {
        planner: usize,
    },
    PlannerCrashed {
        planner: usize,
        how: String,
    },
    /// A node ended by itself.
    NodeCrashed {
        node: NodeId,
        how: String,
    },
    /// A cache is back cold, under its name.
    ColdStart {
        server: ServerId,
    },
    /// A cold cache was pushed over.
    FellOver {
        server: ServerId,
    },
    /// The origin stopped for being asked too much.
    OriginOverrun,
    /// Bytes came on a client's connection that answered nothing.
    Stray {
        node: NodeId,
    },
    /// A bad client was told off or let go in time, or not.
    BadClient {
        met: bool,
        what: String,
    },
}

/// All records of a run.
#[derive(Debug, Default, Serialize)]
pub struct EventLog {
    pub servers: Vec<ServerInfo>,
    pub tries: Vec<ClientAttempt>,
    pub shots: Vec<ServerAttempt>,
    pub effects: Vec<Effect>,
    pub fetches: Vec<Fetch>,
    pub told: Vec<EndpointNotification>,
    pub usage: Vec<Usage>,
    pub events: Vec<(Timestamp, Event)>,
    pub letters: Vec<RelayedMessage>,
    /// What letters are signed with.
    #[serde(skip)]
    pub secret: Vec<u8>,
    /// By how much the stand-ins themselves stood still at the longest, in microseconds.
    pub stalled: u64,
    /// How late the rig began each try, in microseconds.
    pub lateness: Vec<u64>,
}

/// The book while it is written, and the clock that all its writers go by.
#[derive(Clone)]
pub struct EventLogWriter {
    start: Instant,
    /// Unix time then, in milliseconds.
    pub unix_start_ms: u64,
    event_log: Arc<Mutex<EventLog>>,
}

impl EventLogWriter {
    /// The first call is due at `start`, which may lie ahead.
    pub fn new(start: Instant) -> EventLogWriter {
        let unix = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let ahead = start.saturating_duration_since(Instant::now());
        EventLogWriter { start, unix_start_ms: (unix + ahead).as_millis() as u64, event_log: Arc::default() }
    }

    pub fn now(&self) -> Timestamp {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(since) => Timestamp(since.as_micros() as i64),
            None => Timestamp(-((self.start - now).as_micros() as i64)),
        }
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        if at.0 >= 0 {
            self.start + Duration::from_micros(at.0 as u64)
        } else {
            self.start - Duration::from_micros(at.0.unsigned_abs())
        }
    }

    /// A writer that panicked leaves records that are whole.
    pub fn write<T>(&self, what: impl FnOnce(&mut EventLog) -> T) -> T {
        what(&mut self.event_log.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn event(&self, event: Event) {
        let now = self.now();
        self.write(|b| b.events.push((now, event)));
    }

    /// A shot has come; its end is written under the number that this gives.
    pub fn shot(&self, server: ServerId, node: NodeId, id: &str, work: f64) -> usize {
        let arrived = self.now();
        let shot = ServerAttempt {
            server,
            node,
            id: id.into(),
            arrived,
            ended: None,
            end: ServerAttemptEnd::Dropped,
            work,
        };
        self.write(|b| {
            b.shots.push(shot);
            b.shots.len() - 1
        })
    }

    pub fn shot_ended(&self, number: usize, end: ServerAttemptEnd) {
        let now = self.now();
        self.write(|b| {
            if let Some(shot) = b.shots.get_mut(number) {
                (shot.ended, shot.end) = (Some(now), end);
            }
        });
    }

    /// Takes the book away; what is written later is lost.
    pub fn close(&self) -> EventLog {
        self.write(std::mem::take)
    }
}
