//! The requests for the keys of growing shards.
//!
//! Each key is requested equally often on every accounting day, so that the keys of a shard that nodes see in
//! a day are the keys that the shard has to store. Each shard has a random generator, seeded by the run's
//! seed and the shard. The order of the draws is part of the workload.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, GrowthConfig, RequestEffect};
use crate::schedule::{ScheduledRequest, mix64};
use crate::shard_map_reference::{FIRST_GROWING_KEY, VALUE_BYTES, keys_of};

/// The approximate size of a response body without padding.
const UNPADDED_RESPONSE_BYTES: usize = 100;
/// The stream of the generator of shard 0. Smaller numbers are streams of the other draws of a schedule.
const FIRST_SHARD_STREAM: u64 = 256;
const MICROS_PER_MILLI: f64 = 1000.0;
const MICROS_PER_SECOND: f64 = 1e6;
/// The smallest rate of accounting days, which keeps the length of a day finite if no day length is
/// configured.
const MIN_DAYS_PER_SECOND: f64 = 1e-9;

/// The padding that makes the response for a key [`VALUE_BYTES`] long; empty for keys outside growing shards.
pub fn response_padding(key: u64) -> String {
    if key < FIRST_GROWING_KEY { String::new() } else { "x".repeat(VALUE_BYTES - UNPADDED_RESPONSE_BYTES) }
}

/// The body of a write of a key.
pub fn write_body(key: u64) -> Bytes {
    if key < FIRST_GROWING_KEY { Bytes::from_static(b"a new value") } else { "x".repeat(VALUE_BYTES).into() }
}

/// All requests for growing shards, ordered by shard and then by time.
pub fn requests(experiment: &Experiment, seed: u64) -> Vec<ScheduledRequest> {
    let Some(growth) = &experiment.growth else { return Vec::new() };
    let mut requests = Vec::new();
    for shard in &growth.shards {
        requests.extend(shard_requests(experiment, growth, *shard, seed));
    }
    requests
}

/// The indices of the request classes for reads and writes of growing shards.
struct RequestClasses {
    read: usize,
    write: usize,
}

impl RequestClasses {
    fn new(experiment: &Experiment) -> RequestClasses {
        let first_with = |effect| experiment.request_classes.iter().position(|class| class.effect == effect);
        let read = first_with(RequestEffect::Idempotent).unwrap_or(0);
        let write = first_with(RequestEffect::Deduplicated).unwrap_or(read);
        RequestClasses { read, write }
    }
}

fn shard_requests(
    experiment: &Experiment,
    growth: &GrowthConfig,
    shard: u8,
    seed: u64,
) -> Vec<ScheduledRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(mix64(seed, FIRST_SHARD_STREAM + u64::from(shard)));
    let max_keys = growth.keys_after(experiment.accounting_days_at(experiment.seconds)).ceil() as usize;
    let keys = keys_of(shard, max_keys.max(1));
    let classes = RequestClasses::new(experiment);
    let day_s = 1.0 / experiment.accounting_days_at(1.0).max(MIN_DAYS_PER_SECOND);
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    let mut next_key = 0;
    while at_s < experiment.seconds {
        let key_count = growth.keys_after(experiment.accounting_days_at(at_s));
        // Keys are requested round-robin, so that each key is requested within every day, whenever the day
        // begins.
        if next_key >= key_count as usize {
            next_key = 0;
        }
        let key = keys[next_key.min(keys.len() - 1)];
        requests.push(draw_request(experiment, growth, &classes, at_s, key, &mut random));
        next_key += 1;
        at_s += day_s / (key_count * growth.requests_per_key_per_day) * (0.5 + random.random::<f64>());
    }
    requests
}

/// Draws a request for a key at a time in seconds. The order of the draws is part of the workload.
fn draw_request(
    experiment: &Experiment,
    growth: &GrowthConfig,
    classes: &RequestClasses,
    at_s: f64,
    key: u64,
    random: &mut ChaCha8Rng,
) -> ScheduledRequest {
    let clients = &experiment.load.clients;
    let tenants = experiment.load.tenants.len();
    let is_write = random.random::<f64>() < growth.write_share;
    let backoff_us = clients.backoff_ms * MICROS_PER_MILLI;
    let retry_delays_us =
        (0..clients.max_retries).map(|_| (backoff_us * (0.5 + random.random::<f64>())) as u64).collect();
    ScheduledRequest {
        at_us: (at_s * MICROS_PER_SECOND) as i64,
        node: random.random_range(0..experiment.active_nodes_at(at_s)),
        class: if is_write { classes.write } else { classes.read },
        key,
        tenant: if tenants > 0 { Some(random.random_range(0..tenants)) } else { None },
        single_use_connection: false,
        honors_retry_after: random.random::<f64>() < clients.honor_retry_after_share,
        retry_delays_us,
        id_seed: random.random(),
    }
}
