//! Worlds in which it is known what would have been: of each call it is drawn how it fares at each of its candidates,
//! with the same chance for all of them, and a rule of the nodes' own picks one. What hindsight is told is the one; what
//! it says is judged by the others. One call does not move load here, as hindsight has to assume.

mod told;

use std::collections::BTreeMap;

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::counterfactual::{Measure, PLACES, is_sampled};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

pub use told::{Told, tell};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// All caches are alike.
    Calm,
    /// One cache takes three times as long for all work.
    Slow,
    /// Three keys are asked for by a third of all calls.
    Hot,
    /// A quarter of the caches hold a third of what others hold.
    Cold,
    /// A third of the caches are quicker, and four in five heavy calls, of which there are many, go to the quickest of their candidates.
    Confounded,
    /// Six in ten calls are called off early, heavy ones sooner; one cache is slow.
    CutShort,
    /// A quarter of the calls go to one of the three by chance, as where nodes' views differ much.
    Scattered,
}

pub const SHAPES: [Shape; 7] =
    [Shape::Calm, Shape::Scattered, Shape::Slow, Shape::Hot, Shape::Cold, Shape::Confounded, Shape::CutShort];

#[derive(Clone, Copy, Debug)]
pub struct Make {
    pub shape: Shape,
    pub seed: u64,
    pub nodes: usize,
    pub caches: u64,
    pub seconds: f64,
    /// Sampled calls; the others don't matter to hindsight.
    pub calls: usize,
    /// Share of letters lost, and of those that come twice or late.
    pub lost: f64,
    pub doubled: f64,
}

impl Default for Make {
    fn default() -> Make {
        Make {
            shape: Shape::Calm,
            seed: 1,
            nodes: 24,
            caches: 20,
            seconds: 600.0,
            calls: 20_000,
            lost: 0.05,
            doubled: 0.05,
        }
    }
}

/// How a call fares at one candidate.
#[derive(Clone, Copy, Debug)]
pub struct Fate {
    pub refused: bool,
    pub hit: bool,
    /// When the cache says that it lacks the key, and when the last byte has come.
    pub lacks: Span,
    pub ends: Span,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub at: Time,
    pub node: usize,
    pub name: u64,
    pub key: Key,
    pub class: u8,
    pub guess: Span,
    pub candidates: [u64; PLACES],
    pub out: [u16; PLACES],
    pub fates: [Fate; PLACES],
    pub place: usize,
    /// How it would have fared, by the same chance, were its first candidate like most caches.
    pub as_most: Fate,
    /// It is called off then, if nothing has come.
    pub cut: Span,
}

pub const SLO: Span = Span::from_millis(60);
/// The first second of a world, so that ages reach back to something.
pub const BEGIN: Time = Time(1_000_000_000);

pub struct World {
    pub make: Make,
    pub calls: Vec<Call>,
}

/// Spreads numbers.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// A number from 0 to 1 of its own for each pair.
fn share(a: u64, b: u64) -> f64 {
    mix(a, b) as f64 / u64::MAX as f64
}

impl World {
    pub fn new(make: Make) -> World {
        let mut chance = ChaCha8Rng::seed_from_u64(make.seed);
        let zipf = Zipf::new(3000.0, 0.8).expect("a sound spread");
        let gap = make.seconds / make.calls as f64;
        let calls = (0..make.calls).map(|n| call(&make, &mut chance, &zipf, gap * n as f64)).collect();
        World { make, calls }
    }

    /// What a call would have got at one of its candidates.
    pub fn truth_of(call: &Call, place: usize, measure: Measure) -> f64 {
        let fate = &call.fates[place];
        let late = fate.refused || fate.ends > SLO;
        match measure {
            Measure::InTime => f64::from(u8::from(!late)),
            Measure::Waited if late => 1.0,
            Measure::Waited => fate.ends.as_secs_f64() / SLO.as_secs_f64(),
        }
    }

    /// How much more calls would truly have got at a cache than at their other candidates, over what an estimate says
    /// that it speaks of.
    pub fn truth_beside_others(&self, cache: u64, over: &[(u8, Vec<usize>)], measure: Measure) -> f64 {
        let of_class = |class: u8| {
            let own = move |c: &&Call| c.class == class && c.candidates.contains(&cache);
            self.calls.iter().filter(own)
        };
        let all: usize = over.iter().map(|(class, _)| of_class(*class).count()).sum();
        let mut truth = 0.0;
        for (class, places) in over {
            let weight = of_class(*class).count() as f64 / all as f64 / places.len() as f64;
            for place in places {
                let here = of_class(*class).filter(|c| c.candidates[*place] == cache);
                let more = here.map(|c| {
                    let others = places.iter().filter(|p| *p != place);
                    let sum: f64 = others.map(|p| World::truth_of(c, *p, measure)).sum();
                    World::truth_of(c, *place, measure) - sum / (places.len() - 1) as f64
                });
                let more: Vec<f64> = more.collect();
                truth += weight * more.iter().sum::<f64>() / more.len().max(1) as f64;
            }
        }
        truth
    }

    /// How much longer calls whose first candidate a cache is truly took, by the logarithm, than had it been like most:
    /// each key as the lottery weighs it.
    pub fn truth_by_lottery(&self, cache: u64) -> f64 {
        let mut keys: BTreeMap<Key, Vec<f64>> = BTreeMap::new();
        for call in self.calls.iter().filter(|c| c.candidates[0] == cache) {
            let more = on_logarithm(&call.fates[call.place]) - on_logarithm(&call.as_most);
            keys.entry(call.key).or_default().push(more);
        }
        let weight = |n: f64| n / (1.0 + (n - 1.0) * 0.1);
        let part = |of: &Vec<f64>| {
            let n = of.len() as f64;
            (weight(n) * of.iter().sum::<f64>() / n, weight(n))
        };
        let (sum, n) = keys.values().map(part).fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        sum / n.max(1.0)
    }

    /// The mean had every call been sent to the place that `to` gives with its share.
    pub fn truth_of_policy(&self, measure: Measure, to: impl Fn(&Call) -> [f64; PLACES]) -> f64 {
        let of = |c: &Call| -> f64 {
            let shares = to(c);
            (0..PLACES).map(|p| shares[p] * World::truth_of(c, p, measure)).sum()
        };
        self.calls.iter().map(of).sum::<f64>() / self.calls.len() as f64
    }

    /// What a plain mean of answered calls says of a cache beside all others: how much more of the SLO its calls take,
    /// and the half of a 95% interval.
    pub fn naive(&self, cache: u64) -> (f64, f64) {
        let seen = |own: bool| {
            let mut took = Vec::new();
            for call in &self.calls {
                let fate = &call.fates[call.place];
                let here = call.candidates[call.place] == cache;
                if here == own && !fate.refused && fate.ends <= call.cut {
                    took.push(World::truth_of(call, call.place, Measure::Waited));
                }
            }
            let n = took.len().max(2) as f64;
            let mean = took.iter().sum::<f64>() / n;
            (mean, took.iter().map(|t| (t - mean).powi(2)).sum::<f64>() / (n - 1.0) / n)
        };
        let (own, others) = (seen(true), seen(false));
        (own.0 - others.0, 1.96 * (own.1 + others.1).sqrt())
    }
}

/// A call's time by its logarithm, in milliseconds; what is not answered within the SLO takes all of it.
fn on_logarithm(fate: &Fate) -> f64 {
    let waited = if fate.refused { SLO } else { fate.ends.min(SLO) };
    (waited.as_secs_f64() * 1000.0).max(1.0).ln()
}

/// How a cache differs: its speed, its share of others' hits, and how many shots others have out there.
fn nature(make: &Make, cache: u64) -> (f64, f64, f64) {
    match make.shape {
        Shape::Slow | Shape::CutShort if cache == 0 => (1.0 / 3.0, 1.0, 2.0),
        Shape::Cold if cache.is_multiple_of(4) => (1.0, 0.33, 1.0),
        Shape::Confounded if cache.is_multiple_of(3) => (1.3, 1.0, 1.0),
        _ => (1.0, 1.0, 1.0),
    }
}

fn call(make: &Make, chance: &mut ChaCha8Rng, zipf: &Zipf<f64>, at: f64) -> Call {
    let plain = drawn(make, &mut chance.clone(), zipf, at, |make, cache, place| {
        if place == 0 { (1.0, 1.0, 1.0) } else { nature(make, cache) }
    });
    let mut call = drawn(make, chance, zipf, at, |make, cache, _| nature(make, cache));
    call.as_most = plain.fates[plain.place];
    call
}

/// The same number of draws, whatever the caches' nature.
fn drawn(
    make: &Make,
    chance: &mut ChaCha8Rng,
    zipf: &Zipf<f64>,
    at: f64,
    nature: impl Fn(&Make, u64, usize) -> (f64, f64, f64),
) -> Call {
    let name =
        std::iter::repeat_with(|| chance.random::<u64>()).find(|n| is_sampled(*n)).expect("one in two");
    let node = chance.random_range(0..make.nodes);
    let hot = make.shape == Shape::Hot && chance.random_bool(0.33);
    let key =
        if hot { Key(mix(7, chance.random_range(0..3))) } else { Key(mix(1, zipf.sample(chance) as u64)) };
    let mut ranked: Vec<u64> = (0..make.caches).collect();
    ranked.sort_by_key(|cache| mix(key.0, *cache + 1));
    let candidates = [ranked[0], ranked[1], ranked[2]];
    // Keys of heavy statements are mostly asked for as such.
    let heavy = 0.7 * share(key.0, 0xc1a5) + 0.3 * chance.random::<f64>();
    let bounds = if make.shape == Shape::Confounded { [0.4, 0.6] } else { [0.55, 0.82] };
    let class = bounds.iter().filter(|b| heavy >= **b).count() as u8;
    let guess = [Span::from_millis(1), Span::from_millis(5), Span::from_millis(20)][usize::from(class)];
    // Load goes up and down: what waits in queues, and what nodes see out, both do.
    let load = 1.0 + 0.6 * (at / 37.0).sin();
    let work = guess.as_secs_f64() * LogNormal::new(0.0, 0.4).expect("a sound spread").sample(chance);
    let (queue, origin) = (exp(chance, 0.002 * load), 0.012 + exp(chance, 0.008));
    let (held, full) = (chance.random::<f64>(), chance.random::<f64>());
    let mut out = [0; PLACES];
    let fates = std::array::from_fn(|place| {
        let (speed, holds, crowd) = nature(make, candidates[place], place);
        out[place] = (exp(chance, 0.6 * load * crowd)) as u16;
        // Half of what decides a hit is the key's own at that cache for a while, half the call's.
        let own = share(key.0 ^ (at / 60.0) as u64, candidates[place]);
        let likely = [0.93, 0.45, 0.30][place] * holds;
        let hit = if mix(name, 3).is_multiple_of(2) { own < likely } else { held < likely };
        let wavers = 0.9 + 0.2 * chance.random::<f64>();
        let lacks = 0.001 + queue / speed;
        let ends = if hit { lacks + work * wavers / speed } else { lacks + origin + work * wavers };
        let refused = full < 0.02 * load;
        Fate { refused, hit, lacks: Span::from_secs_f64(lacks), ends: Span::from_secs_f64(ends) }
    });
    let patient = 1 + (node % 2) as u16;
    let mut place = (0..PLACES).find(|p| out[*p] < patient).unwrap_or(0);
    if make.shape == Shape::Confounded && class == 2 && chance.random_bool(0.8) {
        let speed = |p: &usize| nature(make, candidates[*p], *p).0;
        place = (0..PLACES).rev().max_by(|a, b| speed(a).total_cmp(&speed(b))).unwrap_or(0);
    }
    if make.shape == Shape::Scattered && chance.random_bool(0.25) {
        place = chance.random_range(0..PLACES);
    }
    let early = chance.random::<f64>();
    let cut = match make.shape {
        Shape::CutShort if chance.random_bool(0.6) => (0.15 + early) * if class == 2 { 0.7 } else { 1.0 },
        _ if chance.random_bool(0.1) => 0.3 + early,
        _ => 2.0,
    };
    let at = BEGIN + Span::from_secs_f64(at);
    let (as_most, cut) = (fates[place], SLO.scaled(cut));
    Call { at, node, name, key, class, guess, candidates, out, fates, place, as_most, cut }
}

fn exp(chance: &mut ChaCha8Rng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).expect("a sound spread").sample(chance)
}
