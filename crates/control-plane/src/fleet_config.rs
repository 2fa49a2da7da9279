//! The operator's file: what all members of a fleet have to agree on, so it is the same file for all of them. Who the
//! planners are, what signs letters, and what may be spent in all. A faculty whose section is left out is off.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

use granitelb_balancer::time::Span;
use granitelb_coordination::message::{ComponentKind, Secret, Secrets};
use granitelb_coordination::{
    PlannerId, counterfactual, endpoint_health, leases, probe_scheduling, shard_growth,
};
use serde::Deserialize;
use toml::Spanned;

use crate::config_error::{ConfigError, ConfigSource, InvalidValue};

const DAY: Span = Span::from_millis(86_400_000);
/// More planners than these agree no better, and cost each forwarder letters.
pub const MOST_PLANNERS: usize = 5;
/// A planner knows no more forwarders than these.
pub const MOST_FORWARDERS: usize = 4096;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    secret: Option<String>,
    secret_file: Option<PathBuf>,
    former_secret: Option<String>,
    former_secret_file: Option<PathBuf>,
    forwarders: usize,
    planner: Vec<Spanned<PlannerForm>>,
    leases: Option<LeasesForm>,
    #[serde(default)]
    turns: TurnsForm,
    growth: Option<GrowthForm>,
    hindsight: Option<HindsightForm>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerForm {
    number: u8,
    letters: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HindsightForm {
    /// How often it is judged how caches stand: more often for trials only.
    pub judge_ms: u64,
}

impl Default for HindsightForm {
    fn default() -> HindsightForm {
        HindsightForm { judge_ms: counterfactual::Settings::default().judges_every.0 / 1000 }
    }
}

impl HindsightForm {
    fn check(&self) -> Result<(), InvalidValue> {
        if !(500..=600_000).contains(&self.judge_ms) {
            return Err(InvalidValue::new(
                "hindsight.judge_ms",
                "from 500 to 600000, and less than 30000 for trials only",
            ));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasesForm {
    /// Fetches a second that the origin is to get from all forwarders.
    pub origin_per_s: f64,
    /// Seconds of work a second that a cold cache is to get, of a warm one's.
    #[serde(default = "cold_work")]
    pub cold_work: f64,
    /// The part of either that is each forwarder's own for ever.
    #[serde(default = "reserve")]
    pub reserve: f64,
    /// The part of the origin's fetches that is handed out for longer, by each forwarder's usual need.
    #[serde(default)]
    pub standing: f64,
    #[serde(default = "lasts_ms")]
    pub lasts_ms: u64,
}

fn cold_work() -> f64 {
    0.5
}

fn reserve() -> f64 {
    0.25
}

fn lasts_ms() -> u64 {
    2000
}

/// Who tries a cache that fails.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TurnsForm {
    /// Trials of a failing cache in a window, over the whole fleet.
    pub trials: f64,
    pub window_ms: u64,
}

impl Default for TurnsForm {
    fn default() -> TurnsForm {
        let usual = probe_scheduling::Settings::default();
        TurnsForm { trials: usual.wanted, window_ms: usual.window.0 / 1000 }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrowthForm {
    /// Bytes that the caches of one shard hold.
    pub shard_bytes: u64,
    /// How many splits may be under way in the fleet.
    #[serde(default = "splits_at_once")]
    pub splits_at_once: usize,
    /// Days of the month in which nothing moves; negative ones count from its end, the last one being -1.
    #[serde(default)]
    pub frozen_days: Vec<i8>,
    /// Fetches a second that the origin has to spare, where there are no leases; where there are, the most that counts.
    pub spare_per_s: Option<f64>,
    /// How long a day of the book is, with all that a split lasts in step: other than a day's for trials only.
    #[serde(default = "day_ms")]
    pub day_ms: u64,
    /// How long each step of a split lasts at the least, a part of its copying a quarter of it, and trouble is waited out
    /// for three times as long: for trials only.
    pub step_ms: Option<u64>,
}

fn splits_at_once() -> usize {
    1
}

fn day_ms() -> u64 {
    DAY.0 / 1000
}

/// The file, checked.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub secrets: Secrets,
    /// Where each planner's letters go.
    pub planners: BTreeMap<PlannerId, SocketAddrV4>,
    /// The most forwarders that there will be.
    pub forwarders: usize,
    pub leases: Option<LeasesForm>,
    pub turns: TurnsForm,
    pub growth: Option<GrowthForm>,
    pub hindsight: Option<HindsightForm>,
}

impl FleetConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Whatever keeps it from being an operator's file, by file, line and key.
    pub fn load(path: &Path) -> Result<FleetConfig, ConfigError> {
        FleetConfig::read(&ConfigSource::load(path)?)
    }

    /// Whether a faculty's section is there; who lives and what fails is always told.
    pub fn has(&self, kind: ComponentKind) -> bool {
        match kind {
            ComponentKind::Membership | ComponentKind::EndpointHealth => true,
            ComponentKind::Leases => self.leases.is_some(),
            ComponentKind::ShardGrowth => self.growth.is_some(),
            ComponentKind::Counterfactual => self.hindsight.is_some(),
        }
    }

    /// Whether faculties decide by this as by the other one; addresses and secrets aside.
    pub fn decides_as(&self, other: &FleetConfig) -> bool {
        let figures = |o: &FleetConfig| {
            let numbers: Vec<_> = o.planners.keys().copied().collect();
            (numbers, o.forwarders, o.leases.clone(), o.turns.clone(), o.growth.clone(), o.hindsight.clone())
        };
        figures(self) == figures(other)
    }

    pub fn leases(&self) -> Option<leases::Settings> {
        let form = self.leases.as_ref()?;
        let milli = |figure: f64| (figure * 1000.0).round() as u32;
        Some(leases::Settings {
            lease: form.lasts(),
            whole_origin: milli(form.origin_per_s),
            whole_cold: (form.cold_work * 1e6).round() as u32,
            reserve: milli(form.reserve),
            standing: milli(form.standing),
            forwarders: self.forwarders as u32,
            planners: self.planners.keys().copied().collect(),
            ..leases::Settings::default()
        })
    }

    pub fn verdicts(&self) -> endpoint_health::Settings {
        let turns = probe_scheduling::Settings {
            window: Span::from_millis(self.turns.window_ms),
            wanted: self.turns.trials,
            ..probe_scheduling::Settings::default()
        };
        endpoint_health::Settings { turns, ..endpoint_health::Settings::default() }
    }

    pub fn growth(&self) -> Option<shard_growth::PlannerSettings> {
        let form = self.growth.as_ref()?;
        let usual = shard_growth::split_schedule::Settings::default();
        let mut schedule = shard_growth::split_schedule::Settings {
            max_active_splits: form.splits_at_once,
            copy_step_duration: form.in_step(usual.copy_step_duration),
            planned_duration: form.in_step(usual.planned_duration),
            dual_read_duration: form.in_step(usual.dual_read_duration),
            switched_duration: form.in_step(usual.switched_duration),
            fault_patience: form.in_step(usual.fault_patience),
            withdrawn_duration: form.in_step(usual.withdrawn_duration),
            ..usual
        };
        if let Some(step) = form.step_ms.map(Span::from_millis) {
            (schedule.copy_step_duration, schedule.fault_patience) = (step.scaled(0.25), step.scaled(3.0));
            (schedule.planned_duration, schedule.dual_read_duration) = (step, step);
            (schedule.switched_duration, schedule.withdrawn_duration) = (step, step);
        }
        let usual = shard_growth::PlannerSettings::default();
        Some(shard_growth::PlannerSettings {
            heartbeat_interval: form.quick(usual.heartbeat_interval),
            proposal_retry_interval: form.quick(usual.proposal_retry_interval),
            endpoint_report_ttl: form.quick(usual.endpoint_report_ttl),
            slow_origin_report_ttl: form.quick(usual.slow_origin_report_ttl),
            planners: self.planners.keys().copied().collect(),
            schedule,
            day_length: Span::from_millis(form.day_ms),
            shard_capacity_bytes: Some(form.shard_bytes as f64),
            frozen_days: form.frozen_days.iter().copied().collect(),
            ..usual
        })
    }

    /// The forwarder's side of it.
    pub fn growth_seen(&self) -> Option<shard_growth::ForwarderSettings> {
        let form = self.growth.as_ref()?;
        let usual = shard_growth::ForwarderSettings::default();
        let lately = form.in_step(usual.eviction_window);
        let (beat, lists) =
            (form.quick(usual.heartbeat_interval), form.quick(usual.endpoint_report_interval));
        // In trials no more letters than it takes: planners end a day when an eighth of the next one is over.
        let usually = form.day_ms >= DAY.0 / 1000;
        let round = if usually { usual.report_round } else { Span::from_millis(form.day_ms).scaled(0.1) };
        let fetches = form.quick(usual.fetch_time_constant);
        Some(shard_growth::ForwarderSettings {
            report_round: round,
            heartbeat_interval: beat,
            eviction_window: lately,
            endpoint_report_interval: lists,
            fetch_time_constant: fetches,
        })
    }

    pub fn hindsight(&self) -> Option<counterfactual::Settings> {
        let form = self.hindsight.as_ref()?;
        let judges_every = Span::from_millis(form.judge_ms);
        Some(counterfactual::Settings { judges_every, ..counterfactual::Settings::default() })
    }

    /// # Errors
    /// As [`FleetConfig::load`].
    pub fn read(source: &ConfigSource) -> Result<FleetConfig, ConfigError> {
        let form: Form = source.read()?;
        form.check(source).map_err(|wrong| source.wrong(wrong))
    }
}

impl fmt::Display for FleetConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let on: Vec<_> =
            ComponentKind::ALL.into_iter().filter(|kind| self.has(*kind)).map(ComponentKind::name).collect();
        let two = if self.secrets.old.is_some() { ", a former secret too" } else { "" };
        let (planners, forwarders) = (self.planners.len(), self.forwarders);
        write!(f, "{planners} planners, at most {forwarders} forwarders, {}{two}", on.join(", "))
    }
}

impl Form {
    fn check(self, source: &ConfigSource) -> Result<FleetConfig, InvalidValue> {
        let new = secret("secret", self.secret, self.secret_file, source)?;
        let new = new.ok_or_else(|| InvalidValue::new("secret", "neither it nor secret_file is given"))?;
        let old = secret("former_secret", self.former_secret, self.former_secret_file, source)?;
        if !(1..=MOST_FORWARDERS).contains(&self.forwarders) {
            return Err(InvalidValue::new("forwarders", format!("from 1 to {MOST_FORWARDERS}")));
        }
        if let Some(leases) = &self.leases {
            leases.check()?;
        }
        self.turns.check()?;
        if let Some(growth) = &self.growth {
            growth.check()?;
        }
        if let Some(hindsight) = &self.hindsight {
            hindsight.check()?;
        }
        Ok(FleetConfig {
            secrets: Secrets { new, old },
            planners: planners(&self.planner)?,
            forwarders: self.forwarders,
            leases: self.leases,
            turns: self.turns,
            growth: self.growth,
            hindsight: self.hindsight,
        })
    }
}

fn secret(
    key: &'static str,
    here: Option<String>,
    file: Option<PathBuf>,
    source: &ConfigSource,
) -> Result<Option<Secret>, InvalidValue> {
    let text = match (here, file) {
        (Some(_), Some(_)) => return Err(InvalidValue::new(key, "given here and by a file: one of them")),
        (Some(text), None) => text,
        (None, Some(file)) => {
            let file = source.beside(&file);
            let unread = |e| InvalidValue::new(key, format!("{} can't be read: {e}", file.display()));
            std::fs::read_to_string(&file).map_err(unread)?
        }
        (None, None) => return Ok(None),
    };
    // What the text is stays out of the message: it is a secret.
    let bytes =
        hex::decode(text.trim()).map_err(|_| InvalidValue::new(key, "not hexadecimal digits in pairs"))?;
    Secret::new(&bytes).map(Some).map_err(|fault| InvalidValue::new(key, fault.to_string()))
}

fn planners(forms: &[Spanned<PlannerForm>]) -> Result<BTreeMap<PlannerId, SocketAddrV4>, InvalidValue> {
    if !(1..=MOST_PLANNERS).contains(&forms.len()) {
        return Err(InvalidValue::new("planner", format!("from 1 to {MOST_PLANNERS} of them")));
    }
    let mut planners = BTreeMap::new();
    for form in forms {
        let wrong = |key, what: String| InvalidValue { key, what, at: Some(form.span().start) };
        let PlannerForm { number, letters } = *form.get_ref();
        let SocketAddr::V4(letters) = letters else {
            return Err(wrong("planner.letters", format!("{letters} is not of IPv4")));
        };
        if letters.ip().is_unspecified() || letters.port() == 0 {
            return Err(wrong("planner.letters", format!("{letters} can't be sent to")));
        }
        if planners.values().any(|known| *known == letters) {
            return Err(wrong("planner.letters", format!("{letters} is another planner's")));
        }
        if planners.insert(PlannerId(number), letters).is_some() {
            return Err(wrong("planner.number", format!("{number} is given twice")));
        }
    }
    Ok(planners)
}

impl LeasesForm {
    pub fn lasts(&self) -> Span {
        Span::from_millis(self.lasts_ms)
    }

    fn check(&self) -> Result<(), InvalidValue> {
        if !(self.origin_per_s > 0.0 && self.origin_per_s <= 1e6) {
            return Err(InvalidValue::new("leases.origin_per_s", "over 0, up to 1000000"));
        }
        if !(self.cold_work > 0.0 && self.cold_work <= 1000.0) {
            return Err(InvalidValue::new("leases.cold_work", "over 0, up to 1000"));
        }
        if !(0.01..=1.0).contains(&self.reserve) {
            return Err(InvalidValue::new(
                "leases.reserve",
                "from 0.01 to 1: without a floor a quiet node could not try",
            ));
        }
        // In thousandths, as they are used: each rounded up, both could come to more than the whole.
        let thousandths = (self.reserve * 1000.0).round() + (self.standing * 1000.0).round();
        if !(0.0..=1.0).contains(&self.standing) || thousandths > 1000.0 {
            return Err(InvalidValue::new(
                "leases.standing",
                "from 0 to 1, and no more than the reserve leaves",
            ));
        }
        // Whoever starts waits out the longest lease or loan that any file could set, so there has to be one.
        if !(500..=2400).contains(&self.lasts_ms) {
            return Err(InvalidValue::new("leases.lasts_ms", "from 500 to 2400"));
        }
        Ok(())
    }
}

impl TurnsForm {
    fn check(&self) -> Result<(), InvalidValue> {
        if !(0.5..=100.0).contains(&self.trials) {
            return Err(InvalidValue::new("turns.trials", "from 0.5 to 100"));
        }
        if !(500..=10_000).contains(&self.window_ms) {
            return Err(InvalidValue::new("turns.window_ms", "from 500 to 10000"));
        }
        Ok(())
    }
}

impl GrowthForm {
    /// A span of usual days, in these.
    fn in_step(&self, span: Span) -> Span {
        span.scaled(self.day_ms as f64 * 1000.0 / DAY.0 as f64)
    }

    /// In days that are shorter than a day's, what is said over and over is said as often as it takes to be heard.
    fn quick(&self, span: Span) -> Span {
        if self.day_ms < DAY.0 / 1000 { self.in_step(span).max(span.scaled(0.05)) } else { span }
    }

    fn check(&self) -> Result<(), InvalidValue> {
        if self.shard_bytes == 0 {
            return Err(InvalidValue::new("growth.shard_bytes", "over 0"));
        }
        if !(1..=16).contains(&self.splits_at_once) {
            return Err(InvalidValue::new("growth.splits_at_once", "from 1 to 16"));
        }
        if !self.frozen_days.iter().all(|day| (1..=31).contains(&day.unsigned_abs())) {
            return Err(InvalidValue::new(
                "growth.frozen_days",
                "days of a month, 1 to 31, or from its end, -1 to -31",
            ));
        }
        if !self.spare_per_s.is_none_or(|spare| (0.0..=1e6).contains(&spare)) {
            return Err(InvalidValue::new("growth.spare_per_s", "from 0 to 1000000"));
        }
        if !self.step_ms.is_none_or(|step| (100..=DAY.0 / 1000).contains(&step)) {
            return Err(InvalidValue::new("growth.step_ms", "from 100 to 86400000, and for trials only"));
        }
        if !(1000..=DAY.0 / 1000).contains(&self.day_ms) {
            return Err(InvalidValue::new(
                "growth.day_ms",
                "from 1000 to 86400000, and less than that for trials only",
            ));
        }
        Ok(())
    }
}
