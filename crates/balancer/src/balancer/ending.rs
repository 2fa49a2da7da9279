//! Ending calls: the gate that every final answer of ours passes, and shots that are called off.

use super::*;

impl Balancer {
    /// Ends a call at once: rate-limited where that promise holds, else errored.
    pub(super) fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = match self.request_class(open.call.request_class).effect {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => open.first_risky().is_none(),
        };
        let answer = match harmless {
            true => LocalReply::RateLimited { retry_after: open.retry_after },
            false => LocalReply::Errored,
        };
        self.answer(id, answer);
    }

    /// The gate that every final answer of ours passes: one for each open call, and nothing after it.
    pub(super) fn answer(&mut self, id: RequestId, answer: LocalReply) {
        let Some(open) = self.open.get(&id) else { return };
        if self.settings.may_cancel {
            let out = open.shots.iter().enumerate().filter(|(_, s)| s.out);
            self.recalls.extend(out.map(|(n, _)| (id, AttemptNumber(n as u8))));
        }
        self.close(id);
        self.answers.push_back((id, answer));
    }

    /// Calls off a slow shot that a later one to its cache has overtaken, and not by chance of their ways: in
    /// a queue none passes the other, so its answer is lost. Waited for, it would cost the call its SLO.
    pub(super) fn call_off_lost(&mut self, now: Time, id: RequestId) {
        let open = &self.open[&id];
        let may = self.settings.may_cancel
            && self.request_class(open.call.request_class).effect == Effect::Idempotent;
        // Calls differ in work most at the origin: there one may pass another.
        let lost = |n: &usize| may && !self.is_origin(open.shots[*n].cache);
        let Some(n) = open.first_out().filter(lost) else { return };
        let shot = open.shots[n];
        if self.is_overtaken(&shot) || self.is_silent(now, id, &shot) {
            self.recalls.push_back((id, AttemptNumber(n as u8)));
        } else {
            self.alarms.insert((now + RECHECK.scaled(2.0), id));
        }
    }

    /// Whether a shot waits for nothing, its cache long unheard or its zone silent, and another has room.
    fn is_silent(&self, now: Time, id: RequestId, shot: &InFlightAttempt) -> bool {
        let typical = Span::from_secs_f64(self.latency(now, shot.call.request_class, false));
        let elsewhere = |c: EndpointId| c != shot.cache && self.has_room(now, id, c);
        let in_time = now + typical <= self.open[&id].worth_end;
        // A cache that fetches may be at that.
        let told = shot.call.work.is_some() || !self.settings.is_cache_aside();
        let work = self.work_of(now, &shot.call) * if told { PATIENT_WORK } else { PATIENT_TYPICAL };
        let long = self
            .request_class(shot.call.request_class)
            .slo
            .scaled(SILENCE_SHARE)
            .max(Span::from_secs_f64(work));
        let unheard = |s: &InFlightAttempt| self.caches.get(&s.cache).filter(|c| c.heard < s.at);
        let Some(c) = unheard(shot) else { return false };
        // Where more than a minority of caches that fetch keep calls so, it is the origin that keeps them.
        let late = |s: &&InFlightAttempt| now >= s.at + long && unheard(s).is_some();
        let quiet = || self.out.values().filter(late).map(|s| s.cache).collect::<BTreeSet<_>>().len() as f64;
        let alone =
            || self.settings.is_cache_aside() || quiet() <= (self.table.len() as f64 * MINORITY).max(1.0);
        let silent = late(&shot) && alone() || self.zones.is_silent(c.listing.zone);
        in_time && silent && self.ranked(shot.call.key).into_iter().any(elsewhere)
    }

    pub(super) fn is_overtaken(&self, sent: &InFlightAttempt) -> bool {
        self.caches.get(&sent.cache).is_some_and(|c| c.overtook > sent.at + RECHECK)
    }

    pub(super) fn close(&mut self, id: RequestId) {
        self.release_joined(id);
        let Some(open) = self.open.remove(&id) else { return };
        self.ready.remove(&open.rank);
        self.alarms.remove(&(open.end, id));
    }

    /// Lets the calls go on that waited for this call's fetch.
    pub(super) fn release_joined(&mut self, id: RequestId) {
        let Some(key) = self.open.get(&id).map(|o| o.call.key) else { return };
        if self.fetching.get(&key).is_some_and(|f| f.0 == id) {
            self.fetching.remove(&key).into_iter().flat_map(|f| f.1).for_each(|w| self.set_waiting(w));
        }
    }

    pub(super) fn set_waiting(&mut self, id: RequestId) {
        self.ready.extend(self.open.get(&id).map(|open| (open.rank, id)));
    }
}
