//! What goes wrong, when, and for whom; and how the list tells of it.

use super::*;

impl World<'_> {
    pub(super) fn plan_faults(&mut self) {
        let at = |s: f64| Span::from_secs_f64(self.play.warm_up + s);
        let mut plan = Vec::new();
        for fault in &self.play.faults {
            let length = fault.to - fault.from;
            match fault.kind {
                Kind::ZoneLost => {
                    plan.push((at(fault.from), What::Loses { zone: 0 }));
                    plan.push((at(fault.to), What::Returns { zone: 0 }));
                }
                Kind::Replace(part) => {
                    let many = (part * self.play.caches as f64) as usize;
                    for n in 0..many {
                        let when = fault.from + length * n as f64 / many as f64;
                        plan.push((at(when), What::Replaces { old: n }));
                    }
                }
                Kind::NodesKilled(part) => {
                    let many = (part * self.play.nodes as f64) as usize;
                    plan.extend((0..many).map(|node| (at(fault.from), What::Kills { node })));
                }
                _ => {}
            }
        }
        for (when, what) in plan {
            self.later(when, what);
        }
    }

    /// Tells every node of a server's line, each a while later.
    pub(super) fn tell(&mut self, server: usize) {
        let listing = self.listing(server);
        if server < self.listed.len() {
            self.listed[server] = listing
        } else {
            self.listed.push(listing)
        }
        let (from, to) = self.play.notice;
        let noticed = from + (to - from) * self.chance.random::<f64>();
        for node in 0..self.nodes.len() {
            let own = noticed + 0.1 * self.chance.random::<f64>();
            let incarnation = self.nodes[node].incarnation;
            self.later(Span::from_secs_f64(own), What::List { node, incarnation, listing });
        }
    }

    pub(super) fn lose(&mut self, zone: usize) {
        let lost = |(_, s): &(usize, &mut Server)| s.zone == zone && !s.left;
        for (_, s) in self.servers[..self.origin].iter_mut().enumerate().filter(lost) {
            s.fall();
        }
        for node in &mut self.nodes {
            let servers = &self.servers;
            node.idle.retain(|server, _| !servers[*server].down);
        }
    }

    pub(super) fn bring_back(&mut self, zone: usize) {
        for n in 0..self.origin {
            if self.servers[n].zone == zone && self.servers[n].down && !self.servers[n].left {
                self.servers[n].down = false;
                self.servers[n].started = Some(self.now);
                self.tell(n);
            }
        }
    }

    /// A cache drains and a new one, cold and empty, is listed in its place.
    pub(super) fn replace(&mut self, old: usize) {
        let (zone, queue, keeps) = {
            let s = &self.servers[old];
            (s.zone, s.queue_most, s.keeps())
        };
        let mut new = Server::new(zone, 1, queue, self.servers[old].speed, keeps);
        new.started = Some(self.now);
        self.servers.push(new);
        let n = self.servers.len() - 1;
        self.tell(n);
        self.servers[old].left = true;
        self.tell(old);
        self.later(Span::from_millis(8000), What::Leaves { server: old });
    }

    /// A node dies with all it has and starts anew under its name.
    pub(super) fn kill(&mut self, n: usize) {
        let seed = self.chance.random();
        let mut mind = Mind::new(self.play.policy, settings(self.play), seed, self.now);
        mind.listed(self.now, &self.listed, true);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.mind = mind;
        node.calls.clear();
        node.shots.clear();
        node.idle.clear();
        node.wake = None;
        self.renew_fellow(n);
    }
}

pub(super) fn is_hung(network: &Network<'_>, now: Time, n: usize) -> bool {
    network.acting(now).any(|k| matches!(k, Kind::Hang(part) if ill(network, n, part)))
}

/// Whether caches have hung for so long.
pub(super) fn hung_for(network: &Network<'_>, now: Time, seconds: f64) -> bool {
    let at = (now - network.start).as_secs_f64();
    let hangs = |k| matches!(k, Kind::Hang(_));
    network.play.faults.iter().any(|f| hangs(f.kind) && f.acts(at) && at >= f.from + seconds)
}

pub(super) fn slowness(network: &Network<'_>, now: Time, n: usize) -> f64 {
    let of = |k| match k {
        Kind::Slow(part, by) if ill(network, n, part) => Some(by),
        _ => None,
    };
    network.acting(now).find_map(of).unwrap_or(1.0)
}

/// Which caches a fault takes: the last ones, which are spread over all zones.
fn ill(network: &Network<'_>, n: usize, part: f64) -> bool {
    let caches = network.play.caches;
    n < caches && n >= caches - (part * caches as f64) as usize
}
