//! Simulates reads over several months from caches of limited capacity, where one shard grows. Compares three
//! policies: no splits, splits once the shard has outgrown its caches, and splits ahead of time. Prints the
//! hit ratio, the fetches from the origin, and the fetches that were late since they exceeded the origin's
//! capacity. Usage: `growth_months [first seed] [seeds]`.

use std::collections::{BTreeMap, HashMap};

use granitelb_balancer::ids::{EndpointId, Key};
use granitelb_balancer::slot_table::{key_placement, shard_of};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{MigrationPhase, ShardMap};
use granitelb_coordination::shard_growth::accounting_day::{AccountingDay, DayOfMonth, FrozenPeriod};
use granitelb_coordination::shard_growth::capacity_forecast::CapacityForecast;
use granitelb_coordination::shard_growth::history::{ClosedDay, GrowthHistory};
use granitelb_coordination::shard_growth::shard_map::{ShardId, VersionedShardMap};
use granitelb_coordination::shard_growth::split_schedule::{
    FleetConditions, Settings, ShardOutlook, SplitSchedule,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CACHE_COUNT: u64 = 120;
/// The number of values that a cache can store.
const CACHE_CAPACITY: usize = 330;
const SHARD_COUNT: usize = 256;
const GROWING_SHARD: ShardId = ShardId(40);
/// The number of keys of a shard that does not grow.
const STABLE_SHARD_KEYS: u64 = 90;
/// The number of keys that the caches of an unsplit shard can store, beyond which the shard needs a split.
const SHARD_CAPACITY: f64 = 32.0 * 85.0;
/// The number of simulated days.
const DAYS: u32 = 120;
/// The number of closed days in the history at the start of the simulation.
const KNOWN_DAYS: u32 = 100;
const FIRST_DAY: u32 = 20_000;
const TICKS_PER_DAY: u32 = 96;
const TICK: Span = Span::from_millis(900_000);
const TICK_SECONDS: f64 = 900.0;
const DAY_SECONDS: f64 = 86_400.0;
const READS_PER_DAY: u64 = 40_000;
/// The number of fetches that the origin can serve per tick. Fetches beyond this number are late.
const FETCHES_PER_TICK: u64 = 20;
/// The number of days in which the caches fill. Reads and fetches of these days are not counted.
const WARM_UP_DAYS: u32 = 10;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Never,
    AtBreach,
    Ahead,
}

/// A cache that evicts the least recently used value.
#[derive(Default)]
struct LruCache {
    last_read: HashMap<u64, u64>,
    keys_by_last_read: BTreeMap<u64, u64>,
}

impl LruCache {
    /// Reads a key at the time `at`, and returns whether the cache had the key.
    fn read(&mut self, key: u64, at: u64) -> bool {
        let Some(last) = self.last_read.get(&key).copied() else { return false };
        self.keys_by_last_read.remove(&last);
        self.keys_by_last_read.insert(at, key);
        self.last_read.insert(key, at);
        true
    }

    fn store(&mut self, key: u64, at: u64) {
        self.keys_by_last_read.insert(at, key);
        self.last_read.insert(key, at);
        if self.last_read.len() > CACHE_CAPACITY {
            let (_, oldest) = self.keys_by_last_read.pop_first().expect("the cache is full");
            self.last_read.remove(&oldest);
        }
    }
}

#[derive(Default)]
struct Figures {
    reads: u64,
    fetches: u64,
    late_fetches: u64,
    late_fetches_on_worst_day: u64,
    late_fetches_today: u64,
    /// The days on which a split was completed.
    split_days: Vec<u32>,
}

/// The caches from which a key is read: its present cache and, during a migration, its former cache.
#[derive(Clone, Copy)]
struct KeyPlace {
    present: EndpointId,
    former: Option<EndpointId>,
}

struct Simulation {
    seed: u64,
    policy: Policy,
    caches: Vec<LruCache>,
    cache_sizes: Vec<(EndpointId, f64)>,
    /// The keys of each shard, including those that are added in the course of the simulation.
    keys: Vec<Vec<u64>>,
    closed_days: Vec<ClosedDay>,
    schedule: SplitSchedule,
    shard_map: VersionedShardMap,
    forecast: CapacityForecast,
    key_places: HashMap<u64, KeyPlace>,
    reads_so_far: u64,
    figures: Figures,
}

impl Simulation {
    fn new(seed: u64, policy: Policy) -> Simulation {
        let settings = Settings { copy_step_duration: TICK, ..Settings::default() };
        Simulation {
            seed,
            policy,
            caches: (0..CACHE_COUNT).map(|_| LruCache::default()).collect(),
            cache_sizes: (0..CACHE_COUNT).map(|cache| (EndpointId(cache), 1.0)).collect(),
            keys: keys_of_shards(seed),
            closed_days: (0..KNOWN_DAYS).map(|day| closed_day(seed, day)).collect(),
            schedule: SplitSchedule::new(settings),
            shard_map: VersionedShardMap::default(),
            forecast: CapacityForecast::default(),
            key_places: HashMap::new(),
            reads_so_far: 0,
            figures: Figures::default(),
        }
    }

    fn run(mut self) -> Figures {
        for tick in 0..DAYS * TICKS_PER_DAY {
            if tick % TICKS_PER_DAY == 0 {
                self.begin_day(day_of(tick));
            }
            self.schedule_splits(tick);
            self.read_keys(tick);
        }
        self.figures
    }

    fn begin_day(&mut self, day: u32) {
        let history = GrowthHistory::from_closed_days(vec![(GROWING_SHARD, self.closed_days.clone())]);
        let parts = self.shard_map.layout(GROWING_SHARD).part_count();
        self.forecast = history.capacity_forecast(GROWING_SHARD, SHARD_CAPACITY * f64::from(parts));
        self.closed_days.push(closed_day(self.seed, day));
        let late_fetches = std::mem::take(&mut self.figures.late_fetches_today);
        self.figures.late_fetches_on_worst_day = self.figures.late_fetches_on_worst_day.max(late_fetches);
    }

    fn schedule_splits(&mut self, tick: u32) {
        let day = day_of(tick);
        let now = Time(u64::from(tick) * TICK.0);
        let conditions = FleetConditions {
            spare_fetches_per_second: FETCHES_PER_TICK as f64 / TICK_SECONDS,
            frozen_period: frozen_period(day, tick % TICKS_PER_DAY),
            ..FleetConditions::default()
        };
        let outlooks = BTreeMap::from([(GROWING_SHARD, self.outlook(tick))]);
        let change = self.schedule.next_change(now, &self.shard_map, &conditions, &outlooks);
        let Some(change) = change else { return };
        if change.to.phase.is_none() && change.to.bits > 0 {
            self.figures.split_days.push(day - KNOWN_DAYS);
            self.forecast = CapacityForecast::default();
        }
        self.shard_map = change.shard_map;
        // A split moves only keys of the shard itself.
        for key in &self.keys[usize::from(GROWING_SHARD.0)] {
            self.key_places.remove(key);
        }
    }

    fn outlook(&self, tick: u32) -> ShardOutlook {
        let day = day_of(tick);
        let elapsed = f64::from(tick % TICKS_PER_DAY) / f64::from(TICKS_PER_DAY);
        let now_in_days = f64::from(FIRST_DAY + day) + elapsed;
        let time_until = |forecast_day: f64| {
            Span::from_secs_f64((forecast_day + 1.0 - now_in_days).max(0.0) * DAY_SECONDS)
        };
        let CapacityForecast { earliest, likely, .. } = self.forecast;
        let (earliest, likely) = match self.policy {
            Policy::Never => (None, None),
            Policy::AtBreach => {
                let is_breach = |earliest: &f64| *earliest < now_in_days - 0.9 && likely == Some(*earliest);
                (earliest.filter(is_breach), likely)
            }
            Policy::Ahead => (earliest, likely),
        };
        ShardOutlook {
            earliest: earliest.map(time_until),
            likely: likely.map(time_until),
            keys: grown_keys(self.seed, day) as u64 as f64,
            endpoints: self.cache_sizes.iter().map(|(cache, _)| *cache).collect(),
        }
    }

    fn read_keys(&mut self, tick: u32) {
        let day = day_of(tick);
        let growing_keys = grown_keys(self.seed, day) as u64;
        let shard_map = self.shard_map.to_balancer_shard_map();
        let mut fetches = 0;
        for _ in 0..READS_PER_DAY / u64::from(TICKS_PER_DAY) * load_factor(day) {
            self.reads_so_far += 1;
            let key = self.next_key(growing_keys);
            if !self.read_from_cache(key, &shard_map) {
                fetches += 1;
            }
            self.figures.reads += 1;
        }
        if tick < WARM_UP_DAYS * TICKS_PER_DAY {
            self.figures.reads = 0;
            return;
        }
        let late = u64::saturating_sub(fetches, FETCHES_PER_TICK);
        self.figures.fetches += fetches;
        self.figures.late_fetches += late;
        self.figures.late_fetches_today += late;
    }

    /// The next key to be read. All present keys have the same probability.
    fn next_key(&self, growing_keys: u64) -> u64 {
        let growing_shard = usize::from(GROWING_SHARD.0);
        let stable_shards = SHARD_COUNT as u64 - 1;
        let key_count = growing_keys + STABLE_SHARD_KEYS * stable_shards;
        let index = draw(self.seed, self.reads_so_far) % key_count;
        if index < growing_keys {
            return self.keys[growing_shard][index as usize];
        }
        let stable_index = index - growing_keys;
        let stable_shard = (stable_index / STABLE_SHARD_KEYS) as usize;
        let shard = if stable_shard >= growing_shard { stable_shard + 1 } else { stable_shard };
        self.keys[shard][(stable_index % STABLE_SHARD_KEYS) as usize]
    }

    /// Reads a key from its present cache and, during dual reads, from its former cache. Returns whether one
    /// of them had the key; otherwise the present cache stores the key.
    fn read_from_cache(&mut self, key: u64, shard_map: &ShardMap) -> bool {
        let at = self.reads_so_far;
        let cache_sizes = &self.cache_sizes;
        let place = *self.key_places.entry(key).or_insert_with(|| key_place(key, shard_map, cache_sizes));
        if self.caches[place.present.0 as usize].read(key, at) {
            return true;
        }
        if is_dual_read(shard_map)
            && let Some(former) = place.former
            && self.caches[former.0 as usize].read(key, at)
        {
            return true;
        }
        self.caches[place.present.0 as usize].store(key, at);
        false
    }
}

fn day_of(tick: u32) -> u32 {
    KNOWN_DAYS + tick / TICKS_PER_DAY
}

fn draw(seed: u64, index: u64) -> u64 {
    xxh3_64_with_seed(&index.to_le_bytes(), seed)
}

fn key_place(key: u64, shard_map: &ShardMap, cache_sizes: &[(EndpointId, f64)]) -> KeyPlace {
    let (present, former) = key_placement(Key(key), shard_map, cache_sizes).expect("there are caches");
    KeyPlace { present, former }
}

fn is_dual_read(shard_map: &ShardMap) -> bool {
    let split = shard_map.shards.get(&GROWING_SHARD.0);
    split.is_some_and(|split| split.migration == MigrationPhase::DualRead)
}

/// The number of keys of the growing shard on a day.
fn grown_keys(seed: u64, day: u32) -> f64 {
    let rate = 0.013 + (xxh3_64_with_seed(b"rate", seed) % 300) as f64 / 1e5;
    300.0 * (rate * f64::from(day)).exp()
}

/// The closed day of the growing shard that a planner would record, with measurement noise.
fn closed_day(seed: u64, day: u32) -> ClosedDay {
    let noise = 0.985 + (draw(seed, u64::from(day) + 7_000_000) % 3000) as f64 / 1e5;
    let keys = (grown_keys(seed, day) * noise) as f32;
    ClosedDay { day: AccountingDay(FIRST_DAY + day), bytes: keys, keys }
}

fn keys_of_shards(seed: u64) -> Vec<Vec<u64>> {
    let growing_shard = usize::from(GROWING_SHARD.0);
    let growing_limit = grown_keys(seed, KNOWN_DAYS + DAYS) as usize + 1;
    let limit = |shard| if shard == growing_shard { growing_limit } else { STABLE_SHARD_KEYS as usize };
    let mut keys: Vec<Vec<u64>> = vec![Vec::new(); SHARD_COUNT];
    for key in (seed * 100_000_000)..(seed + 1) * 100_000_000 {
        let shard = usize::from(shard_of(Key(key)));
        if keys[shard].len() < limit(shard) {
            keys[shard].push(key);
        }
        let is_complete = |(shard, keys): (usize, &Vec<u64>)| keys.len() >= limit(shard);
        if key % 4096 == 0 && keys.iter().enumerate().all(is_complete) {
            break;
        }
    }
    keys
}

/// The frozen period that has begun, or else the next one. The last four days and the first two days of a
/// month are frozen.
fn frozen_period(day: u32, tick_of_day: u32) -> Option<FrozenPeriod> {
    let is_frozen = |day: u32| {
        let DayOfMonth { day, month_length } = AccountingDay(FIRST_DAY + day).in_month();
        day + 4 > month_length || day <= 2
    };
    let begins = (day..day + 40).find(|day| is_frozen(*day))?;
    let ends = (begins..begins + 40).find(|day| !is_frozen(*day))?;
    let time_until = |other: u32| {
        let ticks = ((other - day) * TICKS_PER_DAY).saturating_sub(tick_of_day);
        Span(TICK.0 * u64::from(ticks))
    };
    Some(FrozenPeriod { begins_in: time_until(begins), ends_in: time_until(ends) })
}

/// The factor of a day's reads: 2 on the last two days of a month, otherwise 1.
fn load_factor(day: u32) -> u64 {
    let DayOfMonth { day, month_length } = AccountingDay(FIRST_DAY + day).in_month();
    if day + 2 > month_length { 2 } else { 1 }
}

fn main() {
    let argument = |n, default| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default);
    let first_seed: u64 = argument(1, 1);
    let seeds: u64 = argument(2, 3);
    println!(
        "| seed | splits | hit ratio | origin fetches | late | late on the worst day | complete on day |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for seed in first_seed..first_seed + seeds {
        for policy in [Policy::Never, Policy::AtBreach, Policy::Ahead] {
            let figures = Simulation::new(seed, policy).run();
            let hits = 100.0 * (1.0 - figures.fetches as f64 / figures.reads as f64);
            println!(
                "| {seed} | {policy:?} | {hits:.2}% | {} | {} | {} | {:?} |",
                figures.fetches, figures.late_fetches, figures.late_fetches_on_worst_day, figures.split_days
            );
        }
    }
}
