//! Planners and forwarders of shard growth together, over a network that loses, duplicates and reorders messages: a
//! growing shard is split before it outgrows its capacity, by one chain of shard maps, whichever planner leads.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::slot_table::shard_of;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::ConsensusMessage;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_day::{ShardCounters, SketchKind};
use granitelb_coordination::shard_growth::shard_map::{
    SHARD_COUNT, ShardId, ShardLayout, ShardMapVersion, SplitPhase, VersionedShardMap,
};
use granitelb_coordination::shard_growth::sketch::REGISTER_COUNT;
use granitelb_coordination::shard_growth::{
    Calendar, FleetStatus, ForwarderComponent, ForwarderSettings, GrowthError, GrowthMessage,
    PlannerComponent, PlannerSettings, Snapshot, SnapshotError, split_schedule,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const DAY: Span = Span::from_millis(7_200_000);
const TICK: Span = Span::from_millis(10_000);
const TICKS_PER_DAY: u64 = DAY.0 / TICK.0;
const START: Time = Time(1_000_000_000);
const FIRST_DAY: u32 = 20_000;
const KNOWN_DAYS: u32 = 110;
const PLANNERS: u8 = 3;
const FORWARDERS: u64 = 4;
const GROWING_SHARD: ShardId = ShardId(17);
/// The keys on the first day, of 1,000 bytes each, and how many more there are each day.
const INITIAL_KEYS: f64 = 1000.0;
const KEYS_PER_DAY: f64 = 40.0;
const VALUE_BYTES: f64 = 1000.0;
/// A planner that was killed is back after this many ticks.
const RESTART_TICKS: u64 = 30;
/// A message has to leave room for its envelope in a datagram.
const MAX_MESSAGE_BYTES: usize = 1100;

fn keys_on_day(day: u32) -> f64 {
    INITIAL_KEYS + KEYS_PER_DAY * f64::from(day)
}

fn fulfilled_read(key: u64) -> FinishedAttempt {
    FinishedAttempt {
        call: key,
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
        out_then: 0,
        slo: Span::from_millis(500),
    }
}

fn observed_read(key: u64) -> Observation {
    Observation::AttemptFinished(Box::new(fulfilled_read(key)))
}

fn observed_fetch(key: u64, latency_millis: u64) -> Observation {
    let latency = Span::from_millis(latency_millis);
    let slo = Span::from_millis(400);
    let fetch = FinishedAttempt { is_origin: true, latency, slo, ..fulfilled_read(key) };
    Observation::AttemptFinished(Box::new(fetch))
}

/// An endpoint list, some of whose endpoints have just started.
fn observed_endpoints(endpoints: Range<u64>, warming_up: Range<u64>, now: Time) -> Observation {
    let endpoint = |id| ObservedEndpoint {
        cache: EndpointId(id),
        is_origin: false,
        zone: 0,
        size: 1.0,
        started: warming_up.contains(&id).then_some(now),
        warm_after: Span(u64::MAX / 2),
    };
    Observation::EndpointsChanged(endpoints.map(endpoint).collect())
}

fn planner_settings() -> PlannerSettings {
    let seconds = |seconds: u64| Span::from_millis(seconds * 1000);
    let schedule = split_schedule::Settings {
        copy_step_duration: seconds(400),
        planned_duration: seconds(400),
        dual_read_duration: seconds(400),
        switched_duration: seconds(600),
        fault_patience: seconds(600),
        ..split_schedule::Settings::default()
    };
    PlannerSettings {
        planners: (1..=PLANNERS).map(PlannerId).collect(),
        schedule,
        day_length: DAY,
        // Reached about eight days after those that are known.
        shard_capacity_bytes: Some(VALUE_BYTES * keys_on_day(KNOWN_DAYS + 8)),
        // A message takes up to a tick here.
        proposal_retry_interval: Span(TICK.0 * 6),
        ..PlannerSettings::default()
    }
}

/// The history that all planners have at the start, with noise.
fn known_history(seed: u64) -> Vec<ClosedDay> {
    let closed_day = |day: u32| {
        let drawn = xxh3_64_with_seed(&day.to_le_bytes(), seed) % 1000;
        let keys = keys_on_day(day) * (0.99 + 0.00002 * drawn as f64);
        ClosedDay {
            day: AccountingDay(FIRST_DAY + day),
            bytes: (keys * VALUE_BYTES) as f32,
            keys: keys as f32,
        }
    };
    (0..KNOWN_DAYS).map(closed_day).collect()
}

/// A layout of the growing shard, and the day on which it was decided.
#[derive(Clone, Copy, Debug)]
struct DecidedLayout {
    day: u32,
    layout: ShardLayout,
}

struct Envelope {
    from: Sender,
    to: Member,
    message: GrowthMessage,
}

struct Simulation {
    seed: u64,
    draws: u64,
    now: Time,
    last_incarnation: u64,
    planners: BTreeMap<PlannerId, PlannerComponent>,
    disks: BTreeMap<PlannerId, Vec<u8>>,
    forwarders: BTreeMap<ForwarderId, ForwarderComponent>,
    in_flight: Vec<Envelope>,
    /// Keys of the growing shard.
    keys: Vec<u64>,
    shard_maps: BTreeMap<u64, VersionedShardMap>,
    layouts: Vec<DecidedLayout>,
    longest_message: usize,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let history = vec![(GROWING_SHARD, known_history(seed))];
        let disk = Snapshot { consensus: None, history }.to_bytes();
        let mut simulation = Simulation {
            seed,
            draws: 0,
            now: START,
            last_incarnation: 0,
            planners: BTreeMap::new(),
            disks: (1..=PLANNERS).map(|id| (PlannerId(id), disk.clone())).collect(),
            forwarders: BTreeMap::new(),
            in_flight: Vec::new(),
            keys: (0..).filter(|key| ShardId(shard_of(Key(*key))) == GROWING_SHARD).take(7000).collect(),
            shard_maps: BTreeMap::new(),
            layouts: Vec::new(),
            longest_message: 0,
        };
        simulation.start_forwarders();
        for id in 1..=PLANNERS {
            simulation.start_planner(PlannerId(id));
        }
        simulation
    }

    fn start_forwarders(&mut self) {
        let settings = ForwarderSettings { report_round: Span(DAY.0 / 8), ..ForwarderSettings::default() };
        for id in (0..FORWARDERS).map(ForwarderId) {
            let mut forwarder = ForwarderComponent::new(settings.clone(), id, Incarnation(1), self.now);
            forwarder.seen(self.now, &observed_endpoints(0..60, 0..0, self.now));
            self.forwarders.insert(id, forwarder);
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) % below
    }

    fn calendar(&self) -> Calendar {
        let since_start = self.now.0 - START.0;
        let days = (since_start / DAY.0) as u32;
        Calendar {
            at: self.now,
            day: AccountingDay(FIRST_DAY + KNOWN_DAYS + days),
            into: Span(since_start % DAY.0),
        }
    }

    fn start_planner(&mut self, id: PlannerId) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let disk = self.disks.get(&id).map(|bytes| &bytes[..]);
        let calendar = self.calendar();
        let mut planner =
            PlannerComponent::new(planner_settings(), id, incarnation, self.now, calendar, disk)
                .expect("it reads its own disk");
        let status = FleetStatus { spare_fetches_per_second: 100.0, ..FleetStatus::default() };
        planner.set_fleet_status(Some(status));
        self.planners.insert(id, planner);
        self.announce_members();
    }

    fn stop_planner(&mut self, id: PlannerId) {
        self.planners.remove(&id);
        self.announce_members();
    }

    fn announce_members(&mut self) {
        let planners = self.planners.keys().map(|id| Member::Planner(*id));
        let forwarders = self.forwarders.keys().map(|id| Member::Forwarder(*id));
        let alive: Vec<_> = planners.chain(forwarders).collect();
        for planner in self.planners.values_mut() {
            planner.on_membership_change(self.now, &alive);
        }
        for forwarder in self.forwarders.values_mut() {
            forwarder.on_membership_change(self.now, &alive);
        }
    }

    fn planner(&mut self, id: u8) -> &mut PlannerComponent {
        self.planners.get_mut(&PlannerId(id)).expect("the planner is live")
    }

    fn forwarder(&mut self, id: u64) -> &mut ForwarderComponent {
        self.forwarders.get_mut(&ForwarderId(id)).expect("the forwarder is live")
    }

    /// Reads all keys of a day, each at one forwarder.
    fn read_keys(&mut self, day: u32) {
        let count = keys_on_day(KNOWN_DAYS + day) as usize;
        let now = self.now;
        for key in self.keys.clone().into_iter().take(count) {
            let forwarder = self.draw(FORWARDERS);
            self.forwarder(forwarder).seen(now, &observed_read(key));
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.poll_planners();
        self.poll_forwarders();
        self.deliver_messages();
        self.record_layout();
    }

    fn poll_planners(&mut self) {
        for (id, planner) in &mut self.planners {
            poll_planner(self.now, *id, planner, &mut self.disks, &mut self.in_flight);
            let shard_map = planner.shard_map().clone();
            let known = self.shard_maps.entry(shard_map.version.0).or_insert_with(|| shard_map.clone());
            assert_eq!(*known, shard_map, "two shard maps of one version");
        }
    }

    fn poll_forwarders(&mut self) {
        for (id, forwarder) in &mut self.forwarders {
            while let Some((to, message)) = forwarder.poll_message(self.now) {
                let from = Sender { member: Member::Forwarder(*id), incarnation: Incarnation(1), number: 0 };
                self.in_flight.push(Envelope { from, to, message });
            }
        }
    }

    /// Delivers all messages in random order; one of ten is lost and one duplicated.
    fn deliver_messages(&mut self) {
        let mut messages = std::mem::take(&mut self.in_flight);
        while !messages.is_empty() {
            let position = self.draw(messages.len() as u64) as usize;
            let envelope = messages.swap_remove(position);
            let length = postcard::to_stdvec(&envelope.message).expect("messages can be encoded").len();
            self.longest_message = self.longest_message.max(length);
            let copies = match self.draw(10) {
                0 => 0,
                9 => 2,
                _ => 1,
            };
            for _ in 0..copies {
                self.deliver(&envelope);
            }
        }
    }

    fn deliver(&mut self, envelope: &Envelope) {
        let Envelope { from, to, message } = envelope;
        let result = match to {
            Member::Planner(id) => {
                let planner = self.planners.get_mut(id);
                planner.map(|planner| planner.on_message(self.now, *from, message.clone()))
            }
            Member::Forwarder(id) => {
                let forwarder = self.forwarders.get_mut(id);
                forwarder.map(|forwarder| forwarder.on_message(self.now, *from, message.clone()))
            }
        };
        assert!(matches!(result, None | Some(Ok(()) | Err(GrowthError::DayClosed))), "{result:?}");
    }

    fn record_layout(&mut self) {
        let day = ((self.now.0 - START.0) / DAY.0) as u32;
        let Some(shard_map) = self.shard_maps.values().last() else { return };
        let layout = shard_map.layout(GROWING_SHARD);
        if self.layouts.last().is_none_or(|last| last.layout != layout) {
            self.layouts.push(DecidedLayout { day, layout });
        }
    }

    fn is_in_phase(&self, phase: SplitPhase) -> bool {
        self.layouts.last().is_some_and(|last| last.layout.phase == Some(phase))
    }

    fn run(&mut self, days: u32) {
        for tick in 0..u64::from(days) * TICKS_PER_DAY {
            self.run_tick(tick);
        }
    }

    /// Reads the day's keys at its middle.
    fn run_tick(&mut self, tick: u64) {
        if tick % TICKS_PER_DAY == TICKS_PER_DAY / 2 {
            self.read_keys((tick / TICKS_PER_DAY) as u32);
        }
        self.tick();
    }

    /// Kills the leader after each decision on the growing shard, and restarts it half an hour later.
    fn run_with_killed_leaders(&mut self, days: u32) {
        let mut killed: Option<(u64, PlannerId)> = None;
        let mut layouts_seen = 0;
        for tick in 0..u64::from(days) * TICKS_PER_DAY {
            self.run_tick(tick);
            if killed.is_none() && self.layouts.len() > layouts_seen && self.layouts.len() > 1 {
                let leader = *self.planners.keys().next().expect("two planners are live");
                self.stop_planner(leader);
                killed = Some((tick + RESTART_TICKS, leader));
                layouts_seen = self.layouts.len();
            }
            if let Some((_, id)) = killed.take_if(|(restart, _)| *restart == tick) {
                self.start_planner(id);
            }
        }
    }

    /// Whether the first split passed through all phases, one by one.
    fn is_split_complete(&self) -> bool {
        let mut phases = vec![Some(SplitPhase::Foreseen), Some(SplitPhase::Planned)];
        phases.extend((1..=16).map(|step| Some(SplitPhase::Copying(step))));
        phases.extend([Some(SplitPhase::DualRead), Some(SplitPhase::Switched), None]);
        let seen: Vec<_> = self.layouts.iter().map(|decided| decided.layout.phase).collect();
        let first = seen.iter().position(|phase| *phase == phases[0]).unwrap_or(0);
        seen[first..].iter().take(phases.len()).eq(&phases)
    }

    fn assert_split_complete(&self) {
        assert!(self.is_split_complete(), "{:?}", self.layouts);
    }
}

/// Takes a planner's messages, and persists its state whenever they wait for that.
fn poll_planner(
    now: Time,
    id: PlannerId,
    planner: &mut PlannerComponent,
    disks: &mut BTreeMap<PlannerId, Vec<u8>>,
    in_flight: &mut Vec<Envelope>,
) {
    let mut number = 0;
    loop {
        if let Some(bytes) = planner.poll_snapshot() {
            disks.insert(id, bytes);
        }
        if let Some((to, message)) = planner.poll_message(now) {
            let from = Sender { member: Member::Planner(id), incarnation: Incarnation(1), number };
            number += 1;
            in_flight.push(Envelope { from, to, message });
            continue;
        }
        let Some(bytes) = planner.poll_snapshot() else { return };
        disks.insert(id, bytes);
    }
}

#[test]
fn a_growing_shard_is_split_before_it_outgrows_its_capacity() {
    let mut simulation = Simulation::new(1);
    simulation.run(10);
    simulation.assert_split_complete();
    let is_switched = |decided: &&DecidedLayout| decided.layout.phase == Some(SplitPhase::Switched);
    let switched = simulation.layouts.iter().find(is_switched).expect("the split was switched");
    assert!(switched.day < 8, "{switched:?}");
    let latest = simulation.shard_maps.values().last().expect("there is a shard map");
    let latest = latest.to_balancer_shard_map();
    assert!(simulation.forwarders.values().all(|forwarder| forwarder.shard_map().as_ref() == Some(&latest)));
    assert!(simulation.longest_message < MAX_MESSAGE_BYTES, "{}", simulation.longest_message);
    let entries: usize = simulation.planners.values().map(Component::entries).sum();
    assert!(entries < 3 * 20_000, "{entries}");
}

#[test]
fn when_the_leader_is_killed_in_each_phase_another_planner_continues() {
    let mut simulation = Simulation::new(2);
    simulation.run_with_killed_leaders(10);
    simulation.assert_split_complete();
    // In each phase but the first, which has no leader to lose yet, and the last.
    assert!(simulation.last_incarnation >= 3 + 18, "{} incarnations", simulation.last_incarnation);
}

#[test]
fn a_planner_without_a_majority_changes_nothing_and_logs_why() {
    let mut simulation = Simulation::new(3);
    simulation.planners.retain(|id, _| *id == PlannerId(1));
    simulation.announce_members();
    simulation.run(9);
    assert_eq!(simulation.shard_maps.len(), 1);
    // It leads, and does not vote before all others have told it their state.
    let planner = simulation.planner(1);
    assert!(planner.is_leader());
    let is_logged =
        std::iter::from_fn(|| planner.poll_event()).any(|event| event.name == "shard_split_blocked");
    assert!(is_logged, "nobody would know what it waits for");
}

#[test]
fn a_leader_that_lost_its_disk_learns_the_history_and_withdraws_no_split() {
    let mut simulation = Simulation::new(5);
    simulation.run(3);
    simulation.disks.remove(&PlannerId(1));
    simulation.stop_planner(PlannerId(1));
    simulation.tick();
    simulation.start_planner(PlannerId(1));
    simulation.run(7);
    simulation.assert_split_complete();
    let forecast = |id| simulation.planners[&PlannerId(id)].capacity_forecast(GROWING_SHARD);
    assert_eq!(forecast(1), forecast(2), "it has the history that the others have");
}

#[test]
fn one_forwarder_with_false_endpoints_changes_nothing() {
    let mut simulation = Simulation::new(6);
    let now = simulation.now;
    simulation.forwarder(0).seen(now, &observed_endpoints(0..400, 0..400, now));
    simulation.run(8);
    simulation.assert_split_complete();
}

#[test]
fn no_split_starts_while_two_forwarders_report_endpoints_that_warm_up() {
    let mut simulation = Simulation::new(6);
    let now = simulation.now;
    for id in [0, 3] {
        simulation.forwarder(id).seen(now, &observed_endpoints(0..60, 0..60, now));
    }
    simulation.run(8);
    let is_active = |shard_map: &VersionedShardMap| {
        shard_map.layout(GROWING_SHARD).phase.is_some_and(SplitPhase::is_active)
    };
    assert!(!simulation.shard_maps.values().any(is_active), "{:?}", simulation.layouts);
}

#[test]
fn a_snapshot_is_read_completely_or_rejected() {
    let days = vec![ClosedDay { day: AccountingDay(1), bytes: 2.0, keys: 3.0 }];
    let bytes = Snapshot { consensus: None, history: vec![(GROWING_SHARD, days)] }.to_bytes();
    assert_eq!(Snapshot::from_bytes(&bytes).expect("its own bytes").to_bytes(), bytes);
    for position in 0..bytes.len() {
        assert!(Snapshot::from_bytes(&bytes[..position]).is_err());
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(Snapshot::from_bytes(&changed).is_err());
    }
    let mut newer = bytes[..bytes.len() - 8].to_vec();
    newer[0] = 9;
    newer.extend(xxhash_rust::xxh3::xxh3_64(&newer).to_be_bytes());
    let error = Snapshot::from_bytes(&newer).expect_err("another version");
    assert_eq!(error, SnapshotError::OtherVersion(9));
    assert!(!error.remediation().is_empty());
}

fn sender(member: Member) -> Sender {
    Sender { member, incarnation: Incarnation(1), number: 1 }
}

fn counters_message(day: AccountingDay, counters: ShardCounters) -> GrowthMessage {
    GrowthMessage::Counters { day, counters: vec![(GROWING_SHARD, counters)] }
}

#[test]
fn invalid_reports_of_forwarders_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let forwarder = sender(Member::Forwarder(ForwarderId(1)));
    let day = AccountingDay(FIRST_DAY + KNOWN_DAYS);
    let mut result_of = |message| simulation.planner(1).on_message(now, forwarder, message);
    let sketch =
        |registers| GrowthMessage::Sketch { day, shard: GROWING_SHARD, kind: SketchKind::Read, registers };
    assert_eq!(result_of(sketch(vec![(REGISTER_COUNT as u16, 1)])), Err(GrowthError::InvalidValue));
    assert_eq!(result_of(sketch(vec![(1, 1); 1000])), Err(GrowthError::InvalidValue));
    let too_many_bytes = ShardCounters { bytes: u64::MAX, ..ShardCounters::default() };
    assert_eq!(result_of(counters_message(day, too_many_bytes)), Err(GrowthError::InvalidValue));
    for closed in [AccountingDay(7), AccountingDay(u32::MAX)] {
        let message = counters_message(closed, ShardCounters::default());
        assert_eq!(result_of(message), Err(GrowthError::DayClosed));
    }
}

#[test]
fn invalid_shard_maps_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let other_planner = sender(Member::Planner(PlannerId(2)));
    for (version, bits) in [(1, 255), (u64::MAX, 0)] {
        let layout = ShardLayout { bits, phase: Some(SplitPhase::Switched) };
        let shards = BTreeMap::from([(GROWING_SHARD, layout)]);
        let shard_map = VersionedShardMap { version: ShardMapVersion(version), shards };
        let decided = ConsensusMessage::Decided { shard_map: shard_map.clone() };
        let result = simulation.planner(1).on_message(now, other_planner, GrowthMessage::Consensus(decided));
        assert_eq!(result, Err(GrowthError::InvalidValue));
        let message = GrowthMessage::ShardMap { shard_map };
        let result = simulation.forwarder(1).on_message(now, other_planner, message);
        assert_eq!(result, Err(GrowthError::InvalidValue));
    }
}

#[test]
fn messages_of_unexpected_senders_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let message = GrowthMessage::CurrentDay { day: AccountingDay(FIRST_DAY + KNOWN_DAYS) };
    for member in [Member::Forwarder(ForwarderId(1)), Member::Planner(PlannerId(9))] {
        let result = simulation.planner(1).on_message(now, sender(member), message.clone());
        assert_eq!(result, Err(GrowthError::UnexpectedSender));
    }
}

#[test]
fn each_error_has_its_own_remediation() {
    let errors = [
        GrowthError::UnexpectedSender,
        GrowthError::InvalidValue,
        GrowthError::DayClosed,
        GrowthError::CapacityExceeded,
    ];
    let remediations: BTreeSet<_> = errors.map(|error| error.remediation()).into();
    assert_eq!(remediations.len(), errors.len());
}

#[test]
fn the_largest_shard_map_fits_into_a_message() {
    let mut shard_map = VersionedShardMap::default();
    for shard in 0..SHARD_COUNT as u32 {
        let layout = ShardLayout { bits: 2, phase: Some(SplitPhase::Switched) };
        shard_map = shard_map.with_layout(ShardId(shard as u8), layout);
    }
    let message = GrowthMessage::ShardMap { shard_map };
    let length = postcard::to_stdvec(&message).expect("messages can be encoded").len();
    assert!(length < MAX_MESSAGE_BYTES, "{length}");
}

/// A forwarder once reported one shard a poll: with 40 polls a round, days were closed without five of six shards.
#[test]
fn a_forwarder_that_is_polled_seldom_reports_all_shards_in_a_round() {
    let report_round = Span::from_millis(1000);
    let settings = ForwarderSettings { report_round, ..ForwarderSettings::default() };
    let mut now = Time(1_000_000);
    let mut forwarder = ForwarderComponent::new(settings, ForwarderId(1), Incarnation(1), now);
    let planner = Member::Planner(PlannerId(1));
    forwarder.on_membership_change(now, &[planner]);
    let message = GrowthMessage::CurrentDay { day: AccountingDay(7) };
    forwarder.on_message(now, sender(planner), message).expect("the message is valid");
    for key in 0..5000 {
        forwarder.seen(now, &observed_read(key));
    }
    let mut reported = BTreeSet::new();
    for _ in 0..41 {
        while let Some((_, message)) = forwarder.poll_message(now) {
            if let GrowthMessage::Counters { counters, .. } = message {
                reported.extend(counters.into_iter().map(|(shard, _)| shard));
            }
        }
        now = now + Span::from_millis(25);
    }
    assert_eq!(reported.len(), SHARD_COUNT);
}

/// Runs a simulation up to the second copying step; `slow_forwarders` of the forwarders then see slow fetches for 600
/// ticks. Returns whether the split advances by more than two further steps.
fn advances_with_slow_fetches(slow_forwarders: u64) -> bool {
    let mut simulation = Simulation::new(9);
    for tick in 0.. {
        simulation.run_tick(tick);
        if simulation.is_in_phase(SplitPhase::Copying(2)) {
            break;
        }
        assert!(tick < 60 * TICKS_PER_DAY, "{:?}", simulation.layouts);
    }
    let layouts_before = simulation.layouts.len();
    for tick in 0..600 {
        let now = simulation.now;
        for forwarder in 0..FORWARDERS {
            let latency_millis = if forwarder < slow_forwarders { 300 } else { 20 };
            for fetch in 0..5 {
                let observation = observed_fetch(tick * 5 + fetch, latency_millis);
                simulation.forwarder(forwarder).seen(now, &observation);
            }
        }
        simulation.tick();
    }
    let is_further =
        |decided: &DecidedLayout| matches!(decided.layout.phase, Some(SplitPhase::Copying(step)) if step > 4);
    simulation.layouts[layouts_before..].iter().any(is_further)
}

/// Leases see what is asked of the origin, and not how long it takes: a split once went on at a twentieth of the origin's
/// speed.
#[test]
fn a_split_pauses_while_two_forwarders_see_slow_fetches_and_not_for_one() {
    assert!(advances_with_slow_fetches(1));
    assert!(!advances_with_slow_fetches(2));
}
