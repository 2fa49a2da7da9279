//! A cache server or the origin: slots at work, a short queue, and stored keys.

mod key_cache;

use std::collections::VecDeque;

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};

pub use key_cache::KeyCache;

/// An attempt as the server processes it.
#[derive(Clone, Copy, Debug)]
pub struct ServerJob {
    /// Index of the node that sent it.
    pub node: usize,
    /// Incarnation of that node.
    pub incarnation: u32,
    /// Request that the attempt belongs to.
    pub request: u64,
    /// Number of the attempt within its request.
    pub number: u8,
    /// Requested key.
    pub key: Key,
    /// Whether the request is a write.
    pub write: bool,
    /// Service time at full speed.
    pub work: Span,
    /// Whether the key was not stored when the attempt arrived.
    pub is_miss: bool,
}

/// What distinguishes servers when they are created.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// Zone of the server.
    pub zone: usize,
    /// Jobs that it processes at once.
    pub slots: usize,
    /// Jobs that may wait.
    pub queue_capacity: usize,
    /// Speed relative to the nominal one.
    pub speed: f64,
    /// Keys that it can store.
    pub key_capacity: usize,
}

/// A server's state.
pub struct Server {
    /// Zone of the server.
    pub zone: usize,
    /// Jobs that it processes at once.
    pub slots: usize,
    /// Jobs that may wait.
    pub queue_capacity: usize,
    /// Speed relative to the nominal one.
    pub speed: f64,
    /// When it started cold; `None` for a server that was warm from the beginning.
    pub started: Option<Time>,
    /// It does not accept connections and does not respond.
    pub is_down: bool,
    /// It was removed from service discovery for good and finishes the jobs that it has.
    pub is_removed: bool,
    /// Slots that are in use.
    pub busy: usize,
    /// Jobs that wait.
    pub queue: VecDeque<ServerJob>,
    /// Counts crashes. Completions of jobs from an earlier incarnation are void.
    pub incarnation: u32,
    /// Work of handshakes that is not done yet, in seconds.
    pub handshake_backlog_s: f64,
    /// Keys that it stores.
    pub keys: KeyCache,
}

impl Server {
    /// A warm, idle server without keys.
    pub fn new(spec: ServerSpec) -> Server {
        Server {
            zone: spec.zone,
            slots: spec.slots,
            queue_capacity: spec.queue_capacity,
            speed: spec.speed,
            started: None,
            is_down: false,
            is_removed: false,
            busy: 0,
            queue: VecDeque::new(),
            incarnation: 0,
            handshake_backlog_s: 0.0,
            keys: KeyCache::new(spec.key_capacity),
        }
    }

    /// Loses all jobs and keys, as after a power failure, and stays down.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.busy = 0;
        self.handshake_backlog_s = 0.0;
        self.queue.clear();
        self.keys.clear();
        self.is_down = true;
    }

    /// Whether the server rejects a further job.
    pub fn is_full(&self) -> bool {
        self.busy + self.queue.len() >= self.slots + self.queue_capacity
    }

    /// Share of its slots and queue that is in use.
    pub fn occupancy(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / (self.slots + self.queue_capacity) as f64
    }

    /// Share of its capacity that it has now: it rises evenly from `initial` to 1 during `warm_up` after a cold start.
    pub fn warmup_factor(&self, now: Time, initial: f64, warm_up: Span) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        initial + (1.0 - initial) * ((now - started).as_secs_f64() / warm_up.as_secs_f64()).min(1.0)
    }
}
