//! A fleet in quick time: planners as processes, and forwarders that speak letters for real; one letter of ten is lost
//! and one doubled, from planner to planner by a relay that stands before each of them. What forwarders are told is
//! audited: by the letters alone, with nothing of what agrees or schedules.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant, UNIX_EPOCH};
use std::{fs, thread};

use granitelb_balancer::calls::{AttemptOutcome, ShardMap};
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::slot_table::{caches_of, shard_of};
use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::fleet_config::FleetConfig;
use granitelb_control_plane::storage::StateFile;
use granitelb_coordination::component::Component;
use granitelb_coordination::leases;
use granitelb_coordination::membership::Members;
use granitelb_coordination::message::{self, ComponentKind, Message};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::AcceptorState;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_map::{ShardId, SplitPhase, VersionedShardMap};
use granitelb_coordination::shard_growth::{ForwarderComponent, GrowthMessage, Snapshot};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::support::{Fleet, OURS, Planner, secrets};

const PLANNERS: usize = 3;
const FORWARDERS: usize = 4;
const CACHES: u64 = 60;
const KNOWN_DAYS: u32 = 110;
const DAY_MS: u64 = 2000;
/// Both grow alike; they stand on the same caches.
pub const GROW: [ShardId; 2] = [ShardId(17), ShardId(90)];

/// Keys on a day, of 1,000 bytes each.
fn keys(day: f64) -> f64 {
    500.0 * 1.02f64.powf(day)
}

/// All of one size.
pub fn caches() -> Vec<(EndpointId, f64)> {
    (0..CACHES).map(|c| (EndpointId(c), 1.0)).collect()
}

fn now() -> Time {
    Time(UNIX_EPOCH.elapsed().expect("after 1970").as_micros() as u64)
}

/// Loses one letter of ten, and doubles one.
struct Chance(u64);

impl Chance {
    fn times(&mut self) -> usize {
        self.0 += 1;
        match xxh3_64_with_seed(&self.0.to_le_bytes(), 71) % 10 {
            0 => 0,
            1 => 2,
            _ => 1,
        }
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_nonblocking(true).expect("it may be asked");
    socket
}

fn read(socket: &UdpSocket) -> Option<Vec<u8>> {
    let mut bytes = [0; 1500];
    socket.recv(&mut bytes).ok().map(|length| bytes[..length].to_vec())
}

pub struct Node {
    socket: UdpSocket,
    me: Member,
    number: u64,
    members: Members,
    growth: ForwarderComponent,
}

impl Node {
    fn new(n: usize, operator: &FleetConfig) -> Node {
        let (now, id) = (now(), ForwarderId(n as u64));
        let mut members = Members::new(Member::Forwarder(id), Incarnation(now.0), now);
        members.set_planners(now, (1..=PLANNERS as u8).map(PlannerId));
        let mut growth =
            ForwarderComponent::new(operator.growth_seen().expect("it is on"), id, Incarnation(now.0), now);
        let server = |cache| ObservedEndpoint {
            cache: EndpointId(cache),
            is_origin: false,
            zone: 0,
            size: 1.0,
            started: None,
            warm_after: Span::ZERO,
        };
        growth.seen(now, &Observation::EndpointsChanged((0..CACHES).map(server).collect()));
        Node { socket: socket(), me: Member::Forwarder(id), number: 0, members, growth }
    }

    fn send(&mut self, to: SocketAddr, letter: &Message, times: usize) {
        self.number += 1;
        let sender = Sender { member: self.me, incarnation: self.members.incarnation(), number: self.number };
        let bytes = message::seal(sender, letter, &secrets(OURS)).expect("a letter");
        for _ in 0..times {
            let _ = self.socket.send_to(&bytes, to);
        }
    }

    pub fn shard_map(&self) -> Option<ShardMap> {
        self.growth.shard_map()
    }
}

/// What forwarders were told.
#[derive(Default)]
pub struct Auditor {
    pub told: BTreeMap<u64, VersionedShardMap>,
    /// How often each planner leased something.
    pub grants: BTreeMap<u8, u64>,
}

impl Auditor {
    fn on_message(&mut self, shard_map: &VersionedShardMap) {
        let known = self.told.entry(shard_map.version.0).or_insert_with(|| shard_map.clone());
        assert_eq!(known, shard_map, "two forms of version {}", shard_map.version.0);
        let caches = caches();
        let active = shard_map.shards.iter().filter(|(_, of)| of.phase.is_some_and(is_active));
        let taken: Vec<_> = active.map(|(shard, of)| caches_of(shard.0, of.bits + 1, &caches)).collect();
        for (n, one) in taken.iter().enumerate() {
            assert!(
                taken[..n].iter().all(|other| one.is_disjoint(other)),
                "two splits on one cache: {shard_map:?}"
            );
        }
    }

    /// Where a shard stands by the last form, and how many splits it has behind it.
    pub fn last(&self, shard: ShardId) -> (Option<SplitPhase>, u8) {
        let of = self.told.values().last().map(|shard_map| shard_map.layout(shard));
        of.map_or((None, 0), |of| (of.phase, of.bits))
    }

    /// Each form differs from the one before in one shard, which went one step.
    pub fn check_steps(&self) {
        for (version, shard_map) in &self.told {
            let Some(before) = self.told.get(&(version - 1)) else { continue };
            let changed: Vec<_> =
                GROW.into_iter().filter(|s| shard_map.layout(*s) != before.layout(*s)).collect();
            assert_eq!(changed.len(), 1, "{before:?}, {shard_map:?}");
            let (from, to) = (before.layout(changed[0]), shard_map.layout(changed[0]));
            let (a, b) = (place(from.phase), place(to.phase));
            let settles =
                from.phase == Some(SplitPhase::Switched) && to.phase.is_none() && to.bits == from.bits + 1;
            let same = to.bits == from.bits;
            assert!(settles || same && (b == a + 1 || to.phase.is_none_or(goes_back)), "{from:?}, {to:?}");
        }
    }
}

fn is_active(step: SplitPhase) -> bool {
    step != SplitPhase::Foreseen && step != SplitPhase::Withdrawn
}

fn goes_back(step: SplitPhase) -> bool {
    step == SplitPhase::Foreseen || step == SplitPhase::Withdrawn
}

/// Steps in their order.
pub fn place(step: Option<SplitPhase>) -> u8 {
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

pub struct Growing {
    pub fleet: Fleet,
    pub planners: BTreeMap<usize, Planner>,
    pub nodes: Vec<Node>,
    pub auditor: Auditor,
    pub began: Instant,
    relays: Vec<UdpSocket>,
    chance: Chance,
    keys: BTreeMap<ShardId, Vec<u64>>,
    first_day: u64,
    read_on: u64,
}

impl Growing {
    /// `settings` are added to the operator's file, the last section of which is growth's.
    pub fn start(step_ms: u64, settings: &str) -> Growing {
        let fleet = Fleet::new(PLANNERS);
        let relays: Vec<_> = (0..PLANNERS).map(|_| socket()).collect();
        let mut text = format!("secret = \"{OURS}\"\nforwarders = 10\n");
        for (n, relay) in relays.iter().enumerate() {
            let address = relay.local_addr().expect("an address");
            text += &format!("[[planner]]\nnumber = {}\nletters = \"{address}\"\n", n + 1);
            let (number, listen) = (n + 1, fleet.addresses[n]);
            let own = format!(
                "number = {number}\noperator = \"operator.toml\"\nstate = \"state-{number}\"\nlisten = \"{listen}\"\n"
            );
            fs::write(fleet.path(&format!("planner-{number}.toml")), own).expect("written");
        }
        // In some five days after those that are known.
        let room = (1000.0 * keys(f64::from(KNOWN_DAYS) + 5.0)) as u64;
        text += &format!(
            "[growth]\nshard_bytes = {room}\nsplits_at_once = 2\nday_ms = {DAY_MS}\nstep_ms = {step_ms}\n"
        );
        fs::write(fleet.path("operator.toml"), text + settings).expect("written");
        let operator = FleetConfig::load(&fleet.path("operator.toml")).expect("an operator's file");
        let first_day = now().0 / (DAY_MS * 1000) - u64::from(KNOWN_DAYS);
        let mut growing = Growing {
            fleet,
            planners: BTreeMap::new(),
            nodes: (0..FORWARDERS).map(|n| Node::new(n, &operator)).collect(),
            auditor: Auditor::default(),
            began: Instant::now(),
            relays,
            chance: Chance(0),
            keys: GROW
                .map(|shard| (shard, (0..).filter(|k| shard_of(Key(*k)) == shard.0).take(9000).collect()))
                .into(),
            first_day,
            read_on: 0,
        };
        for number in 1..=PLANNERS {
            growing.know(number);
            growing.start_planner(number);
        }
        growing
    }

    /// A planner's store has the days up to now, and that it has voted before: at a first start each asks all others, a beat
    /// of 5 s after a lost letter again, and one that is killed meanwhile stops the rest until it is back.
    fn know(&self, number: usize) {
        let day = |n: u32| {
            let drawn = xxh3_64_with_seed(&n.to_le_bytes(), 3) % 1000;
            let keys = keys(f64::from(n)) * (0.995 + 0.00001 * drawn as f64);
            ClosedDay {
                day: AccountingDay(self.first_day as u32 + n),
                bytes: (keys * 1000.0) as f32,
                keys: keys as f32,
            }
        };
        let history = GROW.map(|shard| (shard, (0..KNOWN_DAYS - 1).map(day).collect())).into();
        let bytes = Snapshot { consensus: Some(AcceptorState::default()), history }.to_bytes();
        fs::create_dir(self.fleet.path(&format!("state-{number}"))).expect("a folder");
        let shelf = StateFile::open(&self.fleet.store(number), PlannerId(number as u8)).expect("a store");
        shelf.write(&[(ComponentKind::ShardGrowth, bytes)]).expect("written");
    }

    pub fn start_planner(&mut self, number: usize) {
        self.planners.insert(number, self.fleet.start(number));
    }

    /// The planner that leads by its number.
    pub fn leader(&self) -> usize {
        *self.planners.keys().next().expect("one lives")
    }

    /// Lets all go on until something is so.
    pub fn until(&mut self, what: &str, patience: Duration, is: impl Fn(&Growing) -> bool) {
        let ends = Instant::now() + patience;
        while !is(self) {
            let said = || self.planners.values().map(Planner::log).collect::<String>();
            let last = self.auditor.told.values().last();
            assert!(Instant::now() < ends, "not {what}: {last:?}\n{}", said());
            self.turn();
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn pass(&mut self, span: Duration) {
        let ends = Instant::now() + span;
        self.until("a while", 2 * span, |_| Instant::now() >= ends);
    }

    /// A letter of a forwarder's to all planners.
    pub fn say(&mut self, node: usize, letter: &Message) {
        for to in self.fleet.addresses.clone() {
            self.nodes[node].send(to, letter, 1);
        }
    }

    fn turn(&mut self) {
        for (relay, to) in self.relays.iter().zip(&self.fleet.addresses) {
            while let Some(bytes) = read(relay) {
                (0..self.chance.times()).for_each(|_| drop(relay.send_to(&bytes, to)));
            }
        }
        let now = now();
        self.read_keys(now);
        for node in &mut self.nodes {
            while let Some(bytes) = read(&node.socket) {
                for _ in 0..self.chance.times() {
                    let (from, letter) = message::open(&bytes, &secrets(OURS)).expect("of a planner");
                    if let Message::ShardGrowth(GrowthMessage::ShardMap { shard_map }) = &letter {
                        self.auditor.on_message(shard_map);
                    }
                    if let (Member::Planner(id), Message::Leases(leases::LeaseMessage::Grant { granted, .. })) =
                        (from.member, &letter)
                        && granted.iter().any(|(_, amount)| *amount > 0)
                    {
                        *self.auditor.grants.entry(id.0).or_default() += 1;
                    }
                    if node.members.take(now, from).is_err() {
                        continue;
                    }
                    match letter {
                        Message::Membership(m) => drop(node.members.on_message(now, from, m)),
                        Message::ShardGrowth(m) => drop(node.growth.on_message(now, from, m)),
                        _ => {}
                    }
                }
            }
            if node.members.must_be_new() {
                node.members.renewed(Incarnation(now.0));
            }
            if let Some(alive) = node.members.changed(now) {
                node.growth.on_membership_change(now, &alive);
            }
            loop {
                let growth = node.growth.poll_message(now).map(|(to, m)| (to, Message::ShardGrowth(m)));
                let Some((Member::Planner(to), letter)) = growth
                    .or_else(|| node.members.poll_message(now).map(|(to, m)| (to, Message::Membership(m))))
                else {
                    break;
                };
                node.members.sent(now, Member::Planner(to));
                node.send(self.fleet.addresses[usize::from(to.0) - 1], &letter, self.chance.times());
            }
        }
    }

    /// All keys of a day are read at once, each at one forwarder.
    fn read_keys(&mut self, now: Time) {
        let (day, into) = (now.0 / (DAY_MS * 1000), now.0 % (DAY_MS * 1000));
        if day == self.read_on || !(DAY_MS * 300..DAY_MS * 600).contains(&into) {
            return;
        }
        self.read_on = day;
        let count = keys((day - self.first_day) as f64) as usize;
        for key in self.keys.values().flat_map(|keys| keys.iter().take(count)) {
            let ended = FinishedAttempt {
                call: *key,
                number: 0,
                key: Key(*key),
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
            };
            let node = &mut self.nodes[(*key % FORWARDERS as u64) as usize];
            node.growth.seen(now, &Observation::AttemptFinished(Box::new(ended)));
        }
    }
}
