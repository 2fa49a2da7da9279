//! A cache server, or the origin: places at work, a short queue, and keys kept up to a number.

use std::collections::{BTreeMap, HashMap, VecDeque};

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};

/// A shot as a server holds it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub node: usize,
    pub incarnation: u32,
    pub call: u64,
    pub number: u8,
    pub key: Key,
    pub write: bool,
    /// How long it takes at full speed.
    pub work: Span,
    /// The key was not held when it came.
    pub lacks: bool,
}

pub struct Server {
    pub zone: usize,
    pub slots: usize,
    pub queue_most: usize,
    pub speed: f64,
    pub started: Option<Time>,
    /// Gone without a word: nothing comes up, nothing is answered.
    pub down: bool,
    /// Left for good; it finishes what it has.
    pub left: bool,
    pub busy: usize,
    pub queue: VecDeque<Job>,
    /// Ends of an earlier life are void.
    pub incarnation: u32,
    /// Work of handshakes that is still to be done, in seconds.
    pub debt: f64,
    keeps: usize,
    held: HashMap<Key, u64>,
    order: BTreeMap<u64, Key>,
    ticks: u64,
}

impl Server {
    pub fn new(zone: usize, slots: usize, queue_most: usize, speed: f64, keeps: usize) -> Server {
        Server {
            zone,
            slots,
            queue_most,
            speed,
            started: None,
            down: false,
            left: false,
            busy: 0,
            queue: VecDeque::new(),
            incarnation: 0,
            debt: 0.0,
            keeps,
            held: HashMap::new(),
            order: BTreeMap::new(),
            ticks: 0,
        }
    }

    /// Whether the key is held; asking for it makes it the last to be dropped.
    pub fn holds(&mut self, key: Key) -> bool {
        let held = self.held.contains_key(&key);
        if held {
            self.keep(key);
        }
        held
    }

    pub fn keep(&mut self, key: Key) {
        self.ticks += 1;
        if let Some(old) = self.held.insert(key, self.ticks) {
            self.order.remove(&old);
        }
        self.order.insert(self.ticks, key);
        while self.held.len() > self.keeps {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.held.remove(&oldest);
        }
    }

    pub fn drop_key(&mut self, key: Key) {
        if let Some(tick) = self.held.remove(&key) {
            self.order.remove(&tick);
        }
    }

    pub fn keeps(&self) -> usize {
        self.keeps
    }

    /// Everything it had is gone, as after a loss of power.
    pub fn fall(&mut self) {
        self.incarnation += 1;
        self.busy = 0;
        self.debt = 0.0;
        self.queue.clear();
        self.held.clear();
        self.order.clear();
        self.down = true;
    }

    pub fn is_full(&self) -> bool {
        self.busy + self.queue.len() >= self.slots + self.queue_most
    }

    /// How much of its places is taken.
    pub fn crowd(&self) -> f64 {
        (self.busy + self.queue.len()) as f64 / (self.slots + self.queue_most) as f64
    }

    /// The share of its capacity that it has: a cold one warms evenly over `over` from `from`.
    pub fn warmth(&self, now: Time, from: f64, over: Span) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        from + (1.0 - from) * ((now - started).as_secs_f64() / over.as_secs_f64()).min(1.0)
    }
}
