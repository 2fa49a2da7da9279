//! The world of an experiment and its bars.

use serde::Deserialize;

/// What stands in the world.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorldForm {
    pub nodes: usize,
    pub caches: usize,
    /// Caches stand in these in turn.
    pub zones: Vec<String>,
    pub cache: CacheForm,
    pub origin: OriginForm,
    /// What a node may use.
    pub sockets: u64,
    pub memory_mb: u64,
    pub most_shots: u8,
    pub may_cancel: bool,
    pub second_copies: bool,
    /// The longest time to come back that clients heed; 0 where they can't be told.
    pub max_retry_after_ms: u64,
}

impl Default for WorldForm {
    fn default() -> WorldForm {
        WorldForm {
            nodes: 2,
            caches: 6,
            zones: vec!["a".into(), "b".into()],
            cache: CacheForm::default(),
            origin: OriginForm::default(),
            sockets: 512,
            memory_mb: 128,
            most_shots: 3,
            may_cancel: true,
            second_copies: false,
            max_retry_after_ms: 1500,
        }
    }
}

/// A cache box.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheForm {
    pub cores: usize,
    /// Calls that may wait for a core; more are turned away.
    pub queue: usize,
    /// What a hit takes on a core when warm.
    pub hit_ms: f64,
    /// Values that it holds; the one asked for longest ago goes.
    pub values: usize,
    /// What the first call on a new connection takes besides.
    pub connect_ms: f64,
    pub keepalive_s: f64,
    pub connections: usize,
    /// The share of its speed that it starts with, and when it has all.
    pub cold_from: f64,
    pub warm_after_s: f64,
    /// A cold box sent so many times what it can do, for so long, falls over.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// Whether it stands root of that three times and three calls more, as by chance.
    pub fall_by_chance: bool,
}

impl Default for CacheForm {
    fn default() -> CacheForm {
        CacheForm {
            cores: 2,
            queue: 40,
            hit_ms: 4.0,
            values: 5000,
            connect_ms: 1.0,
            keepalive_s: 10.0,
            connections: 400,
            cold_from: 0.2,
            warm_after_s: 20.0,
            fall_multiple: 3.0,
            fall_s: 2.0,
            fall_by_chance: false,
        }
    }
}

/// The origin behind the caches.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginForm {
    pub cores: usize,
    pub queue: usize,
    pub read_ms: f64,
    pub write_ms: f64,
    /// Asked for this many times its capacity within a second, every call takes twice as long; asked for twice
    /// that, it stops for a second.
    pub degrade_multiple: f64,
    /// How long it remembers idempotency keys.
    pub repeats_s: f64,
}

impl Default for OriginForm {
    fn default() -> OriginForm {
        OriginForm {
            cores: 8,
            queue: 64,
            read_ms: 20.0,
            write_ms: 20.0,
            degrade_multiple: 1.5,
            repeats_s: 10.0,
        }
    }
}

impl OriginForm {
    /// Reads a second at full speed.
    pub fn capacity(&self) -> f64 {
        self.cores as f64 * 1000.0 / self.read_ms
    }
}

impl WorldForm {
    pub fn check(&self) -> Result<(), (String, String)> {
        let ranges = [
            ("world.nodes", self.nodes as f64, 1.0, 40.0),
            ("world.caches", self.caches as f64, 1.0, 120.0),
            ("world.zones", self.zones.len() as f64, 1.0, 16.0),
            ("world.sockets", self.sockets as f64, 40.0, 8192.0),
            ("world.memory_mb", self.memory_mb as f64, 1.0, 8192.0),
            ("world.most_shots", f64::from(self.most_shots), 1.0, 16.0),
            ("world.cache.cores", self.cache.cores as f64, 1.0, 64.0),
            ("world.cache.hit_ms", self.cache.hit_ms, 0.0, 10_000.0),
            ("world.cache.values", self.cache.values as f64, 1.0, 1e7),
            ("world.cache.keepalive_s", self.cache.keepalive_s, 0.1, 600.0),
            ("world.cache.cold_from", self.cache.cold_from, 0.01, 1.0),
            ("world.cache.fall_multiple", self.cache.fall_multiple, 1.0, 1000.0),
            ("world.cache.fall_s", self.cache.fall_s, 0.1, 60.0),
            ("world.origin.cores", self.origin.cores as f64, 1.0, 1024.0),
            ("world.origin.read_ms", self.origin.read_ms, 0.1, 10_000.0),
            ("world.origin.write_ms", self.origin.write_ms, 0.1, 10_000.0),
            ("world.origin.degrade_multiple", self.origin.degrade_multiple, 1.0, 1000.0),
        ];
        within(&ranges)
    }
}

/// Checks that each figure lies in its range.
pub fn within(ranges: &[(&str, f64, f64, f64)]) -> Result<(), (String, String)> {
    match ranges.iter().find(|(_, value, from, to)| !(*from..=*to).contains(value)) {
        Some((key, value, from, to)) => Err((key.to_string(), format!("{value} is not from {from} to {to}"))),
        None => Ok(()),
    }
}

/// The bars beside the four rules, which always hold. A bar that is left out asks nothing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Billed value fulfilled within its SLO over what was asked, over the whole run.
    pub service: Option<f64>,
    /// The same from the end of the last fault on.
    pub service_after: Option<f64>,
    /// From the end of each fault until the service of two seconds running is 0.9 of what it was before.
    pub recover_s: Option<f64>,
    /// The most a cache answered over the mean of those that served all the time.
    pub max_over_mean: Option<f64>,
    /// The origin's reads in the busiest second over its capacity.
    pub origin_fetches: Option<f64>,
    /// From a drain being told to a node until the last new shot from it.
    pub drain_stop_ms: Option<f64>,
    /// Reads of a value that a write answered before had replaced; none unless this says otherwise.
    pub stale_reads: usize,
    /// The share of calls with an errored answer.
    pub errored: Option<f64>,
    /// A node's memory, and its descriptors.
    pub memory_mb: Option<f64>,
    pub descriptors: Option<f64>,
    /// Bad clients told off or let go in time.
    pub bad_clients_met: Option<f64>,
    /// Live leases and the reserve over the whole, at any moment; 1 where leases are on and no planner lies, unless
    /// this says otherwise.
    pub leases: Option<f64>,
    /// The origin's reads within any second over the whole that the fleet shares; a cold cache's work likewise.
    pub origin_over_whole: Option<f64>,
    pub cold_over_whole: Option<f64>,
    /// Shots a second, by all nodes, to a cache that hangs, from 3 s after it began to.
    pub sick_trials: Option<f64>,
    /// Slow caches that planners have to name, and others that they may.
    pub named: Option<usize>,
    pub named_wrongly: Option<usize>,
    /// Jain's index of the nodes' fulfilled shares.
    pub fairness: Option<f64>,
    /// By how much the service falls when planners that were away are back.
    pub step: Option<f64>,
    /// By how much the service is less than on the same calls with nothing befalling planners and letters.
    pub loss: Option<f64>,
}
