//! A node on a loopback address of its own, with the clients, endpoints and discovery that the commands act
//! for.
//!
//! Clients, discovery, endpoints and the node's process have a file each, whose `run_..._command` runs the
//! commands for them.

mod clients;
mod discovery;
mod endpoints;
mod node_process;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use self::endpoints::{ArrivedAttempt, TestEndpoint};
use crate::connection::{POLL_INTERVAL, TEST_TIMEOUT, TestConnection, header, listen};
use crate::in_process;

/// The lowest port of nodes, and the number of such ports: all lie below the system's ephemeral ports.
const FIRST_PORT: u16 = 16_384;
const PORTS: u32 = 16_384;

/// The node with the clients, endpoints and discovery that it is connected to.
pub struct Harness {
    address: String,
    config: Value,
    process: Option<Child>,
    /// When the stop signal was sent.
    stopped_at: Option<Instant>,
    node: SocketAddr,
    discovery: TcpListener,
    /// Connections that fill the accept queue of discovery while discovery is blocked.
    discovery_blocked_by: Option<Vec<TcpStream>>,
    /// Connections to discovery whose watch request no command has taken yet.
    discovery_connections: Vec<TestConnection>,
    watch: Option<TestConnection>,
    /// When a line was last sent on a watch, or a watch request was last taken.
    last_sent_at: Instant,
    former_watch: Option<TestConnection>,
    revision: u64,
    endpoints: BTreeMap<String, TestEndpoint>,
    /// The endpoints that upper-case names stand for.
    bound_names: BTreeMap<String, String>,
    clients: BTreeMap<String, TestConnection>,
    /// Attempts that have arrived and that no command has expected yet.
    arrived: Vec<ArrivedAttempt>,
    /// Attempts that a command has expected, by the identifier of their request.
    attempts: BTreeMap<String, ArrivedAttempt>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // The kill fails where the process has exited, which does not matter here.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Harness {
    /// A harness whose node is not started yet.
    pub fn new() -> Harness {
        static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);
        let address = format!("127.83.{}.1", NEXT_NETWORK.fetch_add(1, Ordering::Relaxed));
        let discovery = listen(&address);
        // The port is chosen without binding a socket: a child that another test forks would keep such a
        // socket until its exec, and the node would find its address in use.
        let port = FIRST_PORT + (std::process::id() % PORTS) as u16;
        let node = SocketAddr::new(address.parse().expect("an address"), port);
        let config = json!({"name": "n", "listen": node.to_string(), "seed": "1f",
            "discovery": discovery.local_addr().expect("an address").to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "settings": default_settings()});
        Harness {
            address,
            config,
            process: None,
            stopped_at: None,
            node,
            discovery,
            discovery_blocked_by: None,
            discovery_connections: Vec::new(),
            watch: None,
            last_sent_at: Instant::now(),
            former_watch: None,
            revision: 7,
            endpoints: BTreeMap::new(),
            bound_names: BTreeMap::new(),
            clients: BTreeMap::new(),
            arrived: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Runs a scenario's command; panics if it is unknown or its check fails.
    pub fn run(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_known = self.run_time_command(line, &words)
            || self.run_discovery_command(line, &words)
            || self.run_endpoint_command(line, &words)
            || self.run_client_command(line, &words)
            || self.run_process_command(line, &words)
            || in_process::run(line, &words);
        assert!(is_known, "unknown command {line}");
    }

    /// Accepts and reads on all connections.
    fn poll(&mut self) {
        self.accept_discovery_connections();
        let watches = self.watch.iter_mut().chain(&mut self.former_watch);
        for connection in self.discovery_connections.iter_mut().chain(watches) {
            connection.poll();
        }
        for connection in self.clients.values_mut() {
            connection.poll();
        }
        for attempt in self.attempts.values_mut() {
            attempt.connection.poll();
        }
        for (name, endpoint) in &mut self.endpoints {
            endpoint.accept();
            self.arrived.extend(endpoint.poll_attempts(name));
        }
    }

    /// The number of attempts that have arrived and that no command has expected, by the begin of their identifier.
    pub fn count_attempts(&mut self, id_prefix: &str) -> usize {
        self.poll();
        let has_prefix = |attempt: &&ArrivedAttempt| {
            header(&attempt.request.head, "x-request-id").is_some_and(|id| id.starts_with(id_prefix))
        };
        self.arrived.iter().filter(has_prefix).count()
    }

    fn accept_discovery_connections(&mut self) {
        if self.discovery_blocked_by.is_some() {
            return;
        }
        while let Ok((stream, _)) = self.discovery.accept() {
            self.discovery_connections.push(TestConnection::new(stream));
        }
    }

    /// Polls until `check` returns a value, and returns it; panics after `TEST_TIMEOUT`.
    fn wait_until<T>(&mut self, what: &str, mut check: impl FnMut(&mut Harness) -> Option<T>) -> T {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            self.poll();
            if let Some(found) = check(self) {
                return found;
            }
            assert!(Instant::now() < deadline, "timed out waiting for: {what}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Runs the commands that let time pass, and returns whether the line is such a command.
    fn run_time_command(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["quiet", ms] => self.expect_quiet(line, ms),
            ["wait", ms] => std::thread::sleep(Duration::from_millis(ms.parse().expect("a time"))),
            _ => return false,
        }
        true
    }

    /// Checks that no attempt arrives and that no client receives bytes or is disconnected for `ms`.
    fn expect_quiet(&mut self, line: &str, ms: &str) {
        let clients = self.clients.len();
        let end = Instant::now() + Duration::from_millis(ms.parse().expect("a time"));
        while Instant::now() < end {
            self.poll();
            std::thread::sleep(POLL_INTERVAL);
        }
        let arrived: Vec<_> =
            self.arrived.iter().map(|attempt| (&attempt.endpoint, &attempt.request.head)).collect();
        assert!(arrived.is_empty(), "{line}: attempts arrived: {arrived:?}");
        let is_affected =
            |connection: &TestConnection| !connection.input.is_empty() || connection.has_ended();
        let affected: Vec<_> =
            self.clients.iter().filter(|(_, client)| is_affected(client)).map(|(name, _)| name).collect();
        assert!(affected.is_empty(), "{line}: clients {affected:?} received bytes or were disconnected");
        assert_eq!(self.clients.len(), clients, "{line}");
    }
}

fn default_settings() -> Value {
    let request_class = |name: &str, effect: &str| {
        json!({"Name": name, "Effect": effect, "DedupScope": "all", "WindowUs": 3_000_000,
            "LatencySloUs": 600_000, "ClientTimeoutUs": 1_200_000, "BilledValue": 1.0})
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
