//! What is known: the list, time, how shots ended, and what figures follow from that.

use super::*;

impl Balancer {
    pub(super) fn take_list(&mut self, now: Time, listings: &[EndpointUpdate], complete: bool) {
        self.heard(now);
        let doubts = self.settings.only_draining_binds;
        let drop = |c: &mut Cache| {
            c.dropped = c.dropped.or((c.listing.ready && doubts).then_some(now));
            c.listing.ready = false;
        };
        if complete {
            let named: BTreeSet<EndpointId> = listings.iter().map(|l| l.cache).collect();
            self.caches.values_mut().filter(|c| !named.contains(&c.listing.cache)).for_each(drop);
        }
        for listing in listings {
            let draw = self.chance();
            match self.caches.get_mut(&listing.cache) {
                Some(c) if !listing.ready && !listing.draining => drop(c),
                // A restart under the same id begins cold and with a clean slate.
                Some(c) if c.listing.started == listing.started => (c.listing, c.dropped) = (*listing, None),
                known => {
                    let held = known.map_or(0.0, |c| c.limit.in_flight);
                    self.caches.insert(listing.cache, Cache::new(*listing, &self.settings, draw, held, now));
                }
            }
        }
        self.settle_list(now);
        self.zones.keep(&self.caches.values().map(|c| c.listing.zone).collect());
    }

    /// Where only draining binds, a list that drops the origin or more than a minority of caches is doubted:
    /// they serve on, judged by their answers. Were they gone, trials would cost shots until `REMEMBERED`.
    pub(super) fn settle_list(&mut self, now: Time) {
        let stays = |c: &Cache| c.dropped.map_or(c.listing.ready, |at| now - at < REMEMBERED);
        self.caches.retain(|_, c| stays(c) || c.limit.in_flight > 0.0);
        let caches = self.caches.values().filter(|c| !c.is_origin);
        let lost = caches.clone().filter(|c| c.dropped.is_some()).count();
        let many = lost as f64 > caches.count() as f64 * MINORITY;
        let lost = self.caches.values_mut().filter(|c| c.dropped.is_some());
        lost.for_each(|c| c.listing.ready = (many || c.is_origin) && stays(c));
        self.renew_table();
    }

    pub(super) fn heard(&mut self, now: Time) {
        self.advance(now);
        self.cursor = None;
    }

    /// Brings everything up to date that moves with time alone.
    pub(super) fn advance(&mut self, now: Time) {
        if now > self.now {
            self.now = now;
            self.cursor = None;
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|a| a.0 <= now) {
            self.alarms.remove(&(at, id));
            let Some(open) = self.open.get(&id) else { continue };
            if at >= open.end {
                self.answer(id, LocalReply::Errored);
            } else if at >= open.slo_end && open.first_out().is_none() {
                self.give_up(id);
            } else {
                self.call_off_lost(now, id);
            }
        }
        let steps = (now - self.learned).0 / LEARNING_STEP.0;
        if steps > 0 {
            self.learned = self.learned + Span(steps * LEARNING_STEP.0);
            self.learn(now);
        }
    }

    /// Judges a cache by an outcome: its health, its in-flight limit, and how long answers take.
    pub(super) fn judge(
        &mut self,
        now: Time,
        sent: &InFlightAttempt,
        outcome: AttemptOutcome,
        latency: Span,
    ) {
        let (origin, aside, chance) =
            (self.is_origin(sent.cache), self.settings.is_cache_aside(), self.chance());
        let slo = self.request_class(sent.call.request_class).slo;
        let service =
            Span::from_secs_f64(self.latency(now, sent.call.request_class, origin) * (0.5 + chance));
        // A slow cache's rest goes by its own answers, or a crowd of quiet nodes never leaves it.
        let rest = if origin { service } else { service.max(latency) };
        // A cache's queue serves all products: it must be short enough for the one with the least time.
        let quickest = self.caches.get(&sent.cache).filter(|_| origin).map_or(Span::ZERO, |c| c.quickest);
        // Where the quickest answers take much of the SLO, only six times as long tells of a queue.
        let least = if origin { slo } else { self.settings.tightest_slo() }.scaled(SLOW_SHARE);
        // Where hardly any wait is reported the work takes long: fewer shots would not be quicker.
        let short = self.settings.tightest_slo().as_secs_f64() * SHORT_WAIT;
        let waits = self.told_wait(now, sent.cache).is_none_or(|wait| wait > short);
        let slow = latency > least.max(quickest.scaled(6.0).min(slo.scaled(0.7))) && waits;
        // What came too late does not count: it would make every call look hopeless.
        if outcome == AttemptOutcome::Fulfilled && latency <= slo {
            let mean = &mut self.latencies[sent.call.request_class.0 as usize][usize::from(origin)];
            mean.add(now, latency.as_secs_f64());
        }
        let overtaken = self.is_overtaken(sent);
        let Some(c) = self.caches.get_mut(&sent.cache) else { return };
        c.usage.step_by(now, -1.0);
        match outcome {
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken || latency < least => {}
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Unreachable if !origin => {
                self.zones.unanswered(now, c.listing.zone, sent.cache);
            }
            AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Unreachable
            | AttemptOutcome::NotSent => {}
            _ => {
                c.heard = now;
                // The origin's place is no sign of the caches there.
                (!origin).then(|| self.zones.heard(now, c.listing.zone));
            }
        }
        let (answered, soon) = (outcome == AttemptOutcome::Fulfilled, latency < slo.scaled(SILENCE_SHARE));
        c.quickest = c.quickest.scaled(1.001).min(if answered { latency } else { c.quickest });
        // Behind a cache that fetches, one call may wait for its fetch while others pass it.
        if aside && !slow && matches!(outcome, AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss) {
            c.overtook = c.overtook.max(sent.at);
        }
        let crowded = match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable => Some(true),
            // Queues show in slow answers first; cut for silence, a cache that loses some would get no work.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if origin && !overtaken => Some(slow),
            AttemptOutcome::Fulfilled => Some(slow),
            // That a key is lacking is soon said, crowd or none.
            AttemptOutcome::CacheMiss if slow => Some(true),
            _ => None,
        };
        c.limit.learn(now, latency, crowded, rest, if origin { ORIGIN_GROWS } else { LIMIT_GROWS });
        if outcome == AttemptOutcome::Rejected {
            // Repeated at once, shots that are turned away would become a crowded cache's whole work.
            c.limit.rest_until = c.limit.rest_until.max(now + service);
        }
        let healthy = match outcome {
            // No sign is a shot whose client had little time left, or whose answer alone was lost.
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled if overtaken || soon => return,
            AttemptOutcome::NotSent => return,
            // The origin's trouble bars no cache that fetches.
            AttemptOutcome::Errored if !aside && latency > service => return,
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Rejected => true,
            _ => false,
        };
        c.outcomes = (c.outcomes << 1 | u32::from(healthy)) & ALL_GOOD;
        let first = (now + FIRST_TRIAL, FIRST_TRIAL);
        match c.trial {
            _ if origin => {}
            Some(_) if healthy => (c.trial, c.outcomes) = (None, ALL_GOOD),
            None if c.outcomes.count_ones() < SUCCESSES_NEEDED => c.trial = Some(first),
            _ => {}
        }
    }

    pub(super) fn work_of(&self, now: Time, call: &Request) -> f64 {
        call.work.map_or_else(|| self.latency(now, call.request_class, false), |w| w.as_secs_f64())
    }

    pub(super) fn latency(&self, now: Time, request_class: RequestClassId, origin: bool) -> f64 {
        self.latencies[request_class.0 as usize][usize::from(origin)].read(now)
    }

    pub(super) fn request_class(&self, id: RequestClassId) -> &RequestClass {
        &self.settings.request_classes[id.0 as usize]
    }

    pub(super) fn size_of(&self, listing: &EndpointUpdate) -> f64 {
        if self.settings.steady_sizes { listing.size.max(1e-3) } else { 1.0 }
    }

    /// How long a call waits at a cache by its last report, where that tells: by Little's law the calls held
    /// over the rate are the time that one is there. An old report must not pass off a queue for long work.
    fn told_wait(&self, now: Time, cache: EndpointId) -> Option<f64> {
        let (_, told) = self.caches.get(&cache)?.told.filter(|t| now - t.0 <= USAGE_MEMORY)?;
        Some(told.held? / told.per_s.filter(|p| *p > 0.0)? - told.service?.as_secs_f64())
    }

    pub(super) fn is_origin(&self, cache: EndpointId) -> bool {
        self.caches.get(&cache).is_some_and(|c| c.is_origin)
    }

    pub(super) fn chance(&mut self) -> f64 {
        self.chances += 1;
        unit(hash_of((self.seed, self.chances)))
    }
}
