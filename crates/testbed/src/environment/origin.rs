//! The simulated origin. It holds the current version of every value, records each executed write and read,
//! and has far less capacity than all requests together need.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::attempt_record::AttemptRecord;
use super::cache::CacheSlot;
use super::listener::{Handler, HandlerFuture, HandlerResult, ServerConnection};
use super::response_corruption::{ActiveCorruption, respond};
use super::service_queue::{QueueFull, ServiceQueue, SlidingWindow};
use super::wire::{self, ServerRequest, hash_stream};
use crate::event_log::{
    Effect, Event, EventLogWriter, Fetch, ServerAttemptEnd, ServerId, Timestamp, Version,
};
use crate::experiment::OriginConfig;

/// Time for which a cache miss is remembered for the fetch that follows the miss, in microseconds.
const CACHE_MISS_LIFETIME_US: i64 = 5_000_000;
/// Number of remembered cache misses above which expired ones are removed.
const MAX_CACHE_MISSES: usize = 10_000;
/// Value of [`Origin::slowdown_permille`] at normal speed.
const NORMAL_SPEED_PERMILLE: f64 = 1000.0;
/// Sliding window over which the rate of reads is measured.
const READ_RATE_WINDOW: Duration = Duration::from_secs(1);
/// Factor on the time of a read while the origin is degraded.
const DEGRADED_SLOWDOWN: f64 = 2.0;
/// Load at which the origin stops, as a multiple of the load at which it degrades.
const STOP_OVER_DEGRADE: f64 = 2.0;
/// Time for which an overloaded origin stops.
const OVERLOAD_STOP_DURATION: Duration = Duration::from_secs(1);
/// Time after which an idle connection is closed.
const KEEPALIVE: Duration = Duration::from_secs(10);
/// The most connections of each node.
const MAX_CONNECTIONS: usize = 4096;

/// The caches that missed a key for one request.
struct CacheMiss {
    at: Timestamp,
    slots: Vec<Weak<CacheSlot>>,
}

/// A write that was executed under an idempotency key.
struct DeduplicatedWrite {
    at: Timestamp,
    version: Version,
}

/// The simulated origin.
pub struct Origin {
    /// ID of the origin in the event log.
    pub id: ServerId,
    config: OriginConfig,
    event_log: EventLogWriter,
    queue: ServiceQueue,
    recent_reads: SlidingWindow,
    /// Factor on all service times, in thousandths.
    slowdown_permille: AtomicU64,
    /// Whether the origin accepts requests and does not execute them.
    pub is_stopped: watch::Sender<bool>,
    /// Whether the origin is stopped by overload.
    is_overloaded: AtomicBool,
    versions: Mutex<HashMap<u64, Version>>,
    /// Executed writes by idempotency key.
    deduplicated_writes: Mutex<HashMap<String, DeduplicatedWrite>>,
    /// Cache misses by the ID of the request.
    cache_misses: Mutex<HashMap<String, CacheMiss>>,
    /// All cache slots, set once while the environment starts.
    pub cache_slots: OnceLock<Vec<Arc<CacheSlot>>>,
    /// The corruption of responses, if any.
    pub corruption: Mutex<Option<ActiveCorruption>>,
}

impl Origin {
    /// Creates an origin at which every key has version 0.
    pub fn new(id: ServerId, config: OriginConfig, event_log: EventLogWriter) -> Origin {
        Origin {
            id,
            queue: ServiceQueue::new(config.cores, config.queue_capacity),
            recent_reads: SlidingWindow::new(READ_RATE_WINDOW),
            slowdown_permille: AtomicU64::new(NORMAL_SPEED_PERMILLE as u64),
            is_stopped: watch::Sender::new(false),
            is_overloaded: AtomicBool::new(false),
            versions: Mutex::default(),
            deduplicated_writes: Mutex::default(),
            cache_misses: Mutex::default(),
            cache_slots: OnceLock::new(),
            corruption: Mutex::default(),
            config,
            event_log,
        }
    }

    /// Multiplies all service times by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        self.slowdown_permille.store((factor * NORMAL_SPEED_PERMILLE) as u64, Ordering::Relaxed);
    }

    fn version(&self, key: u64) -> Version {
        self.versions
            .lock()
            .expect("no thread panics while it holds the lock")
            .get(&key)
            .copied()
            .unwrap_or(Version(0))
    }

    /// Remembers that a cache missed the key of the request `id`. Once the origin has read the value for this
    /// request, the cache stores it.
    pub fn record_cache_miss(&self, id: &str, slot: &Arc<CacheSlot>) {
        let now = self.event_log.now();
        let mut misses = self.cache_misses.lock().expect("no thread panics while it holds the lock");
        if misses.len() > MAX_CACHE_MISSES {
            misses.retain(|_, miss| now.0 - miss.at.0 < CACHE_MISS_LIFETIME_US);
        }
        let miss = misses.entry(id.into()).or_insert(CacheMiss { at: now, slots: Vec::new() });
        miss.slots.push(Arc::downgrade(slot));
    }

    /// Time for which a request occupies a core: the mean time, multiplied by 0.5 to 1.5 according to a hash
    /// of the request's ID.
    fn service_time(&self, mean_ms: f64, id: &str) -> Duration {
        let slowdown = self.slowdown_permille.load(Ordering::Relaxed) as f64 / NORMAL_SPEED_PERMILLE;
        let random = 0.5 + wire::uniform_hash(id, hash_stream::ORIGIN_SERVICE_TIME);
        Duration::from_secs_f64(mean_ms / 1000.0 * slowdown * random)
    }

    /// Executes a read and returns the version that it read.
    async fn read(&self, request: &ServerRequest) -> Result<Version, QueueFull> {
        let now = self.event_log.now();
        let mut mean_ms = self.config.read_ms;
        let load = self.recent_reads.add(now.0, 1.0) / self.config.capacity();
        if load > self.config.degrade_multiple {
            mean_ms *= DEGRADED_SLOWDOWN;
        }
        if load > STOP_OVER_DEGRADE * self.config.degrade_multiple
            && !self.is_overloaded.swap(true, Ordering::Relaxed)
        {
            self.event_log.event(Event::OriginOverloaded);
        }
        self.wait_while_stopped().await;
        self.queue.run(|| self.service_time(mean_ms, &request.id)).await?;
        let at = self.event_log.now();
        self.event_log.write(|log| log.fetches.push(Fetch { at }));
        Ok(self.version(request.key))
    }

    /// Executes a write: creates a new version of the key's value and invalidates the key at all caches. For
    /// a repeated idempotency key, returns the version that the key's first write created.
    async fn write(&self, request: &ServerRequest) -> Result<Version, QueueFull> {
        self.wait_while_stopped().await;
        self.queue.run(|| self.service_time(self.config.write_ms, &request.id)).await?;
        // The write counts as executed from here on, even if its response is lost.
        let at = self.event_log.now();
        if let Some(version) = self.deduplicate(request, at) {
            return Ok(version);
        }
        let version = self.advance_version(request.key);
        for slot in self.cache_slots.get().into_iter().flatten() {
            slot.invalidate(request.key);
        }
        let effect = Effect {
            id: request.id.clone(),
            idempotency_key: request.idempotency_key.clone(),
            key: request.key,
            at,
            version,
        };
        self.event_log.write(|log| log.effects.push(effect));
        Ok(version)
    }

    /// Returns the version that an earlier write with the request's idempotency key created. If there is
    /// none, registers the idempotency key with the version that this request is about to create.
    fn deduplicate(&self, request: &ServerRequest, at: Timestamp) -> Option<Version> {
        let key = request.idempotency_key.as_ref()?;
        let lifetime_us = (self.config.idempotency_window_s * 1e6) as i64;
        let mut writes = self.deduplicated_writes.lock().expect("no thread panics while it holds the lock");
        writes.retain(|_, write| at.0 - write.at.0 < lifetime_us);
        if let Some(write) = writes.get(key) {
            return Some(write.version);
        }
        let version = Version(self.version(request.key).0 + 1);
        writes.insert(key.clone(), DeduplicatedWrite { at, version });
        None
    }

    fn advance_version(&self, key: u64) -> Version {
        let mut versions = self.versions.lock().expect("no thread panics while it holds the lock");
        let version = versions.entry(key).or_insert(Version(0));
        version.0 += 1;
        *version
    }

    async fn wait_while_stopped(&self) {
        if self.is_overloaded.load(Ordering::Relaxed) {
            tokio::time::sleep(OVERLOAD_STOP_DURATION).await;
            self.is_overloaded.store(false, Ordering::Relaxed);
        }
        let mut is_stopped = self.is_stopped.subscribe();
        let _ = is_stopped.wait_for(|is_stopped| !is_stopped).await;
    }

    async fn serve(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let request = match ServerRequest::read(request).await {
            Ok(request) => request,
            Err(status) => return Ok(wire::empty_response(status)),
        };
        let mean_ms = if request.is_write { self.config.write_ms } else { self.config.read_ms };
        let attempt = AttemptRecord::new(&self.event_log, self.id, &connection, &request, mean_ms / 1000.0);
        let result = if request.is_write { self.write(&request).await } else { self.read(&request).await };
        let Ok(version) = result else {
            attempt.finish(ServerAttemptEnd::Rejected);
            return Ok(wire::rejection());
        };
        self.fill_caches(&request, version);
        let corruption = *self.corruption.lock().expect("no thread panics while it holds the lock");
        respond(corruption, &connection, &request, version, "origin", attempt).await
    }

    /// Stores a value that was read in the caches that missed it for the same request.
    fn fill_caches(&self, request: &ServerRequest, version: Version) {
        let miss =
            self.cache_misses.lock().expect("no thread panics while it holds the lock").remove(&request.id);
        if request.is_write {
            return;
        }
        let slots = miss.into_iter().flat_map(|miss| miss.slots);
        for slot in slots.filter_map(|slot| slot.upgrade()) {
            slot.store(request.key, version, self.version(request.key));
        }
    }
}

impl Handler for Origin {
    fn handle(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerFuture {
        Box::pin(self.serve(connection, request))
    }

    fn keepalive(&self) -> Duration {
        KEEPALIVE
    }

    fn max_connections(&self) -> usize {
        MAX_CONNECTIONS
    }
}
