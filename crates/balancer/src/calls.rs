//! What is said of caches, API calls and shots, to the decisions and by them.

use std::collections::BTreeMap;

use crate::ids::{AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId};
use crate::time::{Span, Time};

/// One line of the list of caches.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    pub cache: EndpointId,
    pub kind: KindId,
    pub size: f64,
    pub zone: ZoneId,
    pub cell: CellId,
    /// Whether new work may be sent: neither draining nor gone.
    pub ready: bool,
    /// Whether it finishes its work and gets nothing new; one that is neither this nor ready is gone.
    pub draining: bool,
    /// When it last started, unless long ago.
    pub started: Option<Time>,
}

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub request_class: RequestClassId,
    pub key: Key,
    /// How long until the client gives up on this try.
    pub budget: Span,
    /// The estimated work, where known.
    pub work: Option<Span>,
    pub write: bool,
}

/// A shot to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub request: RequestId,
    pub cache: EndpointId,
    pub give_up_after: Span,
    /// Its first byte may go out for so long: a connection may take long to come up, and a repeat must still be dropped.
    pub begin_within: Span,
}

/// What a cache reports of its load, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// API calls that it holds, waiting ones too.
    pub held: Option<f64>,
    /// API calls that wait there.
    pub waiting: Option<f64>,
    /// How long one takes there of late, without waiting.
    pub service: Option<Span>,
    /// API calls that it serves in a second.
    pub per_s: Option<f64>,
}

/// What became of a shot.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub number: AttemptNumber,
    pub cache: EndpointId,
    pub outcome: AttemptOutcome,
    pub latency: Span,
    /// Whether the API call is finished, by this or before.
    pub answered: bool,
}

/// How a shot ended, as far as that decides what follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Fulfilled,
    /// The cache lacks the key.
    CacheMiss,
    /// Turned away unseen.
    Rejected,
    /// No connection.
    Unreachable,
    /// Never sent.
    NotSent,
    TimedOut,
    Errored,
    Reset,
    /// Called off.
    Cancelled,
}

impl AttemptOutcome {
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::CacheMiss
                | AttemptOutcome::Rejected
                | AttemptOutcome::Unreachable
                | AttemptOutcome::NotSent
        )
    }
}

/// How shards of the slot table are split, by a version that all planners would give: half of a split shard's keys, by
/// one more bit of their hash, have other candidates. It is told whole; one that was not heard costs misses alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardMap {
    pub version: u64,
    /// By the shard's number; those that are not named are whole.
    pub shards: BTreeMap<u8, ShardSplit>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardSplit {
    /// More bits of the hash that tell its keys apart.
    pub bits: u8,
    /// The split under way, by one more bit.
    pub moving: MigrationPhase,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MigrationPhase {
    #[default]
    Stable,
    /// So many sixteenths of the keys that move are read at their new places.
    Copying { sixteenths: u8 },
    /// All are, and what lacks there is asked of the old place before the origin.
    DualRead,
    /// The old places are asked no more.
    Switched,
}

/// What others say of caches, each with the time of what it rests on. It is weighed as information, never obeyed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlPlaneUpdate {
    /// Caches that leave other nodes' calls unanswered.
    pub failing: Vec<(EndpointId, Time)>,
    /// Caches that had failed and answer others again.
    pub answering: Vec<(EndpointId, Time)>,
    /// The slot table's form; none keeps the one that is held.
    pub table: Option<ShardMap>,
    /// What this node may use of the origin, and of cold caches.
    pub leases: Vec<(EndpointId, Lease)>,
}

/// A node's part of what the whole fleet may ask of a server: of the origin fetches a second, of a cold cache work a
/// second as if it were warm. It only ever lowers what the node would send by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lease {
    pub most: f64,
    /// It ends by itself then: whoever granted it may have given it to others.
    pub until: Time,
    /// What is left to the node without it.
    pub then: f64,
}

/// The last part of a lease, in which it falls to what is left without: its end is no step.
const EASES: Span = Span::from_millis(500);

impl Lease {
    /// What it allows now.
    pub fn at(&self, now: Time) -> f64 {
        let left = ((self.until - now).as_secs_f64() / EASES.as_secs_f64()).min(1.0);
        match (now >= self.until, left >= 1.0) {
            (true, _) => self.then,
            (_, true) => self.most,
            _ => self.most * left + self.then * (1.0 - left),
        }
    }
}

/// A final answer that the node gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalReply {
    RateLimited { retry_after: Span },
    Errored,
}
