//! A simulated book over months: reads by keys of shards, of which one grows, from caches that each hold so many values.
//! No splits, splits at the breach, and splits ahead: hit share, origin fetches, and what came late since the origin had
//! more to do than it can. `growth_months [first seed] [seeds]`.

use std::collections::{BTreeMap, HashMap};

use granitelb_balancer::calls::MigrationPhase;
use granitelb_balancer::ids::{EndpointId, Key};
use granitelb_balancer::slot_table::{place_of, shard_of};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::shard_growth::form::Form;
use granitelb_coordination::shard_growth::history::History;
use granitelb_coordination::shard_growth::schedule::{Outlook, Schedule, Settings, World};
use granitelb_coordination::shard_growth::sketch::{Day, Shard};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CACHES: u64 = 120;
/// Values that a cache holds.
const HOLDS: usize = 330;
const SHARDS: u8 = 255;
/// Keys of a shard that doesn't grow, and reads of each of its keys a day.
const BASE: u64 = 90;
const DAYS: u32 = 120;
/// Of the book; known before it begins to be played.
const KNOWN: u32 = 100;
const TICKS: u32 = 96;
const READS: u64 = 40_000;
/// Fetches of the origin in a tick; more are late.
const ORIGIN: u64 = 20;
const GROWS: Shard = Shard(40);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Never,
    AtBreach,
    Ahead,
}

/// The last values that were read, by the time of their last read.
#[derive(Default)]
struct Lru {
    values: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
}

impl Lru {
    fn read(&mut self, key: u64, at: u64) -> bool {
        let hit = self.values.get(&key).copied();
        if let Some(last) = hit {
            self.touch(key, last, at);
        }
        hit.is_some()
    }

    fn touch(&mut self, key: u64, last: u64, at: u64) {
        self.order.remove(&last);
        self.order.insert(at, key);
        self.values.insert(key, at);
    }

    fn store(&mut self, key: u64, at: u64) {
        self.order.insert(at, key);
        self.values.insert(key, at);
        if self.values.len() > HOLDS {
            let (_, oldest) = self.order.pop_first().expect("it is full");
            self.values.remove(&oldest);
        }
    }
}

#[derive(Default)]
struct Came {
    reads: u64,
    fetches: u64,
    late: u64,
    worst_day: u64,
    day_late: u64,
    splits: Vec<u32>,
}

/// Keys of the shard that grows, on a day.
fn grown(seed: u64, day: u32) -> f64 {
    let rate = 0.013 + (xxh3_64_with_seed(b"rate", seed) % 300) as f64 / 1e5;
    300.0 * (rate * f64::from(day)).exp()
}

/// The last four days of a month and the first two.
fn frozen(day: u32, tick: u32) -> Option<(Span, Span)> {
    let is_frozen = |d: u32| {
        let (n, length) = Day(20_000 + d).in_month();
        n + 4 > length || n <= 2
    };
    let begins = (day..day + 40).find(|d| is_frozen(*d))?;
    let ends = (begins..begins + 40).find(|d| !is_frozen(*d))?;
    let from_now = |d: u32| Span(900_000_000 * u64::from(((d - day) * TICKS).saturating_sub(tick)));
    Some((from_now(begins), from_now(ends)))
}

fn play(seed: u64, way: Way) -> Came {
    let draw = |n: u64| xxh3_64_with_seed(&n.to_le_bytes(), seed);
    let sizes: Vec<(EndpointId, f64)> = (0..CACHES).map(|c| (EndpointId(c), 1.0)).collect();
    // The keys of each shard, as many as there will be.
    let most = grown(seed, KNOWN + DAYS) as usize + 1;
    let mut keys: Vec<Vec<u64>> = vec![Vec::new(); 256];
    for key in (seed * 100_000_000)..(seed + 1) * 100_000_000 {
        let shard = shard_of(Key(key));
        let limit = if Shard(shard) == GROWS { most } else { BASE as usize };
        if keys[usize::from(shard)].len() < limit {
            keys[usize::from(shard)].push(key);
        }
        if key % 4096 == 0
            && keys
                .iter()
                .enumerate()
                .all(|(s, k)| k.len() >= if s == GROWS.0.into() { most } else { BASE as usize })
        {
            break;
        }
    }
    // A slot's keys crowd its cache when the shard keeps about so many.
    let room = 32.0 * 85.0;
    let noisy =
        |day: u32| grown(seed, day) * (0.985 + (draw(u64::from(day) + 7_000_000) % 3000) as f64 / 1e5);
    let mut known: Vec<(Day, f32, f32)> =
        (0..KNOWN).map(|d| (Day(20_000 + d), noisy(d) as f32, noisy(d) as f32)).collect();
    let settings = Settings { part: Span::from_millis(900_000), ..Settings::default() };
    let (mut schedule, mut form) = (Schedule::new(settings), Form::default());
    let mut edges = Default::default();
    let mut caches: Vec<Lru> = (0..CACHES).map(|_| Lru::default()).collect();
    let mut places: HashMap<u64, (EndpointId, Option<EndpointId>)> = HashMap::new();
    let (mut came, mut n) = (Came::default(), 0u64);
    for tick in 0..DAYS * TICKS {
        let day = KNOWN + tick / TICKS;
        let now = Time(u64::from(tick) * 900_000_000);
        let alive = grown(seed, day) as u64;
        if tick % TICKS == 0 {
            let history = History::of(vec![(GROWS, known.clone())]);
            edges = history.edges(GROWS, room * f64::from(1u32 << form.of(GROWS).bits));
            known.push((Day(20_000 + day), noisy(day) as f32, noisy(day) as f32));
            came.worst_day = came.worst_day.max(std::mem::take(&mut came.day_late));
        }
        let at = f64::from(20_000 + day) + f64::from(tick % TICKS) / f64::from(TICKS);
        let left = |edge: f64| Span::from_secs_f64((edge + 1.0 - at).max(0.0) * 86_400.0);
        let (early, likely) = match way {
            Way::Never => (None, None),
            Way::AtBreach => {
                (edges.early.filter(|e| *e < at - 0.9 && edges.likely == Some(*e)), edges.likely)
            }
            Way::Ahead => (edges.early, edges.likely),
        };
        let outlook = Outlook {
            early: early.map(left),
            likely: likely.map(left),
            keys: alive as f64,
            caches: sizes.iter().map(|c| c.0).collect(),
        };
        let world = World {
            spare_fetches: ORIGIN as f64 / 900.0,
            frozen: frozen(day, tick % TICKS),
            ..World::default()
        };
        if let Some(change) = schedule.next(now, &form, &world, &BTreeMap::from([(GROWS, outlook)])) {
            if change.to.step.is_none() && change.to.bits > 0 {
                came.splits.push(day - KNOWN);
                edges = Default::default();
            }
            form = change.form;
            // Only the shard's own keys move.
            keys[usize::from(GROWS.0)].iter().for_each(|k| _ = places.remove(k));
        }
        let table = form.for_module();
        let both = table.shards.get(&GROWS.0).is_some_and(|s| s.moving == MigrationPhase::DualRead);
        let (mut fetches, total) = (0, alive + BASE * u64::from(SHARDS));
        // Month end brings more.
        let (of_month, length) = Day(20_000 + day).in_month();
        let busy = if of_month + 2 > length { 2 } else { 1 };
        for _ in 0..READS / u64::from(TICKS) * busy {
            n += 1;
            let which = draw(n) % total;
            let key = if which < alive {
                keys[usize::from(GROWS.0)][which as usize]
            } else {
                let other = ((which - alive) / BASE) as usize;
                keys[if other >= GROWS.0.into() { other + 1 } else { other }]
                    [((which - alive) % BASE) as usize]
            };
            let (place, old) = *places
                .entry(key)
                .or_insert_with(|| place_of(Key(key), &table, &sizes).expect("there are caches"));
            let hit = caches[place.0 as usize].read(key, n);
            let hit = hit || both && old.is_some_and(|old| caches[old.0 as usize].read(key, n));
            came.reads += 1;
            if !hit {
                fetches += 1;
                caches[place.0 as usize].store(key, n);
            }
        }
        if tick >= 10 * TICKS {
            came.fetches += fetches;
            came.late += fetches.saturating_sub(ORIGIN);
            came.day_late += fetches.saturating_sub(ORIGIN);
        } else {
            came.reads = 0;
        }
    }
    came
}

fn main() {
    let figure = |n, or| std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(or);
    let (first, seeds): (u64, u64) = (figure(1, 1), figure(2, 3));
    println!(
        "| seed | splits | hit share | origin fetches | late | late on the worst day | settled on day |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for seed in first..first + seeds {
        for way in [Way::Never, Way::AtBreach, Way::Ahead] {
            let c = play(seed, way);
            let hits = 100.0 * (1.0 - c.fetches as f64 / c.reads as f64);
            println!(
                "| {seed} | {way:?} | {hits:.2}% | {} | {} | {} | {:?} |",
                c.fetches, c.late, c.worst_day, c.splits
            );
        }
    }
}
