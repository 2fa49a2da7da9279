//! The generator of a run's requests, which draws them from a seed.
//!
//! The order in which random numbers are drawn is part of the format: with another order, the same seeds
//! would give other schedules, and results recorded with the former schedules could no longer be compared.
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

use crate::experiment::Experiment;
use crate::schedule::{Schedule, ScheduledRequest, mix64};
use crate::shard_workload;

/// Distinguishes hashes of written keys from other uses of [`mix64`].
const WRITTEN_KEY_STREAM: u64 = 7;
/// The smallest retry delay as a fraction of the mean delay. The largest fraction is greater by 1.
const MIN_BACKOFF_FACTOR: f64 = 0.5;

impl Schedule {
    /// Draws the schedule of an experiment. The same experiment and seed always give the same schedule.
    pub fn draw(experiment: &Experiment, seed: u64) -> Schedule {
        let mut generator = RequestGenerator::new(experiment, seed);
        let mut requests = generator.draw_all();
        requests.extend(shard_workload::requests(experiment, seed));
        // The sort is stable, so that a schedule without growing shards keeps its order.
        requests.sort_by_key(|request| request.at_us);
        Schedule { requests }
    }
}

/// The state of the generator. Groups of requests arrive as a Poisson process with the highest rate of all
/// phases, thinned at times with a lower rate.
struct RequestGenerator<'a> {
    experiment: &'a Experiment,
    rng: ChaCha8Rng,
    key_ranks: Zipf<f64>,
    class_shares: Vec<f64>,
    total_share: f64,
}

impl<'a> RequestGenerator<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> RequestGenerator<'a> {
        let load = &experiment.load;
        let class_shares: Vec<f64> = experiment.request_classes.iter().map(|class| class.share).collect();
        RequestGenerator {
            experiment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            key_ranks: Zipf::new(load.keys as f64, load.zipf).expect("the experiment's ranges were checked"),
            total_share: class_shares.iter().sum(),
            class_shares,
        }
    }

    fn draw_all(&mut self) -> Vec<ScheduledRequest> {
        let load = &self.experiment.load;
        let max_factor = load.max_factor();
        let mut requests = Vec::new();
        let mut at_s = 0.0;
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            at_s += gap * load.burst / (load.rate * max_factor);
            if at_s >= self.experiment.seconds {
                return requests;
            }
            let is_admitted = self.rng.random::<f64>() < load.factor_at(at_s) / max_factor;
            // A group that is not admitted is drawn as well, so that the following draws do not depend on the
            // phases.
            for _ in 0..self.group_size() {
                let request = self.draw_request(at_s);
                if is_admitted {
                    requests.push(request);
                }
            }
        }
    }

    fn group_size(&mut self) -> usize {
        let burst = self.experiment.load.burst;
        if burst > 1.0 {
            let relative_size: f64 = Exp1.sample(&mut self.rng);
            (burst * relative_size).ceil() as usize
        } else {
            1
        }
    }

    fn draw_request(&mut self, at_s: f64) -> ScheduledRequest {
        let experiment = self.experiment;
        let load = &experiment.load;
        let class = self.draw_class();
        let key = self.draw_key(class);
        let retry_delays_us = self.draw_retry_delays();
        let node = self.draw_node(experiment.active_nodes_at(at_s));
        let tenant = self.draw_tenant();
        let single_use_connection = self.rng.random::<f64>() < load.clients.single_use_share;
        let honors_retry_after = self.rng.random::<f64>() < load.clients.honor_retry_after_share;
        ScheduledRequest {
            at_us: (at_s * 1e6) as i64,
            node,
            class,
            key,
            tenant,
            single_use_connection,
            honors_retry_after,
            retry_delays_us,
            id_seed: self.rng.random(),
        }
    }

    /// Draws the index of a class, weighted by the classes' shares.
    fn draw_class(&mut self) -> usize {
        let mut drawn = self.rng.random::<f64>() * self.total_share;
        for (class, share) in self.class_shares.iter().enumerate() {
            drawn -= share;
            if drawn < 0.0 {
                return class;
            }
        }
        // Reached only because of rounding errors.
        self.class_shares.len() - 1
    }

    fn draw_key(&mut self, class: usize) -> u64 {
        let load = &self.experiment.load;
        let rank = self.key_ranks.sample(&mut self.rng) as u64;
        if !self.experiment.request_classes[class].writes() {
            return rank - 1;
        }
        // Written keys are a subset of all keys that does not depend on popularity among reads.
        let written_keys = ((load.keys as f64 * load.written_key_share) as u64).max(1);
        mix64(rank, WRITTEN_KEY_STREAM) % load.keys % written_keys
    }

    fn draw_retry_delays(&mut self) -> Vec<u64> {
        let clients = &self.experiment.load.clients;
        let backoff_us = clients.backoff_ms * 1000.0;
        let mut delays_us = Vec::new();
        for _ in 0..clients.max_retries {
            delays_us.push((backoff_us * (MIN_BACKOFF_FACTOR + self.rng.random::<f64>())) as u64);
        }
        delays_us
    }

    fn draw_tenant(&mut self) -> Option<usize> {
        let tenants = self.experiment.load.tenants.len();
        if tenants == 0 {
            return None;
        }
        Some(self.rng.random_range(0..tenants))
    }

    fn draw_node(&mut self, nodes: usize) -> usize {
        let skew = self.experiment.load.node_skew;
        if skew == 0.0 {
            return self.rng.random_range(0..nodes);
        }
        draw_skewed(nodes, skew, &mut self.rng)
    }
}

/// Draws a number from `0..count`. The n-th number, counted from 1, has the weight n to the power of minus
/// `skew`.
fn draw_skewed(count: usize, skew: f64, rng: &mut impl Rng) -> usize {
    let weight = |n: usize| (n as f64).powf(-skew);
    let total_weight: f64 = (1..=count).map(weight).sum();
    let mut drawn = rng.random::<f64>() * total_weight;
    for n in 1..=count {
        drawn -= weight(n);
        if drawn < 0.0 {
            return n - 1;
        }
    }
    // Reached only because of rounding errors.
    count - 1
}
