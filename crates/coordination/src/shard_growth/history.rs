//! What a planner knows of shards: days that go on, days that have ended, and what follows for each shard.

use std::collections::BTreeMap;

use super::forecast::{NotYet, Point, forecast};
use super::message::GrowthError;
use super::sketch::{Day, SHARDS, Shard, ShardDay};
use crate::member::{ForwarderId, Incarnation};

/// Days that are kept of each shard.
pub const MOST_DAYS: usize = 400;
/// How far ahead is looked, in days.
pub const HORIZONS: [u32; 4] = [7, 14, 30, 60];

/// When a shard outgrows its room, in days of the book.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Edges {
    pub early: Option<f64>,
    pub likely: Option<f64>,
    /// Where there is no forecast yet.
    pub not_yet: Option<NotYet>,
}

/// Days that have ended, with bytes and keys.
pub type Days = Vec<(Day, f32, f32)>;

#[derive(Debug, Default)]
pub struct History {
    /// The days that are counted now.
    open: BTreeMap<Day, BTreeMap<Shard, ShardDay>>,
    days: BTreeMap<Shard, Days>,
}

impl History {
    pub fn of(days: Vec<(Shard, Days)>) -> History {
        let newest = |mut days: Days| days.split_off(days.len().saturating_sub(MOST_DAYS));
        History { open: BTreeMap::new(), days: days.into_iter().map(|(s, d)| (s, newest(d))).collect() }
    }

    pub fn days(&self) -> Vec<(Shard, Days)> {
        self.days.iter().map(|(shard, days)| (*shard, days.clone())).collect()
    }

    /// A shard's day that is counted: yesterday's, today's, or one that another planner's clock has begun already.
    ///
    /// # Errors
    /// Any other day, and one that has ended here.
    pub fn open(&mut self, today: Day, day: Day, shard: Shard) -> Result<&mut ShardDay, GrowthError> {
        let ended = self.days.get(&shard).and_then(|d| d.last()).is_some_and(|last| last.0 >= day);
        if ended || day.0.abs_diff(today.0) > 1 {
            return Err(GrowthError::OldDay);
        }
        Ok(self.open.entry(day).or_default().entry(shard).or_default())
    }

    /// Takes one life's counts.
    ///
    /// # Errors
    /// See [`History::open`]; or there are too many lives.
    pub fn count(
        &mut self,
        today: Day,
        day: Day,
        shard: Shard,
        (forwarder, incarnation): (ForwarderId, Incarnation),
        counts: &super::sketch::Counts,
    ) -> Result<(), GrowthError> {
        let known = self.open(today, day, shard)?;
        known.raise(forwarder, incarnation, counts).then_some(()).ok_or(GrowthError::Full)
    }

    /// Ends all days up to one; whether there was any.
    pub fn end(&mut self, last: Day) -> bool {
        let rest = self.open.split_off(&Day(last.0 + 1));
        let ended = std::mem::replace(&mut self.open, rest);
        let any = !ended.is_empty();
        for (day, shards) in ended {
            for (shard, seen) in shards {
                let Some(bytes) = seen.kept() else { continue };
                let mut keys = seen.read.clone();
                keys.merge(&seen.written);
                self.push(shard, day, bytes, keys.count());
            }
        }
        any
    }

    fn push(&mut self, shard: Shard, day: Day, bytes: f64, keys: f64) {
        let days = self.days.entry(shard).or_default();
        if days.last().is_none_or(|last| last.0 < day) {
            days.push((day, bytes as f32, keys as f32));
            days.drain(..days.len().saturating_sub(MOST_DAYS));
        }
    }

    /// Days that another planner knows. Own ones stand, and days that are counted here still are passed over. Whether
    /// any was new.
    pub fn fill(&mut self, shard: Shard, days: &Days, ended: Day) -> bool {
        let mut any = false;
        for new in days.iter().filter(|d| d.0 <= ended) {
            let known = self.days.entry(shard).or_default();
            let Err(at) = known.binary_search_by_key(&new.0, |d| d.0) else { continue };
            if known.len() < MOST_DAYS {
                known.insert(at, *new);
            } else if at > 0 {
                // The oldest makes room.
                known.insert(at, *new);
                known.remove(0);
            } else {
                continue;
            }
            any = true;
        }
        any
    }

    /// A part of what is known, to be told to others: shard by shard, the newest days of each first.
    pub fn part(&self, after: Option<(Shard, usize)>, most: usize) -> Option<((Shard, usize), Days)> {
        let part = |shard: &Shard, skip: usize| {
            let days = self.days.get(shard)?;
            let to = days.len().checked_sub(skip).filter(|to| *to > 0)?;
            Some(((*shard, skip), days[to.saturating_sub(most)..to].to_vec()))
        };
        let more = after.and_then(|(shard, skip)| part(&shard, skip + most));
        let from = after.map_or(Shard(0), |(shard, _)| shard);
        let is_next = |s: &&Shard| after.is_none() || **s > from;
        more.or_else(|| self.days.keys().filter(is_next).find_map(|shard| part(shard, 0)))
    }

    pub fn keys(&self, shard: Shard) -> f64 {
        self.days.get(&shard).and_then(|d| d.last()).map_or(0.0, |d| f64::from(d.2))
    }

    pub fn shards(&self) -> impl Iterator<Item = Shard> + '_ {
        self.days.keys().copied()
    }

    /// When a shard outgrows this room: by straight lines between the horizons.
    pub fn edges(&self, shard: Shard, room: f64) -> Edges {
        let points: Vec<Point> = self
            .days
            .get(&shard)
            .into_iter()
            .flatten()
            .map(|d| Point { day: d.0, value: f64::from(d.1) })
            .collect();
        let Some(last) = points.last() else { return Edges::default() };
        let today = f64::from(last.day.0);
        // Over its room on most of the last days, it is too late already, whatever a forecast says.
        let over = points.iter().rev().take(3).filter(|p| p.value >= room).count();
        if over >= 2 {
            return Edges { early: Some(today), likely: Some(today), not_yet: None };
        }
        let mut edges = Edges::default();
        let (mut low, mut high) = ((0.0, last.value), (0.0, last.value));
        for horizon in HORIZONS {
            match forecast(&points, horizon) {
                Ok(f) => {
                    let ahead = f64::from(horizon);
                    edges.early = edges.early.or(crossed(high, (ahead, f.high), room).map(|d| today + d));
                    edges.likely = edges.likely.or(crossed(low, (ahead, f.value), room).map(|d| today + d));
                    (low, high) = ((ahead, f.value), (ahead, f.high));
                }
                // The longer ones need more; the shorter ones stand.
                Err(not_yet) => {
                    edges.not_yet = (horizon == HORIZONS[0]).then_some(not_yet);
                    break;
                }
            }
        }
        edges
    }

    /// Sketches count for what they hold.
    pub fn entries(&self) -> usize {
        let open: usize = self.open.values().flat_map(|s| s.values()).map(ShardDay::entries).sum();
        open + self.days.values().map(Vec::len).sum::<usize>()
    }

    /// Each shard has at most three days that are counted.
    pub const MOST_OPEN: usize = 3 * SHARDS;
}

fn crossed(from: (f64, f64), to: (f64, f64), room: f64) -> Option<f64> {
    if from.1 >= room {
        return Some(from.0);
    }
    (to.1 >= room).then(|| from.0 + (to.0 - from.0) * (room - from.1) / (to.1 - from.1))
}
