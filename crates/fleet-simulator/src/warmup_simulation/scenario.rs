//! The scenario of a run, drawn from a seed.

use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fleet sizes to draw from, in nodes.
const NODE_COUNTS: [usize; 5] = [8, 20, 30, 100, 300];
/// Fleet sizes to draw from, in cache servers.
const CACHE_COUNTS: [usize; 3] = [6, 12, 24];
const MAX_POLL_INTERVAL: Span = Span::from_millis(10_000);
const MAX_RETRY_AFTER: Span = Span::from_millis(1500);
const MAX_ATTEMPTS: u8 = 4;
/// The position of the disturbance within the seed.
const DISTURBANCE_SEED_SHIFT: u32 = 32;

/// Why caches are cold, and what else happens while they warm up. The position of a
/// variant in this enum is part of each run's seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// One or more new caches join; the other caches stay.
    Join,
    /// Caches restart and keep their ids; each node is notified some seconds late, with a delay of its own.
    RestartNotifiedLate,
    /// All caches restart; each node is notified within 0.2 s to 0.3 s.
    FleetCold,
    /// Caches restart, and most nodes restart in the middle of the warm-up.
    NodesRestart,
    /// Caches restart, and restart once more in the middle of the warm-up.
    RestartTwice,
    /// The request rate doubles from the middle of the warm-up on.
    Burst,
    /// One key takes a third of the requests from the middle of the warm-up on.
    HotKey,
    /// The configured overload multiple falls to two thirds in the middle of the warm-up.
    SettingsChanged,
    /// Some caches are stopped for some seconds and return cold, all at once.
    ZoneBack,
    /// As [`Disturbance::NodesRestart`], and the request rate doubles at the same time.
    NodesRestartInBurst,
    /// As [`Disturbance::SettingsChanged`], and the request rate doubles at the same time.
    SettingsChangedInBurst,
    /// As [`Disturbance::ZoneBack`], and the request rate doubles in the middle of the warm-up.
    ZoneBackInBurst,
    /// As [`Disturbance::HotKey`], and the request rate doubles at the same time.
    HotKeyInBurst,
    /// Caches restart, and most nodes restart before they are notified of the caches' restarts.
    NodesRestartUnnotified,
}

impl Disturbance {
    /// Whether the request rate doubles in the middle of the warm-up.
    pub(super) fn has_burst(self) -> bool {
        matches!(
            self,
            Disturbance::Burst
                | Disturbance::NodesRestartInBurst
                | Disturbance::SettingsChangedInBurst
                | Disturbance::ZoneBackInBurst
                | Disturbance::HotKeyInBurst
        )
    }

    /// Whether one key takes a third of the requests from the middle of the warm-up on.
    pub(super) fn has_hot_key(self) -> bool {
        matches!(self, Disturbance::HotKey | Disturbance::HotKeyInBurst)
    }

    /// Whether the overload multiple falls in the middle of the warm-up.
    pub(super) fn changes_settings(self) -> bool {
        matches!(self, Disturbance::SettingsChanged | Disturbance::SettingsChangedInBurst)
    }

    /// Whether the cold caches are stopped for some seconds before they start.
    pub(super) fn has_zone_outage(self) -> bool {
        matches!(self, Disturbance::ZoneBack | Disturbance::ZoneBackInBurst)
    }

    /// Whether most nodes restart.
    pub(super) fn restarts_nodes(self) -> bool {
        matches!(
            self,
            Disturbance::NodesRestart
                | Disturbance::NodesRestartInBurst
                | Disturbance::NodesRestartUnnotified
        )
    }
}

/// All disturbances.
pub const DISTURBANCES: [Disturbance; 14] = [
    Disturbance::Join,
    Disturbance::RestartNotifiedLate,
    Disturbance::FleetCold,
    Disturbance::NodesRestart,
    Disturbance::RestartTwice,
    Disturbance::Burst,
    Disturbance::HotKey,
    Disturbance::SettingsChanged,
    Disturbance::ZoneBack,
    Disturbance::NodesRestartInBurst,
    Disturbance::SettingsChangedInBurst,
    Disturbance::ZoneBackInBurst,
    Disturbance::HotKeyInBurst,
    Disturbance::NodesRestartUnnotified,
];

/// A range of durations, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct DelayRange {
    /// The shortest delay.
    pub min: f64,
    /// The longest delay.
    pub max: f64,
}

/// The parameters of a run. Times are in seconds, work is in seconds of a standard core.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Why caches are cold, and what else happens during the warm-up.
    pub disturbance: Disturbance,
    /// The number of nodes.
    pub nodes: usize,
    /// The work that each cache does in a second when warm.
    pub capacities: Vec<f64>,
    /// The number of caches that start cold. The caches with the lowest indexes start cold.
    pub cold_caches: usize,
    /// The work that clients request, as a share of the capacity of all caches when warm.
    pub load: f64,
    /// The mean work of a request.
    pub mean_work: f64,
    /// Standard deviation of the logarithm of a request's work.
    pub work_spread: f64,
    /// Standard deviation of the logarithm of a node's share of the requests.
    pub node_spread: f64,
    /// Whether requests state their work.
    pub declares_work: bool,
    /// Whether the endpoint list states capacities.
    pub lists_capacities: bool,
    /// The multiple of its capacity at which a cache is overloaded.
    pub overload_multiple: f64,
    /// The length of the window over which a cache's work is added up.
    pub overload_window: f64,
    /// The share of its full capacity that a cache has at its start.
    pub initial_warmth: f64,
    /// The time from a cache's start until it has its full capacity.
    pub warmup_time: f64,
    /// The latency objective.
    pub slo: f64,
    /// The number of requests that may wait at a cache.
    pub queue: usize,
    /// The number of keys.
    pub keys: u64,
    /// The delays with which nodes are notified of a change of the endpoint list.
    pub notification_delay: DelayRange,
    /// The seed of the run.
    pub seed: u64,
}

impl Scenario {
    /// Returns a scenario drawn at random. The same disturbance and seed give the same scenario.
    pub fn random(disturbance: Disturbance, seed: u64) -> Scenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (disturbance as u64) << DISTURBANCE_SEED_SHIFT);
        let mut uniform = |from: f64, to: f64| from + (to - from) * rng.random::<f64>();
        let nodes = NODE_COUNTS[uniform(0.0, NODE_COUNTS.len() as f64) as usize];
        let caches = CACHE_COUNTS[uniform(0.0, CACHE_COUNTS.len() as f64) as usize];
        let has_unequal_capacities = uniform(0.0, 1.0) < 0.5;
        let mut capacity = || if has_unequal_capacities { uniform(0.6, 1.5) } else { 1.0 };
        let capacities: Vec<f64> = (0..caches).map(|_| capacity()).collect();
        let cold_share = match disturbance {
            Disturbance::FleetCold => 1.0,
            _ => uniform(0.05, 0.6),
        };
        let mean_work: f64 = (uniform(0.01_f64.ln(), 0.3_f64.ln())).exp();
        // The field expressions below draw random numbers in the order of the source text.
        Scenario {
            disturbance,
            nodes,
            cold_caches: ((caches as f64 * cold_share) as usize).clamp(1, caches),
            capacities,
            load: uniform(0.3, 1.1),
            mean_work,
            work_spread: uniform(0.0, 0.8),
            node_spread: uniform(0.0, 1.0),
            declares_work: uniform(0.0, 1.0) < 0.6,
            lists_capacities: uniform(0.0, 1.0) < 0.5,
            overload_multiple: uniform(1.5, 4.0),
            overload_window: uniform(1.0, 4.0),
            initial_warmth: uniform(0.08, 0.5),
            warmup_time: uniform(5.0, 25.0),
            slo: mean_work * uniform(2.5, 25.0),
            queue: uniform(2.0, 30.0) as usize,
            keys: uniform(30.0, 600.0) as u64,
            notification_delay: DelayRange { min: 0.2, max: uniform(0.3, 5.0) },
            seed,
        }
    }

    /// The settings of each node's balancer.
    pub(super) fn settings(&self) -> Settings {
        let request_class = RequestClass {
            slo: Span::from_secs_f64(self.slo),
            billed_value: 1.0,
            value_after_slo: 0.0,
            is_offered: true,
            effect: Effect::Idempotent,
        };
        Settings {
            origin: None,
            request_classes: vec![request_class],
            nodes: self.nodes as f64,
            list_on_request: false,
            max_poll_interval: MAX_POLL_INTERVAL,
            only_draining_excludes: false,
            initial_capacity_share: self.initial_warmth,
            warmup_duration: Span::from_secs_f64(self.warmup_time),
            overload_multiple: self.overload_multiple,
            overload_window: Span::from_secs_f64(self.overload_window),
            max_attempts: MAX_ATTEMPTS,
            hedged_requests: false,
            may_cancel: true,
            max_retry_after: MAX_RETRY_AFTER,
            is_value_per_work: false,
            sizes_are_capacities: self.lists_capacities,
        }
    }
}
