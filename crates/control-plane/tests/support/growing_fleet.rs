//! A fleet whose accounting days pass quickly, with planners as processes, and forwarders that send and
//! receive real messages. One message of ten is lost and one of ten is duplicated; for messages between
//! planners, a relay in front of each planner does that. The shard maps that forwarders get are audited by
//! the messages alone, without the code that agrees on shard maps or schedules splits.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::slot_table::{shard_of, shard_placement};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, ShardMap};
use granitelb_control_plane::fleet_config::FleetConfig;
use granitelb_control_plane::storage::StateFile;
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::LeaseMessage;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::message::{self, ComponentKind, Message};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::AcceptorState;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_map::{ShardId, SplitPhase, VersionedShardMap};
use granitelb_coordination::shard_growth::{ForwarderComponent, GrowthMessage, Snapshot};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fleet, MAX_DATAGRAM_BYTES, Planner, SECRET, secrets};

const PLANNERS: usize = 3;
const FORWARDERS: usize = 4;
const CACHES: u64 = 60;
/// The number of days of which planners have a history at the start.
const KNOWN_DAYS: u32 = 110;
const DAY_MS: u64 = 2000;
const MICROS_PER_MS: u64 = 1000;
/// The part of a day in which the keys of the day are read: from 30% to 60% of the day.
const READS_START_US: u64 = DAY_MS * 300;
const READS_END_US: u64 = DAY_MS * 600;
const VALUE_BYTES: f64 = 1000.0;
const MAX_KEYS_OF_SHARD: usize = 9000;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const HISTORY_NOISE_SEED: u64 = 3;
const NETWORK_FAULTS_SEED: u64 = 71;
/// The two shards that grow. They grow equally and are on the same caches.
pub const GROWING_SHARDS: [ShardId; 2] = [ShardId(17), ShardId(90)];

/// The number of keys of a growing shard on a day.
fn key_count(day: f64) -> f64 {
    500.0 * 1.02f64.powf(day)
}

/// All caches with their sizes, which are equal.
pub fn caches() -> Vec<(EndpointId, f64)> {
    (0..CACHES).map(|c| (EndpointId(c), 1.0)).collect()
}

fn now() -> Time {
    Time(UNIX_EPOCH.elapsed().expect("a time after 1970").as_micros() as u64)
}

/// Decides which messages are lost and which are duplicated: one of ten each.
struct NetworkFaults {
    messages: u64,
}

impl NetworkFaults {
    /// The number of times that the next message arrives.
    fn copies(&mut self) -> usize {
        self.messages += 1;
        match xxh3_64_with_seed(&self.messages.to_le_bytes(), NETWORK_FAULTS_SEED) % 10 {
            0 => 0,
            1 => 2,
            _ => 1,
        }
    }
}

fn bind_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_nonblocking(true).expect("the socket's mode is set");
    socket
}

fn read_datagram(socket: &UdpSocket) -> Option<Vec<u8>> {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    socket.recv(&mut buffer).ok().map(|length| buffer[..length].to_vec())
}

/// A forwarder with its membership and its shard growth component.
pub struct Node {
    socket: UdpSocket,
    me: Member,
    last_number: u64,
    members: Membership,
    growth: ForwarderComponent,
}

impl Node {
    fn new(n: usize, fleet_config: &FleetConfig) -> Node {
        let now = now();
        let id = ForwarderId(n as u64);
        let incarnation = Incarnation(now.0);
        let mut members = Membership::new(Member::Forwarder(id), incarnation, now);
        members.set_planners(now, (1..=PLANNERS as u8).map(PlannerId));
        let settings = fleet_config.growth_forwarder_settings().expect("shard growth is configured");
        let mut growth = ForwarderComponent::new(settings, id, incarnation, now);
        let endpoint = |cache| ObservedEndpoint {
            cache: EndpointId(cache),
            is_origin: false,
            zone: 0,
            size: 1.0,
            started: None,
            warm_after: Span::ZERO,
        };
        growth.on_observation(now, &Observation::EndpointsChanged((0..CACHES).map(endpoint).collect()));
        Node { socket: bind_socket(), me: Member::Forwarder(id), last_number: 0, members, growth }
    }

    fn send(&mut self, to: SocketAddr, message: &Message, copies: usize) {
        self.last_number += 1;
        let incarnation = self.members.incarnation();
        let sender = Sender { member: self.me, incarnation, sequence: self.last_number };
        let bytes = message::seal(sender, message, &secrets(SECRET)).expect("the message is sealed");
        for _ in 0..copies {
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    /// Processes a message of a planner. A message that membership or the component rejects has no effect.
    fn on_message(&mut self, now: Time, from: Sender, message: Message) {
        if self.members.accept(now, from).is_err() {
            return;
        }
        match message {
            Message::Membership(message) => drop(self.members.on_message(now, from, message)),
            Message::ShardGrowth(message) => drop(self.growth.on_message(now, from, message)),
            _ => {}
        }
    }

    fn update_membership(&mut self, now: Time) {
        if self.members.needs_new_incarnation() {
            self.members.renew(Incarnation(now.0));
        }
        if let Some(alive) = self.members.poll_change(now) {
            self.growth.on_membership_change(now, &alive);
        }
    }

    /// The next message to a planner; `None` if there is none.
    fn poll_message(&mut self, now: Time) -> Option<(PlannerId, Message)> {
        let (to, message) = if let Some((to, message)) = self.growth.poll_message(now) {
            (to, Message::ShardGrowth(message))
        } else {
            let (to, message) = self.members.poll_message(now)?;
            (to, Message::Membership(message))
        };
        let Member::Planner(planner) = to else { return None };
        self.members.on_message_sent(now, to);
        Some((planner, message))
    }

    /// The shard map that the forwarder uses; `None` before it gets one.
    pub fn shard_map(&self) -> Option<ShardMap> {
        self.growth.shard_map()
    }
}

/// A shard's state in a shard map.
#[derive(Clone, Copy, Debug)]
pub struct ShardState {
    /// The step of the split that is in progress; `None` without a split.
    pub step: Option<SplitPhase>,
    /// The number of completed splits.
    pub splits: u8,
}

/// A record of the shard maps and leases that forwarders got from planners.
#[derive(Default)]
pub struct Auditor {
    /// The shard maps by their versions.
    pub shard_maps: BTreeMap<u64, VersionedShardMap>,
    /// The number of leases that each planner granted.
    pub grants: BTreeMap<u8, u64>,
}

impl Auditor {
    fn on_message(&mut self, from: Sender, message: &Message) {
        if let Message::ShardGrowth(GrowthMessage::ShardMap { shard_map }) = message {
            self.on_shard_map(shard_map);
        }
        let Message::Leases(LeaseMessage::Grant { granted, .. }) = message else { return };
        if let Member::Planner(id) = from.member
            && granted.iter().any(|granted| granted.amount > 0)
        {
            *self.grants.entry(id.0).or_default() += 1;
        }
    }

    /// Checks that there is one shard map of each version, and that no two splits in progress use the same
    /// cache.
    fn on_shard_map(&mut self, shard_map: &VersionedShardMap) {
        let version = shard_map.version.0;
        let known = self.shard_maps.entry(version).or_insert_with(|| shard_map.clone());
        assert_eq!(known, shard_map, "two shard maps of version {version}");
        let caches = caches();
        let splitting = shard_map.shards.iter().filter(|(_, state)| state.phase.is_some_and(is_active));
        let used: Vec<_> =
            splitting.map(|(shard, state)| shard_placement(shard.0, state.bits + 1, &caches)).collect();
        for (n, split) in used.iter().enumerate() {
            let is_disjoint = used[..n].iter().all(|other| split.is_disjoint(other));
            assert!(is_disjoint, "two splits on one cache: {shard_map:?}");
        }
    }

    /// A shard's state in the latest shard map.
    pub fn latest(&self, shard: ShardId) -> ShardState {
        let Some(shard_map) = self.shard_maps.values().last() else {
            return ShardState { step: None, splits: 0 };
        };
        let state = shard_map.layout(shard);
        ShardState { step: state.phase, splits: state.bits }
    }

    /// Checks that each shard map differs from the previous version in one shard, whose split went one step.
    pub fn check_steps(&self) {
        for (version, after) in &self.shard_maps {
            let Some(before) = self.shard_maps.get(&(version - 1)) else { continue };
            let changed: Vec<_> =
                GROWING_SHARDS.into_iter().filter(|s| after.layout(*s) != before.layout(*s)).collect();
            assert_eq!(changed.len(), 1, "{before:?}, {after:?}");
            let (from, to) = (before.layout(changed[0]), after.layout(changed[0]));
            let is_completed =
                from.phase == Some(SplitPhase::Switched) && to.phase.is_none() && to.bits == from.bits + 1;
            let is_next = step_rank(to.phase) == step_rank(from.phase) + 1;
            let is_step = to.bits == from.bits && (is_next || to.phase.is_none_or(is_reset));
            assert!(is_completed || is_step, "{from:?}, {to:?}");
        }
    }
}

fn is_active(step: SplitPhase) -> bool {
    step != SplitPhase::Foreseen && step != SplitPhase::Withdrawn
}

fn is_reset(step: SplitPhase) -> bool {
    step == SplitPhase::Foreseen || step == SplitPhase::Withdrawn
}

/// The rank of a step in the order of steps.
pub fn step_rank(step: Option<SplitPhase>) -> u8 {
    match step {
        None => 0,
        Some(SplitPhase::Foreseen) => 1,
        Some(SplitPhase::Planned) => 2,
        Some(SplitPhase::Copying(n)) => 2 + n,
        Some(SplitPhase::DualRead) => 19,
        Some(SplitPhase::Switched) => 20,
        Some(SplitPhase::Withdrawn) => 100,
    }
}

/// The fleet with its audit. Forwarders and relays make progress only in [`GrowingFleet::run_until`] and
/// [`GrowingFleet::run_for`].
pub struct GrowingFleet {
    pub fleet: Fleet,
    pub planners: BTreeMap<usize, Planner>,
    pub nodes: Vec<Node>,
    pub auditor: Auditor,
    pub started_at: Instant,
    relays: Vec<UdpSocket>,
    network_faults: NetworkFaults,
    keys: BTreeMap<ShardId, Vec<u64>>,
    first_day: u64,
    last_read_day: u64,
}

impl GrowingFleet {
    /// Starts all planners. `settings` are appended to the fleet configuration, whose last section is that of
    /// shard growth.
    pub fn start(step_ms: u64, settings: &str) -> GrowingFleet {
        let fleet = Fleet::new(PLANNERS);
        let relays: Vec<_> = (0..PLANNERS).map(|_| bind_socket()).collect();
        write_configs(&fleet, &relays, step_ms, settings);
        let fleet_config =
            FleetConfig::load(&fleet.path("operator.toml")).expect("the configuration is valid");
        let keys_of = |shard: ShardId| {
            let keys = (0..).filter(|key| shard_of(Key(*key)) == shard.0);
            (shard, keys.take(MAX_KEYS_OF_SHARD).collect())
        };
        let mut growing = GrowingFleet {
            fleet,
            planners: BTreeMap::new(),
            nodes: (0..FORWARDERS).map(|n| Node::new(n, &fleet_config)).collect(),
            auditor: Auditor::default(),
            started_at: Instant::now(),
            relays,
            network_faults: NetworkFaults { messages: 0 },
            keys: GROWING_SHARDS.map(keys_of).into(),
            first_day: now().0 / (DAY_MS * MICROS_PER_MS) - u64::from(KNOWN_DAYS),
            last_read_day: 0,
        };
        for number in 1..=PLANNERS {
            growing.write_store(number);
            growing.start_planner(number);
        }
        growing
    }

    /// Writes a planner's store with the history up to now and with empty votes. A planner without votes asks
    /// all others when it starts, and asks again 5 s after a lost message. A planner that is killed in this
    /// time would stop the other planners until it is restarted.
    fn write_store(&self, number: usize) {
        let day = |n: u32| {
            let noise = xxh3_64_with_seed(&n.to_le_bytes(), HISTORY_NOISE_SEED) % 1000;
            let keys = key_count(f64::from(n)) * (0.995 + 0.00001 * noise as f64);
            ClosedDay {
                day: AccountingDay(self.first_day as u32 + n),
                bytes: (keys * VALUE_BYTES) as f32,
                keys: keys as f32,
            }
        };
        let history = GROWING_SHARDS.map(|shard| (shard, (0..KNOWN_DAYS - 1).map(day).collect())).into();
        let bytes = Snapshot { consensus: Some(AcceptorState::default()), history }.to_bytes();
        fs::create_dir(self.fleet.path(&format!("state-{number}"))).expect("the folder is created");
        let store = StateFile::open(&self.fleet.store_file(number), PlannerId(number as u8));
        let written = store.expect("the store opens").write(&[(ComponentKind::ShardGrowth, bytes)]);
        written.expect("the store is written");
    }

    pub fn start_planner(&mut self, number: usize) {
        self.planners.insert(number, self.fleet.start(number));
    }

    /// Kills a planner.
    pub fn kill_planner(&mut self, number: usize) {
        self.planners.remove(&number).expect("the planner runs").kill();
    }

    /// The number of the leader, which is the running planner with the lowest number.
    pub fn leader(&self) -> usize {
        *self.planners.keys().next().expect("a planner runs")
    }

    /// Runs the fleet until a condition holds, which `description` states. Fails after `timeout`.
    pub fn run_until(
        &mut self,
        description: &str,
        timeout: Duration,
        is_met: impl Fn(&GrowingFleet) -> bool,
    ) {
        let deadline = Instant::now() + timeout;
        while !is_met(self) {
            assert!(Instant::now() < deadline, "not within {timeout:?}: {description}\n{}", self.describe());
            self.run_once();
            thread::sleep(POLL_INTERVAL);
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let deadline = Instant::now() + time;
        self.run_until("the time has passed", 2 * time, |_| Instant::now() >= deadline);
    }

    fn describe(&self) -> String {
        let latest = self.auditor.shard_maps.values().last();
        let logs: String = self.planners.values().map(Planner::log).collect();
        format!("{latest:?}\n{logs}")
    }

    /// Sends a message of a forwarder to all planners.
    pub fn send_to_planners(&mut self, node: usize, message: &Message) {
        for to in self.fleet.addresses.clone() {
            self.nodes[node].send(to, message, 1);
        }
    }

    fn run_once(&mut self) {
        self.relay_messages();
        let now = now();
        self.read_keys(now);
        for n in 0..self.nodes.len() {
            self.receive_messages(n, now);
            self.nodes[n].update_membership(now);
            self.send_messages(n, now);
        }
    }

    /// Forwards the messages between planners, with losses and duplicates.
    fn relay_messages(&mut self) {
        for (relay, to) in self.relays.iter().zip(&self.fleet.addresses) {
            while let Some(bytes) = read_datagram(relay) {
                for _ in 0..self.network_faults.copies() {
                    let _ = relay.send_to(&bytes, to);
                }
            }
        }
    }

    fn receive_messages(&mut self, n: usize, now: Time) {
        let node = &mut self.nodes[n];
        while let Some(bytes) = read_datagram(&node.socket) {
            for _ in 0..self.network_faults.copies() {
                let (from, message) =
                    message::open(&bytes, &secrets(SECRET)).expect("a message of a planner");
                self.auditor.on_message(from, &message);
                node.on_message(now, from, message);
            }
        }
    }

    fn send_messages(&mut self, n: usize, now: Time) {
        let node = &mut self.nodes[n];
        while let Some((planner, message)) = node.poll_message(now) {
            let to = self.fleet.addresses[usize::from(planner.0) - 1];
            node.send(to, &message, self.network_faults.copies());
        }
    }

    /// Reads all keys of a day once a day, each key at one forwarder.
    fn read_keys(&mut self, now: Time) {
        let day_us = DAY_MS * MICROS_PER_MS;
        let day = now.0 / day_us;
        if day == self.last_read_day || !(READS_START_US..READS_END_US).contains(&(now.0 % day_us)) {
            return;
        }
        self.last_read_day = day;
        let count = key_count((day - self.first_day) as f64) as usize;
        for key in self.keys.values().flat_map(|keys| keys.iter().take(count)) {
            let node = &mut self.nodes[(*key % FORWARDERS as u64) as usize];
            node.growth.on_observation(now, &Observation::AttemptFinished(Box::new(read_of(*key))));
        }
    }
}

fn write_configs(fleet: &Fleet, relays: &[UdpSocket], step_ms: u64, settings: &str) {
    let mut text = format!("secret = \"{SECRET}\"\nforwarders = 10\n");
    for (n, relay) in relays.iter().enumerate() {
        let number = n + 1;
        let address = relay.local_addr().expect("an address");
        text += &format!("[[planner]]\nnumber = {number}\nletters = \"{address}\"\n");
        fleet.write_planner_config(number, &format!("listen = \"{}\"\n", fleet.addresses[n]));
    }
    // The size of a growing shard exceeds this capacity some five days after the days of the history.
    let shard_bytes = (VALUE_BYTES * key_count(f64::from(KNOWN_DAYS) + 5.0)) as u64;
    text += &format!(
        "[growth]\nshard_bytes = {shard_bytes}\nsplits_at_once = 2\nday_ms = {DAY_MS}\nstep_ms = {step_ms}\n"
    );
    fs::write(fleet.path("operator.toml"), text + settings).expect("the file is written");
}

/// An attempt that read a key.
fn read_of(key: u64) -> FinishedAttempt {
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
        bytes: VALUE_BYTES as u32,
        in_flight_at_send: 0,
        slo: Span::from_millis(500),
    }
}
