//! The origin: holds every value's version, keeps a book of each effect, and can take far less than all calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::cache::Seat;
use super::link::Rough;
use super::listener::{Answers, Broken, Peer, Reply};
use super::service_queue::{Bench, Full, Window};
use super::wire::{self, Call};
use crate::event_log::{
    Effect, Event, EventLogWriter, Fetch, ServerAttemptEnd, ServerId, Timestamp, Version,
};
use crate::experiment::{OriginConfig, ResponseCorruption};

/// Answers are spoilt: a share of them, how, and how late what comes after them.
#[derive(Clone, Copy, Debug)]
pub struct Spoilt {
    pub share: f64,
    pub how: ResponseCorruption,
    pub late: Duration,
}

/// How long a cache that missed is remembered for the fetch that follows.
const MISS_LASTS: i64 = 5_000_000;

/// Since when, and which caches lacked a key.
type Missed = (Timestamp, Vec<Weak<Seat>>);

pub struct Origin {
    pub id: ServerId,
    form: OriginConfig,
    event_log: EventLogWriter,
    bench: Bench,
    asked: Window,
    /// In thousandths: how many times as long everything takes.
    slowed: AtomicU64,
    pub stopped: watch::Sender<bool>,
    /// Set while it has stopped for being overrun.
    overrun: AtomicBool,
    versions: Mutex<HashMap<u64, Version>>,
    repeats: Mutex<HashMap<String, (Timestamp, Version)>>,
    /// The caches that lacked a key, by the call that was told so.
    missed: Mutex<HashMap<String, Missed>>,
    pub seats: OnceLock<Vec<Arc<Seat>>>,
    pub spoil: Mutex<Option<Spoilt>>,
}

impl Origin {
    pub fn new(id: ServerId, form: OriginConfig, event_log: EventLogWriter) -> Origin {
        Origin {
            id,
            bench: Bench::new(form.cores, form.queue_capacity),
            asked: Window::new(Duration::from_secs(1)),
            slowed: AtomicU64::new(1000),
            stopped: watch::Sender::new(false),
            overrun: AtomicBool::new(false),
            versions: Mutex::default(),
            repeats: Mutex::default(),
            missed: Mutex::default(),
            seats: OnceLock::new(),
            spoil: Mutex::default(),
            form,
            event_log,
        }
    }

    pub fn slow_by(&self, factor: f64) {
        self.slowed.store((factor * 1000.0) as u64, Ordering::Relaxed);
    }

    pub fn version(&self, key: u64) -> Version {
        self.versions.lock().expect("no holder panics").get(&key).copied().unwrap_or(Version(0))
    }

    pub fn note_missed(&self, id: &str, seat: &Arc<Seat>) {
        let now = self.event_log.now();
        let mut missed = self.missed.lock().expect("no holder panics");
        if missed.len() > 10_000 {
            missed.retain(|_, (at, _)| now.0 - at.0 < MISS_LASTS);
        }
        missed.entry(id.into()).or_insert((now, Vec::new())).1.push(Arc::downgrade(seat));
    }

    /// What a call takes: half as long again or half of it, by chance of its name.
    fn span(&self, ms: f64, id: &str) -> Duration {
        let slowed = self.slowed.load(Ordering::Relaxed) as f64 / 1000.0;
        Duration::from_secs_f64(ms / 1000.0 * slowed * (0.5 + wire::chance_of(id, 3)))
    }

    /// Runs a read.
    ///
    /// # Errors
    /// [`Full`] where it was turned away unseen.
    pub async fn read(&self, key: u64, id: &str) -> Result<Version, Full> {
        let now = self.event_log.now();
        let mut ms = self.form.read_ms;
        let asked = self.asked.add(now.0, 1.0) / self.form.capacity();
        if asked > self.form.degrade_multiple {
            ms *= 2.0;
        }
        if asked > 2.0 * self.form.degrade_multiple && !self.overrun.swap(true, Ordering::Relaxed) {
            self.event_log.event(Event::OriginOverloaded);
        }
        self.wait_while_stopped().await;
        self.bench.run(|| self.span(ms, id)).await?;
        let at = self.event_log.now();
        self.event_log.write(|b| b.fetches.push(Fetch { at }));
        Ok(self.version(key))
    }

    /// Runs a write: a new version, and no copy of the one before at any cache.
    ///
    /// # Errors
    /// [`Full`] where it was turned away unseen.
    pub async fn write(&self, call: &Call) -> Result<Version, Full> {
        self.wait_while_stopped().await;
        self.bench.run(|| self.span(self.form.write_ms, &call.id)).await?;
        // From here on it has run, whatever becomes of its answer.
        let at = self.event_log.now();
        if let Some(key) = &call.idempotency_key {
            let lasts = (self.form.idempotency_window_s * 1e6) as i64;
            let mut repeats = self.repeats.lock().expect("no holder panics");
            repeats.retain(|_, (then, _)| at.0 - then.0 < lasts);
            if let Some((_, version)) = repeats.get(key) {
                return Ok(*version);
            }
            repeats.insert(key.clone(), (at, Version(self.version(call.key).0 + 1)));
        }
        let version = {
            let mut versions = self.versions.lock().expect("no holder panics");
            let version = versions.entry(call.key).or_insert(Version(0));
            version.0 += 1;
            *version
        };
        self.seats.get().into_iter().flatten().for_each(|seat| seat.drop_copy(call.key));
        let effect = Effect {
            id: call.id.clone(),
            idempotency_key: call.idempotency_key.clone(),
            key: call.key,
            at,
            version,
        };
        self.event_log.write(|b| b.effects.push(effect));
        Ok(version)
    }

    async fn wait_while_stopped(&self) {
        if self.overrun.load(Ordering::Relaxed) {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.overrun.store(false, Ordering::Relaxed);
        }
        let mut stopped = self.stopped.subscribe();
        let _ = stopped.wait_for(|stopped| !stopped).await;
    }

    async fn serve(self: Arc<Self>, peer: Arc<Peer>, call: Request<Incoming>) -> Reply {
        let call = match Call::read(call).await {
            Ok(call) => call,
            Err(status) => return Ok(wire::plain(status)),
        };
        let work = if call.write { self.form.write_ms } else { self.form.read_ms } / 1000.0;
        let shot = Recorded::new(&self.event_log, self.id, &peer, &call, work);
        let result = if call.write { self.write(&call).await } else { self.read(call.key, &call.id).await };
        let Ok(version) = result else {
            shot.end(ServerAttemptEnd::Rejected);
            return Ok(wire::turned_away());
        };
        let lacked = self.missed.lock().expect("no holder panics").remove(&call.id);
        if !call.write {
            for seat in lacked.into_iter().flat_map(|(_, seats)| seats).filter_map(|s| s.upgrade()) {
                seat.store(call.key, version, self.version(call.key));
            }
        }
        let spoil = *self.spoil.lock().expect("no holder panics");
        answer_or_spoil(spoil, &peer, &call, version, "origin", shot).await
    }
}

impl Answers for Origin {
    fn answer(
        self: Arc<Self>,
        peer: Arc<Peer>,
        call: Request<Incoming>,
    ) -> std::pin::Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.serve(peer, call))
    }

    fn keepalive(&self) -> Duration {
        Duration::from_secs(10)
    }

    fn connections(&self) -> usize {
        4096
    }
}

/// A shot in the book; one that is not ended by the time it goes away was dropped.
pub struct Recorded<'a> {
    event_log: &'a EventLogWriter,
    number: usize,
    ended: bool,
}

impl<'a> Recorded<'a> {
    pub fn new(
        event_log: &'a EventLogWriter,
        server: ServerId,
        peer: &Peer,
        call: &Call,
        work: f64,
    ) -> Recorded<'a> {
        Recorded { event_log, number: event_log.attempt_arrived(server, peer.node, &call.id, work), ended: false }
    }

    pub fn end(mut self, end: ServerAttemptEnd) {
        self.event_log.attempt_ended(self.number, end);
        self.ended = true;
    }
}

impl Drop for Recorded<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.event_log.attempt_ended(self.number, ServerAttemptEnd::Dropped);
        }
    }
}

/// The answer to a call that has run, unless it is to be spoilt.
pub async fn answer_or_spoil(
    spoil: Option<Spoilt>,
    peer: &Peer,
    call: &Call,
    version: Version,
    word: &str,
    shot: Recorded<'_>,
) -> Reply {
    let spoil = spoil.filter(|s| wire::chance_of(&call.id, 11) < s.share);
    let Some(Spoilt { how, late, .. }) = spoil else {
        shot.end(ServerAttemptEnd::Answered);
        return Ok(wire::value(call, version, word));
    };
    if how == ResponseCorruption::ErrorStatus {
        shot.end(ServerAttemptEnd::Failed);
        return Ok(wire::plain(500));
    }
    if let Some(bytes) = wire::after(how, call, version, word) {
        shot.end(ServerAttemptEnd::Answered);
        // By chance of its name half of the time or half as long again.
        peer.break_with(Rough::Also { bytes, late: late.mul_f64(0.5 + wire::chance_of(&call.id, 13)) });
        return Ok(wire::value(call, version, word));
    }
    peer.break_with(wire::spoilt(how));
    shot.end(ServerAttemptEnd::Failed);
    // The connection is carried past the library from here on, until the node ends it.
    std::future::pending::<()>().await;
    Err(Broken)
}
