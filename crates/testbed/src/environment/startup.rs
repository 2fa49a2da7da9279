//! Builds a test environment: binds the listeners of all simulated servers and prepares the processes of
//! nodes and planners. Later changes of the set of servers are made here too.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, watch};

use super::addresses::Addresses;
use super::cache::CacheSlot;
use super::discovery::Discovery;
use super::endpoint_list::{self, ListedEndpoint};
use super::listener::{Listener, ListenerState};
use super::node::{NodeProcess, Program};
use super::node_config::node_config;
use super::origin::Origin;
use super::planner::{self, Persistence, Planner, PlannerSetup};
use super::relay::Relay;
use super::{Frontend, Run, TestEnvironment, growth};
use crate::event_log::{
    EndpointState, EventLogWriter, Member, NodeId, ServerId, ServerInfo, Timestamp, Version,
};
use crate::experiment::Experiment;
use crate::schedule::mix64;

/// Length of the secret with which members sign messages, in words of 64 bits.
const SECRET_WORDS: u64 = 4;
/// Version of every value before its first write.
const INITIAL_VERSION: Version = Version(0);

/// Builds the parts of one test environment.
struct EnvironmentBuilder<'a> {
    experiment: &'a Arc<Experiment>,
    run: &'a Run<'a>,
    event_log: EventLogWriter,
    addresses: Addresses,
}

impl TestEnvironment {
    /// Builds the environment of a run. The simulated servers serve from now on; the processes are prepared
    /// but not started.
    ///
    /// # Errors
    /// Returns the system's error if an address can't be bound or a planner's file can't be written.
    pub async fn build(
        experiment: &Arc<Experiment>,
        run: &Run<'_>,
        event_log: EventLogWriter,
    ) -> std::io::Result<TestEnvironment> {
        static RUN_COUNT: AtomicU8 = AtomicU8::new(0);
        let addresses = Addresses::new(RUN_COUNT.fetch_add(1, Ordering::Relaxed));
        let builder = EnvironmentBuilder { experiment, run, event_log, addresses };
        builder.build().await
    }

    /// Puts the server that occupies a slot on the endpoint list, in the given state.
    pub fn list_slot(&self, slot: usize, state: EndpointState) {
        let slot = &self.slots[slot];
        let id = slot.id();
        let uid = self.event_log.write(|log| log.servers[id.0].name.clone());
        let zones = &self.experiment.environment.zones;
        self.discovery.put(ListedEndpoint {
            id,
            uid,
            addresses: slot.listeners.get().into_iter().flatten().map(|l| l.address).collect(),
            zone: zones[slot.number % zones.len()].clone(),
            model: "plain",
            state,
            boot_ms: endpoint_list::boot_ms(slot.started(), self.event_log.unix_start_ms),
        });
    }

    /// Replaces the server in a slot by a cold server with a new name.
    pub fn replace_server(&self, slot: usize) {
        let now = self.event_log.now();
        let generation =
            self.event_log.write(|log| log.servers.iter().filter(|s| s.slot == Some(slot)).count());
        let id = record_server(&self.event_log, server_name(slot, generation), Some(slot), Some(now));
        self.slots[slot].replace_server(id, Some(now));
    }

    /// Puts the origin on the endpoint list.
    fn list_origin(&self) {
        self.discovery.put(ListedEndpoint {
            id: self.origin.id,
            uid: "origin".into(),
            addresses: self.origin_listeners.iter().map(|listener| listener.address).collect(),
            zone: self.experiment.environment.zones[0].clone(),
            model: "origin",
            state: EndpointState::Ready,
            boot_ms: 0,
        });
    }

    /// Text of the fleet configuration for a member, if there are planners. The configuration gives a planner
    /// its own address from `planner_addresses`, and the relay's addresses for all other planners.
    fn fleet_config(&self, member: Member, planner_addresses: &[SocketAddr]) -> Option<String> {
        let relay = self.relay.as_ref()?;
        let planners: Vec<SocketAddr> = (0..self.experiment.planners())
            .filter_map(|planner| {
                let relayed = relay.address(member, Member::Planner(planner));
                relayed.or_else(|| planner_addresses.get(planner).copied())
            })
            .collect();
        Some(planner::fleet_config(&self.experiment, &self.secret, &planners))
    }
}

impl EnvironmentBuilder<'_> {
    async fn build(&self) -> std::io::Result<TestEnvironment> {
        let origin_id = record_server(&self.event_log, "origin".into(), None, None);
        let origin_config = self.experiment.environment.origin.clone();
        let origin = Arc::new(Origin::new(origin_id, origin_config, self.event_log.clone()));
        let origin_listeners = self.bind_origin(&origin).await?;
        let slots = self.build_slots(&origin).await?;
        let _ = origin.cache_slots.set(slots.clone());
        growth::preload(self.experiment, &slots, &self.event_log);
        let discovery = Arc::new(Discovery::new(self.event_log.clone()));
        let discovery_ips: Vec<_> =
            (0..self.experiment.environment.nodes).map(|node| self.addresses.discovery(node)).collect();
        let discovery_addresses = discovery.bind(&discovery_ips, Duration::ZERO).await?;
        let mut environment = TestEnvironment {
            experiment: self.experiment.clone(),
            event_log: self.event_log.clone(),
            origin,
            origin_listeners,
            slots,
            discovery,
            discovery_ips,
            nodes: Vec::new(),
            node_addresses: Vec::new(),
            planners: Vec::new(),
            relay: None,
            secret: (0..SECRET_WORDS).flat_map(|n| mix64(self.run.seed, n).to_be_bytes()).collect(),
            mass_disconnect: watch::Sender::default(),
        };
        self.add_planners(&mut environment).await?;
        environment.list_origin();
        for slot in 0..self.experiment.environment.caches {
            environment.list_slot(slot, EndpointState::Ready);
        }
        self.add_nodes(&mut environment, &discovery_addresses);
        Ok(environment)
    }

    async fn bind_origin(&self, origin: &Arc<Origin>) -> std::io::Result<Vec<Listener>> {
        let mut listeners = Vec::new();
        for node in 0..self.experiment.environment.nodes {
            let ip = self.addresses.origin(node);
            let state = ListenerState::Accepting;
            listeners.push(Listener::bind(ip, NodeId(node), state, origin.clone()).await?);
        }
        Ok(listeners)
    }

    /// Builds all slots. Slots without an initial server refuse connections until a fault adds a server
    /// there.
    async fn build_slots(&self, origin: &Arc<Origin>) -> std::io::Result<Vec<Arc<CacheSlot>>> {
        let mut slots = Vec::new();
        for number in 0..self.experiment.max_caches() {
            let is_occupied = number < self.experiment.environment.caches;
            let id = record_server(&self.event_log, server_name(number, 0), Some(number), None);
            let config = self.experiment.environment.cache.clone();
            let event_log = self.event_log.clone();
            let slot = Arc::new(CacheSlot::new(number, config, event_log, origin.clone(), id, None));
            let state = if is_occupied { ListenerState::Accepting } else { ListenerState::Refusing };
            let mut listeners = Vec::new();
            for node in 0..self.experiment.environment.nodes {
                let ip = self.addresses.slot(node, number);
                listeners.push(Listener::bind(ip, NodeId(node), state, slot.clone()).await?);
            }
            let _ = slot.listeners.set(listeners);
            if is_occupied && self.experiment.load.preloaded {
                self.preload(&slot);
            }
            slots.push(slot);
        }
        Ok(slots)
    }

    /// Fills a cache with as many values as fit. The most popular values are stored last, so that they are
    /// evicted last.
    fn preload(&self, slot: &CacheSlot) {
        let keys = self.experiment.load.keys.min(self.experiment.environment.cache.capacity_values as u64);
        for key in (0..keys).rev() {
            slot.store(key, INITIAL_VERSION, INITIAL_VERSION);
        }
    }

    /// Opens the message relay and prepares the planners, if the experiment has any.
    async fn add_planners(&self, environment: &mut TestEnvironment) -> std::io::Result<()> {
        let Frontend::Nodes(program) = self.run.frontend else { return Ok(()) };
        let planner_addresses: Vec<SocketAddr> =
            (0..self.experiment.planners()).map(|planner| self.addresses.planner(planner)).collect();
        if planner_addresses.is_empty() {
            return Ok(());
        }
        let nodes = self.experiment.environment.nodes;
        let relay_ip = |receiver, represented| self.addresses.relay(receiver, represented);
        let event_log = self.event_log.clone();
        let relay = Relay::open(nodes, &planner_addresses, relay_ip, self.run.seed, event_log).await?;
        environment.relay = Some(relay);
        let is_volatile = self.experiment.fleet.as_ref().is_some_and(|fleet| fleet.volatile_planners);
        let persistence = if is_volatile { Persistence::InMemory } else { Persistence::Persistent };
        for (index, address) in planner_addresses.iter().enumerate() {
            let config =
                environment.fleet_config(Member::Planner(index), &planner_addresses).unwrap_or_default();
            let setup = PlannerSetup {
                index,
                address: *address,
                program,
                folder: self.run.folder,
                fleet_config: &config,
                persistence,
            };
            let planner = Planner::new(setup, self.event_log.clone())?;
            environment.planners.push(Mutex::new(planner));
        }
        Ok(())
    }

    /// Prepares the nodes. With [`Frontend::None`], clients connect to the first cache in place of each node.
    fn add_nodes(&self, environment: &mut TestEnvironment, discovery_addresses: &[SocketAddr]) {
        for (node, discovery) in discovery_addresses.iter().enumerate() {
            let first_cache = environment.slots[0].listeners.get().map(|listeners| listeners[node].address);
            let listen = self.addresses.node(node);
            let program = match (self.run.frontend, first_cache) {
                (Frontend::None, Some(address)) => {
                    environment.node_addresses.push(address);
                    continue;
                }
                (Frontend::None, None) => continue,
                (Frontend::Relays(path), Some(upstream)) => Program::TcpRelay { path: path.into(), upstream },
                (Frontend::Nodes(path) | Frontend::Relays(path), _) => Program::Node { path: path.into() },
            };
            let config = node_config(self.experiment, NodeId(node), listen, *discovery, self.run.seed);
            let process = NodeProcess::new(
                NodeId(node),
                listen,
                program,
                self.run.folder,
                config,
                environment.fleet_config(Member::Node(node), &[]),
                self.event_log.clone(),
            );
            environment.node_addresses.push(listen);
            environment.nodes.push(Mutex::new(process));
        }
    }
}

/// Name of a server. The placement of shards hashes the names, so their format must not change.
fn server_name(slot: usize, generation: usize) -> String {
    format!("box-{slot}.{generation}")
}

/// Adds a server to the event log and returns its ID.
fn record_server(
    event_log: &EventLogWriter,
    name: String,
    slot: Option<usize>,
    started: Option<Timestamp>,
) -> ServerId {
    event_log.write(|log| {
        log.servers.push(ServerInfo { name, slot, started });
        ServerId(log.servers.len() - 1)
    })
}
