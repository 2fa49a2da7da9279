//! Prints the cost of a planner's process for several numbers of forwarders. The first argument is the path
//! of the program, which runs as a planner on loopback. This process sends it the messages of forwarders,
//! which report and request leases twice a second.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use granitelb_balancer::ids::EndpointId;
use granitelb_coordination::endpoint_health::{EndpointCounts, Fragment, HealthMessage, HealthReport};
use granitelb_coordination::leases::{Demand, LeaseMessage, Resource};
use granitelb_coordination::message::{Message, Secret, Secrets, seal};
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender};

const MEASURED_S: u64 = 10;
const ROUNDS_PER_S: u64 = 2;
const ROUNDS: u64 = ROUNDS_PER_S * MEASURED_S;
const ROUND_US: u64 = 500_000;
/// The number of sockets that all forwarders share.
const SOCKETS: usize = 32;
const CACHES: u64 = 70;
const REPORTED_CACHES: u64 = 5;
const FAILING_CACHE: u64 = 0;
const MAX_DATAGRAM_BYTES: usize = 1500;
/// The time that the planner gets to start before it is measured.
const START_TIME: Duration = Duration::from_millis(500);
const SECRET: [u8; 16] = [7; 16];
/// The clock ticks in a second in which `/proc` reports CPU times.
const TICKS_PER_S: f64 = 100.0;
const KB_PER_MB: f64 = 1024.0;

fn main() {
    let program = std::env::args().nth(1).expect("the program as the first argument");
    println!("| forwarders | of a core | resident, MB | bytes in a second | bytes out a second | answered |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for forwarders in [50, 100, 200, 500, 1000, 2000] {
        let folder = std::env::temp_dir().join(format!("planner-cost-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder is created");
        let row = measure(&program, &folder, forwarders);
        fs::remove_dir_all(&folder).expect("the folder is removed");
        println!("| {forwarders} | {row} |");
    }
}

/// The traffic of all forwarders.
#[derive(Default)]
struct Traffic {
    sent_bytes: usize,
    received_bytes: usize,
    answers: u64,
}

/// Runs a planner with this many forwarders, and returns the cells of a row of the table.
fn measure(program: &str, folder: &Path, forwarders: u64) -> String {
    let address = UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address");
    write_configs(folder, address);
    let mut child = Command::new(program)
        .arg("plan")
        .arg("--config")
        .arg(folder.join("planner.toml"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the planner starts");
    thread::sleep(START_TIME);
    let cpu_before_s = cpu_time_s(&child);
    let started_at = Instant::now();
    let traffic = run_forwarders(forwarders, address, started_at);
    let cpu_s = cpu_time_s(&child) - cpu_before_s;
    let resident = resident_mb(&child);
    child.kill().expect("the planner is killed");
    child.wait().expect("the planner exits");
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let cpu_percent = 100.0 * cpu_s / elapsed_s;
    let received_per_s = (traffic.sent_bytes as f64 / elapsed_s) as u64;
    let sent_per_s = (traffic.received_bytes as f64 / elapsed_s) as u64;
    format!("{cpu_percent:.2}% | {resident:.0} | {received_per_s} | {sent_per_s} | {}", traffic.answers)
}

fn write_configs(folder: &Path, address: SocketAddr) {
    let fleet_config = format!(
        "secret = \"{}\"\nforwarders = 4000\n[[planner]]\nnumber = 1\nletters = \"{address}\"\n[leases]\norigin_per_s = 1000.0\n[hindsight]\n",
        hex::encode(SECRET)
    );
    fs::write(folder.join("operator.toml"), fleet_config).expect("the file is written");
    let planner_config = "number = 1\noperator = \"operator.toml\"\nstate = \"state\"\n";
    fs::write(folder.join("planner.toml"), planner_config).expect("the file is written");
}

fn connect(planner: SocketAddr) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.set_nonblocking(true).expect("the socket's mode is set");
    socket.connect(planner).expect("the socket is connected");
    socket
}

/// Sends the messages of all forwarders in all rounds, spread evenly over each round, and receives the
/// answers.
fn run_forwarders(forwarders: u64, planner: SocketAddr, started_at: Instant) -> Traffic {
    let secrets = Secrets::single(Secret::new(&SECRET).expect("long enough"));
    // All forwarders share a few sockets, since the planner answers to the address from which a forwarder
    // sent.
    let sockets: Vec<_> = (0..SOCKETS).map(|_| connect(planner)).collect();
    let mut traffic = Traffic::default();
    for round in 0..ROUNDS {
        for n in 0..forwarders {
            let due_us = (round * forwarders + n) * ROUND_US / forwarders;
            let due_at = started_at + Duration::from_micros(due_us);
            thread::sleep(due_at.saturating_duration_since(Instant::now()));
            let socket = &sockets[n as usize % sockets.len()];
            traffic.sent_bytes += send_messages(socket, &secrets, n, round);
            receive_answers(socket, &mut traffic);
        }
    }
    traffic
}

/// Sends the messages of forwarder `n` in a round, and returns how many bytes were sent.
fn send_messages(socket: &UdpSocket, secrets: &Secrets, n: u64, round: u64) -> usize {
    let member = Member::Forwarder(ForwarderId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let messages = messages(n, round);
    let mut sent_bytes = 0;
    for (index, message) in messages.iter().enumerate() {
        let number = round * messages.len() as u64 + index as u64;
        let sender = Sender { member, incarnation: Incarnation(1), sequence: number };
        let bytes = seal(sender, message, secrets).expect("the message is sealed");
        sent_bytes += socket.send(&bytes).unwrap_or(0);
    }
    sent_bytes
}

fn receive_answers(socket: &UdpSocket, traffic: &mut Traffic) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while let Ok(length) = socket.recv(&mut buffer) {
        traffic.received_bytes += length;
        traffic.answers += 1;
    }
}

/// The messages of forwarder `n` in a round: a report on five of 70 caches, of which cache 0 fails, and a
/// request for a lease.
fn messages(n: u64, round: u64) -> Vec<Message> {
    let counts = |index: u64| {
        let cache = (n + round + 14 * index) % CACHES;
        let failed = f64::from(u8::from(cache == FAILING_CACHE));
        EndpointCounts { endpoint: EndpointId(cache), answered: 1.0 - failed, failed, in_flight: 0.0 }
    };
    let caches = (0..REPORTED_CACHES).map(counts).collect();
    let report = HealthReport { sequence: round + 1, fragment: Fragment::SINGLE, endpoints: caches };
    let demands = vec![Demand {
        resource: Resource::Origin,
        amount: 500,
        request_in_use: round,
        requesters: 1,
        already_held: 0,
    }];
    vec![
        Message::EndpointHealth(HealthMessage::Report(report)),
        Message::Leases(LeaseMessage::Request { request_id: round + 1, demands }),
    ]
}

/// The user and system CPU time of a process, in seconds.
fn cpu_time_s(child: &Child) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", child.id())).expect("the planner runs");
    let after_name = stat.rsplit(')').next().expect("the program's name");
    let ticks = |field: usize| {
        let text = after_name.split_whitespace().nth(field).expect("a field of the line");
        text.parse::<f64>().expect("a number")
    };
    let (user, system) = (ticks(11), ticks(12));
    (user + system) / TICKS_PER_S
}

/// The resident memory of a process, in MB.
fn resident_mb(child: &Child) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).expect("the planner runs");
    let text = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("the line of VmRSS");
    text.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") / KB_PER_MB
}
