//! A simulated fleet of planner and forwarder components of shard growth, on a network that loses, duplicates
//! and reorders messages.

use std::collections::BTreeMap;
use std::ops::Range;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::slot_table::shard_of;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_map::{ShardId, ShardLayout, SplitPhase, VersionedShardMap};
use granitelb_coordination::shard_growth::{
    Calendar, FleetStatus, ForwarderComponent, ForwarderSettings, GrowthError, GrowthMessage,
    PlannerComponent, PlannerSettings, Snapshot, split_schedule,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub const DAY: Span = Span::from_millis(7_200_000);
pub const TICK: Span = Span::from_millis(10_000);
pub const TICKS_PER_DAY: u64 = DAY.0 / TICK.0;
pub const START: Time = Time(1_000_000_000);
pub const FIRST_DAY: u32 = 20_000;
pub const KNOWN_DAYS: u32 = 110;
pub const PLANNERS: u8 = 3;
pub const FORWARDERS: u64 = 4;
pub const GROWING_SHARD: ShardId = ShardId(17);
/// The number of keys of the growing shard on the first day.
pub const INITIAL_KEYS: f64 = 1000.0;
/// The number of keys that are added each day.
pub const KEYS_PER_DAY: f64 = 40.0;
/// The size of each value in bytes.
pub const VALUE_BYTES: f64 = 1000.0;
/// The number of ticks after which a killed planner is restarted.
pub const RESTART_TICKS: u64 = 30;
/// The maximum length of a message in bytes, which leaves room for its envelope in a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1100;

pub fn keys_on_day(day: u32) -> f64 {
    INITIAL_KEYS + KEYS_PER_DAY * f64::from(day)
}

pub fn fulfilled_read(key: u64) -> FinishedAttempt {
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

pub fn observed_read(key: u64) -> Observation {
    Observation::AttemptFinished(Box::new(fulfilled_read(key)))
}

pub fn observed_fetch(key: u64, latency_millis: u64) -> Observation {
    let latency = Span::from_millis(latency_millis);
    let slo = Span::from_millis(400);
    let fetch = FinishedAttempt { is_origin: true, latency, slo, ..fulfilled_read(key) };
    Observation::AttemptFinished(Box::new(fetch))
}

/// The observation of an endpoint list whose endpoints `warming_up` have just started.
pub fn observed_endpoints(endpoints: Range<u64>, warming_up: Range<u64>, now: Time) -> Observation {
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

pub fn planner_settings() -> PlannerSettings {
    let seconds = |seconds: u64| Span::from_millis(seconds * 1000);
    let schedule = split_schedule::Settings {
        copy_step_duration: seconds(400),
        planned_duration: seconds(400),
        dual_read_duration: seconds(400),
        switched_duration: seconds(600),
        max_pause_duration: seconds(600),
        ..split_schedule::Settings::default()
    };
    PlannerSettings {
        planners: (1..=PLANNERS).map(PlannerId).collect(),
        schedule,
        day_length: DAY,
        // The growing shard reaches this capacity about eight days after the known days.
        shard_capacity_bytes: Some(VALUE_BYTES * keys_on_day(KNOWN_DAYS + 8)),
        // A message takes up to one tick in the simulation.
        proposal_retry_interval: Span(TICK.0 * 6),
        ..PlannerSettings::default()
    }
}

/// The history, with noise, that all planners have at the start.
pub fn known_history(seed: u64) -> Vec<ClosedDay> {
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

/// A layout of the growing shard, and the simulated day on which the layout was decided.
#[derive(Clone, Copy, Debug)]
pub struct DecidedLayout {
    pub day: u32,
    pub layout: ShardLayout,
}

pub struct Envelope {
    pub from: Sender,
    pub to: Member,
    pub message: GrowthMessage,
}

pub struct Simulation {
    pub seed: u64,
    pub draws: u64,
    pub now: Time,
    pub last_incarnation: u64,
    pub planners: BTreeMap<PlannerId, PlannerComponent>,
    pub disks: BTreeMap<PlannerId, Vec<u8>>,
    pub forwarders: BTreeMap<ForwarderId, ForwarderComponent>,
    pub in_flight: Vec<Envelope>,
    /// The keys of the growing shard.
    pub keys: Vec<u64>,
    pub shard_maps: BTreeMap<u64, VersionedShardMap>,
    pub layouts: Vec<DecidedLayout>,
    pub longest_message: usize,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
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

    pub fn start_forwarders(&mut self) {
        let settings = ForwarderSettings { report_round: Span(DAY.0 / 8), ..ForwarderSettings::default() };
        for id in (0..FORWARDERS).map(ForwarderId) {
            let mut forwarder = ForwarderComponent::new(settings.clone(), id, Incarnation(1), self.now);
            forwarder.on_observation(self.now, &observed_endpoints(0..60, 0..0, self.now));
            self.forwarders.insert(id, forwarder);
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) % below
    }

    pub fn calendar(&self) -> Calendar {
        let since_start = self.now.0 - START.0;
        let days = (since_start / DAY.0) as u32;
        Calendar {
            at: self.now,
            day: AccountingDay(FIRST_DAY + KNOWN_DAYS + days),
            elapsed_in_day: Span(since_start % DAY.0),
        }
    }

    pub fn start_planner(&mut self, id: PlannerId) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let disk = self.disks.get(&id).map(|bytes| &bytes[..]);
        let calendar = self.calendar();
        let mut planner =
            PlannerComponent::new(planner_settings(), id, incarnation, self.now, calendar, disk)
                .expect("the planner's disk holds a valid snapshot");
        let status = FleetStatus { spare_fetches_per_second: 100.0, ..FleetStatus::default() };
        planner.set_fleet_status(Some(status));
        self.planners.insert(id, planner);
        self.announce_members();
    }

    pub fn stop_planner(&mut self, id: PlannerId) {
        self.planners.remove(&id);
        self.announce_members();
    }

    pub fn announce_members(&mut self) {
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

    pub fn planner(&mut self, id: u8) -> &mut PlannerComponent {
        self.planners.get_mut(&PlannerId(id)).expect("the planner is live")
    }

    pub fn forwarder(&mut self, id: u64) -> &mut ForwarderComponent {
        self.forwarders.get_mut(&ForwarderId(id)).expect("the forwarder is live")
    }

    /// Reads all keys of a day, each through one random forwarder.
    pub fn read_keys(&mut self, day: u32) {
        let count = keys_on_day(KNOWN_DAYS + day) as usize;
        let now = self.now;
        for key in self.keys.clone().into_iter().take(count) {
            let forwarder = self.draw(FORWARDERS);
            self.forwarder(forwarder).on_observation(now, &observed_read(key));
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.poll_planners();
        self.poll_forwarders();
        self.deliver_messages();
        self.record_layout();
    }

    pub fn poll_planners(&mut self) {
        for (id, planner) in &mut self.planners {
            poll_planner(self.now, *id, planner, &mut self.disks, &mut self.in_flight);
            let shard_map = planner.shard_map().clone();
            let known = self.shard_maps.entry(shard_map.version.0).or_insert_with(|| shard_map.clone());
            assert_eq!(*known, shard_map, "two shard maps of one version");
        }
    }

    pub fn poll_forwarders(&mut self) {
        for (id, forwarder) in &mut self.forwarders {
            while let Some((to, message)) = forwarder.poll_message(self.now) {
                let from =
                    Sender { member: Member::Forwarder(*id), incarnation: Incarnation(1), sequence: 0 };
                self.in_flight.push(Envelope { from, to, message });
            }
        }
    }

    /// Delivers all messages in random order. One in ten messages is lost, and one in ten is duplicated.
    pub fn deliver_messages(&mut self) {
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

    pub fn deliver(&mut self, envelope: &Envelope) {
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

    pub fn record_layout(&mut self) {
        let day = ((self.now.0 - START.0) / DAY.0) as u32;
        let Some(shard_map) = self.shard_maps.values().last() else { return };
        let layout = shard_map.layout(GROWING_SHARD);
        if self.layouts.last().is_none_or(|last| last.layout != layout) {
            self.layouts.push(DecidedLayout { day, layout });
        }
    }

    pub fn is_in_phase(&self, phase: SplitPhase) -> bool {
        self.layouts.last().is_some_and(|last| last.layout.phase == Some(phase))
    }

    pub fn run(&mut self, days: u32) {
        for tick in 0..u64::from(days) * TICKS_PER_DAY {
            self.run_tick(tick);
        }
    }

    /// Runs one tick, and reads the day's keys in the middle of the day.
    pub fn run_tick(&mut self, tick: u64) {
        if tick % TICKS_PER_DAY == TICKS_PER_DAY / 2 {
            self.read_keys((tick / TICKS_PER_DAY) as u32);
        }
        self.tick();
    }

    /// Runs the simulation, and kills the leader after each decision on the growing shard. A killed leader is
    /// restarted after [`RESTART_TICKS`].
    pub fn run_with_killed_leaders(&mut self, days: u32) {
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

    /// Whether the first split passed through all phases in order.
    pub fn is_split_complete(&self) -> bool {
        let mut phases = vec![Some(SplitPhase::Foreseen), Some(SplitPhase::Planned)];
        phases.extend((1..=16).map(|step| Some(SplitPhase::Copying(step))));
        phases.extend([Some(SplitPhase::DualRead), Some(SplitPhase::Switched), None]);
        let seen: Vec<_> = self.layouts.iter().map(|decided| decided.layout.phase).collect();
        let first = seen.iter().position(|phase| *phase == phases[0]).unwrap_or(0);
        seen[first..].iter().take(phases.len()).eq(&phases)
    }

    pub fn assert_split_complete(&self) {
        assert!(self.is_split_complete(), "{:?}", self.layouts);
    }
}

/// Collects a planner's messages, and persists its state whenever messages wait for the state to be
/// persisted.
pub fn poll_planner(
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
            let from = Sender { member: Member::Planner(id), incarnation: Incarnation(1), sequence: number };
            number += 1;
            in_flight.push(Envelope { from, to, message });
            continue;
        }
        let Some(bytes) = planner.poll_snapshot() else { return };
        disks.insert(id, bytes);
    }
}
