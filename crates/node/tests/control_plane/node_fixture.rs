//! A node of a fleet on loopback: the real program, with stand-ins for discovery, a cache server, the origin
//! and a planner.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{Incarnation, Member, PlannerId, Sender};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
/// The longest wait for an expected event; every such event happens sooner, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The time between two heartbeats of discovery on a watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// The longest time that `Planner::receive` waits for a message.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// The lowest port of nodes, and the number of such ports: all lie below the system's ephemeral ports.
const FIRST_PORT: u16 = 16_384;
const PORTS: u32 = 16_384;

/// A node process with its stand-ins for discovery, a cache server, the origin and a planner.
pub struct NodeFixture {
    pub node: SocketAddr,
    pub child: Child,
    /// The number of fetches that the origin has received.
    pub fetches: Arc<AtomicU64>,
    pub planner: Planner,
    /// The path of the fleet configuration.
    pub fleet_config: PathBuf,
    log: PathBuf,
}

impl Drop for NodeFixture {
    fn drop(&mut self) {
        // The kill fails where the process has exited, which does not matter here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stand-in for a planner, whose messages the test chooses.
pub struct Planner {
    socket: UdpSocket,
    secrets: Secrets,
    number: u64,
    pub incarnation: Incarnation,
    /// The address that the node's last message came from.
    pub node: Option<SocketAddr>,
}

impl Planner {
    fn new(address: &str) -> Planner {
        let socket = UdpSocket::bind((address, 0)).expect("a socket");
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("a socket");
        let bytes: Vec<u8> = (0..16).collect();
        let secrets = Secrets::single(Secret::new(&bytes).expect("a secret"));
        Planner { socket, secrets, number: 0, incarnation: Incarnation(7), node: None }
    }

    /// The next message, or none if no message arrives within `RECEIVE_TIMEOUT`.
    pub fn receive(&mut self) -> Option<(Sender, Message)> {
        let mut bytes = [0; 2048];
        let (length, from) = self.socket.recv_from(&mut bytes).ok()?;
        self.node = Some(from);
        Some(message::open(&bytes[..length], &self.secrets).expect("a message"))
    }

    /// Sends the node a signed message.
    pub fn send_message(&mut self, message: &Message) {
        self.number += 1;
        let sender = Sender {
            member: Member::Planner(PlannerId(1)),
            incarnation: self.incarnation,
            sequence: self.number,
        };
        let bytes = message::seal(sender, message, &self.secrets).expect("a message");
        self.send_bytes(&bytes);
    }

    /// Sends the node bytes that may not be a message.
    pub fn send_bytes(&self, bytes: &[u8]) {
        if let Some(node) = self.node {
            // Sending fails where the node is gone, which does not matter here.
            let _ = self.socket.send_to(bytes, node);
        }
    }
}

/// Answers each request with `respond_to`, which gets the request's first line and the connection.
fn serve(listener: TcpListener, respond_to: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) {
    let respond_to = Arc::new(respond_to);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond_to = respond_to.clone();
            std::thread::spawn(move || {
                let Ok(mut output) = stream.try_clone() else { return };
                let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
                while let Some(first_line) = lines.next() {
                    if lines.by_ref().any(|line| line.is_empty()) {
                        respond_to(&first_line, &mut output);
                    }
                }
            });
        }
    });
}

/// Serves an endpoint list to each watch, and heartbeats after the list.
fn serve_discovery(listener: TcpListener, list: String) {
    serve(listener, move |_, output| {
        let chunk = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        // This write may fail where the node is gone: the heartbeats then fail and end the loop.
        let _ = write!(output, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
        while output.write_all(b"1\r\n\n\r\n").is_ok() {
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

fn respond(output: &mut TcpStream, status: u16) {
    let response = format!("HTTP/1.1 {status} Such\r\nContent-Length: 4\r\n\r\nbody");
    // Writing fails where the node is gone, which does not matter here.
    let _ = output.write_all(response.as_bytes());
}

fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().expect("an address").to_string()
}

fn list_entry(uid: &str, listener: &TcpListener, kind: &str) -> Value {
    json!({"uid": uid, "endpoint": address_of(listener), "az": "z", "model": kind, "pod_group": 0,
        "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
}

fn settings() -> Value {
    json!({
        "Bounds": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 60_000_000, "MayCancel": true, "MostShots": 4,
            "RetryAfter": true, "MaxRetryAfterUs": 1_500_000, "SecondCopies": false},
        "Discovery": "push",
        "Products": [{"Name": "read", "Effect": "read_like", "DedupScope": "all", "WindowUs": 3_000_000,
            "LatencySloUs": 600_000, "ClientTimeoutUs": 1_200_000, "BilledValue": 1.0}],
        "Rules": {"MustAskInUs": 10_000_000, "FallMultiple": 3.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
            "WarmAfterUs": 20_000_000},
        "Shapes": ["plain", "origin"], "Siblings": 1, "Zones": ["z"],
        "Specifics": {"Mode": "aside", "OriginKind": 1},
    })
}

fn node_address(address: &str) -> SocketAddr {
    let port = FIRST_PORT + (std::process::id() % PORTS) as u16;
    SocketAddr::new(address.parse().expect("an address"), port)
}

fn node_config(name: &str, node: SocketAddr, discovery_address: &str) -> Value {
    json!({"name": name, "listen": node.to_string(), "seed": "1f", "discovery": discovery_address,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings()})
}

impl NodeFixture {
    /// Starts a node at an address of its own. The node has a fleet configuration only where `fleet_config`,
    /// a part of that configuration, is given. The node's cache server answers with `status`.
    pub fn start(
        program: &Path,
        folder: &Path,
        address: &str,
        fleet_config: Option<&str>,
        status: u16,
    ) -> NodeFixture {
        let text = |planner_address| {
            let rest = fleet_config?;
            let planner = format!("[[planner]]\nnumber = 1\nletters = \"{planner_address}\"\n");
            Some(format!("secret = \"{SECRET}\"\n{rest}\n{planner}"))
        };
        NodeFixture::start_named(program, folder, (address, "n"), text, status)
    }

    /// Starts a node with a given name, and with the fleet configuration that `fleet_config` returns for the
    /// planner's address. The node's cache server answers with `status`.
    pub fn start_named(
        program: &Path,
        folder: &Path,
        (address, name): (&str, &str),
        fleet_config: impl Fn(SocketAddr) -> Option<String>,
        status: u16,
    ) -> NodeFixture {
        let listen = || TcpListener::bind((address, 0)).expect("a loopback address");
        let discovery = listen();
        let cache = listen();
        let origin = listen();
        let entries = [list_entry("cache", &cache, "plain"), list_entry("origin", &origin, "origin")];
        let list = json!({"rev": 1, "all": true, "targets": entries}).to_string();
        let discovery_address = address_of(&discovery);
        serve_discovery(discovery, list);
        serve(cache, move |_, output| respond(output, status));
        let fetches = Arc::new(AtomicU64::new(0));
        let fetch_counter = fetches.clone();
        serve(origin, move |_, output| {
            fetch_counter.fetch_add(1, Ordering::Relaxed);
            respond(output, 200);
        });
        let node = node_address(address);
        let config = node_config(name, node, &discovery_address);
        let planner = Planner::new(address);
        let planner_address = planner.socket.local_addr().expect("an address");
        let file = |extension: &str| folder.join(format!("{address}.{extension}"));
        std::fs::write(file("json"), config.to_string()).expect("a file");
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(file("json"));
        if let Some(text) = fleet_config(planner_address) {
            std::fs::write(file("toml"), text).expect("a file");
            command.arg("--operator").arg(file("toml"));
        }
        let log = file("log");
        command.stderr(Stdio::from(std::fs::File::create(&log).expect("a file")));
        let child = command.spawn().expect("the program");
        let fixture = NodeFixture { node, child, fetches, planner, fleet_config: file("toml"), log };
        fixture.wait_until_ready();
        fixture
    }

    /// Waits until the node has logged that its two endpoints accept requests.
    fn wait_until_ready(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.log().contains("2 endpoints accept requests") {
            assert!(Instant::now() < deadline, "the node is not ready; its log: {}", self.log());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The text that the node has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    /// Sends the node a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("a process");
    }
}

/// A client with one connection.
pub struct Client(TcpStream);

impl Client {
    /// Connects to a node.
    pub fn new(node: SocketAddr) -> Client {
        let stream = TcpStream::connect(node).expect("the node listens");
        stream.set_nodelay(true).expect("a socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        Client(stream)
    }

    /// Requests a key, and returns the status of the response.
    pub fn request(&mut self, key: &str) -> u16 {
        let head = format!(
            "GET /read/{key} HTTP/1.1\r\nHost: n\r\nX-Request-ID: {key}\r\nX-Priority-Class: read\r\n\
             X-Timeout-Ms: 1200\r\n\r\n"
        );
        self.0.write_all(head.as_bytes()).expect("the node reads");
        let mut received = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let count = self.0.read(&mut chunk).expect("a response");
            assert!(count > 0, "the node closed the connection");
            received.extend(&chunk[..count]);
            let text = String::from_utf8_lossy(&received);
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
            let length = length.and_then(|length| length.parse().ok());
            if length.is_none_or(|length: usize| body.len() >= length) {
                return head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
            }
        }
    }
}
