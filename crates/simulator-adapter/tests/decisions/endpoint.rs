//! Simulated endpoints: caches and the origin, each with workers, a bounded queue and stored keys.

use std::collections::VecDeque;

use crate::random::Random;
use crate::wire::{ERRORED, Entry, FULL, MISSED, NOT_SENT, RESET, SERVED, UNREACHABLE};

pub const MILLISECOND: u64 = 1000;
pub const SECOND: u64 = 1_000_000;
/// The way there and back.
const ROUND_TRIP: (u64, u64) = (MILLISECOND, 4 * MILLISECOND);
/// More attempts than so many for each worker are turned away.
const QUEUE_PER_WORKER: usize = 12;
/// A cache stores so many keys.
const STORED_KEYS: usize = 600;
/// Saying that a key is missing takes this part of a request's work.
const MISS_WORK: f64 = 0.2;

/// What is wrong with an endpoint.
#[derive(Clone, Copy)]
pub enum Trouble {
    /// Takes attempts and never answers.
    Hung,
    Unreachable,
    /// Connections drop while attempts are out.
    Resetting,
    Failing,
    /// Turns everything away.
    Refusing,
    /// Attempts never go out to it: their time expired here.
    NotSent,
    /// Takes so many times as long.
    Slow(f64),
}

/// Trouble for a share of the attempts, until a time.
#[derive(Clone, Copy)]
pub struct Spell {
    pub trouble: Trouble,
    pub share: f64,
    pub until: u64,
}

/// How an attempt will end, unless it is given up before: `None` where no answer ever comes.
pub type Fate = Option<(u8, u64)>;

/// What an attempt asks of an endpoint.
pub struct Task {
    /// The time that it takes at a warm endpoint of size one.
    pub work: u64,
    /// Whether a cache has to answer that it lacks the key.
    pub missing: bool,
    /// How long the origin takes for what this cache fetches or forwards itself.
    pub fetch: u64,
}

pub struct Endpoint {
    pub entry: Entry,
    pub spell: Option<Spell>,
    /// How long after its start it is slower.
    pub warm_after: u64,
    /// When each worker is free.
    workers: Vec<u64>,
    /// When attempts end that are held or ended within the last second.
    ends: Vec<u64>,
    stored: VecDeque<u64>,
    recent_service: u64,
}

impl Endpoint {
    pub fn new(entry: Entry, workers: usize, warm_after: u64) -> Endpoint {
        Endpoint {
            entry,
            spell: None,
            warm_after,
            workers: vec![0; workers],
            ends: Vec::new(),
            stored: VecDeque::new(),
            recent_service: 0,
        }
    }

    /// Starts anew: cold, with nothing stored.
    pub fn restart(&mut self, now: u64) {
        self.entry.started = now;
        self.stored.clear();
        self.workers.fill(now);
        self.ends.clear();
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

    /// Takes an attempt.
    pub fn take(&mut self, now: u64, task: &Task, random: &mut Random) -> Fate {
        let trip = random.between(ROUND_TRIP.0, ROUND_TRIP.1);
        let trouble = self.trouble(now, random);
        self.ends.retain(|end| end + SECOND > now);
        match trouble {
            Some(Trouble::Hung) => return None,
            Some(Trouble::Unreachable) => return Some((UNREACHABLE, now + 20 * trip)),
            Some(Trouble::NotSent) => return Some((NOT_SENT, now + 1)),
            Some(Trouble::Refusing) => return Some((FULL, now + trip)),
            _ if self.held(now) >= self.workers.len() * QUEUE_PER_WORKER => return Some((FULL, now + trip)),
            _ => {}
        }
        let slower = if let Some(Trouble::Slow(times)) = trouble { times } else { 1.0 };
        let part = if task.missing { MISS_WORK } else { 1.0 };
        let end = self.occupy(now, task.work as f64 * slower * part, task.fetch);
        match trouble {
            Some(Trouble::Resetting) => Some((RESET, now + (end - now) / 2 + trip)),
            Some(Trouble::Failing) => Some((ERRORED, end + trip)),
            _ => Some((if task.missing { MISSED } else { SERVED }, end + trip)),
        }
    }

    /// The load report: attempts held and queued, milliseconds of the last service, answers a second.
    pub fn report(&self, now: u64, columns: &[&str]) -> Vec<f32> {
        let held = self.held(now);
        let figure = |column: &&str| match *column {
            "outstanding" => held as f32,
            "backlog" => held.saturating_sub(self.workers.len()) as f32,
            "recent_ms" => self.recent_service as f32 / MILLISECOND as f32,
            "throughput" => (self.ends.len() - held) as f32,
            _ => 0.5,
        };
        columns.iter().map(figure).collect()
    }

    fn held(&self, now: u64) -> usize {
        self.ends.iter().filter(|end| **end > now).count()
    }

    fn trouble(&mut self, now: u64, random: &mut Random) -> Option<Trouble> {
        let spell = self.spell.filter(|spell| spell.until > now)?;
        random.happens(spell.share).then_some(spell.trouble)
    }

    /// Puts work on the worker that is free first, and returns when it is done.
    fn occupy(&mut self, now: u64, work: f64, fetch: u64) -> u64 {
        let service = (work / f64::from(self.entry.size) / self.warmth(now)) as u64 + fetch;
        let worker = self.workers.iter_mut().min().expect("an endpoint has workers");
        *worker = (*worker).max(now) + service;
        self.recent_service = service;
        self.ends.push(*worker);
        *worker
    }

    /// The share of its capacity that it has by now.
    fn warmth(&self, now: u64) -> f64 {
        if self.entry.started == 0 || self.warm_after == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.entry.started) as f64 / self.warm_after as f64;
        0.25 + 0.75 * age.min(1.0)
    }
}
