//! A simulated cache server or origin: slots that process jobs, a short queue, and stored keys.

mod key_cache;

use std::collections::VecDeque;

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};

pub use key_cache::KeyCache;

/// An attempt as a server processes it.
#[derive(Clone, Copy, Debug)]
pub struct ServerJob {
    /// The index of the node that sent the attempt.
    pub node: usize,
    /// The incarnation of the node that sent the attempt.
    pub incarnation: u32,
    /// The request that the attempt belongs to.
    pub request: u64,
    /// The number of the attempt within its request.
    pub number: u8,
    /// The requested key.
    pub key: Key,
    /// Whether the request is a write.
    pub write: bool,
    /// The service time at speed 1 of a server with full capacity.
    pub work: Span,
    /// Whether the key was not stored when the attempt arrived.
    pub is_miss: bool,
}

/// The parameters of a new server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSpec {
    /// The zone of the server.
    pub zone: usize,
    /// The number of jobs that the server processes at once.
    pub slots: usize,
    /// The number of jobs that may wait.
    pub queue_capacity: usize,
    /// The speed of the server relative to the nominal speed.
    pub speed: f64,
    /// The number of keys that the server can store.
    pub key_capacity: usize,
}

/// The state of a server.
pub struct Server {
    /// The zone of the server.
    pub zone: usize,
    /// The number of jobs that the server processes at once.
    pub slots: usize,
    /// The number of jobs that may wait.
    pub queue_capacity: usize,
    /// The speed of the server relative to the nominal speed.
    pub speed: f64,
    /// When the server last started cold; `None` for a server that was warm from the beginning.
    pub started: Option<Time>,
    /// Whether the server is down: it neither accepts connections nor responds.
    pub is_down: bool,
    /// Whether the server has been removed from service discovery for good. Such a server finishes its
    /// remaining jobs.
    pub is_removed: bool,
    /// The number of slots in use.
    pub busy: usize,
    /// The jobs that wait for a slot.
    pub queue: VecDeque<ServerJob>,
    /// The number of crashes. Completions of jobs of an earlier incarnation are ignored.
    pub incarnation: u32,
    /// The work of handshakes that the server has not done yet, in seconds.
    pub handshake_backlog_s: f64,
    /// The stored keys.
    pub keys: KeyCache,
}

impl Server {
    /// Returns a warm, idle server without keys.
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

    /// Stops the server, which loses all jobs and keys, as in a power failure, and stays down.
    pub fn crash(&mut self) {
        self.incarnation += 1;
        self.busy = 0;
        self.handshake_backlog_s = 0.0;
        self.queue.clear();
        self.keys.clear();
        self.is_down = true;
    }

    /// Returns whether the server rejects a further job.
    pub fn is_full(&self) -> bool {
        self.busy + self.queue.len() >= self.slots + self.queue_capacity
    }

    /// Returns the share of the server's slots and queue that is in use.
    pub fn occupancy(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / (self.slots + self.queue_capacity) as f64
    }

    /// Returns the share of its full capacity that the server has now. The share rises linearly from
    /// `initial` to 1 during `warm_up` after a cold start.
    pub fn warmup_factor(&self, now: Time, initial: f64, warm_up: Span) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        initial + (1.0 - initial) * ((now - started).as_secs_f64() / warm_up.as_secs_f64()).min(1.0)
    }
}
