//! Simulated caches and the simulated origin: each has workers, a bounded queue and a store of keys.

use std::collections::VecDeque;

use crate::random::Random;
use crate::wire::{CACHE_MISS, ERRORED, FULFILLED, ListEntry, NOT_SENT, REJECTED, RESET, UNREACHABLE};

pub const MILLISECOND: u64 = 1000;
pub const SECOND: u64 = 1_000_000;
/// Range of the network round-trip time, in microseconds.
const ROUND_TRIP: (u64, u64) = (MILLISECOND, 4 * MILLISECOND);
/// Attempts per worker at which an endpoint rejects further ones.
const QUEUE_PER_WORKER: usize = 12;
/// Largest number of keys in a cache. The key that was stored first is evicted first.
const STORED_KEYS: usize = 600;
/// Share of a request's work that a cache spends on the response to a cache miss.
const MISS_WORK_SHARE: f64 = 0.2;

/// How an endpoint is faulty.
#[derive(Clone, Copy)]
pub enum Fault {
    /// Accepts attempts and never responds.
    Hung,
    /// Connections cannot be established.
    Unreachable,
    /// Connections are reset while attempts are in progress.
    Resetting,
    /// Responds with an error.
    Failing,
    /// Rejects all attempts.
    Rejecting,
    /// Attempts to the endpoint expire at the node before they are sent.
    NotSent,
    /// Service takes this many times as long.
    Slow(f64),
}

/// A fault that affects a share of the attempts until a time.
#[derive(Clone, Copy)]
pub struct ActiveFault {
    pub fault: Fault,
    pub share: f64,
    pub until: u64,
}

/// The outcome and the time at which an attempt ends, unless it times out or is cancelled before. `None` if
/// the endpoint never responds.
pub type AttemptEnd = Option<(u8, u64)>;

/// The work that an attempt causes at an endpoint.
pub struct ServiceDemand {
    /// Service time at a warm endpoint of size 1, in microseconds.
    pub work: u64,
    /// Whether the cache has to respond with a cache miss.
    pub cache_miss: bool,
    /// Time that the cache waits for its own request to the origin, in microseconds.
    pub fetch: u64,
}

pub struct Endpoint {
    pub entry: ListEntry,
    pub fault: Option<ActiveFault>,
    /// Time after its start until the endpoint has its full capacity, in microseconds.
    pub warm_after: u64,
    /// The time at which each worker becomes free.
    workers: Vec<u64>,
    /// The end times of attempts that are in progress or ended within the last second.
    completions: Vec<u64>,
    stored: VecDeque<u64>,
    /// Service time of the latest attempt, in microseconds.
    recent_service: u64,
}

impl Endpoint {
    pub fn new(entry: ListEntry, workers: usize, warm_after: u64) -> Endpoint {
        Endpoint {
            entry,
            fault: None,
            warm_after,
            workers: vec![0; workers],
            completions: Vec::new(),
            stored: VecDeque::new(),
            recent_service: 0,
        }
    }

    /// Restarts the endpoint: cold, and with an empty store.
    pub fn restart(&mut self, now: u64) {
        self.entry.started = now;
        self.stored.clear();
        self.workers.fill(now);
        self.completions.clear();
    }

    pub fn store(&mut self, key: u64) {
        if self.stored.contains(&key) {
            return;
        }
        self.stored.push_back(key);
        if self.stored.len() > STORED_KEYS {
            self.stored.pop_front();
        }
    }

    pub fn has(&self, key: u64) -> bool {
        self.stored.contains(&key)
    }

    /// Starts an attempt and returns how and when it ends.
    pub fn start_attempt(&mut self, now: u64, demand: &ServiceDemand, random: &mut Random) -> AttemptEnd {
        let trip = random.between(ROUND_TRIP.0, ROUND_TRIP.1);
        let fault = self.draw_fault(now, random);
        self.completions.retain(|end| end + SECOND > now);
        match fault {
            Some(Fault::Hung) => return None,
            Some(Fault::Unreachable) => return Some((UNREACHABLE, now + 20 * trip)),
            Some(Fault::NotSent) => return Some((NOT_SENT, now + 1)),
            Some(Fault::Rejecting) => return Some((REJECTED, now + trip)),
            _ if self.outstanding(now) >= self.workers.len() * QUEUE_PER_WORKER => {
                return Some((REJECTED, now + trip));
            }
            _ => {}
        }
        let slowdown = if let Some(Fault::Slow(factor)) = fault { factor } else { 1.0 };
        let work_share = if demand.cache_miss { MISS_WORK_SHARE } else { 1.0 };
        let end = self.schedule_work(now, demand.work as f64 * slowdown * work_share, demand.fetch);
        match fault {
            Some(Fault::Resetting) => Some((RESET, now + (end - now) / 2 + trip)),
            Some(Fault::Failing) => Some((ERRORED, end + trip)),
            _ => Some((if demand.cache_miss { CACHE_MISS } else { FULFILLED }, end + trip)),
        }
    }

    /// The load report by column: attempts in progress, attempts queued, latest service time in milliseconds,
    /// and attempts completed in the last second.
    pub fn report(&self, now: u64, columns: &[&str]) -> Vec<f32> {
        let outstanding = self.outstanding(now);
        let value = |column: &&str| match *column {
            "outstanding" => outstanding as f32,
            "backlog" => outstanding.saturating_sub(self.workers.len()) as f32,
            "recent_ms" => self.recent_service as f32 / MILLISECOND as f32,
            "throughput" => (self.completions.len() - outstanding) as f32,
            _ => 0.5,
        };
        columns.iter().map(value).collect()
    }

    fn outstanding(&self, now: u64) -> usize {
        self.completions.iter().filter(|end| **end > now).count()
    }

    fn draw_fault(&mut self, now: u64, random: &mut Random) -> Option<Fault> {
        let active = self.fault.filter(|active| active.until > now)?;
        random.chance(active.share).then_some(active.fault)
    }

    /// Assigns work to the worker that becomes free first, and returns the time at which the work is done.
    fn schedule_work(&mut self, now: u64, work: f64, fetch: u64) -> u64 {
        let service = (work / f64::from(self.entry.size) / self.warm_share(now)) as u64 + fetch;
        let worker = self.workers.iter_mut().min().expect("an endpoint has workers");
        *worker = (*worker).max(now) + service;
        self.recent_service = service;
        self.completions.push(*worker);
        *worker
    }

    /// The share of its full capacity that the endpoint has while it warms up.
    fn warm_share(&self, now: u64) -> f64 {
        if self.entry.started == 0 || self.warm_after == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.entry.started) as f64 / self.warm_after as f64;
        0.25 + 0.75 * age.min(1.0)
    }
}
