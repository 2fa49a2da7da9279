//! A planner's history of each shard: open days, whose counts may still rise, and closed days, from which the
//! shard's size is forecast.
//!
//! Invariant: a shard has at most [`MAX_DAYS`] closed days, in ascending order and without duplicates.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::accounting_day::AccountingDay;
use super::capacity_forecast::{CapacityForecast, forecast_capacity};
use super::forecast::Point;
use super::message::GrowthError;
use super::shard_day::{ShardCounters, ShardDay};
use super::shard_map::ShardId;
use crate::member::{ForwarderId, Incarnation};

/// The maximum number of closed days that are kept for each shard.
pub const MAX_DAYS: usize = 400;

/// The totals of one shard on one closed day. The order of fields is the wire format and the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClosedDay {
    /// The day.
    pub day: AccountingDay,
    /// The size of the day's keys in a cache, in bytes.
    pub bytes: f32,
    /// The number of distinct keys that were read or written.
    pub keys: f32,
}

/// The position of a part of the closed days that was sent to other planners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryCursor {
    /// The shard whose days the part holds.
    pub shard: ShardId,
    /// The number of the shard's newest days that precede the part, since the newest days are sent first.
    pub skipped_days: usize,
}

/// Some closed days of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryPart {
    /// The position of the part.
    pub cursor: HistoryCursor,
    /// The days in ascending order.
    pub days: Vec<ClosedDay>,
}

/// The open and closed days of all shards.
#[derive(Debug, Default)]
pub struct GrowthHistory {
    open_days: BTreeMap<AccountingDay, BTreeMap<ShardId, ShardDay>>,
    closed_days: BTreeMap<ShardId, Vec<ClosedDay>>,
}

impl GrowthHistory {
    /// Creates a history from the closed days of a snapshot. Only the newest [`MAX_DAYS`] of each shard are
    /// kept.
    pub fn from_closed_days(closed_days: Vec<(ShardId, Vec<ClosedDay>)>) -> GrowthHistory {
        let newest = |mut days: Vec<ClosedDay>| days.split_off(days.len().saturating_sub(MAX_DAYS));
        let closed_days = closed_days.into_iter().map(|(shard, days)| (shard, newest(days))).collect();
        GrowthHistory { open_days: BTreeMap::new(), closed_days }
    }

    /// The closed days of all shards, in the form in which they are persisted.
    pub fn closed_days(&self) -> Vec<(ShardId, Vec<ClosedDay>)> {
        self.closed_days.iter().map(|(shard, days)| (*shard, days.clone())).collect()
    }

    /// The open day `day` of a shard: yesterday, today, or tomorrow, which may have begun by another
    /// planner's clock.
    ///
    /// # Errors
    /// [`GrowthError::DayClosed`] if `day` is any other day, or is closed.
    pub fn open_day_mut(
        &mut self,
        today: AccountingDay,
        day: AccountingDay,
        shard: ShardId,
    ) -> Result<&mut ShardDay, GrowthError> {
        let last_closed = self.closed_days.get(&shard).and_then(|days| days.last());
        let is_closed = last_closed.is_some_and(|last| last.day >= day);
        if is_closed || day.0.abs_diff(today.0) > 1 {
            return Err(GrowthError::DayClosed);
        }
        Ok(self.open_days.entry(day).or_default().entry(shard).or_default())
    }

    /// Raises the counters of one incarnation of a forwarder for a shard to those of a report.
    ///
    /// # Errors
    /// As for [`GrowthHistory::open_day_mut`]; [`GrowthError::CapacityExceeded`] if too many incarnations
    /// have reported the shard's day.
    pub fn raise_counters(
        &mut self,
        today: AccountingDay,
        day: AccountingDay,
        shard: ShardId,
        (forwarder, incarnation): (ForwarderId, Incarnation),
        counters: &ShardCounters,
    ) -> Result<(), GrowthError> {
        let open_day = self.open_day_mut(today, day, shard)?;
        open_day.raise(forwarder, incarnation, counters)
    }

    /// Closes all open days up to `last`, and returns whether any day was open.
    pub fn close_days(&mut self, last: AccountingDay) -> bool {
        let still_open = self.open_days.split_off(&AccountingDay(last.0 + 1));
        let closing = std::mem::replace(&mut self.open_days, still_open);
        let any_closed = !closing.is_empty();
        for (day, shards) in closing {
            for (shard, counted) in shards {
                // Without a value of known size, the shard's size on that day is unknown.
                if let Some(bytes) = counted.cached_bytes() {
                    let keys = counted.distinct_keys() as f32;
                    self.append(shard, ClosedDay { day, bytes: bytes as f32, keys });
                }
            }
        }
        any_closed
    }

    fn append(&mut self, shard: ShardId, closed: ClosedDay) {
        let days = self.closed_days.entry(shard).or_default();
        if days.last().is_none_or(|last| last.day < closed.day) {
            days.push(closed);
            days.drain(..days.len().saturating_sub(MAX_DAYS));
        }
    }

    /// Adds closed days of another planner up to `last_closed`, and returns whether any was new. A day that
    /// is in the history already is not replaced.
    pub fn merge_closed_days(
        &mut self,
        shard: ShardId,
        days: &[ClosedDay],
        last_closed: AccountingDay,
    ) -> bool {
        let mut any_new = false;
        for closed in days.iter().filter(|closed| closed.day <= last_closed) {
            let known = self.closed_days.entry(shard).or_default();
            if let Err(position) = known.binary_search_by_key(&closed.day, |known| known.day) {
                any_new |= insert_bounded(known, position, *closed);
            }
        }
        any_new
    }

    /// The part of the closed days that follows `after`, or the first part: at most `max_days` of one shard.
    /// Shards are in ascending order, and the newest days of a shard come first. None if `after` was the last
    /// part.
    pub fn part_after(&self, after: Option<HistoryCursor>, max_days: usize) -> Option<HistoryPart> {
        let Some(HistoryCursor { shard, skipped_days }) = after else {
            return self.closed_days.keys().find_map(|shard| self.part(*shard, 0, max_days));
        };
        if let Some(part) = self.part(shard, skipped_days + max_days, max_days) {
            return Some(part);
        }
        let mut later_shards = self.closed_days.keys().filter(|later| **later > shard);
        later_shards.find_map(|later| self.part(*later, 0, max_days))
    }

    fn part(&self, shard: ShardId, skipped_days: usize, max_days: usize) -> Option<HistoryPart> {
        let days = self.closed_days.get(&shard)?;
        let end = days.len().checked_sub(skipped_days).filter(|end| *end > 0)?;
        let days = days[end.saturating_sub(max_days)..end].to_vec();
        Some(HistoryPart { cursor: HistoryCursor { shard, skipped_days }, days })
    }

    /// The number of distinct keys on a shard's last closed day; 0 if there is none.
    pub fn keys(&self, shard: ShardId) -> f64 {
        let last = self.closed_days.get(&shard).and_then(|days| days.last());
        last.map_or(0.0, |last| f64::from(last.keys))
    }

    /// The shards that have closed days, in ascending order.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + '_ {
        self.closed_days.keys().copied()
    }

    /// Forecasts when a shard outgrows a capacity, given in bytes.
    pub fn capacity_forecast(&self, shard: ShardId, capacity_bytes: f64) -> CapacityForecast {
        let days = self.closed_days.get(&shard).into_iter().flatten();
        let points: Vec<Point> =
            days.map(|closed| Point { day: closed.day, value: f64::from(closed.bytes) }).collect();
        forecast_capacity(&points, capacity_bytes)
    }

    /// The number of entries held, where each register of a sketch is one entry.
    pub fn entries(&self) -> usize {
        let open_days = self.open_days.values().flat_map(|shards| shards.values());
        open_days.map(ShardDay::entries).sum::<usize>()
            + self.closed_days.values().map(Vec::len).sum::<usize>()
    }
}

/// Inserts a day at `position`, and returns whether it was inserted. If [`MAX_DAYS`] days are kept already,
/// the oldest day is removed; a day older than all of these is not inserted.
fn insert_bounded(known: &mut Vec<ClosedDay>, position: usize, closed: ClosedDay) -> bool {
    let is_full = known.len() >= MAX_DAYS;
    if is_full && position == 0 {
        return false;
    }
    known.insert(position, closed);
    if is_full {
        known.remove(0);
    }
    true
}
