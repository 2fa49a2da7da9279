//! A world: stand-ins for caches, origin, discovery and clients around real nodes, on loopback.

mod byzantine_planner;
mod cache;
mod clients;
mod discovery;
mod faults;
mod growth;
mod link;
mod listener;
mod malformed_clients;
mod node;
mod origin;
mod planner;
mod relay;
mod service_queue;
mod wire;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use crate::event_log::{
    Event, EventLog, EventLogWriter, EndpointState, Member, NodeId, ServerId, ServerInfo, Timestamp,
};
use crate::experiment::Experiment;
use crate::schedule::{Schedule, mixed};
use cache::Seat;
use clients::{Clients, Leave};
use discovery::{Discovery, Entry};
use listener::{Door, Stance};
use node::{Node, Program};
use origin::Origin;
use planner::{Persistence, Planner, PlannerSetup};
use relay::Relay;

/// Between the nodes' being ready and the first call: each has its watch by then.
const SETTLES: Duration = Duration::from_millis(400);
/// How often a node's use of the system is looked at.
const LOOKS: Duration = Duration::from_millis(200);

const PULSE: Duration = Duration::from_millis(10);

/// What a run is made from.
pub struct Run<'a> {
    pub experiment: &'a Experiment,
    pub schedule: &'a Schedule,
    pub seed: u64,
    pub front: Front<'a>,
    /// Where configurations and logs go.
    pub folder: &'a Path,
}

/// What stands between clients and caches.
#[derive(Clone, Copy, Debug)]
pub enum Front<'a> {
    /// The program, a process a node.
    Nodes(&'a Path),
    /// A bare relay to the first cache, by this lab's own program.
    Relays(&'a Path),
    /// Nothing: clients ask the first cache themselves.
    None,
}

/// Everything that stands in a world.
pub struct World {
    experiment: Arc<Experiment>,
    event_log: EventLogWriter,
    origin: Arc<Origin>,
    origin_doors: Vec<Door>,
    seats: Vec<Arc<Seat>>,
    discovery: Arc<Discovery>,
    discovery_at: Vec<IpAddr>,
    nodes: Vec<Mutex<Node>>,
    node_addresses: Vec<SocketAddr>,
    planners: Vec<Mutex<Planner>>,
    relay: Option<Arc<Relay>>,
    secret: Vec<u8>,
    /// Tells clients to leave.
    leave: tokio::sync::watch::Sender<Leave>,
}

/// Plays an experiment once and gives the book of it.
///
/// # Errors
/// Whatever kept it from being played.
pub fn play(run: &Run<'_>) -> Result<EventLog, String> {
    // The stand-ins get threads of their own, however many runs go side by side.
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let event_log = runtime.block_on(play_in(run));
    runtime.shutdown_timeout(Duration::from_millis(200));
    event_log
}

async fn play_in(run: &Run<'_>) -> Result<EventLog, String> {
    std::fs::create_dir_all(run.folder).map_err(|e| format!("{}: {e}", run.folder.display()))?;
    let experiment = Arc::new(run.experiment.clone());
    let schedule = Arc::new(run.schedule.clone());
    // The start is known before anything stands, so that boxes can be as old as they are to be.
    let lead = Duration::from_millis(300 + 60 * experiment.world.nodes as u64) + SETTLES;
    let event_log = EventLogWriter::new(Instant::now() + lead + growth::lead_time(&experiment));
    let world = World::build(&experiment, run, event_log.clone()).await.map_err(|e| e.to_string())?;
    let world = Arc::new(world);
    growth::seed_history(&world).await.map_err(|e| e.to_string())?;
    for planner in &world.planners {
        planner.lock().await.start().map_err(|e| e.to_string())?;
    }
    // Side by side: one after the other, forty take longer than a run.
    let starts = world
        .nodes
        .iter()
        .take(experiment.begins_with())
        .map(|node| async move { node.lock().await.start(None).await });
    for started in join_all(starts).await {
        started?;
    }
    for late in world.nodes.iter().skip(experiment.begins_with()) {
        event_log.event(Event::NodeStopping { node: late.lock().await.id });
    }
    if event_log.now() > Timestamp(0) {
        return Err("the nodes took too long to start: this machine is too busy to judge them".into());
    }
    let looks = tokio::spawn(look(world.clone()));
    let pulse = tokio::spawn(pulse(event_log.clone()));
    let faults = tokio::spawn(faults::carry_out(world.clone()));
    let leave = world.leave.subscribe();
    let clients = Clients::new(experiment.clone(), schedule, event_log.clone(), &world.node_addresses, leave);
    clients.run().await;
    let _ = faults.await;
    looks.abort();
    pulse.abort();
    let longest = experiment.product.iter().map(|p| p.timeout_ms).max().unwrap_or(0);
    let stops = world.nodes.iter().map(|node| async move {
        let mut node = node.lock().await;
        node.look();
        node.stop(Duration::from_millis(longest)).await;
    });
    join_all(stops).await;
    for planner in &world.planners {
        let mut planner = planner.lock().await;
        planner.check_exit();
        planner.stop().await;
    }
    event_log.write(|b| b.secret.clone_from(&world.secret));
    Ok(event_log.close())
}

/// A few at a time.
async fn join_all<T>(all: impl Iterator<Item = impl Future<Output = T>>) -> Vec<T> {
    use futures_util::StreamExt;
    futures_util::stream::iter(all).buffered(8).collect().await
}

/// Notes by how much this runtime, and so each stand-in, stands still.
async fn pulse(event_log: EventLogWriter) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(PULSE).await;
        let late = before.elapsed().saturating_sub(PULSE).as_micros() as u64;
        if event_log.now() > Timestamp(0) {
            event_log.write(|b| b.max_stall_us = b.max_stall_us.max(late));
        }
    }
}

async fn look(world: Arc<World>) {
    loop {
        for node in &world.nodes {
            if let Ok(mut node) = node.try_lock() {
                node.look();
            }
        }
        for planner in &world.planners {
            if let Ok(mut planner) = planner.try_lock() {
                planner.check_exit();
            }
        }
        tokio::time::sleep(LOOKS).await;
    }
}

/// Addresses of this run's own: several go side by side, also in several processes. From 127.64.0.0 to 127.191.255.255.
fn address(run: u8, member: usize, last: usize) -> IpAddr {
    let process = (std::process::id() % 32) << 18;
    let within = u32::from(run % 16) << 14 | (member as u32 % 64) << 8 | (last as u32 % 256);
    IpAddr::V4(Ipv4Addr::from(u32::from(Ipv4Addr::new(127, 64, 0, 0)) + (process | within)))
}

/// Where a node listens, chosen without a socket: while one held it, even for a moment, a child that another thread forks
/// there would keep it open until its exec, and the node would find its address in use. It lies under the ports that the
/// system gives out, and differs from run to run.
fn node_address(run: u8, node: usize) -> SocketAddr {
    let process = (std::process::id() / 32 % 64) as u16;
    SocketAddr::new(address(run, node, NODE_AT), 16_384 + process * 256 + u16::from(run))
}

const ORIGIN_AT: usize = 200;
const DISCOVERY_AT: usize = 201;
const NODE_AT: usize = 202;
/// Among members planners come after all nodes, and the relay stands for the others at each from these on.
const FIRST_PLANNER: usize = 48;
const RELAY_FOR_PLANNERS: usize = 210;

/// Where a member is faced by the relay in another's place.
fn relay_address(run: u8, member: Member, other: Member) -> IpAddr {
    let own = match member {
        Member::Node(n) => n,
        Member::Planner(p) => FIRST_PLANNER + p,
    };
    let last = match other {
        Member::Node(n) => n + 1,
        Member::Planner(p) => RELAY_FOR_PLANNERS + p,
    };
    address(run, own, last)
}

impl World {
    async fn build(
        experiment: &Arc<Experiment>,
        run: &Run<'_>,
        event_log: EventLogWriter,
    ) -> std::io::Result<World> {
        static RUNS: AtomicU8 = AtomicU8::new(0);
        let number = RUNS.fetch_add(1, Ordering::Relaxed);
        let form = &experiment.world;
        let nodes = 0..form.nodes;
        let origin_id = note_server(&event_log, "origin".into(), None, None);
        let origin = Arc::new(Origin::new(origin_id, form.origin.clone(), event_log.clone()));
        let mut origin_doors = Vec::new();
        for node in nodes.clone() {
            let ip = address(number, node, ORIGIN_AT);
            origin_doors.push(Door::open(ip, NodeId(node), Stance::Open, origin.clone()).await?);
        }
        let mut seats = Vec::new();
        for seat in 0..experiment.seats() {
            let there = seat < form.caches;
            let id = note_server(&event_log, name(seat, 0), Some(seat), None);
            let (form, event_log, origin) = (form.cache.clone(), event_log.clone(), origin.clone());
            let seat = Arc::new(Seat::new(seat, form, event_log, origin, id, None));
            let mut doors = Vec::new();
            for node in nodes.clone() {
                let ip = address(number, node, seat.number + 1);
                let stance = if there { Stance::Open } else { Stance::Refusing };
                doors.push(Door::open(ip, NodeId(node), stance, seat.clone()).await?);
            }
            let _ = seat.doors.set(doors);
            if there && experiment.load.preloaded {
                // The most popular ones last, lest they go first.
                let keys = experiment.load.keys.min(experiment.world.cache.values as u64);
                let zero = crate::event_log::Version(0);
                (0..keys).rev().for_each(|key| seat.store(key, zero, zero));
            }
            seats.push(seat);
        }
        let _ = origin.seats.set(seats.clone());
        growth::preload(experiment, &seats, &event_log);
        let discovery = Arc::new(Discovery::new(event_log.clone()));
        let discovery_at: Vec<_> = nodes.clone().map(|n| address(number, n, DISCOVERY_AT)).collect();
        let discovery_doors = discovery.open(&discovery_at, Duration::ZERO).await?;
        let mut world = World {
            experiment: experiment.clone(),
            event_log: event_log.clone(),
            origin,
            origin_doors,
            seats,
            discovery,
            discovery_at,
            nodes: Vec::new(),
            node_addresses: Vec::new(),
            planners: Vec::new(),
            relay: None,
            leave: tokio::sync::watch::Sender::default(),
            secret: (0..4).flat_map(|n| mixed(run.seed, n).to_be_bytes()).collect(),
        };
        world.add_planners(number, run).await?;
        world.discovery.put(world.origin_entry());
        for seat in 0..form.caches {
            world.list(seat, EndpointState::Ready);
        }
        for node in nodes {
            let first_cache = world.seats[0].doors.get().map(|doors| doors[node].address);
            if let (Front::None, Some(at)) = (run.front, first_cache) {
                world.node_addresses.push(at);
                continue;
            }
            let listen = node_address(number, node);
            let config = node::config(experiment, NodeId(node), listen, discovery_doors[node], run.seed);
            let program = match (run.front, first_cache) {
                (Front::Relays(lab), Some(to)) => Program::relay(lab, listen, to),
                (Front::Nodes(program) | Front::Relays(program), _) => Program::node(program),
                (Front::None, _) => continue,
            };
            let operator = world.operators_file(Member::Node(node));
            let node =
                Node::new(NodeId(node), listen, program, run.folder, config, operator, event_log.clone());
            world.node_addresses.push(listen);
            world.nodes.push(Mutex::new(node));
        }
        Ok(world)
    }

    async fn add_planners(&mut self, number: u8, run: &Run<'_>) -> std::io::Result<()> {
        let Front::Nodes(program) = run.front else { return Ok(()) };
        let listen = |p| node_address(number, FIRST_PLANNER + p);
        let addresses: Vec<_> = (0..self.experiment.planners()).map(listen).collect();
        if addresses.is_empty() {
            return Ok(());
        }
        let nodes = self.experiment.world.nodes;
        let place = |member, other| relay_address(number, member, other);
        let relay = Relay::open(nodes, &addresses, place, run.seed, self.event_log.clone()).await?;
        self.relay = Some(relay);
        let persistence = match &self.experiment.fleet {
            Some(fleet) if fleet.forgetful => Persistence::InMemory,
            _ => Persistence::Persistent,
        };
        for (p, at) in addresses.iter().enumerate() {
            let operator = self.operators_file_with(Member::Planner(p), &addresses).unwrap_or_default();
            let event_log = self.event_log.clone();
            let setup = PlannerSetup {
                index: p,
                address: *at,
                program,
                folder: run.folder,
                fleet_config: &operator,
                persistence,
            };
            let planner = Planner::new(setup, event_log)?;
            self.planners.push(Mutex::new(planner));
        }
        Ok(())
    }

    fn operators_file(&self, member: Member) -> Option<String> {
        self.operators_file_with(member, &[])
    }

    /// The operator's file as a member reads it; a planner finds itself where it stands, all others at the relay.
    fn operators_file_with(&self, member: Member, own: &[SocketAddr]) -> Option<String> {
        let relay = self.relay.as_ref()?;
        let planners = (0..self.experiment.planners())
            .filter_map(|p| relay.address(member, Member::Planner(p)).or_else(|| own.get(p).copied()));
        Some(planner::fleet_config(&self.experiment, &self.secret, &planners.collect::<Vec<_>>()))
    }

    fn origin_entry(&self) -> Entry {
        Entry {
            id: self.origin.id,
            uid: "origin".into(),
            endpoints: self.origin_doors.iter().map(|d| d.address).collect(),
            zone: self.experiment.world.zones[0].clone(),
            kind: "origin",
            listed: EndpointState::Ready,
            boot_ms: 0,
        }
    }

    /// Lists what stands at a seat.
    fn list(&self, seat: usize, listed: EndpointState) {
        let seat = &self.seats[seat];
        let id = seat.id();
        let uid = self.event_log.write(|b| b.servers[id.0].name.clone());
        let zones = &self.experiment.world.zones;
        self.discovery.put(Entry {
            id,
            uid,
            endpoints: seat.doors.get().into_iter().flatten().map(|d| d.address).collect(),
            zone: zones[seat.number % zones.len()].clone(),
            kind: "plain",
            listed,
            boot_ms: discovery::boot_ms(seat.started(), self.event_log.unix_start_ms),
        });
    }

    /// A new box under a new name stands at a seat, cold.
    fn renew(&self, seat: usize) {
        let now = self.event_log.now();
        let generation = self.event_log.write(|b| b.servers.iter().filter(|s| s.slot == Some(seat)).count());
        let id = note_server(&self.event_log, name(seat, generation), Some(seat), Some(now));
        self.seats[seat].stand(id, Some(now));
    }
}

fn name(seat: usize, generation: usize) -> String {
    format!("box-{seat}.{generation}")
}

fn note_server(
    event_log: &EventLogWriter,
    name: String,
    seat: Option<usize>,
    started: Option<Timestamp>,
) -> ServerId {
    event_log.write(|b| {
        b.servers.push(ServerInfo { name, slot: seat, started });
        ServerId(b.servers.len() - 1)
    })
}

/// Where a run's files go, below the system's place for temporary ones.
pub fn scratch(name: &str, seed: u64) -> PathBuf {
    std::env::temp_dir()
        .join(format!("granitelb-testbed-{}", std::process::id()))
        .join(format!("{name}-{seed}"))
}

#[cfg(test)]
mod tests;
