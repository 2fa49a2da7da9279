//! Planners and forwarders of growth together, over a net that loses, doubles and reorders: a shard that grows is split
//! before it outgrows its room, by one chain of forms, whoever leads.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::slot_table::shard_of;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::shard_growth::agree::Vote;
use granitelb_coordination::shard_growth::form::{Form, FormVersion, ShardForm, Step};
use granitelb_coordination::shard_growth::sketch::{Counts, Day, Of, REGISTERS, SHARDS, Shard};
use granitelb_coordination::shard_growth::{
    Archive, Calendar, Fleet, ForwarderComponent, ForwarderSettings, GrowthError, GrowthMessage,
    PlannerComponent, Settings, SnapshotError, schedule,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const DAY: Span = Span::from_millis(7_200_000);
const TICK: Span = Span::from_millis(10_000);
const PLANNERS: u8 = 3;
const FORWARDERS: u64 = 4;
const GROWS: Shard = Shard(17);
/// Keys on a day, of 1,000 bytes each: 40 more each day.
const KEYS: f64 = 1000.0;
const MORE: f64 = 40.0;
const KNOWN_DAYS: u32 = 110;

fn read(key: u64) -> FinishedAttempt {
    FinishedAttempt {
        request_hash: key,
        number: 0,
        key: Key(key),
        request_class: RequestClassId(0),
        write: false,
        work: None,
        cache: EndpointId(1),
        is_origin: false,
        candidates: Vec::new(),
        outcome: AttemptOutcome::Fulfilled,
        latency: Span::from_millis(5),
        bytes: 1000,
        in_flight_at_send: 0,
        slo: Span::from_millis(500),
    }
}

struct World {
    seed: u64,
    drawn: u64,
    now: Time,
    lives: u64,
    planners: BTreeMap<PlannerId, PlannerComponent>,
    disks: BTreeMap<PlannerId, Vec<u8>>,
    forwarders: BTreeMap<ForwarderId, ForwarderComponent>,
    letters: Vec<(Sender, Member, GrowthMessage)>,
    keys: Vec<u64>,
    forms: BTreeMap<u64, Form>,
    steps: Vec<(u32, Option<Step>, u8)>,
    longest: usize,
}

fn settings() -> Settings {
    let seconds = |s: u64| Span::from_millis(s * 1000);
    let schedule = schedule::Settings {
        part: seconds(400),
        planned: seconds(400),
        both_read: seconds(400),
        watched: seconds(600),
        patience: seconds(600),
        ..schedule::Settings::default()
    };
    Settings {
        planners: (1..=PLANNERS).map(PlannerId).collect(),
        schedule,
        day: DAY,
        // About eight days after what is known.
        room: Some(1000.0 * (KEYS + MORE * f64::from(KNOWN_DAYS + 8))),
        // A letter takes up to a tick here.
        retry: Span(TICK.0 * 6),
        ..Settings::default()
    }
}

/// A list of caches, some of which have just started.
fn listed(caches: std::ops::Range<u64>, cold: std::ops::Range<u64>, now: Time) -> Observation {
    let server = |cache| ObservedEndpoint {
        cache: EndpointId(cache),
        is_origin: false,
        zone: 0,
        size: 1.0,
        started: cold.contains(&cache).then_some(now),
        warm_after: Span(u64::MAX / 2),
    };
    Observation::EndpointsChanged(caches.map(server).collect())
}

impl World {
    fn new(seed: u64) -> World {
        let days = (0..KNOWN_DAYS).map(|n| {
            let drawn = xxh3_64_with_seed(&n.to_le_bytes(), seed) % 1000;
            let keys = (KEYS + MORE * f64::from(n)) * (0.99 + 0.00002 * drawn as f64);
            (Day(20_000 + n), (keys * 1000.0) as f32, keys as f32)
        });
        let history = vec![(GROWS, days.collect())];
        let disk = Archive { votes: None, history }.to_bytes();
        let mut world = World {
            seed,
            drawn: 0,
            now: Time(1_000_000_000),
            lives: 0,
            planners: BTreeMap::new(),
            disks: (1..=PLANNERS).map(|p| (PlannerId(p), disk.clone())).collect(),
            forwarders: BTreeMap::new(),
            letters: Vec::new(),
            keys: (0..).filter(|k| Shard(shard_of(Key(*k))) == GROWS).take(7000).collect(),
            forms: BTreeMap::new(),
            steps: Vec::new(),
            longest: 0,
        };
        let fast = ForwarderSettings { round: Span(DAY.0 / 8), ..ForwarderSettings::default() };
        for n in 0..FORWARDERS {
            let id = ForwarderId(n);
            let mut forwarder = ForwarderComponent::new(fast.clone(), id, Incarnation(1), world.now);
            forwarder.seen(world.now, &listed(0..60, 0..0, world.now));
            world.forwarders.insert(id, forwarder);
        }
        (1..=PLANNERS).for_each(|p| world.start(PlannerId(p)));
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed) % below
    }

    fn start(&mut self, id: PlannerId) {
        self.lives += 1;
        let since = (self.now.0 - 1_000_000_000) / DAY.0;
        let day = Day(20_000 + KNOWN_DAYS + since as u32);
        let calendar = Calendar { at: self.now, day, into: Span((self.now.0 - 1_000_000_000) % DAY.0) };
        let kept = self.disks.get(&id).map(|k| &k[..]);
        let mut planner =
            PlannerComponent::new(settings(), id, Incarnation(self.lives), self.now, calendar, kept)
                .expect("its own disk");
        planner.fleet(Some(Fleet { spare_fetches: 100.0, ..Fleet::default() }));
        self.planners.insert(id, planner);
        self.tell_members();
    }

    fn tell_members(&mut self) {
        let planners = self.planners.keys().map(|p| Member::Planner(*p));
        let alive: Vec<_> = planners.chain(self.forwarders.keys().map(|f| Member::Forwarder(*f))).collect();
        self.planners.values_mut().for_each(|p| p.on_membership_change(self.now, &alive));
        self.forwarders.values_mut().for_each(|f| f.on_membership_change(self.now, &alive));
    }

    /// A day's calls, at its middle.
    fn calls(&mut self, day: u32) {
        let count = (KEYS + MORE * f64::from(KNOWN_DAYS + day)) as usize;
        for key in self.keys.clone().into_iter().take(count) {
            let to = ForwarderId(self.draw(FORWARDERS));
            let now = self.now;
            self.forwarders
                .get_mut(&to)
                .expect("one of them")
                .seen(now, &Observation::AttemptFinished(Box::new(read(key))));
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for (id, planner) in &mut self.planners {
            let mut number = 0;
            loop {
                if let Some(bytes) = planner.poll_snapshot() {
                    self.disks.insert(*id, bytes);
                }
                let Some((to, message)) = planner.poll_message(now) else {
                    // What is to be kept holds letters back: they come once it is.
                    if let Some(bytes) = planner.poll_snapshot() {
                        self.disks.insert(*id, bytes);
                        continue;
                    }
                    break;
                };
                let from =
                    Sender { member: Member::Planner(*id), incarnation: Incarnation(1), sequence: number };
                number += 1;
                self.letters.push((from, to, message));
            }
            let form = planner.form().clone();
            let known = self.forms.entry(form.version.0).or_insert_with(|| form.clone());
            assert_eq!(*known, form, "two forms of one version");
        }
        for (id, forwarder) in &mut self.forwarders {
            while let Some((to, message)) = forwarder.poll_message(now) {
                let from =
                    Sender { member: Member::Forwarder(*id), incarnation: Incarnation(1), sequence: 0 };
                self.letters.push((from, to, message));
            }
        }
        let mut letters = std::mem::take(&mut self.letters);
        while !letters.is_empty() {
            let at = self.draw(letters.len() as u64) as usize;
            let (from, to, message) = letters.swap_remove(at);
            self.longest = self.longest.max(postcard::to_stdvec(&message).expect("plain").len());
            // One of ten is lost and one doubled.
            for _ in 0..[0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.draw(10) as usize] {
                let heard = match to {
                    Member::Planner(id) => {
                        self.planners.get_mut(&id).map(|p| p.on_message(now, from, message.clone()))
                    }
                    Member::Forwarder(id) => {
                        self.forwarders.get_mut(&id).map(|f| f.on_message(now, from, message.clone()))
                    }
                };
                assert!(heard.is_none_or(|h| h.is_ok() || h == Err(GrowthError::OldDay)), "{heard:?}");
            }
        }
        let day = ((now.0 - 1_000_000_000) / DAY.0) as u32;
        if let Some(form) = self.forms.values().last() {
            let of = form.of(GROWS);
            if self.steps.last().is_none_or(|s| (s.1, s.2) != (of.step, of.bits)) {
                self.steps.push((day, of.step, of.bits));
            }
        }
    }

    /// Days go by; at each step that the split takes its leader may be killed, to be back half an hour later.
    fn play(&mut self, days: u32, kills: bool) {
        let ticks = DAY.0 / TICK.0;
        let mut back: Option<(u64, PlannerId)> = None;
        let mut seen = 0;
        for tick in 0..u64::from(days) * ticks {
            if tick % ticks == ticks / 2 {
                self.calls((tick / ticks) as u32);
            }
            self.tick();
            if kills && back.is_none() && self.steps.len() > seen && self.steps.len() > 1 {
                let leader = *self.planners.keys().next().expect("two live");
                self.planners.remove(&leader);
                self.tell_members();
                back = Some((tick + 30, leader));
                seen = self.steps.len();
            }
            if let Some((_, id)) = back.take_if(|b| b.0 == tick) {
                self.start(id);
            }
        }
    }
}

fn is_whole(steps: &[(u32, Option<Step>, u8)]) -> bool {
    let parts = (1..=16).map(|n| Some(Step::Copying(n)));
    let all: Vec<_> = [Some(Step::Foreseen), Some(Step::Planned)]
        .into_iter()
        .chain(parts)
        .chain([Some(Step::BothRead), Some(Step::Switched), None])
        .collect();
    let from = steps.iter().position(|s| s.1 == all[0]).unwrap_or(0);
    steps[from..].iter().map(|s| s.1).take(all.len()).eq(all)
}

#[test]
fn a_shard_that_grows_is_split_before_it_outgrows_its_room() {
    let mut world = World::new(1);
    world.play(10, false);
    assert!(is_whole(&world.steps), "{:?}", world.steps);
    let switched = world.steps.iter().find(|s| s.1 == Some(Step::Switched)).expect("it was");
    assert!(switched.0 < 8, "{switched:?}");
    let last = world.forms.values().last().expect("one").for_module();
    assert!(world.forwarders.values().all(|f| f.advice().as_ref() == Some(&last)));
    assert!(world.longest < 1100, "{}", world.longest);
    let entries: usize = world.planners.values().map(Component::entries).sum();
    assert!(entries < 3 * 20_000, "{entries}");
}

#[test]
fn when_the_leader_is_killed_at_each_step_another_goes_on_from_there() {
    let mut world = World::new(2);
    world.play(10, true);
    assert!(is_whole(&world.steps), "{:?}", world.steps);
    // At each but the first, which has no leader to lose yet, and the last.
    assert!(world.lives >= 3 + 18, "{} lives", world.lives);
}

#[test]
fn a_planner_of_three_that_is_alone_changes_nothing() {
    let mut world = World::new(3);
    world.planners.retain(|id, _| *id == PlannerId(1));
    world.tell_members();
    world.play(9, false);
    assert_eq!(world.forms.len(), 1);
    // It leads, and has no votes before all others have said where they are: it stood still without a word.
    let planner = world.planners.get_mut(&PlannerId(1)).expect("it lives");
    assert!(planner.leads());
    let said = std::iter::from_fn(|| planner.poll_event()).any(|r| r.name == "growth_waits");
    assert!(said, "nobody would know what it waits for");
}

#[test]
fn a_leader_that_lost_its_store_learns_what_shards_kept_and_gives_no_split_up() {
    let mut world = World::new(5);
    world.play(3, false);
    world.planners.remove(&PlannerId(1));
    world.disks.remove(&PlannerId(1));
    world.tell_members();
    world.tick();
    world.start(PlannerId(1));
    world.play(7, false);
    assert!(is_whole(&world.steps), "{:?}", world.steps);
    let edges = |id| world.planners[&PlannerId(id)].edges(GROWS);
    assert_eq!(edges(1), edges(2), "it has what the others have");
}

#[test]
fn one_forwarder_that_lies_of_caches_changes_nothing_and_two_that_know_of_a_cold_one_hold_back() {
    let mut world = World::new(6);
    let lies = listed(0..400, 0..400, world.now);
    world.forwarders.get_mut(&ForwarderId(0)).expect("it lives").seen(world.now, &lies);
    world.play(8, false);
    assert!(is_whole(&world.steps), "{:?}", world.steps);

    let mut world = World::new(6);
    for id in [0, 3] {
        let cold = listed(0..60, 0..60, world.now);
        world.forwarders.get_mut(&ForwarderId(id)).expect("it lives").seen(world.now, &cold);
    }
    world.play(8, false);
    let active = |f: &Form| f.of(GROWS).step.is_some_and(Step::is_active);
    assert!(!world.forms.values().any(active), "{:?}", world.steps);
}

#[test]
fn what_is_kept_is_read_whole_or_refused() {
    let bytes = Archive { votes: None, history: vec![(GROWS, vec![(Day(1), 2.0, 3.0)])] }.to_bytes();
    assert_eq!(Archive::of_bytes(&bytes).expect("its own").to_bytes(), bytes);
    for cut in 0..bytes.len() {
        assert!(Archive::of_bytes(&bytes[..cut]).is_err());
        let mut changed = bytes.clone();
        changed[cut] ^= 1;
        assert!(Archive::of_bytes(&changed).is_err());
    }
    let mut newer = bytes[..bytes.len() - 8].to_vec();
    newer[0] = 9;
    newer.extend(xxhash_rust::xxh3::xxh3_64(&newer).to_be_bytes());
    let fault = Archive::of_bytes(&newer).expect_err("another version");
    assert_eq!(fault, SnapshotError::OtherVersion(9));
    assert!(!fault.remediation().is_empty());
}

#[test]
fn what_no_member_would_say_is_refused_and_the_largest_form_goes_into_a_letter() {
    let mut world = World::new(4);
    let now = world.now;
    let from = |member| Sender { member, incarnation: Incarnation(1), sequence: 1 };
    let forwarder = from(Member::Forwarder(ForwarderId(1)));
    let (day, shard) = (Day(20_000 + KNOWN_DAYS), GROWS);
    let planner = world.planners.get_mut(&PlannerId(1)).expect("it lives");
    let mut said = |from, message| planner.on_message(now, from, message);
    let registers = |r| GrowthMessage::Sketch { day, shard, of: Of::Read, registers: r };
    assert_eq!(said(forwarder, registers(vec![(REGISTERS as u16, 1)])), Err(GrowthError::Nonsense));
    assert_eq!(said(forwarder, registers(vec![(1, 1); 1000])), Err(GrowthError::Nonsense));
    let counts = Counts { bytes: u64::MAX, ..Counts::default() };
    assert_eq!(
        said(forwarder, GrowthMessage::Counted { day, counts: vec![(shard, counts)] }),
        Err(GrowthError::Nonsense)
    );
    let old = GrowthMessage::Counted { day: Day(7), counts: vec![(shard, Counts::default())] };
    assert_eq!(said(forwarder, old), Err(GrowthError::OldDay));
    let never = GrowthMessage::Counted { day: Day(u32::MAX), counts: vec![(shard, Counts::default())] };
    assert_eq!(said(forwarder, never), Err(GrowthError::OldDay));
    for (version, bits) in [(1, 255), (u64::MAX, 0)] {
        let split = ShardForm { bits, step: Some(Step::Switched) };
        let form = Form { version: FormVersion(version), shards: BTreeMap::from([(shard, split)]) };
        let decided = GrowthMessage::Vote(Vote::Decided { form: form.clone() });
        assert_eq!(said(from(Member::Planner(PlannerId(2))), decided), Err(GrowthError::Nonsense));
        let table = GrowthMessage::Table { form };
        let held = world.forwarders.get_mut(&ForwarderId(1)).expect("it lives");
        assert_eq!(
            held.on_message(now, from(Member::Planner(PlannerId(2))), table),
            Err(GrowthError::Nonsense)
        );
    }
    assert_eq!(said(forwarder, GrowthMessage::Today { day }), Err(GrowthError::Stranger));
    assert_eq!(
        said(from(Member::Planner(PlannerId(9))), GrowthMessage::Today { day }),
        Err(GrowthError::Stranger)
    );
    let mut form = Form::default();
    for shard in 0..SHARDS as u32 {
        let split = ShardForm { bits: 2, step: Some(Step::Switched) };
        form = form.with(Shard(shard as u8), split);
    }
    let bytes = postcard::to_stdvec(&GrowthMessage::Table { form }).expect("plain").len();
    assert!(bytes < 1100, "{bytes}");
    let names: BTreeSet<_> =
        [GrowthError::Stranger, GrowthError::Nonsense, GrowthError::OldDay, GrowthError::Full]
            .map(|f| f.remediation())
            .into();
    assert_eq!(names.len(), 4);
}

/// One shard a look: a host that looked in 40 times a round said a sixth of its shards, and days ended without the others.
#[test]
fn a_host_that_looks_in_seldom_has_said_all_shards_when_a_round_is_over() {
    let settings = ForwarderSettings { round: Span::from_millis(1000), ..ForwarderSettings::default() };
    let mut now = Time(1_000_000);
    let mut forwarder = ForwarderComponent::new(settings, ForwarderId(1), Incarnation(1), now);
    let planner = Member::Planner(PlannerId(1));
    forwarder.on_membership_change(now, &[planner]);
    let from = Sender { member: planner, incarnation: Incarnation(1), sequence: 1 };
    forwarder.on_message(now, from, GrowthMessage::Today { day: Day(7) }).expect("its calendar");
    for key in 0..5000 {
        forwarder.seen(now, &Observation::AttemptFinished(Box::new(read(key))));
    }
    let mut said = BTreeSet::new();
    for _ in 0..41 {
        while let Some((_, message)) = forwarder.poll_message(now) {
            if let GrowthMessage::Counted { counts, .. } = message {
                said.extend(counts.into_iter().map(|(shard, _)| shard));
            }
        }
        now = now + Span::from_millis(25);
    }
    assert_eq!(said.len(), SHARDS);
}

fn fetch(key: u64, ms: u64) -> Observation {
    let (latency, slo) = (Span::from_millis(ms), Span::from_millis(400));
    Observation::AttemptFinished(Box::new(FinishedAttempt { is_origin: true, latency, slo, ..read(key) }))
}

/// Leases see what the origin is asked, not what it takes: a split went on at a twentieth of the origin's speed.
#[test]
fn a_split_waits_while_two_forwarders_see_slow_fetches_and_not_for_one() {
    for (witnesses, waits) in [(1, false), (2, true)] {
        let mut world = World::new(9);
        let ticks = DAY.0 / TICK.0;
        for tick in 0.. {
            if tick % ticks == ticks / 2 {
                world.calls((tick / ticks) as u32);
            }
            world.tick();
            if world.steps.last().is_some_and(|s| s.1 == Some(Step::Copying(2))) {
                break;
            }
            assert!(tick < 60 * ticks, "{:?}", world.steps);
        }
        // Fetches of late, again and again: the split is at this step still, or has gone on.
        let stood = world.steps.len();
        for n in 0..600 {
            for forwarder in 0..FORWARDERS {
                let ms = if forwarder < witnesses { 300 } else { 20 };
                let now = world.now;
                let side = world.forwarders.get_mut(&ForwarderId(forwarder)).expect("it lives");
                (0..5).for_each(|k| side.seen(now, &fetch(n * 5 + k, ms)));
            }
            world.tick();
        }
        let on = world.steps[stood..].iter().any(|s| matches!(s.1, Some(Step::Copying(n)) if n > 4));
        assert_eq!(!on, waits, "{:?}", world.steps);
    }
}
