//! Simulated cache servers. A slot is a fixed set of addresses, one for each node. A cache server occupies a
//! slot until another server replaces it, or until it restarts with an empty memory.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lru::LruCache;
use tokio::sync::watch;

use super::attempt_record::AttemptRecord;
use super::listener::{Handler, HandlerFuture, HandlerResult, Listener, ListenerState, ServerConnection};
use super::origin::Origin;
use super::response_corruption::{ActiveCorruption, respond};
use super::service_queue::{ServiceQueue, SlidingWindow};
use super::wire::{self, ServerRequest, hash_stream};
use crate::event_log::{Event, EventLogWriter, ServerAttemptEnd, ServerId, Timestamp, Version};
use crate::experiment::CacheConfig;

/// Time for which a server that crashed under load stays down before it restarts cold.
const OVERLOAD_CRASH_DURATION: Duration = Duration::from_secs(3);
/// Value of [`CacheSlot::slowdown_permille`] at normal speed.
const NORMAL_SPEED_PERMILLE: f64 = 1000.0;
/// Standard deviations by which random arrivals may exceed a cold server's capacity without crashing it.
const RANDOM_LOAD_DEVIATIONS: f64 = 3.0;

/// The cache server that occupies a slot.
struct CacheServer {
    id: ServerId,
    /// When the server started cold; none if it has been warm since before the run.
    started: Option<Timestamp>,
    values: Mutex<LruCache<u64, Version>>,
    queue: ServiceQueue,
    /// Work that arrived within the overload window, in core seconds. Too much of it crashes a cold server.
    arrived_work: SlidingWindow,
    is_draining: AtomicBool,
    has_crashed: AtomicBool,
}

impl CacheServer {
    fn new(config: &CacheConfig, id: ServerId, started: Option<Timestamp>) -> Arc<CacheServer> {
        let capacity = NonZeroUsize::new(config.capacity_values).unwrap_or(NonZeroUsize::MIN);
        Arc::new(CacheServer {
            id,
            started,
            values: Mutex::new(LruCache::new(capacity)),
            queue: ServiceQueue::new(config.cores, config.queue_capacity),
            arrived_work: SlidingWindow::new(Duration::from_secs_f64(config.overload_window_s)),
            is_draining: AtomicBool::new(false),
            has_crashed: AtomicBool::new(false),
        })
    }

    /// The server's speed at the time `now` as a share of its full speed, from `cold_speed` to 1.
    fn warmup_factor(&self, config: &CacheConfig, now: Timestamp) -> f64 {
        let age_s = self.started.map_or(f64::INFINITY, |s| now.ms_since(s) / 1e3);
        config.cold_speed
            + (1.0 - config.cold_speed) * (age_s / config.warm_after_s.max(1e-3)).clamp(0.0, 1.0)
    }

    /// The most work within the overload window that does not crash the server, in core seconds.
    fn overload_limit(&self, config: &CacheConfig, warmup_factor: f64) -> f64 {
        let mut limit =
            config.overload_multiple * config.cores as f64 * warmup_factor * config.overload_window_s;
        if config.random_overload_limit {
            let work_per_request = config.hit_ms / 1000.0;
            let requests = limit / work_per_request;
            limit += (RANDOM_LOAD_DEVIATIONS * requests.sqrt() + RANDOM_LOAD_DEVIATIONS) * work_per_request;
        }
        limit
    }
}

/// A slot for a cache server, with one listener for each node.
pub struct CacheSlot {
    /// Number of the slot, from 0.
    pub number: usize,
    config: CacheConfig,
    event_log: EventLogWriter,
    origin: Arc<Origin>,
    server: Mutex<Arc<CacheServer>>,
    /// One listener for each node, set once while the environment starts.
    pub listeners: OnceLock<Vec<Listener>>,
    /// Whether the server accepts requests and sends no responses.
    pub is_hung: watch::Sender<bool>,
    /// Factor on all service times, in thousandths.
    slowdown_permille: AtomicU64,
    /// The corruption of responses, if any.
    pub corruption: Mutex<Option<ActiveCorruption>>,
}

impl CacheSlot {
    /// Creates a slot with a server and without listeners.
    pub fn new(
        number: usize,
        config: CacheConfig,
        event_log: EventLogWriter,
        origin: Arc<Origin>,
        id: ServerId,
        started: Option<Timestamp>,
    ) -> CacheSlot {
        let server = Mutex::new(CacheServer::new(&config, id, started));
        CacheSlot {
            number,
            config,
            event_log,
            origin,
            server,
            listeners: OnceLock::new(),
            is_hung: watch::Sender::new(false),
            slowdown_permille: AtomicU64::new(NORMAL_SPEED_PERMILLE as u64),
            corruption: Mutex::default(),
        }
    }

    fn server(&self) -> Arc<CacheServer> {
        self.server.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// ID of the server that occupies the slot.
    pub fn id(&self) -> ServerId {
        self.server().id
    }

    /// When the server that occupies the slot started cold; none if it did not start within the run.
    pub fn started(&self) -> Option<Timestamp> {
        self.server().started
    }

    /// Replaces the server by an empty one: a new server, or the same server after a crash.
    pub fn replace_server(&self, id: ServerId, started: Option<Timestamp>) {
        if started.is_some() {
            self.event_log.event(Event::ColdStart { server: id });
        }
        *self.server.lock().expect("no thread panics while it holds the lock") =
            CacheServer::new(&self.config, id, started);
    }

    /// Changes the state of all listeners.
    pub fn set_listener_state(&self, state: ListenerState) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.set_state(state);
        }
    }

    /// Resets the connections of all nodes.
    pub fn reset_connections(&self) {
        for listener in self.listeners.get().into_iter().flatten() {
            listener.reset_connections();
        }
    }

    /// Multiplies all service times by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        self.slowdown_permille.store((factor * NORMAL_SPEED_PERMILLE) as u64, Ordering::Relaxed);
    }

    /// Makes the server reject all requests from now on.
    pub fn drain(&self) {
        self.server().is_draining.store(true, Ordering::Relaxed);
    }

    /// Evicts all cached values.
    pub fn clear(&self) {
        self.server().values.lock().expect("no thread panics while it holds the lock").clear();
    }

    /// Evicts the cached value of a key.
    pub fn invalidate(&self, key: u64) {
        self.server().values.lock().expect("no thread panics while it holds the lock").pop(&key);
    }

    /// Caches a value of a key unless a write has replaced its version by the version `current`.
    pub fn store(&self, key: u64, version: Version, current: Version) {
        if version == current {
            self.server().values.lock().expect("no thread panics while it holds the lock").put(key, version);
        }
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
        let server = self.server();
        let work = self.config.hit_ms / 1000.0;
        let attempt = AttemptRecord::new(&self.event_log, server.id, &connection, &request, work);
        let is_first = connection.request_count.fetch_add(1, Ordering::Relaxed) == 0;
        if is_first && self.config.connect_ms > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(self.config.connect_ms / 1000.0)).await;
        }
        if server.is_draining.load(Ordering::Relaxed) {
            attempt.finish(ServerAttemptEnd::Rejected);
            return Ok(wire::rejection());
        }
        self.crash_if_overloaded(&server);
        self.wait_while_hung().await;
        if server.queue.run(|| self.service_time(&server, &request)).await.is_err() {
            attempt.finish(ServerAttemptEnd::Rejected);
            return Ok(wire::rejection());
        }
        // A server that began to hang while it worked on the request also holds the response back.
        self.wait_while_hung().await;
        self.look_up(&server, &connection, &request, attempt).await
    }

    /// Responds with the cached value, or with a cache miss. A write that a node sends to a cache by mistake
    /// gets a cache miss and is not executed, because only the origin executes writes.
    async fn look_up(
        self: &Arc<Self>,
        server: &CacheServer,
        connection: &ServerConnection,
        request: &ServerRequest,
        attempt: AttemptRecord<'_>,
    ) -> HandlerResult {
        let corruption = *self.corruption.lock().expect("no thread panics while it holds the lock");
        let cached = server
            .values
            .lock()
            .expect("no thread panics while it holds the lock")
            .get(&request.key)
            .copied();
        if request.is_write {
            attempt.finish(ServerAttemptEnd::CacheMiss);
            return Ok(wire::empty_response(StatusCode::NOT_FOUND));
        }
        let Some(version) = cached else {
            self.origin.record_cache_miss(&request.id, self);
            attempt.finish(ServerAttemptEnd::CacheMiss);
            return Ok(wire::empty_response(StatusCode::NOT_FOUND));
        };
        respond(corruption, connection, request, version, "hit", attempt).await
    }

    async fn wait_while_hung(&self) {
        let _ = self.is_hung.subscribe().wait_for(|is_hung| !is_hung).await;
    }

    /// Time for which a request occupies a core: the mean time, multiplied by 0.5 to 1.5 according to a hash
    /// of the request's ID.
    fn service_time(&self, server: &CacheServer, request: &ServerRequest) -> Duration {
        let slowdown = self.slowdown_permille.load(Ordering::Relaxed) as f64 / NORMAL_SPEED_PERMILLE;
        let random = 0.5 + wire::uniform_hash(&request.id, hash_stream::CACHE_SERVICE_TIME);
        let ms = self.config.hit_ms * slowdown * random;
        Duration::from_secs_f64(ms / 1000.0 / server.warmup_factor(&self.config, self.event_log.now()))
    }

    /// Adds a request to the load of a server, and crashes the server if it is cold and exceeds its overload
    /// limit.
    fn crash_if_overloaded(self: &Arc<Self>, server: &Arc<CacheServer>) {
        let now = self.event_log.now();
        let warmup_factor = server.warmup_factor(&self.config, now);
        let arrived = server.arrived_work.add(now.0, self.config.hit_ms / 1000.0);
        if warmup_factor >= 1.0 || arrived <= server.overload_limit(&self.config, warmup_factor) {
            return;
        }
        if server.has_crashed.swap(true, Ordering::Relaxed) {
            return;
        }
        self.event_log.event(Event::CacheOverloaded { server: server.id });
        tokio::spawn(self.clone().restart_after_crash(server.id));
    }

    async fn restart_after_crash(self: Arc<Self>, id: ServerId) {
        self.set_listener_state(ListenerState::Refusing);
        tokio::time::sleep(OVERLOAD_CRASH_DURATION).await;
        self.replace_server(id, Some(self.event_log.now()));
        self.set_listener_state(ListenerState::Accepting);
    }
}

impl Handler for CacheSlot {
    fn handle(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerFuture {
        Box::pin(self.serve(connection, request))
    }

    fn keepalive(&self) -> Duration {
        Duration::from_secs_f64(self.config.keepalive_s)
    }

    fn max_connections(&self) -> usize {
        self.config.max_connections
    }
}
