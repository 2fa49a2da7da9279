//! What cache servers and the origin do with the shots that come.

use super::troubles::{is_hung, slowness};
use super::*;

impl World<'_> {
    pub(super) fn reaches(&self, node: usize, server: usize) -> bool {
        let s = &self.servers[server];
        !s.down && !self.network.is_cut(self.now, self.nodes[node].zone, s.zone)
    }

    pub(super) fn comes(&mut self, id: ShotId, n: usize, mut job: Job) {
        if !self.reaches(id.node, n) || is_hung(&self.network, self.now, n) {
            return;
        }
        let is_origin = n == self.origin;
        let most = if self.now < self.network.start { 1_000_000 } else { self.origin_slots };
        let server = &mut self.servers[n];
        if is_origin {
            server.slots = most;
        }
        if server.is_full() || server.left {
            return self.reply(id, n, AttemptOutcome::Rejected);
        }
        let size = self.popularity.size(job.key);
        let drawn = self.play.work.as_secs_f64() * size * read_work(self.play, &mut self.chance);
        if is_origin {
            let weight = if job.write { 2.0 } else { 1.0 };
            let spread = LogNormal::new(-0.125, 0.5).expect("a sound spread").sample(&mut self.chance);
            job.work = Span::from_secs_f64(self.play.origin_time.as_secs_f64() * weight * spread);
        } else {
            job.lacks = job.write || !server.holds(job.key);
            job.work = if job.lacks { Span::from_millis(1) } else { Span::from_secs_f64(drawn) };
        }
        self.servers[n].queue.push_back(job);
        self.begin(n);
    }

    /// Puts queued shots to work while there is a place.
    pub(super) fn begin(&mut self, n: usize) {
        let slow = slowness(&self.network, self.now, n);
        while self.servers[n].busy < self.servers[n].slots {
            let server = &mut self.servers[n];
            let Some(job) = server.queue.pop_front() else { return };
            server.busy += 1;
            let speed = server.speed * server.warmth(self.now, COLD_FROM, WARM_AFTER) / slow;
            let speed = if n == self.origin { 1.0 } else { speed };
            let debt = std::mem::take(&mut server.debt);
            let takes = Span::from_secs_f64((job.work.as_secs_f64() + debt) / speed);
            let incarnation = server.incarnation;
            self.later(takes, What::Done { server: n, incarnation, job });
        }
    }

    pub(super) fn done(&mut self, n: usize, incarnation: u32, job: Job) {
        if self.servers[n].incarnation != incarnation {
            return;
        }
        self.servers[n].busy -= 1;
        let id = ShotId { node: job.node, incarnation: job.incarnation, call: job.call, number: job.number };
        if n == self.origin && job.write {
            self.servers.iter_mut().for_each(|s| s.drop_key(job.key));
        }
        let outcome = if job.lacks { AttemptOutcome::CacheMiss } else { AttemptOutcome::Fulfilled };
        if self.reaches(job.node, n) && !is_hung(&self.network, self.now, n) {
            self.reply(id, n, outcome);
        }
        self.begin(n);
    }

    pub(super) fn reply(&mut self, shot: ShotId, n: usize, outcome: AttemptOutcome) {
        let (here, there) = (self.nodes[shot.node].zone, self.servers[n].zone);
        let way = self.network.way(&mut self.chance, here, there);
        let stored = n == self.origin && outcome == AttemptOutcome::Fulfilled;
        self.later(way, What::LocalReply { shot, outcome, stored });
    }
}

fn read_work(play: &Play, chance: &mut ChaCha8Rng) -> f64 {
    let shape = 1.0 / (play.work_cv * play.work_cv);
    Gamma::new(shape, 1.0 / shape).expect("a sound spread").sample(chance)
}
