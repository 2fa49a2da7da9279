//! Shards whose keys grow in number while an experiment runs, and what is expected of their splits.

use serde::Deserialize;

use super::parts::within;
use super::{Experiment, FleetForm};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrowthForm {
    /// Each grows alike.
    pub shards: Vec<u8>,
    /// Keys of each when the run begins.
    pub keys: f64,
    /// By this part of them there are more on the next day.
    pub grows: f64,
    /// How often a day each key is asked for.
    #[serde(default = "asked")]
    pub asked: f64,
    /// This part of what is asked are writes.
    #[serde(default)]
    pub written: f64,
    /// Days before the run that planners are told of.
    #[serde(default)]
    pub known_days: u32,
    #[serde(default)]
    pub expect: GrowthExpect,
}

/// The bars; one that is left out asks nothing.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GrowthExpect {
    /// Splits that went their whole way, at least.
    pub settled: Option<usize>,
    /// Splits that were given up: at most, and at least.
    pub withdrawn: Option<usize>,
    pub given_up: Option<usize>,
    /// Steps on while the origin is slow, from 3.5 s after it began to be.
    pub steps_while_slow: Option<usize>,
    /// Kills of planners after which another one took the next step before they were back.
    pub gone_on: Option<usize>,
    /// Of reads that missed at the new place during "both read" and went on to the origin, those that asked the old one before.
    pub old_first: Option<f64>,
    /// Reads at nodes that held an older form, of keys that stand elsewhere by the newest, at least.
    pub behind: Option<usize>,
}

fn asked() -> f64 {
    1.1
}

impl GrowthForm {
    pub fn check(&self, fleet: Option<&FleetForm>) -> Result<(), (String, String)> {
        if fleet.is_none_or(|f| f.planners < 2 || f.day_ms().is_none()) {
            return Err(("growth".into(), "it takes two planners and fleet.operator.growth.day_ms".into()));
        }
        within(&[
            ("growth.shards", self.shards.len() as f64, 1.0, 16.0),
            ("growth.keys", self.keys, 1.0, 1e5),
            ("growth.grows", self.grows, 0.0, 1.0),
            ("growth.asked", self.asked, 0.1, 10.0),
            ("growth.written", self.written, 0.0, 1.0),
            ("growth.known_days", f64::from(self.known_days), 0.0, 400.0),
        ])
    }

    /// Keys of a shard so many days after the run began.
    pub fn keys_on(&self, days: f64) -> f64 {
        self.keys * (1.0 + self.grows).powf(days)
    }
}

impl FleetForm {
    /// How long a day of the book is, as the operator's file says.
    pub fn day_ms(&self) -> Option<f64> {
        let day = self.operator.get("growth")?.get("day_ms")?.as_integer()?;
        (day > 0).then_some(day as f64)
    }
}

impl Experiment {
    /// Days of the book from the start of the run to a moment.
    pub fn days_at(&self, at_s: f64) -> f64 {
        let day_ms = self.fleet.as_ref().and_then(FleetForm::day_ms);
        day_ms.map_or(0.0, |day| at_s * 1000.0 / day)
    }
}
