//! The direct model: how long a call would have waited at a candidate, by what is known before it is sent.
//!
//! Invariant: it answers for every cache, place and class, and leans on what is known of all caches as far as little is
//! known of the one. It need not be right: whoever uses it adds what the calls sent there truly missed it by.

use std::collections::BTreeMap;

use super::book::{Case, Measure};
use super::observation::{CLASSES, How, PLACES};

/// What all caches show counts as much as so many calls at the one.
const LEAN: f64 = 5.0;

#[derive(Clone, Copy, Default)]
struct Sum {
    n: f64,
    sum: f64,
}

impl Sum {
    fn add(&mut self, n: f64, value: f64) {
        self.n += n;
        self.sum += n * value;
    }

    fn toward(self, parent: f64) -> f64 {
        (self.sum + LEAN * parent) / (self.n + LEAN)
    }
}

const KINDS: usize = CLASSES as usize * 2;

fn kind(class: u8, hit: bool) -> usize {
    usize::from(class) * 2 + usize::from(hit)
}

#[derive(Clone, Copy, Default)]
struct OfCache {
    hits: [Sum; PLACES],
    times: [Sum; KINDS],
}

pub struct Model {
    hits: [f64; PLACES],
    times: [f64; KINDS],
    caches: BTreeMap<u64, OfCache>,
    /// What a time bucket adds, at all caches and at one.
    moment: BTreeMap<u64, Sum>,
    drift: BTreeMap<(u64, u64), Sum>,
}

impl Model {
    pub fn fit<'a>(cases: impl Iterator<Item = &'a Case> + Clone, measure: Measure) -> Model {
        let mut all = OfCache::default();
        let mut caches: BTreeMap<u64, OfCache> = BTreeMap::new();
        for case in cases.clone() {
            let hit = match case.seen.how {
                How::Hit => 1.0,
                How::Miss => 0.0,
                How::Cut | How::Refused => continue,
            };
            let place = usize::from(case.seen.place);
            all.hits[place].add(1.0, hit);
            caches.entry(case.seen.chosen()).or_default().hits[place].add(1.0, hit);
        }
        let hits = all.hits.map(|s| s.toward(0.5));
        for case in cases.clone() {
            // Of one that was cut it isn't known whether it would have been a hit: it counts as both, by their shares.
            let place = usize::from(case.seen.place);
            let own = caches.entry(case.seen.chosen()).or_default();
            let share = match case.seen.how {
                How::Hit => 1.0,
                How::Miss => 0.0,
                How::Cut | How::Refused => own.hits[place].toward(hits[place]),
            };
            for (hit, n) in [(true, share), (false, 1.0 - share)] {
                let (kind, value) = (kind(case.seen.class, hit), measure.of(&case.value));
                all.times[kind].add(n, value);
                own.times[kind].add(n, value);
            }
        }
        let total = all.times.iter().fold(Sum::default(), |a, s| Sum { n: a.n + s.n, sum: a.sum + s.sum });
        let times = all.times.map(|s| s.toward(total.sum / total.n.max(1.0)));
        let mut model = Model { hits, times, caches, moment: BTreeMap::new(), drift: BTreeMap::new() };
        let missed = |model: &Model, case: &Case| {
            let place = usize::from(case.seen.place);
            measure.of(&case.value) - model.expects(case.seen.chosen(), place, case.seen.class, case.bucket)
        };
        let mut moment: BTreeMap<u64, Sum> = BTreeMap::new();
        for case in cases.clone() {
            moment.entry(case.bucket).or_default().add(1.0, missed(&model, case));
        }
        model.moment = moment;
        let mut drift: BTreeMap<(u64, u64), Sum> = BTreeMap::new();
        for case in cases {
            drift.entry((case.seen.chosen(), case.bucket)).or_default().add(1.0, missed(&model, case));
        }
        model.drift = drift;
        model
    }

    /// What a call would wait, or the share in time, at a cache that is its candidate of that place.
    pub fn expects(&self, cache: u64, place: usize, class: u8, bucket: u64) -> f64 {
        let own = self.caches.get(&cache).copied().unwrap_or_default();
        let hit = own.hits[place].toward(self.hits[place]);
        let time = |hit: bool| own.times[kind(class, hit)].toward(self.times[kind(class, hit)]);
        let moment = self.moment.get(&bucket).map_or(0.0, |s| s.toward(0.0));
        let drift = self.drift.get(&(cache, bucket)).map_or(0.0, |s| s.toward(0.0));
        hit * time(true) + (1.0 - hit) * time(false) + moment + drift
    }
}
