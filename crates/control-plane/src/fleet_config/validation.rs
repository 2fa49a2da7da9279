//! Checks the values of the fleet configuration file. Error messages name keys as they are written in the
//! file.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::PathBuf;

use granitelb_coordination::PlannerId;
use granitelb_coordination::message::{Secret, Secrets};
use toml::Spanned;

use super::FleetConfig;
use super::sections::{
    CounterfactualSection, DAY_MS, FleetFile, GrowthSection, LeaseSection, PlannerEntry, ProbeSection,
};
use crate::config_error::{ConfigSource, InvalidValue};

/// The maximum number of planners. More planners would make agreement no better, and each of them costs every
/// forwarder messages.
pub const MAX_PLANNERS: usize = 5;
/// The maximum number of forwarders that a planner tracks.
pub const MAX_FORWARDERS: usize = 4096;

const MAX_ORIGIN_FETCHES_PER_S: f64 = 1e6;
const MAX_WARMUP_WORK: f64 = 1000.0;
const RESERVED_SHARE: RangeInclusive<f64> = 0.01..=1.0;
/// The allowed duration of a lease. It is bounded because a planner that starts waits until the longest lease
/// or loan that any configuration allows has expired.
const LEASE_DURATION_MS: RangeInclusive<u64> = 500..=2400;
const PROBES_PER_WINDOW: RangeInclusive<f64> = 0.5..=100.0;
const PROBE_WINDOW_MS: RangeInclusive<u64> = 500..=10_000;
const CONCURRENT_SPLITS: RangeInclusive<usize> = 1..=16;
const DAYS_OF_MONTH: RangeInclusive<u8> = 1..=31;
const SPARE_FETCHES_PER_S: RangeInclusive<f64> = 0.0..=1e6;
const STEP_MS: RangeInclusive<u64> = 100..=DAY_MS;
const ACCOUNTING_DAY_MS: RangeInclusive<u64> = 1000..=DAY_MS;
const EVALUATION_INTERVAL_MS: RangeInclusive<u64> = 500..=600_000;

/// Checks the values of a parsed file, and reads the secrets from the files that it names.
///
/// # Errors
/// Returns the first value that is not allowed, with its key.
pub(super) fn validate(file: FleetFile, source: &ConfigSource) -> Result<FleetConfig, InvalidValue> {
    let current = secret("secret", file.secret, file.secret_file, source)?;
    let current = current.ok_or_else(|| InvalidValue::new("secret", "secret or secret_file must be set"))?;
    let previous = secret("former_secret", file.former_secret, file.former_secret_file, source)?;
    if !(1..=MAX_FORWARDERS).contains(&file.max_forwarders) {
        return Err(InvalidValue::new("forwarders", format!("must be from 1 to {MAX_FORWARDERS}")));
    }
    if let Some(leases) = &file.leases {
        leases.validate()?;
    }
    file.probes.validate()?;
    if let Some(growth) = &file.shard_growth {
        growth.validate()?;
    }
    if let Some(counterfactual) = &file.counterfactual {
        counterfactual.validate()?;
    }
    Ok(FleetConfig {
        secrets: Secrets { current, previous },
        planners: planner_addresses(&file.planners)?,
        max_forwarders: file.max_forwarders,
        leases: file.leases,
        probes: file.probes,
        shard_growth: file.shard_growth,
        counterfactual: file.counterfactual,
    })
}

/// Reads a secret that the file contains or whose file it names; `None` if neither key is set.
fn secret(
    key: &'static str,
    inline: Option<String>,
    path: Option<PathBuf>,
    source: &ConfigSource,
) -> Result<Option<Secret>, InvalidValue> {
    let digits = match (inline, path) {
        (Some(_), Some(_)) => {
            return Err(InvalidValue::new(
                key,
                format!("{key} and {key}_file are both set: remove one of them"),
            ));
        }
        (Some(digits), None) => digits,
        (None, Some(path)) => {
            let path = source.resolve(&path);
            std::fs::read_to_string(&path).map_err(|error| {
                InvalidValue::new(key, format!("the file {} can't be read: {error}", path.display()))
            })?
        }
        (None, None) => return Ok(None),
    };
    // The error does not quote the text, which is a secret.
    let bytes = hex::decode(digits.trim())
        .map_err(|_| InvalidValue::new(key, "must be pairs of hexadecimal digits"))?;
    match Secret::new(&bytes) {
        Ok(secret) => Ok(Some(secret)),
        Err(error) => Err(InvalidValue::new(key, error.to_string())),
    }
}

fn planner_addresses(
    entries: &[Spanned<PlannerEntry>],
) -> Result<BTreeMap<PlannerId, SocketAddrV4>, InvalidValue> {
    if !(1..=MAX_PLANNERS).contains(&entries.len()) {
        return Err(InvalidValue::new("planner", format!("there must be from 1 to {MAX_PLANNERS} planners")));
    }
    let mut planners = BTreeMap::new();
    for entry in entries {
        let invalid = |key, reason| InvalidValue { key, reason, offset: Some(entry.span().start) };
        let PlannerEntry { number, address } = *entry.get_ref();
        let SocketAddr::V4(address) = address else {
            return Err(invalid("planner.letters", format!("{address} must be an IPv4 address")));
        };
        if address.ip().is_unspecified() || address.port() == 0 {
            return Err(invalid(
                "planner.letters",
                format!("{address} must have an IP address and a port other than 0"),
            ));
        }
        if planners.values().any(|known| *known == address) {
            return Err(invalid("planner.letters", format!("another planner has the address {address}")));
        }
        if planners.insert(PlannerId(number), address).is_some() {
            return Err(invalid("planner.number", format!("another planner has the number {number}")));
        }
    }
    Ok(planners)
}

impl LeaseSection {
    fn validate(&self) -> Result<(), InvalidValue> {
        if !(self.origin_fetches_per_s > 0.0 && self.origin_fetches_per_s <= MAX_ORIGIN_FETCHES_PER_S) {
            return Err(InvalidValue::new("leases.origin_per_s", "must be over 0, up to 1000000"));
        }
        if !(self.warmup_work > 0.0 && self.warmup_work <= MAX_WARMUP_WORK) {
            return Err(InvalidValue::new("leases.cold_work", "must be over 0, up to 1000"));
        }
        if !RESERVED_SHARE.contains(&self.reserved_share) {
            return Err(InvalidValue::new(
                "leases.reserve",
                "must be from 0.01 to 1: without a reserved share an idle node could not send an attempt",
            ));
        }
        // The shares are used in thousandths: if both are rounded up, their sum may exceed 1000.
        let thousandths = (self.reserved_share * 1000.0).round() + (self.long_term_share * 1000.0).round();
        if !(0.0..=1.0).contains(&self.long_term_share) || thousandths > 1000.0 {
            return Err(InvalidValue::new(
                "leases.standing",
                "must be from 0 to 1, and the sum of standing and reserve at most 1",
            ));
        }
        if !LEASE_DURATION_MS.contains(&self.duration_ms) {
            return Err(InvalidValue::new("leases.lasts_ms", "must be from 500 to 2400"));
        }
        Ok(())
    }
}

impl ProbeSection {
    fn validate(&self) -> Result<(), InvalidValue> {
        if !PROBES_PER_WINDOW.contains(&self.probes_per_window) {
            return Err(InvalidValue::new("turns.trials", "must be from 0.5 to 100"));
        }
        if !PROBE_WINDOW_MS.contains(&self.window_ms) {
            return Err(InvalidValue::new("turns.window_ms", "must be from 500 to 10000"));
        }
        Ok(())
    }
}

impl GrowthSection {
    fn validate(&self) -> Result<(), InvalidValue> {
        if self.shard_bytes == 0 {
            return Err(InvalidValue::new("growth.shard_bytes", "must be over 0"));
        }
        if !CONCURRENT_SPLITS.contains(&self.max_concurrent_splits) {
            return Err(InvalidValue::new("growth.splits_at_once", "must be from 1 to 16"));
        }
        if !self.frozen_days.iter().all(|day| DAYS_OF_MONTH.contains(&day.unsigned_abs())) {
            return Err(InvalidValue::new(
                "growth.frozen_days",
                "must be days of the month, 1 to 31, or counted from its end, -1 to -31",
            ));
        }
        if !self.spare_fetches_per_s.is_none_or(|rate| SPARE_FETCHES_PER_S.contains(&rate)) {
            return Err(InvalidValue::new("growth.spare_per_s", "must be from 0 to 1000000"));
        }
        if !self.step_ms.is_none_or(|step| STEP_MS.contains(&step)) {
            return Err(InvalidValue::new(
                "growth.step_ms",
                "must be from 100 to 86400000, and set only in tests",
            ));
        }
        if !ACCOUNTING_DAY_MS.contains(&self.day_ms) {
            return Err(InvalidValue::new(
                "growth.day_ms",
                "must be from 1000 to 86400000, and less than 86400000 only in tests",
            ));
        }
        Ok(())
    }
}

impl CounterfactualSection {
    fn validate(&self) -> Result<(), InvalidValue> {
        if !EVALUATION_INTERVAL_MS.contains(&self.evaluation_interval_ms) {
            return Err(InvalidValue::new(
                "hindsight.judge_ms",
                "must be from 500 to 600000, and less than 30000 only in tests",
            ));
        }
        Ok(())
    }
}
