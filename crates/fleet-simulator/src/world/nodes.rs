//! What clients and nodes do: calls, the module's orders, shots on their way, final answers.

use granitelb_coordination::observation::Observation;

use super::troubles::{hung_for, is_hung};
use super::*;

/// Caches that have hung for so long are known to: what is sent there is a trial.
const KNOWN_AFTER: f64 = 3.0;

impl World<'_> {
    pub(super) fn call(&mut self, node: usize) {
        if self.day_s(self.now) >= self.play.seconds {
            return;
        }
        let next = self.gap(node);
        self.later(next, What::Call { node });
        let hot = self.network.acting(self.now).find_map(|k| match k {
            Kind::HotKey(share) => Some(share),
            _ => None,
        });
        let drawn: f64 = self.chance.random();
        let key = match hot {
            Some(share) if self.chance.random::<f64>() < share => Key(u64::MAX),
            _ => self.popularity.draw(drawn),
        };
        let write = self.chance.random::<f64>() < self.play.writes;
        let deadline = self.now + if write { WRITE_TIMEOUT } else { READ_TIMEOUT };
        if let Some(second) = self.second(self.now) {
            self.came.calls += 1;
            self.came.by_second[second].0 += 1;
        }
        self.try_call(node, self.now, key, write, deadline, false);
    }

    pub(super) fn try_call(
        &mut self,
        n: usize,
        first: Time,
        key: Key,
        write: bool,
        deadline: Time,
        again: bool,
    ) {
        self.calls += 1;
        self.came.tries += 1;
        let id = self.calls;
        let call = Request {
            request_class: RequestClassId(u16::from(write)),
            key,
            budget: deadline - self.now,
            work: Some(self.play.work.scaled(self.popularity.size(key))),
            write,
        };
        let known = Call { first, deadline, key, write, again, shots: 0, out: 0, missed: Vec::new() };
        self.nodes[n].calls.insert(id, known);
        self.nodes[n].mind.call(self.now, RequestId(id), call);
        self.pull(n);
    }

    /// Carries out what a node decides.
    pub(super) fn pull(&mut self, n: usize) {
        let (servers, network, now) = (&self.servers, &self.network, self.now);
        let zone = self.nodes[n].zone;
        let sight = |c: EndpointId| {
            let s = &servers[c.0 as usize];
            let dead = s.down || is_hung(network, now, c.0 as usize) || network.is_cut(now, zone, s.zone);
            if dead { 1.0 } else { s.crowd() }
        };
        for order in self.nodes[n].mind.pull(now, &sight) {
            match order {
                Order::Shoot { call, cache, timeout } => self.shoot(n, call.0, cache.0 as usize, timeout),
                Order::LocalReply { call, answer } => self.answered_by_node(n, call.0, answer),
                Order::Recall { call, number } => {
                    let shot = ShotId {
                        node: n,
                        incarnation: self.nodes[n].incarnation,
                        call: call.0,
                        number: number.0,
                    };
                    self.came.recalled += usize::from(self.shot(shot).is_some());
                    self.later(
                        Span(1),
                        What::LocalReply { shot, outcome: AttemptOutcome::Cancelled, stored: false },
                    );
                }
            }
        }
        let node = &mut self.nodes[n];
        let wake = node.mind.wake(self.now).filter(|w| node.wake.is_none_or(|known| *w < known));
        if let Some(time) = wake {
            node.wake = Some(time);
            let incarnation = node.incarnation;
            self.later((time - self.now).max(Span(1)), What::Wake { node: n, incarnation });
        }
    }

    pub(super) fn shot(&self, id: ShotId) -> Option<&Attempt> {
        let node = &self.nodes[id.node];
        node.shots.get(&(id.call, id.number)).filter(|_| node.incarnation == id.incarnation)
    }

    pub(super) fn shoot(&mut self, n: usize, call_id: u64, server: usize, timeout: Span) {
        let incarnation = self.nodes[n].incarnation;
        let Some(call) = self.nodes[n].calls.get_mut(&call_id) else {
            self.came.unsound += 1;
            return;
        };
        let number = call.shots;
        call.shots += 1;
        self.came.copies += usize::from(call.out > 0);
        call.out += 1;
        let (key, write) = (call.key, call.write);
        let job =
            Job { node: n, incarnation, call: call_id, number, key, write, work: Span::ZERO, lacks: false };
        let shot = ShotId { node: n, incarnation, call: call_id, number };
        let counts = self.day_s(self.now) >= 0.0;
        if counts && server == self.origin {
            self.came.at_origin += 1;
            let second = self.second(self.now).filter(|_| !write);
            let reads = second.and_then(|s| self.came.origin_reads.get_mut(s));
            reads.into_iter().for_each(|n| *n += 1);
        } else if counts {
            self.came.shots += 1;
            if is_hung(&self.network, self.now, server) {
                self.came.wasted += 1;
                self.came.trials += usize::from(hung_for(&self.network, self.now, KNOWN_AFTER));
            }
        }
        let (cache, is_origin) = (EndpointId(server as u64), server == self.origin);
        self.saw(n, |_| Observation::AttemptSent { cache, is_origin, write });
        let (now, keep) = (self.now, self.play.idle.scaled(IDLE_SHARE));
        let idle = self.nodes[n].idle.entry(server).or_default();
        idle.retain(|since| now - *since < keep);
        let up = idle.pop().is_some();
        self.nodes[n].shots.insert((call_id, number), Attempt { server, at: now, up, job });
        self.later(timeout, What::GiveUp { shot });
        if up {
            self.write(shot);
            return;
        }
        self.came.handshakes += usize::from(counts);
        let (here, there) = (self.nodes[n].zone, self.servers[server].zone);
        if self.servers[server].down || self.network.is_cut(now, here, there) {
            let never = AttemptOutcome::Unreachable;
            self.later(self.play.connect_timeout, What::LocalReply { shot, outcome: never, stored: false });
            return;
        }
        let way = self.network.way(&mut self.chance, here, there);
        if server != self.origin {
            self.servers[server].debt += self.play.handshake.as_secs_f64();
        }
        self.later(way.scaled(2.0 * self.play.handshake_trips), What::Connected { shot });
    }

    /// The connection is up: the shot is written and is on its way.
    pub(super) fn write(&mut self, id: ShotId) {
        let Some(shot) = self.shot(id) else { return };
        let (server, job) = (shot.server, shot.job);
        self.nodes[id.node].shots.get_mut(&(id.call, id.number)).expect("looked at above").up = true;
        let (here, there) = (self.nodes[id.node].zone, self.servers[server].zone);
        let way = self.network.way(&mut self.chance, here, there);
        self.later(way, What::Comes { shot: id, server, job });
    }

    pub(super) fn shot_ends(&mut self, id: ShotId, outcome: AttemptOutcome, stored: bool) {
        if self.shot(id).is_none() {
            return;
        }
        let node = &mut self.nodes[id.node];
        let shot = node.shots.remove(&(id.call, id.number)).expect("looked at above");
        let kept = !matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Unreachable | AttemptOutcome::Cancelled
        );
        if kept {
            node.idle.entry(shot.server).or_default().push(self.now);
        }
        let counts = self.now >= self.network.start;
        self.count(shot.server, outcome, counts);
        self.saw_end(&shot, outcome);
        let node = &mut self.nodes[id.node];
        let mut answered = true;
        if let Some(call) = node.calls.get_mut(&id.call) {
            call.out -= 1;
            answered = outcome == AttemptOutcome::Fulfilled;
            if outcome == AttemptOutcome::CacheMiss {
                call.missed.push(shot.server);
            }
            if answered {
                let call = node.calls.remove(&id.call).expect("looked at above");
                if stored && !call.write {
                    call.missed.iter().take(2).for_each(|s| self.servers[*s].keep(call.key));
                }
                if shot.server == self.origin && counts && self.now - call.first > SLO {
                    self.came.origin_late += 1;
                }
                self.fulfilled(&call);
            }
        }
        let end = AttemptResult {
            number: AttemptNumber(id.number),
            cache: EndpointId(shot.server as u64),
            outcome,
            latency: self.now - shot.at,
            answered,
        };
        self.nodes[id.node].mind.ended(self.now, RequestId(id.call), &end);
        self.pull(id.node);
    }

    pub(super) fn count(&mut self, server: usize, outcome: AttemptOutcome, counts: bool) {
        let came = &mut self.came;
        let at_origin = server == self.origin;
        let figure = match outcome {
            _ if !counts => return,
            AttemptOutcome::Rejected if at_origin => &mut came.origin_full,
            AttemptOutcome::Rejected => &mut came.full,
            AttemptOutcome::Fulfilled if !at_origin => &mut came.hits,
            AttemptOutcome::CacheMiss => &mut came.misses,
            AttemptOutcome::Unreachable => &mut came.unreachable,
            AttemptOutcome::TimedOut => &mut came.timed_out,
            _ => return,
        };
        *figure += 1;
    }

    pub(super) fn fulfilled(&mut self, call: &Call) {
        self.came.unsound += usize::from(self.now > call.deadline);
        let Some(second) = self.second(call.first) else { return };
        if self.now - call.first <= SLO {
            self.came.in_time += 1;
            self.came.by_second[second].1 += 1;
        } else {
            self.came.late += 1;
        }
    }

    pub(super) fn answered_by_node(&mut self, n: usize, id: u64, answer: LocalReply) {
        let Some(call) = self.nodes[n].calls.remove(&id) else {
            self.came.unsound += 1;
            return;
        };
        self.came.unsound += usize::from(self.now > call.deadline + Span::from_millis(1));
        let counts = self.second(call.first).is_some();
        let retry_after = match answer {
            LocalReply::RateLimited { retry_after } => retry_after,
            LocalReply::Errored => Span::ZERO,
        };
        match answer {
            LocalReply::RateLimited { .. } => {
                self.came.rate_limited += usize::from(counts);
                if !call.write && !call.missed.is_empty() {
                    self.saw(n, |_| Observation::FetchDenied);
                }
            }
            LocalReply::Errored => self.came.errored += usize::from(counts),
        }
        if call.again || self.chance.random::<f64>() >= self.play.comes_again {
            return;
        }
        let heeds = self.chance.random::<f64>() < self.play.heeds;
        let wait = if heeds { retry_after.max(BACKOFF) } else { BACKOFF };
        if self.now + wait < call.deadline {
            let Call { first, key, write, deadline, .. } = call;
            self.later(wait, What::Again { node: n, first, key, write, deadline });
        }
    }
}
