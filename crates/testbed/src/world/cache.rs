//! Cache boxes: a seat is an address in the world, a box is what stands there now.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use lru::LruCache;
use tokio::sync::watch;

use super::listener::{Answers, Door, Peer, Reply, Stance};
use super::origin::{Origin, Recorded, Spoilt, answer_or_spoil};
use super::service_queue::{Bench, Window};
use super::wire::{self, Call};
use crate::event_log::{Event, EventLogWriter, ServerAttemptEnd, ServerId, Timestamp, Version};
use crate::experiment::CacheConfig;

/// A box that fell over is back after this, cold.
const FALLEN: Duration = Duration::from_secs(3);

/// What stands at a seat until it goes or loses its memory.
struct Standing {
    id: ServerId,
    started: Option<Timestamp>,
    values: Mutex<LruCache<u64, Version>>,
    bench: Bench,
    work: Window,
    draining: AtomicBool,
    fallen: AtomicBool,
}

pub struct Seat {
    pub number: usize,
    form: CacheConfig,
    event_log: EventLogWriter,
    origin: Arc<Origin>,
    standing: Mutex<Arc<Standing>>,
    pub doors: OnceLock<Vec<Door>>,
    pub hung: watch::Sender<bool>,
    slowed: AtomicU64,
    pub spoil: Mutex<Option<Spoilt>>,
}

impl Standing {
    fn new(form: &CacheConfig, id: ServerId, started: Option<Timestamp>) -> Arc<Standing> {
        let values = NonZeroUsize::new(form.capacity_values).unwrap_or(NonZeroUsize::MIN);
        Arc::new(Standing {
            id,
            started,
            values: Mutex::new(LruCache::new(values)),
            bench: Bench::new(form.cores, form.queue_capacity),
            work: Window::new(Duration::from_secs_f64(form.overload_window_s)),
            draining: AtomicBool::new(false),
            fallen: AtomicBool::new(false),
        })
    }

    /// The share of its speed that it has.
    fn warmth(&self, form: &CacheConfig, now: Timestamp) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |s| now.ms_since(s) / 1e3);
        form.cold_speed + (1.0 - form.cold_speed) * (age / form.warm_after_s.max(1e-3)).clamp(0.0, 1.0)
    }
}

impl Seat {
    pub fn new(
        number: usize,
        form: CacheConfig,
        event_log: EventLogWriter,
        origin: Arc<Origin>,
        id: ServerId,
        started: Option<Timestamp>,
    ) -> Seat {
        let standing = Mutex::new(Standing::new(&form, id, started));
        Seat {
            number,
            form,
            event_log,
            origin,
            standing,
            doors: OnceLock::new(),
            hung: watch::Sender::new(false),
            slowed: AtomicU64::new(1000),
            spoil: Mutex::default(),
        }
    }

    fn standing(&self) -> Arc<Standing> {
        self.standing.lock().expect("no holder panics").clone()
    }

    pub fn id(&self) -> ServerId {
        self.standing().id
    }

    pub fn started(&self) -> Option<Timestamp> {
        self.standing().started
    }

    /// A new box, or the same one come back cold, stands here from now on.
    pub fn stand(&self, id: ServerId, started: Option<Timestamp>) {
        if started.is_some() {
            self.event_log.event(Event::ColdStart { server: id });
        }
        *self.standing.lock().expect("no holder panics") = Standing::new(&self.form, id, started);
    }

    pub fn set_doors(&self, stance: Stance) {
        self.doors.get().into_iter().flatten().for_each(|door| door.set(stance));
    }

    pub fn reset_connections(&self) {
        self.doors.get().into_iter().flatten().for_each(Door::reset);
    }

    pub fn slow_by(&self, factor: f64) {
        self.slowed.store((factor * 1000.0) as u64, Ordering::Relaxed);
    }

    pub fn drain(&self) {
        self.standing().draining.store(true, Ordering::Relaxed);
    }

    pub fn void(&self) {
        self.standing().values.lock().expect("no holder panics").clear();
    }

    pub fn drop_copy(&self, key: u64) {
        self.standing().values.lock().expect("no holder panics").pop(&key);
    }

    /// Stores a value, unless a write has replaced it meanwhile.
    pub fn store(&self, key: u64, version: Version, current: Version) {
        if version == current {
            self.standing().values.lock().expect("no holder panics").put(key, version);
        }
    }

    async fn serve(self: Arc<Self>, peer: Arc<Peer>, call: Request<Incoming>) -> Reply {
        let call = match Call::read(call).await {
            Ok(call) => call,
            Err(status) => return Ok(wire::plain(status)),
        };
        let standing = self.standing();
        let shot = Recorded::new(&self.event_log, standing.id, &peer, &call, self.form.hit_ms / 1000.0);
        if peer.calls.fetch_add(1, Ordering::Relaxed) == 0 && self.form.connect_ms > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(self.form.connect_ms / 1000.0)).await;
        }
        if standing.draining.load(Ordering::Relaxed) {
            shot.end(ServerAttemptEnd::Rejected);
            return Ok(wire::turned_away());
        }
        self.weigh(&standing);
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
        let span = || {
            let slowed = self.slowed.load(Ordering::Relaxed) as f64 / 1000.0;
            let ms = self.form.hit_ms * slowed * (0.5 + wire::chance_of(&call.id, 5));
            Duration::from_secs_f64(ms / 1000.0 / standing.warmth(&self.form, self.event_log.now()))
        };
        if standing.bench.run(span).await.is_err() {
            shot.end(ServerAttemptEnd::Rejected);
            return Ok(wire::turned_away());
        }
        // Hung in the midst of it, it keeps its answers too.
        let _ = self.hung.subscribe().wait_for(|hung| !hung).await;
        let spoil = *self.spoil.lock().expect("no holder panics");
        let held = standing.values.lock().expect("no holder panics").get(&call.key).copied();
        match held {
            Some(version) if !call.write => answer_or_spoil(spoil, &peer, &call, version, "hit", shot).await,
            _ => {
                // A write that comes here by mistake does not run: the origin takes writes.
                if !call.write {
                    self.origin.note_missed(&call.id, &self);
                }
                shot.end(ServerAttemptEnd::CacheMiss);
                Ok(wire::plain(404))
            }
        }
    }

    /// Weighs what a cold box is sent; too much pushes it over.
    fn weigh(self: &Arc<Self>, standing: &Arc<Standing>) {
        let now = self.event_log.now();
        let warmth = standing.warmth(&self.form, now);
        let sent = standing.work.add(now.0, self.form.hit_ms / 1000.0);
        let mut stands =
            self.form.overload_multiple * self.form.cores as f64 * warmth * self.form.overload_window_s;
        if self.form.random_overload_limit {
            let one = self.form.hit_ms / 1000.0;
            stands += (3.0 * (stands / one).sqrt() + 3.0) * one;
        }
        if warmth >= 1.0 || sent <= stands || standing.fallen.swap(true, Ordering::Relaxed) {
            return;
        }
        self.event_log.event(Event::CacheOverloaded { server: standing.id });
        let (seat, id) = (self.clone(), standing.id);
        tokio::spawn(async move {
            seat.set_doors(Stance::Refusing);
            tokio::time::sleep(FALLEN).await;
            seat.stand(id, Some(seat.event_log.now()));
            seat.set_doors(Stance::Open);
        });
    }
}

impl Answers for Seat {
    fn answer(
        self: Arc<Self>,
        peer: Arc<Peer>,
        call: Request<Incoming>,
    ) -> std::pin::Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.serve(peer, call))
    }

    fn keepalive(&self) -> Duration {
        Duration::from_secs_f64(self.form.keepalive_s)
    }

    fn connections(&self) -> usize {
        self.form.max_connections
    }
}
