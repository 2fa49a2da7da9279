//! When a shard is split, and how far a split may go on now: pure decisions of the planner that leads, each one a change of
//! one shard's entry in the table's form, which the planners then agree on (`agree`).
//!
//! Invariants, whatever the world does: two splits that are active have no cache in common; no more than so many are
//! active; no split takes a step forward while one of its caches fails or is cold, the origin is slow, the planners are
//! too few or the time is frozen; none stands at a step for less than that step's time. They hold since each step
//! forward passes `holds_back`, becoming active passes `may_begin`, and `next` changes one shard at a time from the form
//! that was decided last. Steps back pass nothing: a split can be withdrawn whenever a majority of planners is heard.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::form::{Form, MOST_BITS, PARTS, ShardForm, Step};
use super::sketch::Shard;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Active at once in the fleet.
    pub most: usize,
    /// A part of the copying, and a split's other steps, last so long at least.
    pub part: Span,
    pub planned: Span,
    pub both_read: Span,
    pub watched: Span,
    /// A trouble in mid-split pauses it for so long, then it is withdrawn.
    pub patience: Span,
    /// After that it rests for so long.
    pub rests: Span,
    /// A split is begun so many times its own length before the early edge.
    pub early: f64,
    /// Of the origin's spare fetches splits take this part.
    pub spare_part: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        let minutes = |m: u64| Span::from_millis(m * 60_000);
        Settings {
            most: 2,
            part: minutes(5),
            planned: minutes(10),
            both_read: minutes(60),
            watched: minutes(24 * 60),
            patience: minutes(30),
            rests: minutes(24 * 60),
            early: 2.0,
            spare_part: 0.5,
        }
    }
}

/// What is known of the fleet now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct World {
    pub failing: BTreeSet<EndpointId>,
    pub cold: BTreeSet<EndpointId>,
    pub origin_slow: bool,
    /// Whether less than a majority of the configured planners is heard.
    pub planners_few: bool,
    /// Fetches a second that the origin could do beyond what calls ask of it.
    pub spare_fetches: f64,
    /// The next or present frozen time: when it begins and ends from now.
    pub frozen: Option<(Span, Span)>,
}

/// What is known of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outlook {
    /// In how long it may outgrow its caches: the interval's early edge. None if not within what is foreseen.
    pub early: Option<Span>,
    /// In how long it will, by the forecast itself.
    pub likely: Option<Span>,
    /// Keys that it keeps.
    pub keys: f64,
    /// The caches that keep them now, and that would after one more split.
    pub caches: BTreeSet<EndpointId>,
}

/// Why a split goes on, waits or goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    OutgrowsSoon,
    /// What is left until the early edge, or until a frozen time that it falls into, is what a split may take.
    TimeToStart,
    Due,
    NoLongerForeseen,
    Rested,
    CacheFails(EndpointId),
    CacheCold(EndpointId),
    OriginSlow,
    PlannersFew,
    Frozen,
    /// Another split has one of its caches.
    CacheTaken(EndpointId),
    TooMany,
    /// It could not end before a frozen time.
    NoTimeBeforeFrozen,
    NoSpareFetches,
    Operator,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub shard: Shard,
    pub from: ShardForm,
    pub to: ShardForm,
    pub reason: Reason,
    pub form: Form,
}

/// What the leader remembers beside the form, by its own clock. A new one starts these anew, which only makes it later.
#[derive(Clone, Copy, Debug)]
struct Watch {
    entered: Time,
    trouble: Option<(Time, Reason)>,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    settings: Settings,
    watches: BTreeMap<Shard, (ShardForm, Watch)>,
    withdrawals: BTreeSet<Shard>,
}

impl Schedule {
    pub fn new(settings: Settings) -> Schedule {
        Schedule { settings, watches: BTreeMap::new(), withdrawals: BTreeSet::new() }
    }

    /// An operator wants a split back.
    pub fn withdraw(&mut self, shard: Shard) {
        self.withdrawals.insert(shard);
    }

    /// Takes the form that was decided last, and since when this planner has seen each step.
    pub fn take(&mut self, now: Time, form: &Form) {
        self.watches.retain(|shard, _| form.shards.contains_key(shard));
        self.withdrawals.retain(|shard| form.of(*shard).step.is_some());
        for (shard, of) in &form.shards {
            let fresh = (*of, Watch { entered: now, trouble: None });
            let known = self.watches.entry(*shard).or_insert(fresh);
            if known.0 != *of {
                *known = fresh;
            }
        }
    }

    /// How long a split takes, from planned to switched, with nothing in its way.
    pub fn length(&self, world: &World, outlook: &Outlook) -> Option<Span> {
        let s = &self.settings;
        let parts = Span(self.part(world, outlook)?.0.saturating_mul(u64::from(PARTS)));
        Some(s.planned + parts + s.both_read)
    }

    /// How long a part of the copying lasts: half of the shard's keys are fetched anew, at what the origin has to spare,
    /// shared by all splits that may be active.
    fn part(&self, world: &World, outlook: &Outlook) -> Option<Span> {
        let rate = world.spare_fetches * self.settings.spare_part / self.settings.most.max(1) as f64;
        let keys = outlook.keys / 2.0 / f64::from(PARTS);
        let seconds = keys / rate;
        (rate > 0.0 && seconds < 1e9).then(|| Span::from_secs_f64(seconds).max(self.settings.part))
    }

    /// What keeps a split from going forward now.
    fn holds_back(world: &World, outlook: &Outlook) -> Option<Reason> {
        let one = |of: &BTreeSet<EndpointId>| outlook.caches.intersection(of).next().copied();
        if world.planners_few {
            return Some(Reason::PlannersFew);
        }
        let caches = one(&world.failing).map(Reason::CacheFails).or(one(&world.cold).map(Reason::CacheCold));
        let frozen = world.frozen.is_some_and(|(begins, ends)| begins == Span::ZERO && ends > Span::ZERO);
        caches.or(world.origin_slow.then_some(Reason::OriginSlow)).or(frozen.then_some(Reason::Frozen))
    }

    /// What keeps a split from becoming active.
    fn may_begin(
        &self,
        form: &Form,
        outlooks: &BTreeMap<Shard, Outlook>,
        shard: Shard,
        length: Span,
        world: &World,
    ) -> Option<Reason> {
        let own = &outlooks[&shard].caches;
        let mut active = 0;
        for (other, _) in form.shards.iter().filter(|(_, s)| s.step.is_some_and(Step::is_active)) {
            active += 1;
            // A shard whose caches are not known may have any.
            let Some(theirs) = outlooks.get(other) else { return Some(Reason::TooMany) };
            if let Some(cache) = theirs.caches.intersection(own).next() {
                return Some(Reason::CacheTaken(*cache));
            }
        }
        if active >= self.settings.most {
            return Some(Reason::TooMany);
        }
        let ends_before = world.frozen.is_none_or(|(begins, _)| length <= begins);
        (!ends_before).then_some(Reason::NoTimeBeforeFrozen)
    }

    /// Whether to start now: late enough that the forecast itself, not its edge alone, says that it is needed, unless
    /// no more time is left than a split takes; and early enough to end before the edge, or before a frozen time
    /// that it would otherwise run into.
    fn is_time(&self, world: &World, outlook: &Outlook, length: Span) -> bool {
        let Some(early) = outlook.early else { return false };
        let ahead = length.scaled(self.settings.early);
        let by = match world.frozen {
            Some((begins, ends)) if early < ends + ahead => early.min(begins),
            _ => early,
        };
        by <= length || by <= ahead && outlook.likely.is_some()
    }

    /// The next change of the form, if one is due, by the planner that leads. One whose change was not decided comes to
    /// it again.
    pub fn next(
        &mut self,
        now: Time,
        form: &Form,
        world: &World,
        outlooks: &BTreeMap<Shard, Outlook>,
    ) -> Option<Change> {
        self.take(now, form);
        if world.planners_few {
            return None;
        }
        let change = |shard: Shard, to: ShardForm, reason| {
            Some(Change { shard, from: form.of(shard), to, reason, form: form.with(shard, to) })
        };
        // Splits under way first, then those whose edge is nearest.
        let early = |shard: &Shard| outlooks.get(shard).and_then(|o| o.early).unwrap_or(Span(u64::MAX));
        let mut order: Vec<_> = form.shards.iter().collect();
        order.sort_by_key(|(shard, of)| (!of.step.is_some_and(Step::is_active), early(shard), **shard));
        for (shard, of) in order {
            if let Some((to, reason)) = self.go_on(now, form, *shard, *of, world, outlooks) {
                return change(*shard, to, reason);
            }
        }
        let mut foreseen: Vec<_> = outlooks
            .iter()
            .filter(|(s, _)| form.of(**s).step.is_none() && form.of(**s).bits < MOST_BITS)
            .filter_map(|(shard, outlook)| Some((outlook.early?, *shard)))
            .collect();
        foreseen.sort();
        let (_, shard) = *foreseen.first()?;
        change(shard, ShardForm { step: Some(Step::Foreseen), ..form.of(shard) }, Reason::OutgrowsSoon)
    }

    fn go_on(
        &mut self,
        now: Time,
        form: &Form,
        shard: Shard,
        of: ShardForm,
        world: &World,
        outlooks: &BTreeMap<Shard, Outlook>,
    ) -> Option<(ShardForm, Reason)> {
        let step = of.step?;
        let none = Outlook::default();
        let outlook = outlooks.get(&shard).unwrap_or(&none);
        let at = |step| ShardForm { step: Some(step), ..of };
        let still = ShardForm { step: None, ..of };
        if self.withdrawals.contains(&shard) && step != Step::Withdrawn {
            return Some((at(Step::Withdrawn), Reason::Operator));
        }
        let part = self.part(world, outlook);
        let length = self.length(world, outlook);
        let s = &self.settings;
        let watch = &mut self.watches.get_mut(&shard)?.1;
        let stood = now - watch.entered;
        if step == Step::Withdrawn {
            return (stood >= s.rests).then_some((still, Reason::Rested));
        }
        // A shard of which nothing is known is moved no further.
        let known = outlooks.contains_key(&shard);
        let trouble = Self::holds_back(world, outlook)
            .or((matches!(step, Step::Copying(_)) && part.is_none()).then_some(Reason::NoSpareFetches));
        let trouble = trouble.filter(|_| step.is_active());
        match (trouble, watch.trouble) {
            (None, _) => watch.trouble = None,
            (Some(reason), None) => watch.trouble = Some((now, reason)),
            (Some(_), Some(_)) => {}
        }
        if let Some((since, reason)) = watch.trouble {
            // A frozen time is no reason to move keys again. Planned, nothing was moved: it goes back to be
            // foreseen, and its caches are free for another.
            return match step {
                _ if now - since < s.patience => None,
                Step::Planned => Some((at(Step::Foreseen), reason)),
                _ if reason == Reason::Frozen => None,
                _ => Some((at(Step::Withdrawn), reason)),
            };
        }
        match step {
            Step::Foreseen if known && outlook.early.is_none() => Some((still, Reason::NoLongerForeseen)),
            Step::Foreseen => {
                let length = length?;
                let ready = known && self.is_time(world, outlook, length);
                let free = ready
                    && Self::holds_back(world, outlook).is_none()
                    && self.may_begin(form, outlooks, shard, length, world).is_none();
                free.then_some((at(Step::Planned), Reason::TimeToStart))
            }
            Step::Planned if known && outlook.early.is_none() => Some((still, Reason::NoLongerForeseen)),
            Step::Planned => {
                let in_time = world.frozen.is_none_or(|(begins, _)| length.is_some_and(|l| l <= begins));
                (known && part.is_some() && in_time && stood >= s.planned)
                    .then_some((at(Step::Copying(1)), Reason::Due))
            }
            Step::Copying(n) if known && stood >= part? => {
                Some((at(if n < PARTS { Step::Copying(n + 1) } else { Step::BothRead }), Reason::Due))
            }
            Step::BothRead if known && stood >= s.both_read => Some((at(Step::Switched), Reason::Due)),
            Step::Switched if known && stood >= s.watched => {
                Some((ShardForm { bits: of.bits + 1, step: None }, Reason::Due))
            }
            _ => None,
        }
    }

    /// Since when a split stands at its step, and what it waits for.
    pub fn waits(&self, shard: Shard) -> Option<(Time, Option<Reason>)> {
        let watch = self.watches.get(&shard)?.1;
        Some((watch.entered, watch.trouble.map(|t| t.1)))
    }

    pub fn entries(&self) -> usize {
        self.watches.len() + self.withdrawals.len()
    }
}
