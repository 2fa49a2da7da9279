//! The calls of a run, drawn whole from a seed before it starts. Two draws of one seed are the same to the byte.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};
use serde::{Deserialize, Serialize};

use crate::event_log::{NodeId, RequestId, Timestamp};
use crate::experiment::{Experiment, Load};
use crate::shard_workload;

/// A call as it is to be asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Planned {
    /// Microseconds from the start.
    pub at_us: i64,
    pub node: usize,
    pub product: usize,
    pub key: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<usize>,
    /// Whether the client comes with a connection of its own and goes after its answer.
    #[serde(default)]
    pub once: bool,
    /// Whether it heeds a time to come back.
    #[serde(default)]
    pub heeds: bool,
    /// The waits before its repeats, in microseconds.
    #[serde(default)]
    pub repeats_us: Vec<u64>,
    /// What its names are made from.
    pub salt: u64,
}

impl Planned {
    pub fn due(&self) -> Timestamp {
        Timestamp(self.at_us)
    }

    pub fn node(&self) -> NodeId {
        NodeId(self.node)
    }

    /// The name of one of its tries.
    pub fn name(&self, nth: u8) -> String {
        format!("{:016x}", mixed(self.salt, u64::from(nth)))
    }

    pub fn idempotency_key(&self) -> String {
        format!("k{:016x}", mixed(self.salt, 1 << 20))
    }

    pub fn wait(&self, repeat: u8) -> Option<Duration> {
        self.repeats_us.get(usize::from(repeat)).map(|us| Duration::from_micros(*us))
    }
}

/// The schedule and the calls' numbers in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    pub calls: Vec<Planned>,
}

/// Numbers that differ where any of both differ, by the finalizer of SplitMix64.
pub fn mixed(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn factor(load: &Load, at_s: f64) -> f64 {
    load.phase.iter().rev().find(|p| p.at_s <= at_s).map_or(1.0, |p| p.factor)
}

impl Schedule {
    pub fn draw(experiment: &Experiment, seed: u64) -> Schedule {
        let load = &experiment.load;
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let keys = Zipf::new(load.keys as f64, load.zipf).expect("checked with the experiment");
        let shares: Vec<f64> = experiment.product.iter().map(|p| p.share).collect();
        let total: f64 = shares.iter().sum();
        let highest = load.phase.iter().map(|p| p.factor).fold(1.0, f64::max);
        let mut calls = Vec::new();
        let mut at = 0.0;
        // Groups come by chance at the highest rate; where the rate is lower, a part of them is dropped.
        loop {
            let gap: f64 = Exp1.sample(&mut chance);
            at += gap * load.burst / (load.rate * highest);
            if at >= experiment.seconds {
                break;
            }
            let kept = chance.random::<f64>() < factor(load, at) / highest;
            let group = if load.burst > 1.0 { Exp1.sample(&mut chance) } else { 1.0 };
            let size = if load.burst > 1.0 { (load.burst * group).ceil() as usize } else { 1 };
            for _ in 0..size {
                let call = one_call(experiment, &shares, total, &keys, at, &mut chance);
                calls.extend(kept.then_some(call));
            }
        }
        calls.extend(shard_workload::requests(experiment, seed));
        // Stable: without shards that grow nothing changes.
        calls.sort_by_key(|c| c.at_us);
        Schedule { calls }
    }

    /// The text in which a schedule is kept: a line a call.
    pub fn text(&self) -> String {
        let line = |c: &Planned| serde_json::to_string(c).expect("plain numbers") + "\n";
        self.calls.iter().map(line).collect()
    }

    pub fn call(&self, id: RequestId) -> &Planned {
        &self.calls[id.0]
    }
}

/// Which of so many nodes a client asks.
fn asked(uneven: f64, nodes: usize, chance: &mut impl Rng) -> usize {
    if uneven == 0.0 {
        return chance.random_range(0..nodes);
    }
    let share = |n: usize| (n as f64).powf(-uneven);
    let mut drawn = chance.random::<f64>() * (1..=nodes).map(share).sum::<f64>();
    let found = (1..=nodes).find(|n| {
        drawn -= share(*n);
        drawn < 0.0
    });
    found.unwrap_or(nodes) - 1
}

fn one_call(
    experiment: &Experiment,
    shares: &[f64],
    total: f64,
    keys: &Zipf<f64>,
    at: f64,
    chance: &mut impl Rng,
) -> Planned {
    let load = &experiment.load;
    let mut drawn = chance.random::<f64>() * total;
    let product = shares.iter().position(|s| {
        drawn -= s;
        drawn < 0.0
    });
    let product = product.unwrap_or(shares.len() - 1);
    let rank = keys.sample(chance) as u64;
    // Written keys are a part of all, whatever their popularity.
    let writes = experiment.product[product].writes();
    let few = ((load.keys as f64 * load.written) as u64).max(1);
    let key = if writes { mixed(rank, 7) % load.keys % few } else { rank - 1 };
    let backoff = load.clients.backoff_ms * 1000.0;
    let repeats_us =
        (0..load.clients.retries).map(|_| (backoff * (0.5 + chance.random::<f64>())) as u64).collect();
    Planned {
        at_us: (at * 1e6) as i64,
        node: asked(load.uneven, experiment.asked_at(at), chance),
        product,
        key,
        tenant: (!load.tenants.is_empty()).then(|| chance.random_range(0..load.tenants.len())),
        once: chance.random::<f64>() < load.clients.once,
        heeds: chance.random::<f64>() < load.clients.honour,
        repeats_us,
        salt: chance.random(),
    }
}
