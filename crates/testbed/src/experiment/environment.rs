//! The world of an experiment: its nodes, cache servers and origin, and their capacities.

use serde::Deserialize;

use super::{InvalidValue, Range, check_ranges};

/// The processes and servers that exist.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnvironmentConfig {
    /// The number of nodes, each a process of the program under test.
    pub nodes: usize,
    /// The number of cache servers at the start.
    pub caches: usize,
    /// Zones; cache servers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// The properties of each cache server.
    pub cache: CacheConfig,
    /// The properties of the origin.
    pub origin: OriginConfig,
    /// The most sockets that a node may use.
    #[serde(rename = "sockets")]
    pub max_sockets: u64,
    /// The memory that a node may use, in MiB.
    pub memory_mb: u64,
    /// The most attempts that a node may make for a request.
    #[serde(rename = "most_shots")]
    pub max_attempts: u8,
    /// Whether nodes may cancel attempts in flight.
    pub may_cancel: bool,
    /// Whether nodes may send hedged requests.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
    /// The longest `Retry-After` that clients honor, in milliseconds; 0 where nodes can't send one.
    pub max_retry_after_ms: u64,
}

impl Default for EnvironmentConfig {
    fn default() -> EnvironmentConfig {
        EnvironmentConfig {
            nodes: 2,
            caches: 6,
            zones: vec!["a".into(), "b".into()],
            cache: CacheConfig::default(),
            origin: OriginConfig::default(),
            max_sockets: 512,
            memory_mb: 128,
            max_attempts: 3,
            may_cancel: true,
            hedging: false,
            max_retry_after_ms: 1500,
        }
    }
}

/// A cache server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheConfig {
    /// Requests that are served at once.
    pub cores: usize,
    /// Requests that may wait for a core; further ones are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// The time that a cache hit takes on a core of a warm server, in milliseconds.
    pub hit_ms: f64,
    /// The number of values that fit; the least recently used one is evicted.
    #[serde(rename = "values")]
    pub capacity_values: usize,
    /// The extra time of the first request on a connection, in milliseconds.
    pub connect_ms: f64,
    /// Idle connections are closed after this many seconds.
    pub keepalive_s: f64,
    /// The most connections; further ones are reset.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// The fraction of its full speed that a server starts with.
    #[serde(rename = "cold_from")]
    pub cold_speed: f64,
    /// Seconds from its start until a server has its full speed.
    pub warm_after_s: f64,
    /// A cold server fails if it receives this many times the work that it can do within the overload window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The overload window, in seconds.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// Whether a server tolerates as much random variation on top: three times the square root of the limit, and three
    /// requests.
    #[serde(rename = "fall_by_chance")]
    pub random_overload_limit: bool,
}

impl Default for CacheConfig {
    fn default() -> CacheConfig {
        CacheConfig {
            cores: 2,
            queue_capacity: 40,
            hit_ms: 4.0,
            capacity_values: 5000,
            connect_ms: 1.0,
            keepalive_s: 10.0,
            max_connections: 400,
            cold_speed: 0.2,
            warm_after_s: 20.0,
            overload_multiple: 3.0,
            overload_window_s: 2.0,
            random_overload_limit: false,
        }
    }
}

/// The origin behind the cache servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginConfig {
    /// Requests that are served at once.
    pub cores: usize,
    /// Requests that may wait for a core; further ones are rejected.
    #[serde(rename = "queue")]
    pub queue_capacity: usize,
    /// The time that a read takes on a core, in milliseconds.
    pub read_ms: f64,
    /// The time that a write takes on a core, in milliseconds.
    pub write_ms: f64,
    /// If reads within a second exceed this multiple of the capacity, every request takes twice as long; if they exceed
    /// twice that, the origin stops for a second.
    pub degrade_multiple: f64,
    /// How long the origin remembers idempotency keys, in seconds.
    #[serde(rename = "repeats_s")]
    pub idempotency_window_s: f64,
}

impl Default for OriginConfig {
    fn default() -> OriginConfig {
        OriginConfig {
            cores: 8,
            queue_capacity: 64,
            read_ms: 20.0,
            write_ms: 20.0,
            degrade_multiple: 1.5,
            idempotency_window_s: 10.0,
        }
    }
}

impl OriginConfig {
    /// Reads per second at full speed.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1000.0 / self.read_ms
    }
}

impl EnvironmentConfig {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        check_ranges(&[
            Range::new("world.nodes", self.nodes as f64, 1.0, 40.0),
            Range::new("world.caches", self.caches as f64, 1.0, 120.0),
            Range::new("world.zones", self.zones.len() as f64, 1.0, 16.0),
            Range::new("world.sockets", self.max_sockets as f64, 40.0, 8192.0),
            Range::new("world.memory_mb", self.memory_mb as f64, 1.0, 8192.0),
            Range::new("world.most_shots", f64::from(self.max_attempts), 1.0, 16.0),
            Range::new("world.cache.cores", self.cache.cores as f64, 1.0, 64.0),
            Range::new("world.cache.hit_ms", self.cache.hit_ms, 0.0, 10_000.0),
            Range::new("world.cache.values", self.cache.capacity_values as f64, 1.0, 1e7),
            Range::new("world.cache.keepalive_s", self.cache.keepalive_s, 0.1, 600.0),
            Range::new("world.cache.cold_from", self.cache.cold_speed, 0.01, 1.0),
            Range::new("world.cache.fall_multiple", self.cache.overload_multiple, 1.0, 1000.0),
            Range::new("world.cache.fall_s", self.cache.overload_window_s, 0.1, 60.0),
            Range::new("world.origin.cores", self.origin.cores as f64, 1.0, 1024.0),
            Range::new("world.origin.read_ms", self.origin.read_ms, 0.1, 10_000.0),
            Range::new("world.origin.write_ms", self.origin.write_ms, 0.1, 10_000.0),
            Range::new("world.origin.degrade_multiple", self.origin.degrade_multiple, 1.0, 1000.0),
        ])
    }
}
