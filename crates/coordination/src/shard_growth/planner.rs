//! The planner's side: merges what forwarders saw, ends days, looks ahead one shard at a time, and, while it leads,
//! proposes the schedule's next change; it tells forwarders the form that was decided.
//!
//! All letters wait until what they rest on is kept (`to_keep`), as `agree` needs it. Who leads is the planner of the
//! lowest number that this one holds to be alive; that two do for a while costs time, and no form.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::slot_table::caches_of;
use granitelb_balancer::time::{Span, Time};

use super::agree::{Agree, Vote};
use super::book;
use super::form::{Form, FormVersion, MOST_BITS, Step};
use super::history::{Edges, History};
use super::listing::{Believed, Listings};
use super::message::{
    Archive, Calendar, GrowthError, GrowthMessage, MOST_ENDED, MOST_REGISTERS, SnapshotError,
};
use super::origin;
use super::schedule::{self, Outlook, Schedule, World};
use super::sketch::{Day, MAX_INCARNATIONS, REGISTERS, Shard};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};

#[derive(Clone, Debug)]
pub struct Settings {
    /// All that are configured, this one too.
    pub planners: BTreeSet<PlannerId>,
    pub schedule: schedule::Settings,
    /// How long a day of the book is; other than a day's for trials only.
    pub day: Span,
    /// After midnight a day is still counted for this part of one: forwarders say it to its end.
    pub ends_after: f64,
    /// Bytes that the caches hold of a shard as long as it is whole; each split doubles it. None splits nothing.
    pub room: Option<f64>,
    /// Days of the month in which nothing moves; negative ones count from its end, the last one being -1.
    pub frozen: BTreeSet<i8>,
    pub beat: Span,
    /// A proposal that is not decided is made anew after this: longer than two ways there and back.
    pub retry: Span,
    /// What forwarders say of caches counts for so long.
    pub listed: Span,
    /// That the origin is slow counts for so long: four of the beats by which forwarders say it, since letters
    /// are lost.
    pub slow: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            planners: BTreeSet::from([PlannerId(1)]),
            schedule: schedule::Settings::default(),
            day: Span::from_millis(86_400_000),
            ends_after: 0.125,
            room: None,
            frozen: BTreeSet::new(),
            beat: Span::from_millis(5000),
            retry: Span::from_millis(2000),
            listed: Span::from_millis(75_000),
            slow: Span::from_millis(45_000),
        }
    }
}

/// What the host knows of the fleet beside growth's own signals: from verdicts and leases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    pub failing: BTreeSet<EndpointId>,
    pub origin_slow: bool,
    /// Fetches a second that the origin could do beyond what is asked of it.
    pub spare_fetches: f64,
}

const MOST_OUT: usize = 1024;
/// What a split waits for is said so often.
const BLIND: Span = Span::from_millis(600_000);

#[derive(Debug)]
pub struct PlannerComponent {
    settings: Settings,
    me: PlannerId,
    calendar: Calendar,
    history: History,
    agree: Agree,
    schedule: Schedule,
    fleet: Option<Fleet>,
    listings: Listings,
    believed: Believed,
    slow: origin::Said,
    live: BTreeSet<ForwarderId>,
    alive: BTreeSet<PlannerId>,
    /// Which form each forwarder holds, and whether it was told since it said so.
    forwarders: BTreeMap<ForwarderId, (FormVersion, bool)>,
    /// When shards outgrow their room, and which shard is looked at next.
    edges: BTreeMap<Shard, Edges>,
    looked: VecDeque<Shard>,
    /// The caches of each shard by its bits, as long as the list is the same.
    caches: BTreeMap<(Shard, u8), BTreeSet<EndpointId>>,
    ended: Day,
    /// Up to where days were told to other planners.
    days_told: Option<(Shard, usize)>,
    beat_due: Time,
    propose_due: Time,
    /// Since when it has led without what it takes to decide, or when that was said last.
    blind: Option<Time>,
    proposed: Option<Form>,
    history_unkept: bool,
    /// The form that remarks were made of last.
    told: Form,
    /// The last form by which keys stood elsewhere than before it, that this life has seen decided.
    moved: FormVersion,
    out: VecDeque<(Member, GrowthMessage)>,
    remarks: VecDeque<Event>,
}

impl PlannerComponent {
    /// # Errors
    /// What was kept can't be read: it is to be put aside, never overwritten.
    pub fn new(
        settings: Settings,
        me: PlannerId,
        incarnation: Incarnation,
        now: Time,
        calendar: Calendar,
        kept: Option<&[u8]>,
    ) -> Result<PlannerComponent, SnapshotError> {
        let archive = kept.map(Archive::of_bytes).transpose()?.unwrap_or_default();
        let agree = Agree::new(me, incarnation, settings.planners.clone(), archive.votes);
        let history = History::of(archive.history);
        let today = calendar.day_of(settings.day, now).0;
        Ok(PlannerComponent {
            schedule: Schedule::new(settings.schedule.clone()),
            looked: history.shards().collect(),
            told: agree.decided().clone(),
            agree,
            history,
            fleet: None,
            listings: Listings::default(),
            believed: Believed::default(),
            slow: origin::Said::default(),
            live: BTreeSet::new(),
            alive: BTreeSet::from([me]),
            forwarders: BTreeMap::new(),
            edges: BTreeMap::new(),
            caches: BTreeMap::new(),
            ended: Day(today.0.saturating_sub(2)),
            days_told: None,
            beat_due: now,
            propose_due: now,
            blind: None,
            proposed: None,
            history_unkept: false,
            moved: FormVersion(0),
            out: VecDeque::new(),
            remarks: VecDeque::new(),
            settings,
            me,
            calendar,
        })
    }

    /// What the host knows now; none of it is kept. As long as it knows nothing no split goes on, or back.
    pub fn fleet(&mut self, fleet: Option<Fleet>) {
        self.fleet = fleet;
    }

    /// An operator wants a split back. It works at the planner that leads.
    pub fn withdraw(&mut self, shard: Shard) {
        self.schedule.withdraw(shard);
    }

    pub fn form(&self) -> &Form {
        self.agree.decided()
    }

    /// The version by which a table was new last: a split began or ended to move keys, or took them back. The parts in between
    /// move so few of all keys that what was seen before them still tells of the rest.
    pub fn new_table(&self) -> FormVersion {
        self.moved
    }

    pub fn leads(&self) -> bool {
        self.alive.first() == Some(&self.me)
    }

    /// When a shard outgrows its room, as known now.
    pub fn edges(&self, shard: Shard) -> Edges {
        self.edges.get(&shard).copied().unwrap_or_default()
    }

    fn advance(&mut self, now: Time) {
        let (today, into) = self.calendar.day_of(self.settings.day, now);
        let ends = Day(today.0.saturating_sub(1));
        if ends > self.ended && into >= self.settings.ends_after {
            self.ended = ends;
            self.history_unkept |= self.history.end(ends);
            self.looked = self.history.shards().collect();
        }
        if now >= self.beat_due {
            self.beat_due = now + self.settings.beat;
            let others: Vec<_> = self.alive.iter().copied().filter(|p| *p != self.me).collect();
            others.into_iter().for_each(|other| self.agree.remind(other));
            let forwarders: Vec<_> = self.forwarders.keys().copied().collect();
            for forwarder in forwarders {
                self.say(Member::Forwarder(forwarder), GrowthMessage::Today { day: today });
            }
            self.tell_days();
            self.listings.sweep(now, self.settings.listed, |from| self.live.contains(from));
            self.believe();
        }
        if let (Some(shard), Some(room)) = (self.looked.pop_front(), self.settings.room) {
            let room = room * f64::from(1u32 << self.form().of(shard).bits.min(MOST_BITS));
            self.edges.insert(shard, self.history.edges(shard, room));
        }
        self.lead(now, today, into);
        self.tell_forms();
        self.note_changes();
    }

    fn lead(&mut self, now: Time, today: Day, into: f64) {
        let ready = self.leads() && self.agree.votes() && now >= self.propose_due;
        if !ready || self.settings.room.is_none() {
            // Standing still without a word, it looked like a split that nobody goes on with.
            if self.leads() && !self.agree.votes() && self.settings.room.is_some() {
                self.is_blind(now);
            }
            return;
        }
        // With no caches known none could be seen to be taken.
        let listed = !self.believed.sizes.is_empty();
        let Some(fleet) = self.fleet.as_ref().filter(|_| listed) else { return self.is_blind(now) };
        self.blind = None;
        let world = World {
            failing: fleet.failing.clone(),
            cold: self.believed.cold.clone(),
            origin_slow: fleet.origin_slow || self.slow.is_slow(now, self.settings.slow, &self.live),
            planners_few: self.alive.len() <= self.settings.planners.len() / 2,
            spare_fetches: fleet.spare_fetches,
            frozen: book::frozen(&self.settings.frozen, today, into, self.settings.day),
        };
        let at = f64::from(today.0) + into;
        let wanted: Vec<_> = self
            .edges
            .iter()
            .filter(|(shard, e)| e.early.is_some() || self.may_go_on(**shard, e))
            .map(|(shard, edges)| (*shard, *edges))
            .collect();
        let mut outlooks = BTreeMap::new();
        for (shard, edges) in wanted {
            // An edge is of the last day's end.
            let left = |edge: f64| self.settings.day.scaled((edge + 1.0 - at).max(0.0));
            outlooks.insert(
                shard,
                Outlook {
                    early: edges.early.map(left),
                    likely: edges.likely.map(left),
                    keys: self.history.keys(shard),
                    caches: self.caches_of(shard),
                },
            );
        }
        let form = self.agree.decided().clone();
        // What it looks at may have changed with the last decision; the same change is proposed anew until decided.
        if let Some(change) = self.schedule.next(now, &form, &world, &outlooks) {
            if self.proposed.replace(change.form.clone()).is_none_or(|last| last != change.form) {
                let (from, to) = (change.from, change.to);
                let text =
                    format!("shard {}: {from} to {to} is proposed, {:?}", change.shard.0, change.reason);
                self.remark("growth_proposed", text, change.to.step == Some(Step::Withdrawn));
            }
            // Two that both take themselves to lead try again at unlike times.
            let retry = self.settings.retry.scaled(1.0 + 0.3 * f64::from(self.me.0));
            self.propose_due = now + retry;
            self.agree.propose(change.form);
        }
    }

    /// Whether enough is known of a shard that has a split to decide on it. One that has no forecast yet, since its history was
    /// lost, is no reason to give up a split that was foreseen.
    fn may_go_on(&self, shard: Shard, edges: &Edges) -> bool {
        let step = self.form().of(shard).step;
        let needs_forecast = matches!(step, Some(Step::Foreseen | Step::Planned));
        self.form().shards.contains_key(&shard) && !(needs_forecast && edges.not_yet.is_some())
    }

    /// Days that have ended, a part at a time, to planners that may lack them.
    fn tell_days(&mut self) {
        self.days_told = self.history.part(self.days_told, MOST_ENDED).map(|(place, days)| {
            let others: Vec<_> = self.alive.iter().copied().filter(|p| *p != self.me).collect();
            for other in others {
                let message = GrowthMessage::Ended { shard: place.0, days: days.clone() };
                self.say(Member::Planner(other), message);
            }
            place
        });
    }

    fn believe(&mut self) {
        let believed = self.listings.believed(self.live.len());
        if believed.sizes != self.believed.sizes {
            self.caches.clear();
        }
        self.believed = believed;
    }

    /// It leads and can't decide; once in a while that is said.
    fn is_blind(&mut self, now: Time) {
        let has_work = !self.form().shards.is_empty() || self.edges.values().any(|e| e.early.is_some());
        if now - *self.blind.get_or_insert(now) >= BLIND && has_work {
            self.blind = Some(now);
            let lacks = match (&self.fleet, self.believed.sizes.is_empty()) {
                _ if !self.agree.votes() => "what a planner that is silent has voted for",
                (None, _) => "what fails, or what the origin has to spare",
                (Some(_), true) => "the list of caches",
                (Some(_), false) => return,
            };
            self.remark("growth_waits", format!("splits wait: {lacks} is not known"), true);
        }
    }

    fn caches_of(&mut self, shard: Shard) -> BTreeSet<EndpointId> {
        let bits = (self.form().of(shard).bits + 1).min(MOST_BITS);
        let caches = &self.believed.sizes;
        self.caches.entry((shard, bits)).or_insert_with(|| caches_of(shard.0, bits, caches)).clone()
    }

    fn tell_forms(&mut self) {
        let version = self.form().version;
        let behind: Vec<_> =
            self.forwarders.iter().filter(|(_, (v, told))| *v < version && !told).map(|(f, _)| *f).collect();
        for forwarder in behind {
            if self.out.len() >= MOST_OUT {
                break;
            }
            let form = self.form().clone();
            self.out.push_back((Member::Forwarder(forwarder), GrowthMessage::Table { form }));
            self.forwarders.entry(forwarder).and_modify(|f| f.1 = true);
        }
    }

    /// A line for each shard that a decision changed.
    fn note_changes(&mut self) {
        if self.agree.decided().version == self.told.version {
            return;
        }
        let now = self.agree.decided().clone();
        let shards: BTreeSet<Shard> = now.shards.keys().chain(self.told.shards.keys()).copied().collect();
        for shard in shards {
            let (from, to) = (self.told.of(shard), now.of(shard));
            if from != to {
                if to.makes_new_table(from) {
                    self.moved = now.version;
                }
                let parts = 1u32 << to.bits.min(MOST_BITS);
                let text = format!("form {}: shard {} in {parts}, {to}", now.version.0, shard.0);
                self.remark("growth_decided", text, to.step == Some(Step::Withdrawn));
                if from.bits != to.bits {
                    self.edges.remove(&shard);
                    self.looked.push_back(shard);
                }
            }
        }
        // Letters that told of the form before need not have come: all that hold an older one are told this one.
        self.forwarders.values_mut().for_each(|f| f.1 = false);
        self.told = now;
    }

    fn remark(&mut self, event: &'static str, text: String, warns: bool) {
        if self.remarks.len() < 64 {
            self.remarks.push_back(Event { name: event, message: text, is_warning: warns });
        }
    }

    fn say(&mut self, to: Member, message: GrowthMessage) {
        if self.out.len() < MOST_OUT {
            self.out.push_back((to, message));
        }
    }

    fn forwarder_said(
        &mut self,
        now: Time,
        (forwarder, incarnation): (ForwarderId, Incarnation),
        message: GrowthMessage,
    ) -> Result<(), GrowthError> {
        let today = self.calendar.day_of(self.settings.day, now).0;
        match message {
            GrowthMessage::Sketch { day, shard, of, registers } => {
                let sound = |r: &(u16, u8)| (r.0 as usize) < REGISTERS && r.1 <= 64;
                if registers.len() > MOST_REGISTERS || !registers.iter().all(sound) {
                    return Err(GrowthError::Nonsense);
                }
                let sketch = self.history.open(today, day, shard)?.sketch(of);
                registers.iter().for_each(|(register, to)| _ = sketch.raise(*register, *to));
                Ok(())
            }
            GrowthMessage::Counted { day, counts } => {
                let sound = |c: &super::sketch::Counts| {
                    c.bytes <= c.sized.saturating_mul(1 << 32) && c.sized < 1 << 40
                };
                if !counts.iter().all(|(_, c)| sound(c)) {
                    return Err(GrowthError::Nonsense);
                }
                for (shard, counts) in counts {
                    self.history.count(today, day, shard, (forwarder, incarnation), &counts)?;
                }
                Ok(())
            }
            GrowthMessage::Holds { version } => {
                if self.forwarders.len() >= MAX_INCARNATIONS && !self.forwarders.contains_key(&forwarder) {
                    return Err(GrowthError::Full);
                }
                self.forwarders.insert(forwarder, (version, false));
                Ok(())
            }
            GrowthMessage::OriginSlow => {
                self.slow.on_message(now, forwarder, &self.live);
                Ok(())
            }
            GrowthMessage::Caches { listed } => {
                let heard = self.listings.on_message(now, forwarder, &listed);
                // At once only where a split may be one step from a cache that has become cold.
                if self.form().shards.values().any(|s| s.step.is_some()) || self.believed.sizes.is_empty() {
                    self.believe();
                }
                heard
            }
            _ => Err(GrowthError::Stranger),
        }
    }

    /// Days that another planner knows.
    fn filled(&mut self, shard: Shard, days: &super::history::Days) -> Result<(), GrowthError> {
        let sound = |d: &(Day, f32, f32)| d.1.is_finite() && d.1 >= 0.0 && d.2.is_finite() && d.2 >= 0.0;
        if days.len() > MOST_ENDED || !days.iter().all(sound) {
            return Err(GrowthError::Nonsense);
        }
        if self.history.fill(shard, days, self.ended) {
            self.history_unkept = true;
            if !self.looked.contains(&shard) {
                self.looked.push_back(shard);
            }
        }
        Ok(())
    }
}

impl Component for PlannerComponent {
    type Message = GrowthMessage;
    type Error = GrowthError;

    fn on_message(&mut self, now: Time, from: Sender, message: GrowthMessage) -> Result<(), GrowthError> {
        match (from.member, message) {
            (Member::Planner(planner), GrowthMessage::Vote(vote)) => {
                let stranger = !self.settings.planners.contains(&planner) || planner == self.me;
                if stranger {
                    return Err(GrowthError::Stranger);
                }
                let undecided = self.agree.decided().version;
                let sound = self.agree.on_message(planner, vote);
                if self.agree.decided().version > undecided {
                    self.propose_due = now;
                }
                sound.then_some(()).ok_or(GrowthError::Nonsense)
            }
            (Member::Planner(planner), GrowthMessage::Ended { shard, days }) => {
                if !self.settings.planners.contains(&planner) {
                    return Err(GrowthError::Stranger);
                }
                self.filled(shard, &days)
            }
            (Member::Forwarder(forwarder), message) => {
                self.forwarder_said(now, (forwarder, from.incarnation), message)
            }
            (Member::Planner(_), _) => Err(GrowthError::Stranger),
        }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|m| match m {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        self.alive = planners.filter(|p| self.settings.planners.contains(p)).chain([self.me]).collect();
        self.live = alive
            .iter()
            .filter_map(|m| match m {
                Member::Forwarder(id) => Some(*id),
                Member::Planner(_) => None,
            })
            .collect();
        let live = &self.live;
        self.forwarders.retain(|id, _| live.contains(id));
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, GrowthMessage)> {
        self.advance(now);
        if self.history_unkept || self.agree.is_unkept() {
            return None;
        }
        let vote = |(to, vote): (PlannerId, Vote)| (Member::Planner(to), GrowthMessage::Vote(vote));
        self.agree.poll_message().map(vote).or_else(|| self.out.pop_front())
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let busy = !self.out.is_empty() || !self.looked.is_empty();
        Some(if busy { now } else { self.beat_due.max(now) })
    }

    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        let votes = self.agree.poll_snapshot().is_some();
        let history = std::mem::take(&mut self.history_unkept);
        (votes || history).then(|| {
            // One that has not recovered keeps its history alone.
            let votes = self.agree.votes().then(|| self.agree.kept().clone());
            Archive { votes, history: self.history.days() }.to_bytes()
        })
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        let own = self.forwarders.len() + self.edges.len() + self.looked.len() + self.caches.len();
        let waiting = self.out.len() + self.remarks.len() + self.live.len();
        own + self.listings.entries()
            + self.slow.entries()
            + self.believed.sizes.len()
            + waiting
            + self.history.entries()
            + self.agree.entries()
            + self.schedule.entries()
    }
}
