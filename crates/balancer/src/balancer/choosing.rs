//! Choosing a cache for a call, and the gate that every shot passes.

use super::*;

impl Balancer {
    /// The shot for a call that waits, if one can be sent; else it may be given up or go on waiting.
    pub(super) fn place(&mut self, now: Time, id: RequestId) -> Option<Attempt> {
        let open = self.open.get(&id)?;
        // Ranked once for calls that wait while the table changes, not at each look at each of them.
        self.keys.get(&open.call.key).into_iter().for_each(|k| self.table.use_slot(k.slot));
        let asks_origin = open.call.write && self.settings.is_cache_aside()
            || open.lacking && self.old_place(now, id).is_none();
        let typical = Span::from_secs_f64(self.latency(now, open.call.request_class, asks_origin));
        // Nothing can come of a call that may have run and must not run twice: it is not sat upon.
        let may = |c: &Cache| !open.passed.contains(&c.listing.cache) && self.may_repeat(now, open, c);
        let barred = open.may_have_run.is_some() && !self.caches.values().any(may);
        if now + typical > open.worth_end || barred || open.shots.len() >= open.most_shots {
            self.give_up(id);
            return None;
        }
        let fetch = self.fetching.get_mut(&open.call.key).filter(|f| f.0 != id && !open.call.write);
        if let Some((_, waiting)) = fetch {
            waiting.push(id);
            self.ready.remove(&open.rank);
            // A joined call whose fetch drags on is given up at its SLO.
            self.alarms.insert((open.slo_end, id));
            return None;
        }
        // A read that was turned away everywhere has its last shot where one more crowd can't be met.
        let late = now + typical > open.slo_end;
        let last = self.settings.is_cache_aside()
            && !open.shots.is_empty()
            && open.shots.len() + 1 == open.most_shots;
        let part = if asks_origin && !late { 1.0 } else { SPARE_PART };
        let at_origin = (asks_origin || last).then(|| self.free_origin(now, id, part)).flatten();
        let found = at_origin.or_else(|| self.best_candidate(now, id).filter(|_| !asks_origin));
        let target =
            found.or_else(|| self.all_fail(now, id).then(|| self.free_origin(now, id, 1.0)).flatten());
        let open = &self.open[&id];
        if target.is_none() && (late || now >= open.patience_end && open.shots.is_empty()) {
            self.give_up(id);
        }
        Some(self.send(now, id, target?))
    }

    /// A key's candidates that the list holds, the highest weight first.
    pub fn ranked(&self, key: Key) -> Vec<EndpointId> {
        let slots = match self.keys.get(&key) {
            Some(weights) if weights.table == self.table.version() => weights.slots,
            known => self.start_weights(key, known.map_or_else(|| self.slot_of(key, 0.0), |k| k.slot)),
        };
        let mut ranked: Vec<_> = slots.into_iter().flatten().collect();
        ranked.sort_by(|a, b| b.1.total_cmp(&a.1));
        ranked.into_iter().map(|r| r.0).collect()
    }

    /// The candidate of highest weight that may be sent to.
    fn best_candidate(&self, now: Time, id: RequestId) -> Option<EndpointId> {
        let open = &self.open[&id];
        let old = || self.old_place(now, id).into_iter().collect();
        let ranked = if open.lacking { old() } else { self.ranked(open.call.key) };
        ranked.into_iter().find(|c| self.is_free(now, id, *c))
    }

    /// Where a read that missed may yet find its key, a shot left for the origin: its shard is being split.
    fn old_place(&self, now: Time, id: RequestId) -> Option<EndpointId> {
        let open = &self.open[&id];
        let (key, left) = (open.call.key, open.shots.len() + 1 < open.most_shots);
        let old = self.start_weights(key, self.table.old_slot(hash_of(key)).filter(|_| left)?);
        let best = old.into_iter().flatten().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|b| b.0).filter(|c| self.is_free(now, id, *c))
    }

    /// The origin, if this part of its in-flight limit has room.
    fn free_origin(&self, now: Time, id: RequestId, part: f64) -> Option<EndpointId> {
        let spare = |c: &Cache| c.is_origin && c.limit.in_flight < c.limit.most.max(1.0) * part;
        let mut origins = self.caches.iter().filter(|(_, c)| spare(c)).map(|(id, _)| *id);
        origins.find(|c| self.is_free(now, id, *c))
    }

    /// Whether all candidates of a read fail or failed it: nobody is left but the origin, under its limit.
    fn all_fail(&self, now: Time, id: RequestId) -> bool {
        let open = &self.open[&id];
        let out = |c: &Cache| c.trial.is_some() || !self.zones.may_try(now, c.listing.zone);
        let fails = |c| open.passed.contains(c) || self.caches.get(c).is_some_and(out);
        let ranked = self.ranked(open.call.key);
        self.settings.is_cache_aside() && !ranked.is_empty() && ranked.iter().all(fails)
    }

    fn is_free(&self, now: Time, id: RequestId, cache: EndpointId) -> bool {
        self.may_send(now, id, cache) && self.has_room(now, id, cache)
    }

    /// Whether health and the in-flight limit leave room at this cache.
    pub(super) fn has_room(&self, now: Time, id: RequestId, cache: EndpointId) -> bool {
        let open = &self.open[&id];
        let Some(c) = self.caches.get(&cache) else { return false };
        // Only what may run again is risked on a cache that fails, or in a zone that is silent.
        let idempotent = self.request_class(open.call.request_class).effect == Effect::Idempotent;
        let tried = |at| at <= now && c.limit.in_flight < 1.0 && idempotent;
        let barred = open.passed.contains(&cache) || c.trial.is_some_and(|(at, _)| !tried(at));
        let risks = idempotent && self.zones.may_try(now, c.listing.zone);
        let zone = c.is_origin || risks || !self.zones.is_silent(c.listing.zone);
        !barred && zone && c.limit.has_room(now)
    }

    /// The present share of its capacity that a cache has at least.
    pub(super) fn warmth(&self, now: Time, c: &Cache) -> f64 {
        let s = &self.settings;
        let Some(started) = c.listing.started.filter(|_| s.warm_after > Span::ZERO) else { return 1.0 };
        let age = (now - started).as_secs_f64() / s.warm_after.as_secs_f64();
        s.cold_from + (1.0 - s.cold_from) * age.min(1.0)
    }

    /// The gate of the rules that every shot passes.
    fn may_send(&self, now: Time, id: RequestId, cache: EndpointId) -> bool {
        let (Some(open), Some(c)) = (self.open.get(&id), self.caches.get(&cache)) else { return false };
        // Rule 1: nothing for a call that has ended.
        let lives = now < open.end && open.shots.len() < open.most_shots;
        // Rule 2: no effect twice, and no two shots out where the site forbids it.
        let single = self.settings.hedged_requests || open.first_out().is_none();
        let harmless = single && self.may_repeat(now, open, c);
        // Rule 3: nothing new from the moment the node knows, well within the grace.
        let ready = c.listing.ready;
        // Rule 4: the node's part of what a cold cache stands, and of the origin's fetches where leased.
        let cost = self.cost(now, c, &open.call);
        let stands = cost == 0.0 || self.cold_savings(now, c, cost) >= c.draw * cost;
        lives && harmless && ready && stands
    }

    /// Whether an effect is safe from happening twice if the call goes to this cache too.
    fn may_repeat(&self, now: Time, open: &PendingRequest, c: &Cache) -> bool {
        let Some(first) = open.first_risky().map(|n| open.shots[n]) else { return true };
        match self.request_class(open.call.request_class).effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { scope, window } => {
                let old = self.caches.get(&first.cache).map(|c| c.listing);
                let same = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => old.is_some_and(|l| l.zone == c.listing.zone),
                    DedupScope::Cell => old.is_some_and(|l| l.cell == c.listing.cell),
                };
                same && now < first.at + window.scaled(REPEATED_IN)
            }
        }
    }

    /// Until when a shot of this call may begin: the gate is passed once, and its connection may come up later.
    fn begin_by(&self, open: &PendingRequest) -> Time {
        match (self.request_class(open.call.request_class).effect, open.first_risky()) {
            (Effect::Deduplicated { window, .. }, Some(first)) => {
                open.end.min(open.shots[first].at + window.scaled(REPEATED_IN))
            }
            _ => open.end,
        }
    }

    /// The work a second that this node may send a cold cache: its part, by warmth and size, of what caches
    /// got from it of late, so that all nodes stay near the cache's part of the load; but not under one call
    /// at a time from all nodes together, or a fleet cold throughout would never be found out to work.
    fn cold_rate(&self, now: Time, c: &Cache) -> f64 {
        let warmth = self.warmth(now, c);
        // Twice the part may come together by chance; where even that would topple it, it gets less.
        let part = (self.settings.fall_multiple * 0.5).min(1.0) / self.settings.fall_window.as_secs_f64();
        // Where the fleet grows colder the same calls fall to less warm size: the old mean would refuse them.
        let (carried, wanted) = (self.carried.read(now), self.wanted.read(now) / self.warm_size.max(1e-9));
        let carried = wanted.min(carried * COLD_GROWS).max(carried);
        let own = (carried * self.size_of(&c.listing) * part).max(1.0 / self.settings.nodes) * warmth;
        c.lease.map_or(own, |l| if c.is_origin { l.at(now) } else { own.min(l.at(now) * warmth) })
    }

    /// What a call takes of what a cold cache stands, or of a lease: writes can go to the origin alone.
    fn cost(&self, now: Time, c: &Cache, call: &Request) -> f64 {
        match c.lease.filter(|_| c.is_origin) {
            Some(_) => f64::from(u8::from(!call.write)),
            None if self.warmth(now, c) >= 1.0 => 0.0,
            None => self.work_of(now, call),
        }
    }

    /// The work saved up for a cold cache. Far less than a call's at each of many nodes: it is sent once
    /// a part of it, drawn by chance, is saved, so that nodes neither all wait nor all send at once.
    fn cold_savings(&self, now: Time, c: &Cache, work: f64) -> f64 {
        let rate = self.cold_rate(now, c);
        let most = (rate * self.settings.fall_window.as_secs_f64() * 0.5).max(work);
        (c.saved.0 + rate * (now - c.saved.1).as_secs_f64()).min(most)
    }

    fn send(&mut self, now: Time, id: RequestId, cache: EndpointId) -> Attempt {
        let (c, call) = (&self.caches[&cache], self.open[&id].call);
        let (origin, work, cost) = (c.is_origin, self.work_of(now, &call), self.cost(now, c, &call));
        let begin_within = self.begin_by(&self.open[&id]) - now;
        let open = self.open.get_mut(&id).expect("placed calls are open");
        let (end, sent) = (open.end, InFlightAttempt { call, cache, at: now, out: true });
        self.out.insert((id, AttemptNumber(open.shots.len() as u8)), sent);
        open.shots.push(sent);
        self.ready.remove(&open.rank);
        if origin && !open.call.write {
            self.fetching.entry(open.call.key).or_insert((id, Vec::new()));
        }
        let (draw, saved) = (self.chance(), self.cold_savings(now, &self.caches[&cache], cost) - cost);
        let c = self.caches.get_mut(&cache).expect("candidates are listed");
        (c.draw, c.saved) = (draw, (saved, now));
        c.limit.in_flight += 1.0;
        c.usage.step_by(now, 1.0);
        self.sent.add(now, if origin { 0.0 } else { work });
        (!origin).then(|| self.zones.tried(now, c.listing.zone));
        c.trial = c.trial.map(|(_, wait)| (now + wait, Span(wait.0 * 2).min(LAST_TRIAL)));
        self.alarms.insert((now + self.request_class(call.request_class).slo.scaled(SLOW_SHARE), id));
        Attempt { request: id, cache, give_up_after: end - now, begin_within }
    }
}
