//! Which keys are asked for, and how many of them caches hold.

use granitelb_balancer::ids::Key;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::play::Play;

pub struct Popularity {
    /// The work of each key as a multiple of the mean.
    sizes: Vec<f64>,
    /// Running sums of the shares, most asked for first.
    sums: Vec<f64>,
}

impl Popularity {
    /// So many keys that one cache as large as all together would have the hits that are stated.
    pub fn new(play: &Play) -> Popularity {
        let (mut low, mut high) = (10usize, 4_000_000usize);
        while high > low + low / 50 + 1 {
            let middle = (low + high) / 2;
            let of = Popularity::of(play, middle);
            if of.pooled(play).0 > play.hits { low = middle } else { high = middle }
        }
        let mut found = Popularity::of(play, low);
        let spread = LogNormal::new(0.0, play.size_spread).expect("a sound spread");
        let mut chance = ChaCha8Rng::seed_from_u64(play.seed ^ 0x512e);
        let drawn: Vec<f64> = (0..low).map(|_| spread.sample(&mut chance)).collect();
        let shares = found.sums.iter().scan(0.0, |before, sum| Some(sum - std::mem::replace(before, *sum)));
        // By calls and not by keys: a heavy key asked for often must not make the day a heavier one.
        let mean: f64 = shares.zip(&drawn).map(|(share, size)| share * size).sum();
        found.sizes = drawn.into_iter().map(|size| size / mean).collect();
        found
    }

    fn of(play: &Play, keys: usize) -> Popularity {
        let weight = |n: usize| (n as f64 + play.offset).powf(-play.zipf);
        let total: f64 = (0..keys).map(weight).sum();
        let sums = (0..keys).scan(0.0, |sum, n| {
            *sum += weight(n) / total;
            Some(*sum)
        });
        Popularity { sums: sums.collect(), sizes: Vec::new() }
    }

    /// Hits of one pooled cache that keeps what was asked for in `keep_s`, and how many keys that is.
    pub fn pooled(&self, play: &Play) -> (f64, f64) {
        let asked = play.rate() * (1.0 - play.writes) * play.keep_s;
        let mut before = 0.0;
        let mut both = (0.0, 0.0);
        for sum in &self.sums {
            let share = sum - before;
            before = *sum;
            let kept = 1.0 - (-share * asked).exp();
            both = (both.0 + share * kept, both.1 + kept);
        }
        both
    }

    pub fn size(&self, key: Key) -> f64 {
        self.sizes.get(key.0 as usize).copied().unwrap_or(1.0)
    }

    pub fn draw(&self, chance: f64) -> Key {
        Key(self.sums.partition_point(|sum| *sum < chance) as u64)
    }
}
