//! A fleet of planner and node processes on loopback, all of them the real program. Each node receives
//! requests, its cache server misses every key, and origin fetches are leased.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::flood::UNKNOWN_FORWARDER;
use super::node_fixture::{Client, NodeFixture};
use granitelb_coordination::Member;

pub const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
/// The longest time to wait until all nodes use leases.
const LEASE_TIMEOUT: Duration = Duration::from_secs(10);
/// The lowest port of planners, the number of such ports, and the third byte of the planners' addresses.
const FIRST_PLANNER_PORT: u16 = 12_000;
const PLANNER_PORTS: u32 = 4000;
const PLANNERS_SUBNET: u8 = 250;
/// The number of clients of each node, and the pause of each client between two requests.
const CLIENTS_PER_NODE: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The planners and nodes of one fleet.
pub struct Fleet {
    pub planners: Vec<PlannerProcess>,
    pub nodes: Vec<NodeFixture>,
    /// The addresses at which the planners receive messages.
    pub message_addresses: Vec<SocketAddr>,
}

/// A planner process.
pub struct PlannerProcess {
    child: Child,
    log: PathBuf,
}

impl Drop for PlannerProcess {
    fn drop(&mut self) {
        // The kill fails where the process has exited, which does not matter here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl PlannerProcess {
    fn start(program: &Path, folder: &Path, number: usize) -> PlannerProcess {
        let config = folder.join(format!("planner-{number}.toml"));
        let log = folder.join(format!("planner-{number}.log"));
        let text = format!("number = {number}\noperator = \"operator.toml\"\nstate = \"state-{number}\"\n");
        fs::write(&config, text).expect("a file");
        let output = Stdio::from(fs::File::create(&log).expect("a file"));
        let mut command = Command::new(program);
        let child = command.args(["plan", "--config"]).arg(&config).stderr(output).spawn();
        PlannerProcess { child: child.expect("the program"), log }
    }

    /// The text that the planner has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    /// Stops the planner and waits until its process has exited successfully.
    pub fn stop(&mut self) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("a running planner");
        assert!(self.child.wait().expect("an exit status").success(), "{}", self.log());
    }
}

/// The numbers of requests, answers and origin fetches within a time.
#[derive(Debug, Default, PartialEq)]
pub struct RequestCounts {
    pub requests: u64,
    pub answered: u64,
    /// Origin fetches.
    pub fetches: u64,
}

/// The numbers of log lines in which members reported faults of other members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultReports {
    /// Reports that a member is silent.
    pub silent_members: usize,
    /// Reports that no planner grants leases.
    pub missing_leases: usize,
}

/// Counters that all clients share.
#[derive(Default)]
struct ClientCounters {
    has_ended: AtomicBool,
    requests: AtomicU64,
    answered: AtomicU64,
}

impl Fleet {
    /// Starts planners and nodes. The fleet may fetch `origin_per_s` times a second from the origin; a tenth
    /// of these fetches needs no lease. Nodes have the addresses 127.`net`.n.1.
    pub fn start(
        program: &Path,
        folder: &Path,
        net: u8,
        (planners, nodes): (usize, usize),
        origin_per_s: f64,
    ) -> Fleet {
        let message_addresses = planner_addresses(net, planners);
        let mut fleet_config = format!("secret = \"{SECRET}\"\nforwarders = {nodes}\n");
        for (index, address) in message_addresses.iter().enumerate() {
            fleet_config += &format!("[[planner]]\nnumber = {}\nletters = \"{address}\"\n", index + 1);
        }
        fleet_config += &format!("[leases]\norigin_per_s = {origin_per_s:.1}\nreserve = 0.1\n");
        fs::write(folder.join("operator.toml"), &fleet_config).expect("a file");
        let planners = (1..=planners).map(|number| PlannerProcess::start(program, folder, number)).collect();
        let start_node = |number: usize| {
            let address = format!("127.{net}.{number}.1");
            let name = format!("node-{number}");
            let config = |_| Some(fleet_config.clone());
            NodeFixture::start_named(program, folder, (&address, &name), config, 404)
        };
        let nodes = (1..=nodes).map(start_node).collect();
        Fleet { planners, nodes, message_addresses }
    }

    /// The address at which a node receives messages, from its log.
    pub fn message_address_of(&self, node: usize) -> SocketAddr {
        let log = self.nodes[node].log();
        let address = log.split("messages are sent from ").nth(1).and_then(|rest| rest.split(' ').next());
        address.and_then(|a| a.parse().ok()).unwrap_or_else(|| panic!("no address in the node's log:\n{log}"))
    }

    fn fetches(&self) -> u64 {
        self.nodes.iter().map(|node| node.fetches.load(Ordering::Relaxed)).sum()
    }

    /// Waits until all nodes use leases.
    pub fn wait_for_leases(&self) {
        let deadline = Instant::now() + LEASE_TIMEOUT;
        while !self.nodes.iter().all(|n| n.log().contains("uses leases of planners")) {
            let logs: Vec<_> = self.nodes.iter().map(NodeFixture::log).collect();
            assert!(Instant::now() < deadline, "not all nodes use leases: {logs:#?}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// The faults that members have reported of other members. Reports about the sender of a flood are left
    /// out: its messages make it a member, which is gone when the flood ends.
    pub fn fault_reports(&self) -> FaultReports {
        let unknown = Member::Forwarder(UNKNOWN_FORWARDER).to_string();
        let count = |log: &str, text: &str| {
            log.lines().filter(|line| line.contains(text) && !line.contains(&unknown)).count()
        };
        let mut reports = FaultReports { silent_members: 0, missing_leases: 0 };
        let planner_logs = self.planners.iter().map(PlannerProcess::log);
        for log in planner_logs.chain(self.nodes.iter().map(NodeFixture::log)) {
            reports.silent_members += count(&log, "has been silent");
            reports.missing_leases += count(&log, "no planner grants leases");
        }
        reports
    }

    /// Sends requests to all nodes while `meanwhile` runs. `meanwhile` gets a function that waits for a time
    /// and returns the request counts within that time.
    pub fn with_requests<T>(&self, meanwhile: impl FnOnce(&dyn Fn(Duration) -> RequestCounts) -> T) -> T {
        let counters = ClientCounters::default();
        std::thread::scope(|scope| {
            for node in 0..self.nodes.len() {
                for client in 0..CLIENTS_PER_NODE {
                    let counters = &counters;
                    scope.spawn(move || self.run_client(node, client, counters));
                }
            }
            let result = meanwhile(&|duration| {
                let before = self.request_counts(&counters);
                std::thread::sleep(duration);
                let after = self.request_counts(&counters);
                RequestCounts {
                    requests: after.requests - before.requests,
                    answered: after.answered - before.answered,
                    fetches: after.fetches - before.fetches,
                }
            });
            counters.has_ended.store(true, Ordering::Relaxed);
            result
        })
    }

    fn run_client(&self, node: usize, client: usize, counters: &ClientCounters) {
        let mut connection = Client::new(self.nodes[node].node);
        for n in 0.. {
            if counters.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let status = connection.request(&format!("n{node}-c{client}-{n}"));
            counters.requests.fetch_add(1, Ordering::Relaxed);
            counters.answered.fetch_add(u64::from(status == 200), Ordering::Relaxed);
            std::thread::sleep(REQUEST_INTERVAL);
        }
    }

    fn request_counts(&self, counters: &ClientCounters) -> RequestCounts {
        RequestCounts {
            requests: counters.requests.load(Ordering::Relaxed),
            answered: counters.answered.load(Ordering::Relaxed),
            fetches: self.fetches(),
        }
    }
}

/// Addresses for the planners of a fleet. Their port lies below the ephemeral ports: the system could give one of
/// those to another socket before the planner binds it.
fn planner_addresses(net: u8, count: usize) -> Vec<SocketAddr> {
    let port = FIRST_PLANNER_PORT + (std::process::id() % PLANNER_PORTS) as u16;
    let host = |number: usize| Ipv4Addr::new(127, net, PLANNERS_SUBNET, number as u8 + 1);
    (0..count).map(|number| SocketAddr::new(host(number).into(), port)).collect()
}
