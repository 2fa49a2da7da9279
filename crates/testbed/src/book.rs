//! What the stand-ins and the clients saw of a run: plain records, written down as things happen and judged
//! afterwards. Nothing here comes from the program under test.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Microseconds since the first call was due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Moment(pub i64);

impl Moment {
    pub fn from_s(seconds: f64) -> Moment {
        Moment((seconds * 1e6) as i64)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub fn plus(self, span: Duration) -> Moment {
        Moment(self.0 + span.as_micros() as i64)
    }

    /// Milliseconds since `earlier`.
    pub fn ms_since(self, earlier: Moment) -> f64 {
        (self.0 - earlier.0) as f64 / 1e3
    }
}

/// A server by its name in the list: one that comes back under a new name is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BoxId(pub usize);

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
pub struct Carried {
    pub from: Member,
    pub to: Member,
    pub taken: Moment,
    /// When each copy of it was passed on.
    pub passed: Vec<Moment>,
    pub changed: bool,
    /// As it was passed on.
    #[serde(skip)]
    pub bytes: Vec<u8>,
}

/// A call as its user means it; its tries share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct CallId(pub usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Version(pub u64);

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum TryEnd {
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
pub struct Try {
    pub call: CallId,
    /// From 0; later ones are the client's own repeats.
    pub nth: u8,
    pub id: String,
    pub idempotency_key: Option<String>,
    pub node: NodeId,
    pub product: usize,
    pub key: u64,
    pub due: Moment,
    pub sent: Moment,
    pub ended: Moment,
    pub end: TryEnd,
}

/// How a server ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ShotEnd {
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
pub struct Shot {
    pub server: BoxId,
    pub node: NodeId,
    pub id: String,
    /// When its last byte had come.
    pub arrived: Moment,
    pub ended: Option<Moment>,
    pub end: ShotEnd,
    /// What it takes of the server, in seconds of a core when warm.
    pub work: f64,
}

/// A write that has run at the origin.
#[derive(Clone, Debug, Serialize)]
pub struct Effect {
    pub id: String,
    pub idempotency_key: Option<String>,
    pub key: u64,
    pub at: Moment,
    pub version: Version,
}

/// A read that the origin ran.
#[derive(Clone, Debug, Serialize)]
pub struct Fetch {
    pub at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// What discovery wrote to a node.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    pub node: NodeId,
    pub server: BoxId,
    pub listed: Listed,
    pub at: Moment,
}

/// A server that the world had.
#[derive(Clone, Debug, Serialize)]
pub struct ServerInfo {
    pub name: String,
    /// Where it stands; the origin stands nowhere.
    pub seat: Option<usize>,
    /// When it started cold, if within memory.
    pub started: Option<Moment>,
}

/// What a node used, by the system's account.
#[derive(Clone, Debug, Serialize)]
pub struct Usage {
    pub node: NodeId,
    pub at: Moment,
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
        server: BoxId,
    },
    /// A cold cache was pushed over.
    FellOver {
        server: BoxId,
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
pub struct Book {
    pub servers: Vec<ServerInfo>,
    pub tries: Vec<Try>,
    pub shots: Vec<Shot>,
    pub effects: Vec<Effect>,
    pub fetches: Vec<Fetch>,
    pub told: Vec<Told>,
    pub usage: Vec<Usage>,
    pub events: Vec<(Moment, Event)>,
    pub letters: Vec<Carried>,
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
pub struct Scribe {
    start: Instant,
    /// Unix time then, in milliseconds.
    pub unix_start_ms: u64,
    book: Arc<Mutex<Book>>,
}

impl Scribe {
    /// The first call is due at `start`, which may lie ahead.
    pub fn new(start: Instant) -> Scribe {
        let unix = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        let ahead = start.saturating_duration_since(Instant::now());
        Scribe { start, unix_start_ms: (unix + ahead).as_millis() as u64, book: Arc::default() }
    }

    pub fn now(&self) -> Moment {
        let now = Instant::now();
        match now.checked_duration_since(self.start) {
            Some(since) => Moment(since.as_micros() as i64),
            None => Moment(-((self.start - now).as_micros() as i64)),
        }
    }

    pub fn instant(&self, at: Moment) -> Instant {
        if at.0 >= 0 {
            self.start + Duration::from_micros(at.0 as u64)
        } else {
            self.start - Duration::from_micros(at.0.unsigned_abs())
        }
    }

    /// A writer that panicked leaves records that are whole.
    pub fn write<T>(&self, what: impl FnOnce(&mut Book) -> T) -> T {
        what(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn event(&self, event: Event) {
        let now = self.now();
        self.write(|b| b.events.push((now, event)));
    }

    /// A shot has come; its end is written under the number that this gives.
    pub fn shot(&self, server: BoxId, node: NodeId, id: &str, work: f64) -> usize {
        let arrived = self.now();
        let shot = Shot { server, node, id: id.into(), arrived, ended: None, end: ShotEnd::Dropped, work };
        self.write(|b| {
            b.shots.push(shot);
            b.shots.len() - 1
        })
    }

    pub fn shot_ended(&self, number: usize, end: ShotEnd) {
        let now = self.now();
        self.write(|b| {
            if let Some(shot) = b.shots.get_mut(number) {
                (shot.ended, shot.end) = (Some(now), end);
            }
        });
    }

    /// Takes the book away; what is written later is lost.
    pub fn close(&self) -> Book {
        self.write(std::mem::take)
    }
}
