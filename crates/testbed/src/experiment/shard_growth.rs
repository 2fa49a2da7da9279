//! Shards whose number of keys grows during a run, and the expectations of their splits.

use serde::Deserialize;

use super::{Experiment, FleetConfig, InvalidValue, Range, check_ranges};

/// The smallest number of planners for growing shards: two planners have to agree on a change of the shard
/// map.
const MIN_PLANNERS: usize = 2;

/// Growing shards. All of them have the same number of keys and the same growth.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrowthConfig {
    /// The shards that grow.
    pub shards: Vec<u8>,
    /// The number of keys of each shard when the run starts.
    pub keys: f64,
    /// The fraction by which the number of keys grows per accounting day.
    #[serde(rename = "grows")]
    pub daily_growth: f64,
    /// The number of requests of each key per accounting day.
    #[serde(rename = "asked", default = "default_requests_per_key_per_day")]
    pub requests_per_key_per_day: f64,
    /// The fraction of requests of growing shards that are writes.
    #[serde(rename = "written", default)]
    pub write_share: f64,
    /// The number of accounting days before the run whose shard sizes are given to planners.
    #[serde(rename = "known_days", default)]
    pub history_days: u32,
    /// Expectations of the shards' splits.
    #[serde(rename = "expect", default)]
    pub expectations: GrowthExpectations,
}

/// Expectations of splits. An absent one is not checked.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GrowthExpectations {
    /// The fewest splits that complete.
    #[serde(rename = "settled")]
    pub min_completed: Option<usize>,
    /// The most splits that are withdrawn.
    #[serde(rename = "withdrawn")]
    pub max_withdrawn: Option<usize>,
    /// The fewest splits that are withdrawn.
    #[serde(rename = "given_up")]
    pub min_withdrawn: Option<usize>,
    /// The most steps that advance a split while the origin is slow, counted from 3.5 s after the origin
    /// became slow.
    #[serde(rename = "steps_while_slow")]
    pub max_steps_while_origin_slow: Option<usize>,
    /// The fewest kills of a planner after which another planner takes a split's next step before the killed
    /// planner is back.
    #[serde(rename = "gone_on")]
    pub min_takeovers: Option<usize>,
    /// The smallest fraction of reads that asked the old owner before the origin, among the reads that missed
    /// at the new owner during the phase `both_read` and went to the origin.
    #[serde(rename = "old_first")]
    pub min_old_owner_first: Option<f64>,
    /// The fewest reads by nodes with an outdated shard map, of keys that the newest shard map places at
    /// another cache.
    #[serde(rename = "behind")]
    pub min_outdated_map_reads: Option<usize>,
}

fn default_requests_per_key_per_day() -> f64 {
    1.1
}

impl GrowthConfig {
    pub(super) fn check(&self, fleet: Option<&FleetConfig>) -> Result<(), InvalidValue> {
        let is_sufficient =
            |fleet: &FleetConfig| fleet.planners >= MIN_PLANNERS && fleet.accounting_day_ms().is_some();
        if !fleet.is_some_and(is_sufficient) {
            return Err(InvalidValue::rule(
                "growth",
                "growing shards require fleet.planners of at least 2 and fleet.operator.growth.day_ms",
            ));
        }
        check_ranges(&[
            Range::new("growth.shards", self.shards.len() as f64, 1.0, 16.0),
            Range::new("growth.keys", self.keys, 1.0, 1e5),
            Range::new("growth.grows", self.daily_growth, 0.0, 1.0),
            Range::new("growth.asked", self.requests_per_key_per_day, 0.1, 10.0),
            Range::new("growth.written", self.write_share, 0.0, 1.0),
            Range::new("growth.known_days", f64::from(self.history_days), 0.0, 400.0),
        ])
    }

    /// The number of keys of each shard this many accounting days after the start of the run.
    pub fn keys_after(&self, days: f64) -> f64 {
        self.keys * (1.0 + self.daily_growth).powf(days)
    }
}

impl Experiment {
    /// The number of accounting days from the start of the run to a time, in seconds from the start; 0 if no
    /// day length is configured.
    pub fn accounting_days_at(&self, at_s: f64) -> f64 {
        let day_ms = self.fleet.as_ref().and_then(FleetConfig::accounting_day_ms);
        day_ms.map_or(0.0, |day_ms| at_s * 1000.0 / day_ms)
    }
}
