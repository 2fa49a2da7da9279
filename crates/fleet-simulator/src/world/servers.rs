//! Cache servers and the origin: admission, service and responses.

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::Span;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Gamma, LogNormal};

use super::events::{AttemptId, EventKind};
use super::faults::{is_hung, slowdown};
use super::setup::WARM_UP_ORIGIN_SLOTS;
use super::{COLD_START_CAPACITY, WARM_UP_TIME, WRITE_WEIGHT, World};
use crate::scenario::Scenario;
use crate::server::ServerJob;

/// The work of a cache for a cache miss, or for a write that was sent to a cache.
const MISS_WORK: Span = Span::from_millis(1);
/// The mean of the logarithm of the origin's service time relative to the nominal service time. With
/// [`ORIGIN_WORK_LOG_DEVIATION`], the mean service time is the nominal one.
const ORIGIN_WORK_LOG_MEAN: f64 = -0.125;
/// The standard deviation of the logarithm of the origin's service time.
const ORIGIN_WORK_LOG_DEVIATION: f64 = 0.5;

impl World<'_> {
    /// Returns whether a node and a server can exchange packets now.
    pub(super) fn is_reachable(&self, node: usize, server: usize) -> bool {
        let server = &self.servers[server];
        !server.is_down && !self.network.is_partitioned(self.now, self.nodes[node].zone, server.zone)
    }

    /// Returns whether a server would respond to a node now.
    fn is_responsive(&self, node: usize, server: usize) -> bool {
        self.is_reachable(node, server) && !is_hung(&self.network, self.now, server)
    }

    pub(super) fn on_attempt_arrival(&mut self, attempt: AttemptId, n: usize, mut job: ServerJob) {
        if !self.is_responsive(attempt.node, n) {
            return;
        }
        let is_origin = n == self.origin;
        if is_origin {
            let is_warm_up = self.now < self.network.day_start;
            self.servers[n].slots = if is_warm_up { WARM_UP_ORIGIN_SLOTS } else { self.origin_slots };
        }
        if self.servers[n].is_full() || self.servers[n].is_removed {
            self.respond(attempt, n, AttemptOutcome::Rejected);
            return;
        }
        // The work at a cache is drawn even if the server is the origin.
        let cache_work = self.draw_cache_work(&job);
        if is_origin {
            job.work = self.draw_origin_work(&job);
        } else {
            job.is_miss = job.write || !self.servers[n].keys.lookup(job.key);
            job.work = if job.is_miss { MISS_WORK } else { cache_work };
        }
        self.servers[n].queue.push_back(job);
        self.start_jobs(n);
    }

    fn draw_cache_work(&mut self, job: &ServerJob) -> Span {
        let work_factor = self.popularity.work_factor(job.key);
        let mean = self.scenario.mean_work.as_secs_f64() * work_factor;
        Span::from_secs_f64(mean * draw_read_work(self.scenario, &mut self.rng))
    }

    fn draw_origin_work(&mut self, job: &ServerJob) -> Span {
        let weight = if job.write { WRITE_WEIGHT } else { 1.0 };
        let spread = LogNormal::new(ORIGIN_WORK_LOG_MEAN, ORIGIN_WORK_LOG_DEVIATION)
            .expect("ORIGIN_WORK_LOG_DEVIATION must be finite")
            .sample(&mut self.rng);
        Span::from_secs_f64(self.scenario.origin_service_time.as_secs_f64() * weight * spread)
    }

    /// Starts queued jobs while the server has a free slot.
    fn start_jobs(&mut self, n: usize) {
        let slowdown = slowdown(&self.network, self.now, n);
        while self.servers[n].busy < self.servers[n].slots {
            let server = &mut self.servers[n];
            let Some(job) = server.queue.pop_front() else { return };
            server.busy += 1;
            let warmup_factor = server.warmup_factor(self.now, COLD_START_CAPACITY, WARM_UP_TIME);
            let cache_speed = server.speed * warmup_factor / slowdown;
            let speed = if n == self.origin { 1.0 } else { cache_speed };
            let handshakes_s = std::mem::take(&mut server.handshake_backlog_s);
            let service_time = Span::from_secs_f64((job.work.as_secs_f64() + handshakes_s) / speed);
            let incarnation = server.incarnation;
            self.schedule(service_time, EventKind::JobCompleted { server: n, incarnation, job });
        }
    }

    /// Handles the completion of a job, unless the server has crashed since the job started.
    pub(super) fn on_job_completed(&mut self, n: usize, incarnation: u32, job: ServerJob) {
        if self.servers[n].incarnation != incarnation {
            return;
        }
        self.servers[n].busy -= 1;
        if n == self.origin && job.write {
            for server in &mut self.servers {
                server.keys.invalidate(job.key);
            }
        }
        let outcome = if job.is_miss { AttemptOutcome::CacheMiss } else { AttemptOutcome::Fulfilled };
        if self.is_responsive(job.node, n) {
            let attempt = AttemptId {
                node: job.node,
                incarnation: job.incarnation,
                request: job.request,
                number: job.number,
            };
            self.respond(attempt, n, outcome);
        }
        self.start_jobs(n);
    }

    fn respond(&mut self, attempt: AttemptId, n: usize, outcome: AttemptOutcome) {
        let latency = self.draw_latency(attempt.node, n);
        let fills_caches = n == self.origin && outcome == AttemptOutcome::Fulfilled;
        self.schedule(latency, EventKind::AttemptFinished { attempt, outcome, fills_caches });
    }
}

/// Returns the randomly drawn work of a read, relative to the mean work.
fn draw_read_work(scenario: &Scenario, rng: &mut ChaCha8Rng) -> f64 {
    let shape = 1.0 / (scenario.work_variation * scenario.work_variation);
    Gamma::new(shape, 1.0 / shape).expect("the scenario's work_variation must be positive").sample(rng)
}
