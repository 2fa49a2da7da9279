//! Random generation of requests. The number and the order of the draws do not depend on the caches'
//! properties, so that traces with different caches share their random numbers.

use granitelb_balancer::ids::Key;
use granitelb_balancer::time::Span;
use granitelb_coordination::counterfactual::{MAX_CANDIDATES, is_sampled};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use super::config::{Scenario, TraceConfig};
use super::trace::{PotentialOutcome, SLO, SimulatedRequest, TRACE_START};

/// The number of keys.
const KEYS: f64 = 3000.0;
/// The exponent of the Zipf distribution of the keys' popularity.
const ZIPF_EXPONENT: f64 = 0.8;
/// The number of hot keys.
const HOT_KEYS: u64 = 3;
/// The share of the requests for hot keys.
const HOT_SHARE: f64 = 0.33;
/// Salts of the hashes that give keys, the keys' weights and the causes of hits.
const HOT_KEY_SALT: u64 = 7;
const KEY_SALT: u64 = 1;
const KEY_WEIGHT_SALT: u64 = 0xc1a5;
const HIT_CAUSE_SALT: u64 = 3;
/// The share of a request's weight that depends on its key alone.
const KEY_SHARE_OF_WEIGHT: f64 = 0.7;
/// The share of a request's weight that is drawn for each request.
const REQUEST_SHARE_OF_WEIGHT: f64 = 0.3;
/// The least weights of requests of the second and the third work class.
const CLASS_BOUNDS: [f64; 2] = [0.55, 0.82];
/// The least weights of requests of the second and the third work class, in traces with many heavy requests.
const CLASS_BOUNDS_MANY_HEAVY: [f64; 2] = [0.4, 0.6];
const HEAVIEST_CLASS: u8 = 2;
/// The client's estimate of the work, by work class.
const WORK_ESTIMATES: [Span; 3] = [Span::from_millis(1), Span::from_millis(5), Span::from_millis(20)];
/// The standard deviation of the logarithm of the ratio of work to its estimate.
const WORK_DEVIATION: f64 = 0.4;
/// The amplitude of the load's sine wave, as a share of the mean load.
const LOAD_AMPLITUDE: f64 = 0.6;
/// The period of the load's sine wave divided by 2π, in seconds.
const LOAD_PERIOD_PER_RADIAN_SECONDS: f64 = 37.0;
/// The mean time in a cache's queue at mean load, in seconds.
const MEAN_QUEUEING: f64 = 0.002;
/// The mean time of the origin beyond [`MIN_ORIGIN_TIME`], in seconds.
const MEAN_ORIGIN_DELAY: f64 = 0.008;
/// The shortest time of a cache's response, in seconds.
const MIN_CACHE_TIME: f64 = 0.001;
/// The shortest time of the origin's response, in seconds.
const MIN_ORIGIN_TIME: f64 = 0.012;
/// The mean number of a node's attempts in flight at a candidate, at mean load.
const MEAN_IN_FLIGHT: f64 = 0.6;
/// The hit rates of ordinary caches, by the cache's position among the key's candidates.
const HIT_RATES: [f64; MAX_CANDIDATES] = [0.93, 0.45, 0.30];
/// The period for which a cache either holds a key or does not, in seconds.
const HOLDING_PERIOD_SECONDS: f64 = 60.0;
/// The share of requests that caches reject at mean load.
const REJECTION_RATE: f64 = 0.02;
/// The smallest factor by which the work of a request varies between caches.
const MIN_WORK_FACTOR: f64 = 0.9;
/// The width of the range of the work factor.
const WORK_FACTOR_RANGE: f64 = 0.2;
/// The share of heavy requests that go to the quickest candidate in [`Scenario::Confounded`].
const CONFOUNDED_SHARE: f64 = 0.8;
/// The share of requests that go to a random candidate in [`Scenario::Scattered`].
const SCATTERED_SHARE: f64 = 0.25;
/// The share of requests that are cancelled early in [`Scenario::CutShort`].
const CUT_SHORT_SHARE: f64 = 0.6;
/// The earliest cancellation in [`Scenario::CutShort`], in SLOs.
const CUT_SHORT_FROM: f64 = 0.15;
/// The factor by which heavy requests are cancelled sooner in [`Scenario::CutShort`].
const CUT_SHORT_HEAVY_FACTOR: f64 = 0.7;
/// The share of the other requests, in every scenario, that are cancelled early.
const CANCELLED_SHARE: f64 = 0.1;
/// The earliest of the early cancellations outside [`Scenario::CutShort`], in SLOs.
const CANCELLED_FROM: f64 = 0.3;
/// The time after which the remaining requests are cancelled, in SLOs.
const LATEST_CANCELLATION: f64 = 2.0;

/// The factors by which a cache differs from an ordinary one.
#[derive(Clone, Copy)]
struct CacheProfile {
    speed: f64,
    hit_rate: f64,
    in_flight: f64,
}

const ORDINARY: CacheProfile = CacheProfile { speed: 1.0, hit_rate: 1.0, in_flight: 1.0 };

/// The values that are drawn once for a request and apply to all of its candidates. Times are in seconds.
struct SharedDraws {
    at_seconds: f64,
    request_hash: u64,
    key: Key,
    load: f64,
    work: f64,
    queueing: f64,
    origin: f64,
    hit: f64,
    rejection: f64,
}

/// The values that are drawn for a request at one candidate.
struct CandidateDraws {
    in_flight: u16,
    outcome: PotentialOutcome,
}

pub(super) struct Generator {
    config: TraceConfig,
    popularity: Zipf<f64>,
    work: LogNormal<f64>,
}

/// Returns a hash of two numbers.
fn hash_pair(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// Returns a hash of two numbers as a number from 0 to 1.
fn unit_hash(a: u64, b: u64) -> f64 {
    hash_pair(a, b) as f64 / u64::MAX as f64
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).expect("the mean of an exponential distribution must be positive").sample(rng)
}

impl Generator {
    pub fn new(config: TraceConfig) -> Generator {
        Generator {
            config,
            popularity: Zipf::new(KEYS, ZIPF_EXPONENT).expect("KEYS and ZIPF_EXPONENT must be positive"),
            work: LogNormal::new(0.0, WORK_DEVIATION).expect("WORK_DEVIATION must be finite"),
        }
    }

    /// Returns a randomly drawn request. Its ordinary outcome is drawn with the same random numbers.
    pub fn request(&self, rng: &mut ChaCha8Rng, at_seconds: f64) -> SimulatedRequest {
        let ordinary_first = self.draw(&mut rng.clone(), at_seconds, |cache, position| {
            if position == 0 { ORDINARY } else { self.profile(cache) }
        });
        let mut request = self.draw(rng, at_seconds, |cache, _| self.profile(cache));
        request.ordinary_outcome = *ordinary_first.chosen_outcome();
        request
    }

    fn profile(&self, cache: u64) -> CacheProfile {
        match self.config.scenario {
            Scenario::Slow | Scenario::CutShort if cache == 0 => {
                CacheProfile { speed: 1.0 / 3.0, in_flight: 2.0, ..ORDINARY }
            }
            Scenario::Cold if cache.is_multiple_of(4) => CacheProfile { hit_rate: 0.33, ..ORDINARY },
            Scenario::Confounded if cache.is_multiple_of(3) => CacheProfile { speed: 1.3, ..ORDINARY },
            _ => ORDINARY,
        }
    }

    fn draw(
        &self,
        rng: &mut ChaCha8Rng,
        at_seconds: f64,
        profile: impl Fn(u64, usize) -> CacheProfile,
    ) -> SimulatedRequest {
        let request_hash = draw_sampled_hash(rng);
        let node = rng.random_range(0..self.config.nodes);
        let key = self.draw_key(rng);
        let candidates = self.candidates(key);
        let work_class = self.draw_work_class(rng, key);
        let work_estimate = WORK_ESTIMATES[usize::from(work_class)];
        let shared = self.draw_shared(rng, at_seconds, request_hash, key, work_estimate);
        let draws: [CandidateDraws; MAX_CANDIDATES] = std::array::from_fn(|position| {
            let cache = candidates[position];
            draw_candidate(rng, &shared, cache, position, profile(cache, position))
        });
        let in_flight = std::array::from_fn(|position| draws[position].in_flight);
        let outcomes = std::array::from_fn(|position| draws[position].outcome);
        let speeds = std::array::from_fn(|position| profile(candidates[position], position).speed);
        let position = self.draw_position(rng, node, work_class, &in_flight, &speeds);
        let cancelled_after = self.draw_cancellation(rng, work_class);
        SimulatedRequest {
            at: TRACE_START + Span::from_secs_f64(at_seconds),
            node,
            request_hash,
            key,
            work_class,
            work_estimate,
            candidates,
            in_flight,
            outcomes,
            position,
            ordinary_outcome: outcomes[position],
            cancelled_after,
        }
    }

    fn draw_key(&self, rng: &mut ChaCha8Rng) -> Key {
        if self.config.scenario == Scenario::Hot && rng.random_bool(HOT_SHARE) {
            return Key(hash_pair(HOT_KEY_SALT, rng.random_range(0..HOT_KEYS)));
        }
        Key(hash_pair(KEY_SALT, self.popularity.sample(rng) as u64))
    }

    /// Returns the key's candidates: the caches with the lowest hashes for the key.
    fn candidates(&self, key: Key) -> [u64; MAX_CANDIDATES] {
        let mut ranked: Vec<u64> = (0..self.config.caches).collect();
        ranked.sort_by_key(|cache| hash_pair(key.0, *cache + 1));
        std::array::from_fn(|position| ranked[position])
    }

    /// Draws the work class of a request. Most requests for a key are of the same class.
    fn draw_work_class(&self, rng: &mut ChaCha8Rng, key: Key) -> u8 {
        let key_weight = unit_hash(key.0, KEY_WEIGHT_SALT);
        let weight = KEY_SHARE_OF_WEIGHT * key_weight + REQUEST_SHARE_OF_WEIGHT * rng.random::<f64>();
        let bounds = match self.config.scenario {
            Scenario::Confounded => CLASS_BOUNDS_MANY_HEAVY,
            _ => CLASS_BOUNDS,
        };
        bounds.iter().filter(|bound| weight >= **bound).count() as u8
    }

    fn draw_shared(
        &self,
        rng: &mut ChaCha8Rng,
        at_seconds: f64,
        request_hash: u64,
        key: Key,
        work_estimate: Span,
    ) -> SharedDraws {
        // The time in queues and the nodes' attempts in flight both depend on the load.
        let load = 1.0 + LOAD_AMPLITUDE * (at_seconds / LOAD_PERIOD_PER_RADIAN_SECONDS).sin();
        let work = work_estimate.as_secs_f64() * self.work.sample(rng);
        let queueing = exponential(rng, MEAN_QUEUEING * load);
        let origin = MIN_ORIGIN_TIME + exponential(rng, MEAN_ORIGIN_DELAY);
        let hit = rng.random::<f64>();
        let rejection = rng.random::<f64>();
        SharedDraws { at_seconds, request_hash, key, load, work, queueing, origin, hit, rejection }
    }

    /// Draws the position of the candidate to which a node sends a request: the first candidate at which the
    /// node has few attempts in flight. Half of the nodes tolerate one more attempt in flight.
    fn draw_position(
        &self,
        rng: &mut ChaCha8Rng,
        node: usize,
        work_class: u8,
        in_flight: &[u16; MAX_CANDIDATES],
        speeds: &[f64; MAX_CANDIDATES],
    ) -> usize {
        let max_in_flight = 1 + (node % 2) as u16;
        let mut position =
            (0..MAX_CANDIDATES).find(|position| in_flight[*position] < max_in_flight).unwrap_or(0);
        let is_heavy = work_class == HEAVIEST_CLASS;
        if self.config.scenario == Scenario::Confounded && is_heavy && rng.random_bool(CONFOUNDED_SHARE) {
            position = quickest(speeds);
        }
        if self.config.scenario == Scenario::Scattered && rng.random_bool(SCATTERED_SHARE) {
            position = rng.random_range(0..MAX_CANDIDATES);
        }
        position
    }

    fn draw_cancellation(&self, rng: &mut ChaCha8Rng, work_class: u8) -> Span {
        let early = rng.random::<f64>();
        if self.config.scenario == Scenario::CutShort && rng.random_bool(CUT_SHORT_SHARE) {
            let factor = if work_class == HEAVIEST_CLASS { CUT_SHORT_HEAVY_FACTOR } else { 1.0 };
            return SLO.scaled((CUT_SHORT_FROM + early) * factor);
        }
        if rng.random_bool(CANCELLED_SHARE) {
            return SLO.scaled(CANCELLED_FROM + early);
        }
        SLO.scaled(LATEST_CANCELLATION)
    }
}

fn draw_sampled_hash(rng: &mut ChaCha8Rng) -> u64 {
    loop {
        let hash = rng.random::<u64>();
        if is_sampled(hash) {
            return hash;
        }
    }
}

fn draw_candidate(
    rng: &mut ChaCha8Rng,
    shared: &SharedDraws,
    cache: u64,
    position: usize,
    profile: CacheProfile,
) -> CandidateDraws {
    let in_flight = exponential(rng, MEAN_IN_FLIGHT * shared.load * profile.in_flight) as u16;
    // For half of the requests, a hit depends on the key and the cache for a period, for the other half on
    // the request.
    let period = (shared.at_seconds / HOLDING_PERIOD_SECONDS) as u64;
    let key_draw = unit_hash(shared.key.0 ^ period, cache);
    let hit_rate = HIT_RATES[position] * profile.hit_rate;
    let depends_on_key = hash_pair(shared.request_hash, HIT_CAUSE_SALT).is_multiple_of(2);
    let is_hit = if depends_on_key { key_draw < hit_rate } else { shared.hit < hit_rate };
    let work_factor = MIN_WORK_FACTOR + WORK_FACTOR_RANGE * rng.random::<f64>();
    let miss_after = MIN_CACHE_TIME + shared.queueing / profile.speed;
    let response_after = if is_hit {
        miss_after + shared.work * work_factor / profile.speed
    } else {
        miss_after + shared.origin + shared.work * work_factor
    };
    let outcome = PotentialOutcome {
        is_rejected: shared.rejection < REJECTION_RATE * shared.load,
        is_hit,
        miss_after: Span::from_secs_f64(miss_after),
        response_after: Span::from_secs_f64(response_after),
    };
    CandidateDraws { in_flight, outcome }
}

/// Returns the position of the first of the quickest candidates.
fn quickest(speeds: &[f64; MAX_CANDIDATES]) -> usize {
    (0..MAX_CANDIDATES).rev().max_by(|a, b| speeds[*a].total_cmp(&speeds[*b])).unwrap_or(0)
}
