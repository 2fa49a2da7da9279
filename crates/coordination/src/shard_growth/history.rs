//! What a planner knows of each shard: days that are still counted, days that are closed, and the forecast that follows.
//!
//! Invariant: the closed days of a shard are in ascending order, each at most once, and at most [`MAX_DAYS`].

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::accounting_day::AccountingDay;
use super::capacity_forecast::{CapacityForecast, forecast_capacity};
use super::forecast::Point;
use super::message::GrowthError;
use super::shard_day::{ShardCounters, ShardDay};
use super::shard_map::ShardId;
use crate::member::{ForwarderId, Incarnation};

/// The number of closed days that are kept of each shard.
pub const MAX_DAYS: usize = 400;

/// What is kept of a shard's day once it is closed. The order of fields is the wire format and the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClosedDay {
    /// The day.
    pub day: AccountingDay,
    /// The bytes that the day's keys take in a cache.
    pub bytes: f32,
    /// The number of distinct keys.
    pub keys: f32,
}

/// How far the closed days were sent to other planners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryCursor {
    /// The shard whose days were sent last.
    pub shard: ShardId,
    /// How many of its newest days were sent before the last part.
    pub skipped_days: usize,
}

/// Some closed days of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryPart {
    /// Where the part lies.
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
    /// Starts with the closed days of a snapshot. Only the newest [`MAX_DAYS`] of each shard are kept.
    pub fn from_closed_days(closed_days: Vec<(ShardId, Vec<ClosedDay>)>) -> GrowthHistory {
        let newest = |mut days: Vec<ClosedDay>| days.split_off(days.len().saturating_sub(MAX_DAYS));
        let closed_days = closed_days.into_iter().map(|(shard, days)| (shard, newest(days))).collect();
        GrowthHistory { open_days: BTreeMap::new(), closed_days }
    }

    /// The closed days of all shards, as they are persisted.
    pub fn closed_days(&self) -> Vec<(ShardId, Vec<ClosedDay>)> {
        self.closed_days.iter().map(|(shard, days)| (*shard, days.clone())).collect()
    }

    /// A shard's open day: yesterday's, today's, or one that has begun already by another planner's clock.
    ///
    /// # Errors
    /// [`GrowthError::DayClosed`] for any other day, and for one that is closed.
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

    /// Raises the counters that one incarnation of a forwarder has of a shard.
    ///
    /// # Errors
    /// As for [`GrowthHistory::open_day_mut`]; [`GrowthError::CapacityExceeded`] if there are too many incarnations.
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

    /// Closes all open days up to `last`, and returns whether there was any.
    pub fn close_days(&mut self, last: AccountingDay) -> bool {
        let still_open = self.open_days.split_off(&AccountingDay(last.0 + 1));
        let closing = std::mem::replace(&mut self.open_days, still_open);
        let any_closed = !closing.is_empty();
        for (day, shards) in closing {
            for (shard, counted) in shards {
                // A day on which no value was seen tells nothing of the shard's size.
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

    /// Takes closed days that another planner has, up to `last_closed`, and returns whether any was new. A day that this
    /// planner has closed itself stays as it is.
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

    /// The next part of the closed days, of at most `max_days`: shard by shard, the newest days of each first. None if
    /// `after` was the last part.
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

    /// Forecasts when a shard outgrows a capacity in bytes.
    pub fn capacity_forecast(&self, shard: ShardId, capacity_bytes: f64) -> CapacityForecast {
        let days = self.closed_days.get(&shard).into_iter().flatten();
        let points: Vec<Point> =
            days.map(|closed| Point { day: closed.day, value: f64::from(closed.bytes) }).collect();
        forecast_capacity(&points, capacity_bytes)
    }

    /// The number of entries held; a sketch counts for its registers.
    pub fn entries(&self) -> usize {
        let open_days = self.open_days.values().flat_map(|shards| shards.values());
        open_days.map(ShardDay::entries).sum::<usize>()
            + self.closed_days.values().map(Vec::len).sum::<usize>()
    }
}

/// Inserts a day that is not known yet, in place of the oldest one if all are kept, and returns whether it did.
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
