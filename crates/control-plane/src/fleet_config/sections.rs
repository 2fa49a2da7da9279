//! The tables of the file as they are written, with their defaults. Keys stay as the first version had them.

use std::net::SocketAddr;
use std::path::PathBuf;

use granitelb_balancer::time::Span;
use granitelb_coordination::{counterfactual, probe_scheduling};
use serde::Deserialize;
use toml::Spanned;

/// The length of a day, which is what a day of the accounting lasts unless a test shortens it.
pub(super) const DAY: Span = Span::from_millis(DAY_MS);
/// The length of a day in milliseconds.
pub(super) const DAY_MS: u64 = 86_400_000;

/// The whole file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetFile {
    /// The secret that signs messages, in hexadecimal digits.
    pub secret: Option<String>,
    /// The file that has the secret, relative to this file.
    pub secret_file: Option<PathBuf>,
    /// The secret before the current one, which is still accepted.
    pub former_secret: Option<String>,
    /// The file that has the former secret.
    pub former_secret_file: Option<PathBuf>,
    /// The most forwarders that the fleet will have.
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

/// One planner.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlannerEntry {
    pub number: u8,
    /// The address that its messages are sent to.
    #[serde(rename = "letters")]
    pub address: SocketAddr,
}

/// The table `[leases]`: what the fleet may demand of the origin and of cache servers that warm up.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSection {
    /// Fetches a second that the origin gets from all forwarders together.
    #[serde(rename = "origin_per_s")]
    pub origin_fetches_per_s: f64,
    /// The work that a cache server gets while it warms up, in seconds of work a second, as if it were warm.
    #[serde(rename = "cold_work", default = "default_warmup_work")]
    pub warmup_work: f64,
    /// The share of both limits that is reserved to the forwarders in equal parts and needs no lease.
    #[serde(rename = "reserve", default = "default_reserved_share")]
    pub reserved_share: f64,
    /// The share of the origin's fetches that is allocated for a longer time, by each forwarder's usual demand.
    #[serde(rename = "standing", default)]
    pub long_term_share: f64,
    /// How long a lease lasts, in milliseconds.
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
    /// Probes of a failing endpoint in a window, over the whole fleet.
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
    /// The bytes that the cache servers of one shard hold.
    pub shard_bytes: u64,
    /// The most splits that are in progress in the fleet at the same time.
    #[serde(rename = "splits_at_once", default = "default_max_concurrent_splits")]
    pub max_concurrent_splits: usize,
    /// Days of the month on which no keys are migrated. Negative numbers count from the month's end, whose last day is
    /// -1.
    #[serde(default)]
    pub frozen_days: Vec<i8>,
    /// Fetches a second that the origin can serve for copying. With leases it is the upper bound of what they leave.
    #[serde(rename = "spare_per_s")]
    pub spare_fetches_per_s: Option<f64>,
    /// The length of an accounting day, in milliseconds. All durations of a split scale with it. Other than a day in
    /// tests only.
    #[serde(default = "default_day_ms")]
    pub day_ms: u64,
    /// The least duration of each step of a split, in milliseconds. A part of the copying lasts a quarter of it, and a
    /// fault is waited out for three times as long. In tests only.
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
    /// The interval between two evaluations, in milliseconds. Shorter than 30 s in tests only.
    #[serde(rename = "judge_ms")]
    pub evaluation_interval_ms: u64,
}

impl Default for CounterfactualSection {
    fn default() -> CounterfactualSection {
        let defaults = counterfactual::Settings::default();
        CounterfactualSection { evaluation_interval_ms: defaults.comparison_interval.0 / 1000 }
    }
}
