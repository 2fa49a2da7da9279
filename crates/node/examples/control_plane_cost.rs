//! Measures the CPU cost of the control-plane agent in the event loop: the CPU time per request of a node
//! with a fleet configuration and of a node without one, under the same load on loopback.
//!
//! ```text
//! cargo build --release
//! cargo run --release -p granitelb-node --example control_plane_cost [REPETITIONS [SECONDS]]
//! ```

#[path = "../tests/control_plane/node_fixture.rs"]
#[allow(dead_code, reason = "the tests use more of the module")]
mod node_fixture;

use std::path::Path;
use std::time::{Duration, Instant};

use granitelb_coordination::membership;
use granitelb_coordination::message::Message;

use self::node_fixture::{Client, NodeFixture};

const CLIENTS: usize = 8;
/// Number of distinct keys that each client requests.
const KEYS_PER_CLIENT: u64 = 500;
/// Duration of the load before a measurement, in seconds.
const WARMUP_SECONDS: f64 = 0.5;
/// Intervals between the requests of a client, in microseconds: one experiment per interval.
const REQUEST_INTERVALS_US: [u64; 3] = [40_000, 4_000, 0];
const DEFAULT_REPETITIONS: f64 = 8.0;
const DEFAULT_SECONDS: f64 = 4.0;
const NANOS_PER_MICRO: f64 = 1e3;
const FLEET_CONFIG: &str =
    "forwarders = 300\n[leases]\norigin_per_s = 1000.0\n[growth]\nshard_bytes = 1000000000\n[hindsight]\n";

/// CPU time of a process in microseconds.
#[derive(Clone, Copy)]
struct CpuTime {
    /// CPU time of the event loop's thread.
    event_loop: f64,
    /// CPU time of all threads.
    process: f64,
}

impl CpuTime {
    fn of_process(process: u32) -> CpuTime {
        let tasks = std::fs::read_dir(format!("/proc/{process}/task")).expect("a process");
        let mut time = CpuTime { event_loop: 0.0, process: 0.0 };
        for task in tasks.flatten() {
            let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let nanos: f64 = text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
            time.process += nanos / NANOS_PER_MICRO;
            if task.file_name().to_str() == Some(process.to_string().as_str()) {
                time.event_loop += nanos / NANOS_PER_MICRO;
            }
        }
        time
    }
}

/// CPU time per request in microseconds, and the request rate.
struct Measurement {
    /// CPU time of the event loop without an agent.
    without_agent: f64,
    /// CPU time of the event loop with an agent.
    with_agent: f64,
    /// CPU time of all threads with an agent.
    all_threads: f64,
    /// Requests per second at each node.
    requests_per_s: f64,
}

impl Measurement {
    /// The additional CPU time of the event loop with an agent, in percent.
    fn added_percent(&self) -> f64 {
        (self.with_agent / self.without_agent - 1.0) * 100.0
    }
}

/// The parameters of a measurement.
struct Experiment<'a> {
    program: &'a Path,
    folder: &'a Path,
    request_interval: Duration,
    seconds: f64,
}

impl Experiment<'_> {
    /// Measures both nodes once. Each client sends requests to the nodes alternately, so that other load on
    /// the machine affects both nodes.
    fn measure(&self, agent_starts_first: bool) -> Measurement {
        let start = |fleet_config, n| {
            let address = format!("127.84.9.{n}");
            NodeFixture::start(self.program, self.folder, &address, fleet_config, 200)
        };
        let (without_agent, mut with_agent) = if agent_starts_first {
            let with_agent = start(Some(FLEET_CONFIG), 2);
            (start(None, 1), with_agent)
        } else {
            (start(None, 1), start(Some(FLEET_CONFIG), 2))
        };
        let processes = [without_agent.child.id(), with_agent.child.id()];
        let nodes = [&without_agent, &with_agent].map(|fixture| fixture.node);
        let interval = self.request_interval;
        send_requests(nodes, interval, WARMUP_SECONDS);
        let before = processes.map(CpuTime::of_process);
        let requests = std::thread::scope(|scope| {
            let load = scope.spawn(|| send_requests(nodes, interval, self.seconds));
            while !load.is_finished() {
                if with_agent.planner.receive().is_some() {
                    with_agent
                        .planner
                        .send_message(&Message::Membership(membership::MembershipMessage::Heartbeat));
                }
            }
            load.join().expect("requests")
        }) as f64;
        let after = processes.map(CpuTime::of_process);
        let per_request = |n: usize| (after[n].event_loop - before[n].event_loop) / requests;
        Measurement {
            without_agent: per_request(0),
            with_agent: per_request(1),
            all_threads: (after[1].process - before[1].process) / requests,
            requests_per_s: requests / self.seconds,
        }
    }
}

/// Sends requests from all clients to both nodes for a duration in seconds, and returns the number of
/// requests per node.
fn send_requests(nodes: [std::net::SocketAddr; 2], interval: Duration, seconds: f64) -> u64 {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let run_client = move |client: usize| {
        let mut connections = nodes.map(Client::new);
        let mut sent = 0u64;
        let mut due = Instant::now();
        while Instant::now() < end {
            // The second request of a pair runs on CPUs that are already awake. The order alternates, so that
            // each node is second as often as the other.
            connections.reverse();
            for connection in &mut connections {
                let key = format!("k{}-{client}-{sent}", sent % KEYS_PER_CLIENT);
                assert_eq!(connection.request(&key), 200);
            }
            sent += 1;
            due += interval;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        sent
    };
    let clients: Vec<_> = (0..CLIENTS).map(|n| std::thread::spawn(move || run_client(n))).collect();
    clients.into_iter().map(|client| client.join().expect("requests")).sum::<u64>()
}

/// The values of all measurements in ascending order.
fn sorted(measurements: &[Measurement], value: impl Fn(&Measurement) -> f64) -> Vec<f64> {
    let mut values: Vec<_> = measurements.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn main() {
    let argument = |n| std::env::args().nth(n).and_then(|text| text.parse::<f64>().ok());
    let repetitions = argument(1).unwrap_or(DEFAULT_REPETITIONS) as usize;
    let seconds = argument(2).unwrap_or(DEFAULT_SECONDS);
    let executable = std::env::current_exe().expect("the path of the executable");
    let program = executable.parent().and_then(Path::parent).expect("a folder").join("granitelb");
    let folder = std::env::temp_dir();
    println!(
        "| requests per second | event loop without agent, us per request | with agent | added: median, minimum, maximum | all threads with agent |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for interval_us in REQUEST_INTERVALS_US {
        let request_interval = Duration::from_micros(interval_us);
        let experiment = Experiment { program: &program, folder: &folder, request_interval, seconds };
        let measurements: Vec<_> = (0..repetitions).map(|n| experiment.measure(n % 2 == 1)).collect();
        let middle = repetitions / 2;
        let added = sorted(&measurements, Measurement::added_percent);
        println!(
            "| {:.0} | {:.1} | {:.1} | {:+.1}%, {:+.1}%, {:+.1}% | {:.1} |",
            sorted(&measurements, |m| m.requests_per_s)[middle],
            sorted(&measurements, |m| m.without_agent)[middle],
            sorted(&measurements, |m| m.with_agent)[middle],
            added[middle],
            added[0],
            added[repetitions - 1],
            sorted(&measurements, |m| m.all_threads)[middle]
        );
    }
}
