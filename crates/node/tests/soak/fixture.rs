//! A node as a process, with discovery and endpoints that answer every request after a delay.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::clients;
use crate::connection::header;

const CACHES: usize = 3;
/// The lowest port of nodes, and the number of such ports: all lie below the system's ephemeral ports, and runs at
/// the same time use different ones.
const FIRST_PORT: u16 = 16_384;
const PORTS: u32 = 16_384;
const START_POLLS: usize = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Longer than any client waits.
const HANG_TIME: Duration = Duration::from_secs(20);
/// Delays of the endpoints in milliseconds, by seed.
const DELAYS_MS: [u64; 4] = [0, 20, 200, 2];

/// The number of attempts by the identifier of their request; empty for requests without one.
type Attempts = Arc<Mutex<BTreeMap<String, u32>>>;

/// The node with its discovery and endpoints.
pub struct Fixture {
    process: Child,
    node: SocketAddr,
    attempts: Attempts,
}

impl Drop for Fixture {
    fn drop(&mut self) {
        // The kill fails where the process has exited, which does not matter here.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Fixture {
    /// Starts a node with this memory limit, and waits until it serves.
    pub fn start(seed: u64, memory_mb: u64) -> Fixture {
        let host = |number: usize| format!("127.84.{seed}.{number}");
        let attempts = Attempts::default();
        let delay = Duration::from_millis(DELAYS_MS[seed as usize % DELAYS_MS.len()]);
        let mut targets = Vec::new();
        for number in 0..=CACHES {
            let listener = TcpListener::bind((host(10 + number), 0)).expect("a loopback address");
            let kind = if number == CACHES { "origin" } else { "plain" };
            targets.push(
                json!({"uid": format!("s{number}"), "endpoint": listener.local_addr().expect("an address"),
                "az": "z", "model": kind, "state": "active"}),
            );
            let attempts = attempts.clone();
            accept_each(listener, move |stream| serve_endpoint(stream, &attempts, delay));
        }
        let discovery = TcpListener::bind((host(2), 0)).expect("a loopback address");
        let port = FIRST_PORT + (std::process::id() % PORTS) as u16;
        let node = SocketAddr::new(host(1).parse().expect("an address"), port);
        let config = json!({"name": "n", "listen": node, "seed": "1f", "settings": settings(),
            "discovery": discovery.local_addr().expect("an address"),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 400}});
        let list = json!({"rev": 5, "all": true, "targets": targets});
        accept_each(discovery, move |stream| serve_discovery(stream, &list));
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}.json"));
        std::fs::write(&path, config.to_string()).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_granitelb"));
        let program = program.args(["serve", "--config"]).arg(&path).stderr(Stdio::null());
        let fixture = Fixture { process: program.spawn().expect("the program"), node, attempts };
        fixture.wait_until_it_serves();
        fixture
    }

    fn wait_until_it_serves(&self) {
        for poll in 0..START_POLLS {
            std::thread::sleep(POLL_INTERVAL);
            let id = format!("start-{poll}");
            if TcpStream::connect(self.node).is_ok() && clients::probe(self.node, &id) == Some(200) {
                return;
            }
        }
        panic!("the node does not serve");
    }

    /// The address of the node.
    pub fn node(&self) -> SocketAddr {
        self.node
    }

    /// Has the node read its configuration again.
    pub fn reload(&self) {
        kill_process(Pid::from_child(&self.process), Signal::HUP).expect("a process");
    }

    /// The number of attempts by the identifier of their request.
    pub fn attempts(&self) -> BTreeMap<String, u32> {
        self.attempts.lock().expect("no endpoint has panicked").clone()
    }

    /// The most memory that the node has used, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).expect("a process");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        peak.trim().trim_end_matches(" kB").parse().expect("a size")
    }
}

/// Handles each connection in a thread of its own, which ends with the connection.
fn accept_each(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Answers each request with its identifier, until the connection ends.
fn serve_endpoint(stream: TcpStream, attempts: &Attempts, delay: Duration) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        if reader.read_exact(&mut vec![0; length]).is_err() {
            return;
        }
        let id = header(&head, "x-request-id").unwrap_or_default().to_string();
        *attempts.lock().expect("no endpoint has panicked").entry(id.clone()).or_default() += 1;
        std::thread::sleep(if clients::is_never_answered(&id) { HANG_TIME } else { delay });
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Sends the list, then heartbeats until the connection ends.
fn serve_discovery(mut stream: TcpStream, list: &Value) {
    let Ok(reader) = stream.try_clone() else { return };
    if read_head(&mut BufReader::new(reader)).is_none() {
        return;
    }
    let line = format!("{list}\n");
    let mut text =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    while stream.write_all(text.as_bytes()).is_ok() {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        text = "1\r\n\n\r\n".to_string();
    }
}

fn settings() -> Value {
    let request_class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "DedupScope": "all", "WindowUs": 3_000_000,
            "LatencySloUs": 2_000_000, "ClientTimeoutUs": 4_000_000, "BilledValue": 1.0})
    };
    json!({
        "Bounds": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 10_000_000, "MayCancel": true, "MostShots": 4,
            "RetryAfter": true, "MaxRetryAfterUs": 1_500_000, "SecondCopies": false},
        "Discovery": "ask",
        "Products": [request_class("read", "read_like"), request_class("post", "idempotency_key"),
            request_class("once", "non_idempotent")],
        "Rules": {"MustAskInUs": 10_000_000, "FallMultiple": 3.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
            "WarmAfterUs": 20_000_000},
        "Shapes": ["plain", "origin"], "Siblings": 1, "Zones": ["z"],
        "Specifics": {"Mode": "aside", "OriginKind": 1},
    })
}
