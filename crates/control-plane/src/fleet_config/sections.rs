//! The tables of the fleet configuration file, with the defaults of their keys. Keys keep the names of the
//! first version.

use std::net::SocketAddr;
use std::path::PathBuf;

use granitelb_balancer::time::Span;
use granitelb_coordination::{counterfactual, probe_scheduling};
use serde::Deserialize;
use toml::Spanned;

/// The length of a calendar day. An accounting day is as long, unless a test shortens it.
pub(super) const DAY: Span = Span::from_millis(DAY_MS);
/// The length of a calendar day, in milliseconds.
pub(super) const DAY_MS: u64 = 86_400_000;

/// The whole fleet configuration file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    /// The secret that signs messages, in hexadecimal digits.
    pub secret: Option<String>,
    /// The path of a file that contains the secret, relative to the directory of this file.
    pub secret_file: Option<PathBuf>,
    /// The previous secret, which is still accepted, in hexadecimal digits.
    pub former_secret: Option<String>,
    /// The path of a file that contains the previous secret, relative to the directory of this file.
    pub former_secret_file: Option<PathBuf>,
    /// The maximum number of forwarders in the fleet.
    #[serde(rename = "forwarders")]
    pub max_forwarders: usize,
    #[serde(rename = "planner")]
    pub planners: Vec<Spanned<PlannerEntry>>,
    pub leases: Option<LeaseSection>,
    #[serde(default, rename = "turns")]
    pub probes: ProbeSection,
    #[serde(rename = "growth")]
    pub shard_growth: Option<GrowthSection>,
    #[serde(rename = "hindsight")]
    pub counterfactual: Option<CounterfactualSection>,
}

/// A table `[[planner]]`: the number and the address of one planner.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlannerEntry {
    pub number: u8,
    /// The address to which the other members send messages for this planner.
    #[serde(rename = "letters")]
    pub address: SocketAddr,
}

/// The table `[leases]`: how much load the fleet may put on the origin and on cache servers that warm up.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSection {
    /// The limit on fetches from the origin by all forwarders together, in fetches a second.
    #[serde(rename = "origin_per_s")]
    pub origin_fetches_per_s: f64,
    /// The limit on the work of a cache server that warms up, in seconds of work a second. A request counts
    /// with the work that it takes on a warm cache server.
    #[serde(rename = "cold_work", default = "default_warmup_work")]
    pub warmup_work: f64,
    /// The share of the two limits above that forwarders may use without a lease, in equal parts.
    #[serde(rename = "reserve", default = "default_reserved_share")]
    pub reserved_share: f64,
    /// The share of the origin's limit that is allocated long-term, according to the usual demand of each
    /// forwarder.
    #[serde(rename = "standing", default)]
    pub long_term_share: f64,
    /// The duration of a lease, in milliseconds.
    #[serde(rename = "lasts_ms", default = "default_lease_duration_ms")]
    pub duration_ms: u64,
}

fn default_warmup_work() -> f64 {
    0.5
}

fn default_reserved_share() -> f64 {
    0.25
}

fn default_lease_duration_ms() -> u64 {
    2000
}

/// The table `[turns]`: how often the fleet probes a failing endpoint.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProbeSection {
    /// The number of probes that a failing endpoint gets from the whole fleet in a window.
    #[serde(rename = "trials")]
    pub probes_per_window: f64,
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
}

impl Default for ProbeSection {
    fn default() -> ProbeSection {
        let defaults = probe_scheduling::Settings::default();
        ProbeSection { probes_per_window: defaults.target_probes, window_ms: defaults.window.0 / 1000 }
    }
}

/// The table `[growth]`: when and how shards are split.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrowthSection {
    /// The capacity of the cache servers of one shard, in bytes.
    pub shard_bytes: u64,
    /// The maximum number of splits in progress in the fleet at the same time.
    #[serde(rename = "splits_at_once", default = "default_max_concurrent_splits")]
    pub max_concurrent_splits: usize,
    /// Days of the month on which no keys are migrated. Negative numbers count from the end of the month: -1
    /// is its last day.
    #[serde(default)]
    pub frozen_days: Vec<i8>,
    /// The origin's capacity for copying, in fetches a second. With leases enabled, copying gets the capacity
    /// that leases leave, up to this value.
    #[serde(rename = "spare_per_s")]
    pub spare_fetches_per_s: Option<f64>,
    /// The length of an accounting day, in milliseconds. All durations of a split scale with this length.
    /// Only tests set a value other than a calendar day.
    #[serde(default = "default_day_ms")]
    pub day_ms: u64,
    /// The minimum duration of each step of a split, in milliseconds; set only in tests. One part of the
    /// copying lasts a quarter of this duration, and a split waits three times this duration for a fault to
    /// end.
    pub step_ms: Option<u64>,
}

fn default_max_concurrent_splits() -> usize {
    1
}

fn default_day_ms() -> u64 {
    DAY_MS
}

/// The table `[hindsight]`: the comparison of endpoints by randomized assignment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterfactualSection {
    /// The interval between two evaluations, in milliseconds. Only tests set less than 30 s.
    #[serde(rename = "judge_ms")]
    pub evaluation_interval_ms: u64,
}

impl Default for CounterfactualSection {
    fn default() -> CounterfactualSection {
        let defaults = counterfactual::Settings::default();
        CounterfactualSection { evaluation_interval_ms: defaults.comparison_interval.0 / 1000 }
    }
}
