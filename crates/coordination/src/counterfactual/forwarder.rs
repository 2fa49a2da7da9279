//! A forwarder's side: makes one observation of each sampled read, and tells planners in small letters.
//!
//! Invariant: whatever the load, it sends no more than the settings' bytes a second over all planners, and keeps no more
//! than so many calls. It holds since a letter is made only when what it costs has been saved up, and since the oldest
//! is shed when there is no room. What is shed or lost makes estimates wider, never skewed: whether a call is told of
//! hangs on its hash and its turn, not on what came of it.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use super::observation::{
    CounterfactualMessage, How, PLACES, Said, SampledRequest, Scale, Standing, class_of, tenths,
};
use super::{CounterfactualError, Settings, is_sampled, rank};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::{FinishedAttempt, Observation, ObservedEndpoint};

/// What an age in a letter takes at the most beyond what it takes while it is still 0.
const AGE_BYTES: usize = 4;
/// A letter's kind and counts.
const HEAD_BYTES: usize = 8;
/// Entries of starts in a letter.
const STARTS: usize = 60;
/// A cache and an age at their longest.
const START_BYTES: usize = 15;

/// A call whose first choice lacked the key and that is still to be answered.
struct Missed {
    observation: SampledRequest,
    sent: Time,
    /// The last that was heard of it.
    seen: Time,
}

pub struct ForwarderComponent {
    settings: Settings,
    missed: BTreeMap<u64, Missed>,
    /// Missed calls by when they are given up.
    order: VecDeque<(Time, u64)>,
    told: VecDeque<(Time, SampledRequest, usize)>,
    starts: BTreeMap<u64, Time>,
    new_starts: VecDeque<(u64, Time)>,
    planners: Vec<PlannerId>,
    out: VecDeque<(Member, CounterfactualMessage)>,
    saved: f64,
    refilled: Time,
    /// Calls that were not told of, for want of room.
    shed: u64,
    standings: BTreeMap<(u64, u16, Scale), Standing>,
    remarks: VecDeque<Event>,
}

impl ForwarderComponent {
    pub fn new(settings: Settings, _me: ForwarderId, _life: Incarnation, now: Time) -> ForwarderComponent {
        ForwarderComponent {
            settings,
            missed: BTreeMap::new(),
            order: VecDeque::new(),
            told: VecDeque::new(),
            starts: BTreeMap::new(),
            new_starts: VecDeque::new(),
            planners: Vec::new(),
            out: VecDeque::new(),
            saved: 0.0,
            refilled: now,
            shed: 0,
            standings: BTreeMap::new(),
            remarks: VecDeque::new(),
        }
    }

    pub fn seen(&mut self, now: Time, sight: &Observation) {
        match sight {
            Observation::EndpointsChanged(servers) => self.listed(servers),
            Observation::AttemptSent { .. } | Observation::FetchDenied => {}
            Observation::AttemptFinished(ended) => self.ended(now, ended),
        }
    }

    /// Calls that were not told of, for want of room or of bytes.
    pub fn shed(&self) -> u64 {
        self.shed
    }

    /// How planners hold a cache to stand for a product, by the last letter.
    pub fn standing(&self, cache: u64, request_class: u16, scale: Scale) -> Option<Standing> {
        self.standings.get(&(cache, request_class, scale)).copied()
    }

    fn listed(&mut self, servers: &[ObservedEndpoint]) {
        let mut starts = BTreeMap::new();
        for server in servers.iter().filter(|s| !s.is_origin).take(self.settings.most_caches) {
            let Some(started) = server.started else { continue };
            let known = self.starts.get(&server.cache.0).copied();
            // The list tells a start's time by its age, which wavers.
            let same = known.filter(|k| started - *k <= self.settings.same_start);
            if same.is_none() {
                self.new_starts.push_back((server.cache.0, started));
            }
            starts.insert(server.cache.0, same.unwrap_or(started));
        }
        self.starts = starts;
        let most = self.settings.most_caches;
        self.new_starts.drain(..self.new_starts.len().saturating_sub(most));
    }

    fn ended(&mut self, now: Time, ended: &FinishedAttempt) {
        if ended.write || ended.outcome == AttemptOutcome::NotSent || !is_sampled(ended.request_hash) {
            return;
        }
        if let Some(missed) = self.missed.get_mut(&ended.request_hash) {
            missed.seen = now;
            if ended.outcome == AttemptOutcome::Fulfilled {
                self.answered(ended.request_hash, How::Miss);
            }
            return;
        }
        let place = ended.candidates.iter().take(PLACES).position(|c| *c == ended.cache);
        let (Some(place), 0, false) = (place, ended.number, ended.is_origin) else { return };
        let how = match ended.outcome {
            AttemptOutcome::Fulfilled => How::Hit,
            AttemptOutcome::CacheMiss => How::Miss,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => How::Cut,
            AttemptOutcome::Rejected
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Errored
            | AttemptOutcome::Reset => How::Refused,
            AttemptOutcome::NotSent => return,
        };
        let observation = SampledRequest {
            call: ended.request_hash,
            key: rank(ended.key.0) as u32,
            request_class: ended.request_class.0,
            class: class_of(ended.work),
            candidates: ended.candidates.iter().take(PLACES).map(|c| c.0).collect(),
            place: place as u8,
            how,
            took: tenths(ended.latency),
            slo: tenths(ended.slo),
            out: u8::try_from(ended.in_flight_at_send).unwrap_or(u8::MAX),
            ago: 0,
        };
        if !observation.is_sound() {
            return;
        }
        if how != How::Miss {
            return self.tell(now, observation);
        }
        if self.missed.len() >= self.settings.most_missed {
            self.give_up_oldest();
        }
        let sent = Time(now.0.saturating_sub(ended.latency.0));
        self.missed.insert(ended.request_hash, Missed { observation, sent, seen: now });
        self.order.push_back((now + self.settings.waits, ended.request_hash));
    }

    /// A missed call is done with: it was answered, or nothing more is heard of it.
    fn answered(&mut self, call: u64, how: How) {
        if let Some(Missed { mut observation, sent, seen }) = self.missed.remove(&call) {
            (observation.how, observation.took) = (how, tenths(seen - sent));
            self.tell(seen, observation);
        }
    }

    fn give_up_oldest(&mut self) {
        while let Some((_, call)) = self.order.pop_front() {
            if self.missed.contains_key(&call) {
                return self.answered(call, How::Cut);
            }
        }
    }

    fn tell(&mut self, at: Time, observation: SampledRequest) {
        let Ok(bytes) = postcard::to_allocvec(&observation) else { return };
        if self.told.len() >= self.settings.most_told {
            self.told.pop_front();
            self.shed += 1;
        }
        self.told.push_back((at, observation, bytes.len() + AGE_BYTES));
    }

    /// Gives up what was waited for long enough, and sheds what planners would hold to be too old.
    fn sweep(&mut self, now: Time) {
        while let Some((until, call)) = self.order.front().copied() {
            let waits = self.missed.contains_key(&call);
            if waits && until > now {
                break;
            }
            self.order.pop_front();
            self.answered(call, How::Cut);
        }
        while self.told.front().is_some_and(|(at, ..)| now - *at > self.settings.window) {
            self.told.pop_front();
            self.shed += 1;
        }
        let rate = self.settings.bytes_a_second;
        let planners = self.planners.len().max(1) as f64;
        let most = rate.max(self.settings.letter as f64 * planners);
        self.saved = (self.saved + rate * (now - self.refilled).as_secs_f64()).min(most);
        self.refilled = now;
    }

    /// Makes the next letters, one for each planner, if it is time and the bytes are there.
    fn write(&mut self, now: Time) {
        let planners = self.planners.len();
        if planners == 0 {
            return;
        }
        let message = if !self.new_starts.is_empty() {
            let n = self.new_starts.len().min(STARTS);
            let bytes = ((HEAD_BYTES + n * START_BYTES) * planners) as f64;
            if bytes > self.saved {
                return;
            }
            self.saved -= bytes;
            let age = |at: Time| u32::try_from((now - at).0 / 1000).unwrap_or(u32::MAX);
            let starts = self.new_starts.drain(..n).map(|(cache, at)| (cache, age(at)));
            CounterfactualMessage::Started(starts.collect())
        } else {
            let (mut n, mut bytes) = (0, HEAD_BYTES);
            while let Some((_, _, size)) = self.told.get(n).filter(|t| bytes + t.2 <= self.settings.letter) {
                (n, bytes) = (n + 1, bytes + size);
            }
            let whole = n < self.told.len();
            let due = self.told.front().is_some_and(|(at, ..)| now - *at >= self.settings.gathers);
            if n == 0 || !(whole || due) || (bytes * planners) as f64 > self.saved {
                return;
            }
            self.saved -= (bytes * planners) as f64;
            let told = self.told.drain(..n);
            let aged = told.map(|(at, observation, _)| {
                let ago = u32::try_from((now - at).0 / 1000).unwrap_or(u32::MAX);
                SampledRequest { ago, ..observation }
            });
            CounterfactualMessage::Seen(aged.collect())
        };
        for planner in &self.planners {
            self.out.push_back((Member::Planner(*planner), message.clone()));
        }
    }

    fn remark(&mut self, from: Member, said: &Said, scale: Scale) {
        let key = (said.cache, said.request_class, scale);
        if self.standings.get(&key) == Some(&said.standing) {
            return;
        }
        if self.standings.len() >= self.settings.most_standings && !self.standings.contains_key(&key) {
            self.standings.pop_first();
        }
        self.standings.insert(key, said.standing);
        let (event, warns) = super::standing::event_of(said.standing);
        let text = format!("{from} says: {}", super::standing::sentence(said, scale));
        if self.remarks.len() < self.settings.most_remarks {
            self.remarks.push_back(Event { name: event, message: text, is_warning: warns });
        }
    }
}

impl Component for ForwarderComponent {
    type Message = CounterfactualMessage;
    type Error = CounterfactualError;

    fn on_message(
        &mut self,
        _now: Time,
        from: Sender,
        message: CounterfactualMessage,
    ) -> Result<(), CounterfactualError> {
        let (said, scale) = match (from.member, message) {
            (Member::Planner(_), CounterfactualMessage::Standing(said)) => (said, Scale::Share),
            (Member::Planner(_), CounterfactualMessage::Times(said)) => (said, Scale::Times),
            _ => return Err(CounterfactualError::WrongSide),
        };
        if said.iter().any(|s| ![s.more, s.low, s.high].iter().all(|f| f.is_finite())) {
            return Err(CounterfactualError::Figure);
        }
        said.iter().for_each(|s| self.remark(from.member, s, scale));
        Ok(())
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        let planner = |m: &Member| if let Member::Planner(id) = m { Some(*id) } else { None };
        self.planners = alive.iter().filter_map(planner).collect();
        // What a planner that has gone was to be told would wait for ever.
        self.out.retain(|(to, _)| alive.contains(to));
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, CounterfactualMessage)> {
        self.sweep(now);
        if self.out.is_empty() {
            self.write(now);
        }
        self.out.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.out.is_empty() {
            return Some(now);
        }
        if !self.new_starts.is_empty() {
            return Some(now + TURN);
        }
        let told = self.told.front().map(|(at, ..)| (*at + self.settings.gathers).max(now + TURN));
        told.into_iter().chain(self.order.front().map(|(at, _)| *at)).min()
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        let calls = self.missed.len() + self.order.len() + self.told.len();
        calls + self.starts.len() + self.new_starts.len() + self.standings.len() + self.remarks.len()
    }
}

/// Pulled again so soon while bytes are saved up for the next letter.
const TURN: Span = Span::from_millis(50);
