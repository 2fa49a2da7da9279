//! A planner: merges what forwarders say, and says what it means.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use serde::{Deserialize, Serialize};

use super::fault::HealthError;
use super::part::{Part, Parts};
use super::report::Report;
use super::view::{HealthStatus, View};
use crate::component::Event;
use crate::member::{ForwarderId, Incarnation};
use crate::probe_scheduling::{self, Trials};

/// Counts the plans of a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A forwarder is told at most so often.
    pub beat: Span,
    /// A forwarder that says nothing for so long is forgotten, and so is a cache of which nothing is said.
    pub forgets: Span,
    /// More than these are not taken in.
    pub most_forwarders: usize,
    pub most_caches: usize,
    /// Who tries a cache that fails.
    pub turns: probe_scheduling::Settings,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            beat: Span::from_millis(250),
            forgets: Span::from_millis(10_000),
            most_forwarders: 4096,
            most_caches: MOST_CACHES,
            turns: probe_scheduling::Settings::default(),
        }
    }
}

/// As many go into the parts of a plan.
pub const MOST_CACHES: usize = 2048;

/// What a forwarder is told: all that there is to say now, so that none has to be heard for the next to make sense.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub version: Version,
    pub part: Part,
    /// How many forwarders the view rests on.
    pub forwarders: usize,
    pub verdicts: Vec<(EndpointId, HealthStatus)>,
}

/// Remarks that nobody pulls are dropped past so many.
const MOST_REMARKS: usize = 64;

struct Known {
    incarnation: Incarnation,
    number: u64,
    /// Of that report.
    parts: Parts,
    heard: Time,
    /// When it was told last, unless never.
    told: Option<Time>,
    /// When it may be told next, if it has said anything since.
    due: Option<Time>,
    /// Shots out at each cache by its last report, and by the one before.
    out: BTreeMap<EndpointId, f64>,
    out_before: BTreeMap<EndpointId, f64>,
}

pub struct Planner {
    settings: Settings,
    version: Version,
    forwarders: BTreeMap<ForwarderId, Known>,
    caches: BTreeMap<EndpointId, View>,
    trials: Trials,
    /// Who is to be told, by when: looked for among all of them, a plan would cost more the more there are.
    due: BTreeSet<(Time, ForwarderId)>,
    swept: Time,
    remarks: VecDeque<Event>,
}

impl Planner {
    pub fn new(settings: Settings, now: Time) -> Planner {
        Planner {
            settings,
            trials: Trials::new(settings.turns, now),
            remarks: VecDeque::new(),
            version: Version(0),
            forwarders: BTreeMap::new(),
            caches: BTreeMap::new(),
            due: BTreeSet::new(),
            swept: now,
        }
    }

    /// The forwarders that live, in order, and how many planners that live come before this one.
    pub fn on_membership_change(&mut self, forwarders: Vec<ForwarderId>, before: usize) {
        self.trials.on_membership_change(forwarders, before);
    }

    /// Takes in a report, or a part of one.
    ///
    /// # Errors
    /// Says why it was passed over; nothing of it counts then.
    pub fn on_message(
        &mut self,
        now: Time,
        from: ForwarderId,
        incarnation: Incarnation,
        report: &Report,
    ) -> Result<(), HealthError> {
        report.check()?;
        self.sweep(now);
        let known = self.forwarders.get(&from);
        let at = (incarnation, report.number);
        let same = known.filter(|k| (k.incarnation, k.number) == at);
        let mut parts = same.map_or(Parts::default(), |k| k.parts);
        if known.is_some_and(|k| (k.incarnation, k.number) > at) || !parts.take(report.part) {
            return Err(HealthError::Old);
        }
        let new_caches = report.caches.iter().filter(|s| !self.caches.contains_key(&s.cache)).count();
        let full = known.is_none() && self.forwarders.len() >= self.settings.most_forwarders;
        if full || self.caches.len() + new_caches > self.settings.most_caches {
            return Err(HealthError::TooMany);
        }
        let told = known.and_then(|k| k.told);
        let due =
            known.and_then(|k| k.due).unwrap_or(told.map_or(now, |at| now.max(at + self.settings.beat)));
        let is_same = same.is_some();
        if !is_same {
            self.forget_out(from);
        }
        let known = self.forwarders.get_mut(&from);
        let (mut out, mut out_before) = known
            .map(|k| (std::mem::take(&mut k.out), std::mem::take(&mut k.out_before)))
            .unwrap_or_default();
        if !is_same {
            // Of another part of the same report what was out by the first still is.
            out_before = std::mem::take(&mut out);
        }
        self.due.insert((due, from));
        for seen in &report.caches {
            let view = self.caches.entry(seen.cache).or_insert_with(|| View::new(now));
            let was_ill = view.is_ill();
            view.seen(now, from, seen);
            // One cache told of twice in a report counts once with what is out.
            view.out += seen.out - out.insert(seen.cache, seen.out).unwrap_or(0.0);
            let (is_ill, rate) = (view.is_ill(), view.rate(now));
            match (was_ill, is_ill) {
                (false, true) => self.trials.fell_ill(now, seen.cache, rate),
                (true, false) => self.trials.healed(seen.cache),
                (true, true) => {
                    // Counted when they are sent: until one has ended a second or two go by.
                    let before = out_before.get(&seen.cache).copied().unwrap_or(0.0);
                    let sent = (seen.out - before + seen.answered + seen.failed).max(0.0);
                    self.trials.tried(now, seen.cache, sent, seen.answered > 0.0);
                }
                (false, false) => {}
            }
            if was_ill != is_ill && self.remarks.len() < MOST_REMARKS {
                let (event, says) =
                    if is_ill { ("cache_fails", "fails") } else { ("cache_answers", "answers again") };
                let text = format!("cache {:016x} {says}, by what forwarders report", seen.cache.0);
                self.remarks.push_back(Event { name: event, message: text, is_warning: is_ill });
            }
        }
        let (number, due) = (report.number, Some(due));
        self.forwarders
            .insert(from, Known { incarnation, number, parts, heard: now, told, due, out, out_before });
        Ok(())
    }

    /// The next plan to send in its parts, and to whom; to be pulled until there is none.
    pub fn next_plan(&mut self, now: Time) -> Option<(ForwarderId, Vec<Plan>)> {
        self.sweep(now);
        let next = self.due.first().filter(|(at, _)| *at <= now)?.1;
        self.due.pop_first();
        if let Some(known) = self.forwarders.get_mut(&next) {
            (known.told, known.due) = (Some(now), None);
        }
        self.version.0 += 1;
        let mut verdicts = Vec::new();
        for (cache, view) in &self.caches {
            match view.verdict(now) {
                Some(HealthStatus::Failing { ago }) if self.trials.has(now, *cache, next) => {
                    verdicts.push((*cache, HealthStatus::Probe { ago }));
                }
                Some(verdict) => verdicts.push((*cache, verdict)),
                None => {}
            }
        }
        let (version, forwarders) = (self.version, self.forwarders.len());
        let plan = |(part, verdicts)| Plan { version, part, forwarders, verdicts };
        Some((next, Part::cut(&verdicts).map(plan).collect()))
    }

    /// When the next plan is due.
    pub fn next_due(&self) -> Option<Time> {
        self.due.first().map(|(at, _)| *at)
    }

    pub fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    /// The caches that fail, as this planner sees it.
    pub fn failing(&self) -> BTreeSet<EndpointId> {
        self.caches.iter().filter(|(_, view)| view.is_ill()).map(|(cache, _)| *cache).collect()
    }

    /// Shots out at a cache, over all forwarders heard of late.
    pub fn out(&self, cache: EndpointId) -> f64 {
        self.caches.get(&cache).map_or(0.0, |v| v.out)
    }

    /// How many entries are kept; bounded by the settings whatever comes.
    pub fn entries(&self) -> usize {
        let out: usize = self.forwarders.values().map(|k| k.out.len() + k.out_before.len()).sum();
        self.forwarders.len() + self.caches.len() + out + self.trials.entries()
    }

    /// Takes back what a forwarder's last report said was out.
    fn forget_out(&mut self, id: ForwarderId) {
        for (cache, out) in self.forwarders.get(&id).into_iter().flat_map(|k| &k.out) {
            if let Some(view) = self.caches.get_mut(cache) {
                view.out -= out;
            }
        }
    }

    /// Forgets, once in a while, whoever has said nothing for long and what nothing was said of.
    fn sweep(&mut self, now: Time) {
        if now - self.swept < self.settings.beat {
            return;
        }
        self.swept = now;
        let forgets = self.settings.forgets;
        let gone: Vec<_> =
            self.forwarders.iter().filter(|(_, k)| now - k.heard >= forgets).map(|(id, _)| *id).collect();
        for id in gone {
            self.forget_out(id);
            let due = self.forwarders.remove(&id).and_then(|k| k.due);
            due.map(|at| self.due.remove(&(at, id)));
        }
        let trials = &mut self.trials;
        self.caches.retain(|cache, view| {
            let stays = now - view.told < forgets;
            if !stays {
                trials.healed(*cache);
            }
            stays
        });
    }
}
