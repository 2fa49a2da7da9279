//! The popularity and the work of keys, and the number of keys that caches retain.

use granitelb_balancer::ids::Key;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::scenario::Scenario;

/// The smallest number of keys that the search for the number of keys considers.
const MIN_KEYS: usize = 10;
/// The largest number of keys that the search for the number of keys considers.
const MAX_KEYS: usize = 4_000_000;
/// The search for the number of keys stops at a precision of one part in this many.
const KEY_SEARCH_PRECISION: usize = 50;
/// A number that is combined with the scenario's seed, so that the draws of keys' work differ from all
/// others.
const KEY_WORK_SEED: u64 = 0x512e;

/// The keys of a scenario, most popular key first.
pub struct Popularity {
    /// The work of each key as a multiple of the mean work.
    key_work: Vec<f64>,
    /// The cumulative shares of the requests, most popular key first.
    cumulative_shares: Vec<f64>,
}

/// The expected contents of one cache that is as large as all caches together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PooledCache {
    /// The share of the reads that the pooled cache answers.
    pub hit_ratio: f64,
    /// The mean number of keys that the pooled cache retains.
    pub keys: f64,
}

impl Popularity {
    /// Returns the keys of a scenario, with randomly drawn work. The number of keys is such that the pooled
    /// cache has the scenario's hit ratio.
    pub fn new(scenario: &Scenario) -> Popularity {
        let mut low = MIN_KEYS;
        let mut high = MAX_KEYS;
        while high > low + low / KEY_SEARCH_PRECISION + 1 {
            let middle = (low + high) / 2;
            let candidate = Popularity::with_keys(scenario, middle);
            if candidate.pooled_cache(scenario).hit_ratio > scenario.pooled_hit_ratio {
                low = middle;
            } else {
                high = middle;
            }
        }
        let mut popularity = Popularity::with_keys(scenario, low);
        popularity.draw_key_work(scenario);
        popularity
    }

    fn with_keys(scenario: &Scenario, keys: usize) -> Popularity {
        let weight = |rank: usize| (rank as f64 + scenario.zipf_offset).powf(-scenario.zipf_exponent);
        let total: f64 = (0..keys).map(weight).sum();
        let mut cumulative_shares = Vec::with_capacity(keys);
        let mut sum = 0.0;
        for rank in 0..keys {
            sum += weight(rank) / total;
            cumulative_shares.push(sum);
        }
        Popularity { key_work: Vec::new(), cumulative_shares }
    }

    /// Draws the work of each key. The mean is weighted by requests, not by keys, so that a popular key with
    /// much work does not add load to the day.
    fn draw_key_work(&mut self, scenario: &Scenario) {
        let spread = LogNormal::new(0.0, scenario.key_work_spread)
            .expect("the scenario's key_work_spread must be finite");
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ KEY_WORK_SEED);
        let drawn: Vec<f64> = self.cumulative_shares.iter().map(|_| spread.sample(&mut rng)).collect();
        let mean: f64 = self.shares().zip(&drawn).map(|(share, work)| share * work).sum();
        self.key_work = drawn.into_iter().map(|work| work / mean).collect();
    }

    /// Returns each key's share of the requests.
    fn shares(&self) -> impl Iterator<Item = f64> {
        self.cumulative_shares.iter().scan(0.0, |previous, sum| {
            let share = sum - *previous;
            *previous = *sum;
            Some(share)
        })
    }

    /// Returns the expected contents of a pooled cache that retains a key for `retention_s` after each read.
    pub fn pooled_cache(&self, scenario: &Scenario) -> PooledCache {
        let reads = scenario.request_rate() * (1.0 - scenario.write_ratio) * scenario.retention_s;
        let mut pooled = PooledCache { hit_ratio: 0.0, keys: 0.0 };
        for share in self.shares() {
            let retained = 1.0 - (-share * reads).exp();
            pooled.hit_ratio += share * retained;
            pooled.keys += retained;
        }
        pooled
    }

    /// Returns the work of a key as a multiple of the mean work. Keys outside the popularity distribution
    /// have the mean work.
    pub fn work_factor(&self, key: Key) -> f64 {
        self.key_work.get(key.0 as usize).copied().unwrap_or(1.0)
    }

    /// Returns the key at a quantile, from 0 to 1, of the popularity distribution.
    pub fn key_at(&self, quantile: f64) -> Key {
        Key(self.cumulative_shares.partition_point(|sum| *sum < quantile) as u64)
    }
}
