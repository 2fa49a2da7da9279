//! The forwarder's side: counts what its shots tell of shards, says it round by round, and holds the table's form.
//!
//! Each round goes over all shards and says a shard's whole day so far, so that no letter has to arrive for a later one to
//! make sense; the day before is said for two rounds more. What is kept is bounded by shards, not by keys or calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::calls::{AttemptOutcome, ShardMap};
use granitelb_balancer::slot_table::{key_hash, shard_of};
use granitelb_balancer::time::{Span, Time};

use super::form::{Form, FormVersion};
use super::listing::{self, List};
use super::message::{GrowthError, GrowthMessage, MOST_REGISTERS};
use super::origin::Fetches;
use super::sketch::{Counts, Day, Distinct, Of, REGISTERS, SHARDS, Shard};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::{FinishedAttempt, Observation};

#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// In this time all shards are said once.
    pub round: Span,
    /// How often it says which form it holds.
    pub beat: Span,
    /// A miss of a key that was seen stored within this time tells of an eviction, unless it was written.
    pub lately: Span,
    /// How often it says all caches that it knows.
    pub lists: Span,
    /// Fetches count as of late for about so long.
    pub fetches: Span,
}

impl Default for ForwarderSettings {
    fn default() -> ForwarderSettings {
        ForwarderSettings {
            round: Span::from_millis(3_600_000),
            beat: Span::from_millis(10_000),
            lately: Span::from_millis(600_000),
            lists: Span::from_millis(30_000),
            fetches: Span::from_millis(60_000),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Seen {
    read: Distinct,
    written: Distinct,
    counts: Counts,
}

/// Keys that were seen stored: each newer one takes the place of those that share it.
const PLACES: usize = 4096;
/// Letters that wait to be pulled; a round that finds more waiting says its shard in the next.
const MOST_OUT: usize = 128;
/// So often it is looked which caches have become warm or cold.
const LOOKS: Span = Span::from_millis(1000);

#[derive(Debug)]
pub struct ForwarderComponent {
    settings: ForwarderSettings,
    planners: BTreeSet<PlannerId>,
    /// The book's day, as the planner of the lowest number that lives has it.
    day: Option<Day>,
    today: BTreeMap<Shard, Seen>,
    /// The day before, and until when it is said.
    before: Option<(Day, BTreeMap<Shard, Seen>, Time)>,
    stored: Vec<(u64, Time)>,
    fetches: Fetches,
    form: Form,
    list: List,
    list_due: Time,
    next_shard: u8,
    due: Time,
    beat_due: Time,
    out: VecDeque<(Member, GrowthMessage)>,
    remarks: VecDeque<Event>,
}

impl ForwarderComponent {
    pub fn new(
        settings: ForwarderSettings,
        me: ForwarderId,
        incarnation: Incarnation,
        now: Time,
    ) -> ForwarderComponent {
        ForwarderComponent {
            planners: BTreeSet::new(),
            day: None,
            today: BTreeMap::new(),
            before: None,
            stored: vec![(0, Time(0)); PLACES],
            fetches: Fetches::default(),
            form: Form::default(),
            list: List::default(),
            list_due: now,
            // Forwarders that start together begin their rounds at unlike shards.
            next_shard: (me.0 ^ incarnation.0) as u8,
            due: now,
            beat_due: now,
            out: VecDeque::new(),
            remarks: VecDeque::new(),
            settings,
        }
    }

    /// What the node did, as its loop tells it.
    pub fn seen(&mut self, now: Time, sight: &Observation) {
        match sight {
            Observation::AttemptFinished(ended) => self.ended(now, ended),
            Observation::EndpointsChanged(servers) => {
                self.list.learn(servers);
                self.list_due = now;
            }
            Observation::AttemptSent { .. } | Observation::FetchDenied => {}
        }
    }

    fn ended(&mut self, now: Time, ended: &FinishedAttempt) {
        if ended.is_origin {
            self.fetches.ended(now, ended, self.settings.fetches);
        }
        let (hash, shard) = (key_hash(ended.key), Shard(shard_of(ended.key)));
        let place = &mut self.stored[(hash >> 40) as usize % PLACES];
        let was_stored = place.0 == hash && now - place.1 <= self.settings.lately;
        let seen = self.today.entry(shard).or_default();
        match ended.outcome {
            AttemptOutcome::Fulfilled => {
                seen.counts.bytes += u64::from(ended.bytes);
                seen.counts.sized += 1;
                if ended.write {
                    seen.counts.writes += 1;
                    seen.written.add(hash);
                    // No cache has a copy after a write: the next miss tells nothing.
                    if place.0 == hash {
                        *place = (0, Time(0));
                    }
                } else {
                    seen.counts.reads += 1;
                    seen.read.add(hash);
                    *place = (hash, now);
                }
            }
            AttemptOutcome::CacheMiss if !ended.is_origin && !ended.write && was_stored => {
                seen.counts.evicted += 1
            }
            _ => {}
        }
    }

    /// The table's form for the module.
    pub fn advice(&self) -> Option<ShardMap> {
        (self.form.version > FormVersion(0)).then(|| self.form.for_module())
    }

    fn round(&mut self, now: Time) {
        if now >= self.beat_due {
            self.beat_due = now + self.settings.beat;
            let version = self.form.version;
            self.tell(&GrowthMessage::Holds { version });
            if self.fetches.are_slow(now, self.settings.fetches) {
                self.tell(&GrowthMessage::OriginSlow);
            }
        }
        if now >= self.list_due && !self.planners.is_empty() {
            self.list_due = now + LOOKS;
            let news = self.list.next(now, self.settings.lists);
            for part in news.chunks(listing::IN_A_LETTER) {
                self.tell(&GrowthMessage::Caches { listed: part.to_vec() });
            }
        }
        // A host that looks in seldom has several shards due by then: each day has to be said whole before it ends.
        let round = self.settings.round;
        while now >= self.due && self.out.len() <= MOST_OUT / 2 {
            let from = Time(self.due.0.max(now.0.saturating_sub(round.0)));
            self.due = from + Span((round.0 / SHARDS as u64).max(1));
            self.say_next(now);
        }
    }

    /// Says the next shard's days.
    fn say_next(&mut self, now: Time) {
        let shard = Shard(self.next_shard);
        self.next_shard = self.next_shard.wrapping_add(1);
        self.before.take_if(|b| now >= b.2);
        let today = self.day.zip(self.today.get(&shard));
        let before = self.before.as_ref().and_then(|(day, all, _)| Some((*day, all.get(&shard)?)));
        let said: Vec<GrowthMessage> =
            today.into_iter().chain(before).flat_map(|(day, seen)| letters(day, shard, seen)).collect();
        said.iter().for_each(|message| self.tell(message));
    }

    fn tell(&mut self, message: &GrowthMessage) {
        for planner in &self.planners {
            if self.out.len() < MOST_OUT {
                self.out.push_back((Member::Planner(*planner), message.clone()));
            }
        }
    }
}

/// All that was seen of a shard in a day.
fn letters(day: Day, shard: Shard, seen: &Seen) -> Vec<GrowthMessage> {
    let mut said = vec![GrowthMessage::Counted { day, counts: vec![(shard, seen.counts)] }];
    for (of, sketch) in [(Of::Read, &seen.read), (Of::Written, &seen.written)] {
        let set: Vec<(u16, u8)> =
            (0..REGISTERS as u16).map(|r| (r, sketch.register(r))).filter(|r| r.1 > 0).collect();
        said.extend(set.chunks(MOST_REGISTERS).map(|registers| GrowthMessage::Sketch {
            day,
            shard,
            of,
            registers: registers.to_vec(),
        }));
    }
    said
}

impl Component for ForwarderComponent {
    type Message = GrowthMessage;
    type Error = GrowthError;

    fn on_message(&mut self, now: Time, from: Sender, message: GrowthMessage) -> Result<(), GrowthError> {
        let Member::Planner(planner) = from.member else { return Err(GrowthError::Stranger) };
        match message {
            GrowthMessage::Today { day } => {
                // One planner's calendar goes, or a wrong one would begin days at will.
                if self.planners.first().is_none_or(|first| *first == planner)
                    && self.day.is_none_or(|known| day > known)
                {
                    if let Some(ended) = self.day {
                        let said_until = now + self.settings.round + self.settings.round;
                        self.before = Some((ended, std::mem::take(&mut self.today), said_until));
                    }
                    self.day = Some(day);
                }
                Ok(())
            }
            GrowthMessage::Table { form } if !form.is_sound() => Err(GrowthError::Nonsense),
            GrowthMessage::Table { form } => {
                if form.version > self.form.version {
                    let text = format!("the table's form {} is taken", form.version.0);
                    self.remarks.truncate(15);
                    self.remarks.push_back(Event { name: "growth_form", message: text, is_warning: false });
                    self.form = form;
                    self.beat_due = now;
                }
                Ok(())
            }
            _ => Err(GrowthError::Stranger),
        }
    }

    fn on_membership_change(&mut self, now: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|m| match m {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        let planners: BTreeSet<PlannerId> = planners.collect();
        if !planners.is_subset(&self.planners) {
            // One that has come anew may know of no cache.
            self.list.again();
            self.list_due = now;
        }
        self.planners = planners;
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, GrowthMessage)> {
        self.round(now);
        self.out.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        Some(if self.out.is_empty() { self.due.min(self.beat_due).min(self.list_due).max(now) } else { now })
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        let before = self.before.as_ref().map_or(0, |b| b.1.len());
        self.today.len()
            + self.list.entries()
            + before
            + self.stored.len()
            + self.out.len()
            + self.remarks.len()
    }
}
