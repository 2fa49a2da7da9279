//! The calls of shards whose keys grow in number: each key is asked for so often a day of the book, whatever the day,
//! so that what is seen of a shard in a day is what it has to keep.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{Experiment, GrowthConfig, RequestEffect};
use crate::schedule::{ScheduledRequest, mix64};
use crate::shard_map_reference::{FIRST_KEY, VALUE_BYTES, keys_of};

/// Beside what is in an answer anyway, about a hundred bytes.
pub fn pad(key: u64) -> String {
    if key < FIRST_KEY { String::new() } else { "x".repeat(VALUE_BYTES - 100) }
}

/// What is written at a key.
pub fn written(key: u64) -> Bytes {
    if key < FIRST_KEY { Bytes::from_static(b"a new value") } else { "x".repeat(VALUE_BYTES).into() }
}

/// All of them, shard by shard, from a seed.
pub fn calls(of: &Experiment, seed: u64) -> Vec<ScheduledRequest> {
    let Some(form) = &of.growth else { return Vec::new() };
    form.shards.iter().flat_map(|shard| of_shard(of, form, *shard, seed)).collect()
}

fn of_shard(of: &Experiment, form: &GrowthConfig, shard: u8, seed: u64) -> Vec<ScheduledRequest> {
    let mut chance = ChaCha8Rng::seed_from_u64(mix64(seed, 256 + u64::from(shard)));
    let most = form.keys_after(of.accounting_days_at(of.seconds)).ceil() as usize;
    let keys = keys_of(shard, most.max(1));
    let product = |effect| of.request_classes.iter().position(|p| p.effect == effect);
    let read = product(RequestEffect::Idempotent).unwrap_or(0);
    let write = product(RequestEffect::Deduplicated).unwrap_or(read);
    let day_s = 1.0 / of.accounting_days_at(1.0).max(1e-9);
    let backoff = of.load.clients.backoff_ms * 1000.0;
    let (mut calls, mut at, mut next) = (Vec::new(), 0.0, 0);
    while at < of.seconds {
        let there = form.keys_after(of.accounting_days_at(at));
        // One after the other, around and around: each is asked for in a day, whenever that begins.
        next = if next >= there as usize { 0 } else { next };
        let writes = chance.random::<f64>() < form.write_share;
        let repeats_us = (0..of.load.clients.max_retries)
            .map(|_| (backoff * (0.5 + chance.random::<f64>())) as u64)
            .collect();
        calls.push(ScheduledRequest {
            at_us: (at * 1e6) as i64,
            node: chance.random_range(0..of.active_nodes_at(at)),
            class: if writes { write } else { read },
            key: keys[next.min(keys.len() - 1)],
            tenant: (!of.load.tenants.is_empty()).then(|| chance.random_range(0..of.load.tenants.len())),
            single_use_connection: false,
            honors_retry_after: chance.random::<f64>() < of.load.clients.honor_retry_after_share,
            retry_delays_us: repeats_us,
            id_seed: chance.random(),
        });
        next += 1;
        at += day_s / (there * form.requests_per_key_per_day) * (0.5 + chance.random::<f64>());
    }
    calls
}
