//! Ending calls: the gate that every final answer of ours passes, and shots that are called off.

use super::*;

impl Brain {
    /// Ends a call at once: rate-limited where that promise holds, else errored.
    pub(super) fn give_up(&mut self, id: ApiCallId) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = match self.product(open.call.product).effect {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => open.first_risky().is_none(),
        };
        let answer = match harmless {
            true => Answer::RateLimited { come_back: open.come_back },
            false => Answer::Errored,
        };
        self.answer(id, answer);
    }

    /// The gate that every final answer of ours passes: one for each open call, and nothing after it.
    pub(super) fn answer(&mut self, id: ApiCallId, answer: Answer) {
        let Some(open) = self.open.get(&id) else { return };
        if self.settings.may_recall {
            let out = open.shots.iter().enumerate().filter(|(_, s)| s.out);
            self.recalls.extend(out.map(|(n, _)| (id, ShotNumber(n as u8))));
        }
        self.close(id);
        self.answers.push_back((id, answer));
    }

    /// Calls off a slow shot that a later one to its cache has overtaken, and not by chance of their ways: in
    /// a queue none passes the other, so its answer is lost. Waited for, it would cost the call its SLO.
    pub(super) fn call_off_lost(&mut self, now: Time, id: ApiCallId) {
        let open = &self.open[&id];
        let may = self.settings.may_recall && self.product(open.call.product).effect == Effect::Idempotent;
        // Calls differ in work most at the origin: there one may pass another.
        let lost = |n: &usize| may && !self.is_origin(open.shots[*n].cache);
        let Some(n) = open.first_out().filter(lost) else { return };
        let shot = open.shots[n];
        if self.is_overtaken(&shot) || self.is_silent(now, id, &shot) {
            self.recalls.push_back((id, ShotNumber(n as u8)));
        } else {
            self.alarms.insert((now + RECHECK.scaled(2.0), id));
        }
    }

    /// Whether a shot waits for nothing, its cache long unheard or its zone silent, and another has room.
    fn is_silent(&self, now: Time, id: ApiCallId, shot: &Sent) -> bool {
        let typical = Span::from_secs_f64(self.latency(now, shot.call.product, false));
        let elsewhere = |c: CacheId| c != shot.cache && self.has_room(now, id, c);
        let in_time = now + typical <= self.open[&id].worth_end;
        // A cache that fetches may be at that.
        let told = shot.call.work.is_some() || !self.settings.aside();
        let work = self.work_of(now, &shot.call) * if told { PATIENT_WORK } else { PATIENT_TYPICAL };
        let long = self.product(shot.call.product).slo.scaled(SILENCE_SHARE).max(Span::from_secs_f64(work));
        let unheard = |s: &Sent| self.caches.get(&s.cache).filter(|c| c.heard < s.at);
        let Some(c) = unheard(shot) else { return false };
        // Where more than a minority of caches that fetch keep calls so, it is the origin that keeps them.
        let late = |s: &&Sent| now >= s.at + long && unheard(s).is_some();
        let quiet = || self.out.values().filter(late).map(|s| s.cache).collect::<BTreeSet<_>>().len() as f64;
        let alone = || self.settings.aside() || quiet() <= (self.table.len() as f64 * MINORITY).max(1.0);
        let silent = late(&shot) && alone() || self.zones.is_silent(c.listing.zone);
        in_time && silent && self.ranked(shot.call.key).into_iter().any(elsewhere)
    }

    pub(super) fn is_overtaken(&self, sent: &Sent) -> bool {
        self.caches.get(&sent.cache).is_some_and(|c| c.overtook > sent.at + RECHECK)
    }

    pub(super) fn close(&mut self, id: ApiCallId) {
        self.release_joined(id);
        let Some(open) = self.open.remove(&id) else { return };
        self.ready.remove(&open.rank);
        self.alarms.remove(&(open.end, id));
    }

    /// Lets the calls go on that waited for this call's fetch.
    pub(super) fn release_joined(&mut self, id: ApiCallId) {
        let Some(key) = self.open.get(&id).map(|o| o.call.key) else { return };
        if self.fetching.get(&key).is_some_and(|f| f.0 == id) {
            self.fetching.remove(&key).into_iter().flat_map(|f| f.1).for_each(|w| self.set_waiting(w));
        }
    }

    pub(super) fn set_waiting(&mut self, id: ApiCallId) {
        self.ready.extend(self.open.get(&id).map(|open| (open.rank, id)));
    }
}
