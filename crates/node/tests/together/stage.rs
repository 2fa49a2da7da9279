//! A node of a fleet on loopback: the real program, with stand-ins for discovery, a cache that answers or lacks all, the
//! origin, and a planner that speaks letters.

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
use serde_json::json;

const SECRET: &str = "000102030405060708090a0b0c0d0e0f";

pub struct Stage {
    pub node: SocketAddr,
    pub child: Child,
    /// Fetches that the origin got.
    pub fetches: Arc<AtomicU64>,
    pub planner: Planner,
    /// The operator's file.
    pub operator: PathBuf,
    log: PathBuf,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A planner that says what it is told to.
pub struct Planner {
    socket: UdpSocket,
    secrets: Secrets,
    number: u64,
    pub incarnation: Incarnation,
    /// Where the node's letters come from.
    pub node: Option<SocketAddr>,
}

impl Planner {
    fn new(address: &str) -> Planner {
        let socket = UdpSocket::bind((address, 0)).expect("a socket");
        socket.set_read_timeout(Some(Duration::from_millis(20))).expect("a socket");
        let bytes: Vec<u8> = (0..16).collect();
        let secrets = Secrets::one(Secret::new(&bytes).expect("a secret"));
        Planner { socket, secrets, number: 0, incarnation: Incarnation(7), node: None }
    }

    /// The next letter that comes soon, if one does.
    pub fn hear(&mut self) -> Option<(Sender, Message)> {
        let mut bytes = [0; 2048];
        let (read, from) = self.socket.recv_from(&mut bytes).ok()?;
        self.node = Some(from);
        Some(message::open(&bytes[..read], &self.secrets).expect("a letter"))
    }

    pub fn say(&mut self, letter: &Message) {
        self.number += 1;
        let sender = Sender {
            member: Member::Planner(PlannerId(1)),
            incarnation: self.incarnation,
            number: self.number,
        };
        let bytes = message::seal(sender, letter, &self.secrets).expect("a letter");
        self.send(&bytes);
    }

    /// Sends bytes that may be no letter.
    pub fn send(&self, bytes: &[u8]) {
        if let Some(node) = self.node {
            // A node that is gone is no trouble to who sends it junk.
            let _ = self.socket.send_to(bytes, node);
        }
    }
}

/// Answers each message that comes with what `answers` says to its first line.
fn serve(listener: TcpListener, answers: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) {
    let answers = Arc::new(answers);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answers = answers.clone();
            std::thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
                while let Some(first) = lines.next() {
                    if lines.by_ref().find(|line| line.is_empty()).is_some() {
                        answers(&first, &mut out);
                    }
                }
            });
        }
    });
}

fn answer(out: &mut TcpStream, status: u16) {
    let text = format!("HTTP/1.1 {status} Such\r\nContent-Length: 4\r\n\r\nbody");
    // A node that has left is no trouble here.
    let _ = out.write_all(text.as_bytes());
}

impl Stage {
    /// Starts `program` at an address of its own, with this at the end of the operator's file where it is given one; its
    /// cache answers with `status`.
    pub fn start(program: &Path, folder: &Path, address: &str, operator: Option<&str>, status: u16) -> Stage {
        let text = |letters| {
            let rest = operator?;
            let planner = format!("[[planner]]\nnumber = 1\nletters = \"{letters}\"\n");
            Some(format!("secret = \"{SECRET}\"\n{rest}\n{planner}"))
        };
        Stage::start_named(program, folder, (address, "n"), text, status)
    }

    /// As [`Stage::start`], of any name, with what `operator` writes for where the stage's planner is.
    pub fn start_named(
        program: &Path,
        folder: &Path,
        (address, name): (&str, &str),
        operator: impl Fn(SocketAddr) -> Option<String>,
        status: u16,
    ) -> Stage {
        let listener = || TcpListener::bind((address, 0)).expect("a loopback address");
        let at = |l: &TcpListener| l.local_addr().expect("an address").to_string();
        let (discovery, cache, origin) = (listener(), listener(), listener());
        let target = |uid: &str, listener: &TcpListener, model: &str| {
            json!({"uid": uid, "endpoint": at(listener), "az": "z", "model": model, "pod_group": 0,
                "state": "active", "capacity_hint": 1.0, "boot_ms": 0})
        };
        let targets = [target("cache", &cache, "plain"), target("origin", &origin, "origin")];
        let list = json!({"rev": 1, "all": true, "targets": targets}).to_string();
        let asks = at(&discovery);
        serve(discovery, move |_, out| {
            let line = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
            let _ = write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{line}");
            while out.write_all(b"1\r\n\n\r\n").is_ok() {
                std::thread::sleep(Duration::from_millis(1000));
            }
        });
        serve(cache, move |_, out| answer(out, status));
        let fetches = Arc::new(AtomicU64::new(0));
        let count = fetches.clone();
        serve(origin, move |_, out| {
            count.fetch_add(1, Ordering::Relaxed);
            answer(out, 200);
        });
        let settings = json!({
            "Bounds": {"ConnectTimeoutUs": 250_000, "KeepaliveUs": 60_000_000, "MayCancel": true, "MostShots": 4,
                "RetryAfter": true, "MaxRetryAfterUs": 1_500_000, "SecondCopies": false},
            "Discovery": "push",
            "Products": [{"Name": "read", "Effect": "read_like", "DedupScope": "all", "WindowUs": 3_000_000,
                "LatencySloUs": 600_000, "ClientTimeoutUs": 1_200_000, "BilledValue": 1.0}],
            "Rules": {"MustAskInUs": 10_000_000, "FallMultiple": 3.0, "FallUs": 2_000_000, "ColdFrom": 0.2,
                "WarmAfterUs": 20_000_000},
            "Shapes": ["plain", "origin"], "Siblings": 1, "Zones": ["z"],
            "Specifics": {"Mode": "aside", "OriginKind": 1},
        });
        // Below the ports that the system gives out: nobody else takes it.
        let port = 16_384 + (std::process::id() % 16_384) as u16;
        let node = SocketAddr::new(address.parse().expect("an address"), port);
        let config = json!({"name": name, "listen": node.to_string(), "seed": "1f", "discovery": asks,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings});
        let planner = Planner::new(address);
        let letters = planner.socket.local_addr().expect("an address");
        let file = |kind: &str| folder.join(format!("{address}.{kind}"));
        std::fs::write(file("json"), config.to_string()).expect("a file");
        let mut command = Command::new(program);
        command.args(["serve", "--config"]).arg(file("json"));
        if let Some(text) = operator(letters) {
            std::fs::write(file("toml"), text).expect("a file");
            command.arg("--operator").arg(file("toml"));
        }
        let log = file("log");
        let child = command.stderr(Stdio::from(std::fs::File::create(&log).expect("a file"))).spawn();
        let stage =
            Stage { node, child: child.expect("the program"), fetches, planner, operator: file("toml"), log };
        let until = Instant::now() + Duration::from_secs(8);
        // Ready once it knows its cache.
        while !stage.log().contains("2 endpoints accept requests") {
            assert!(Instant::now() < until, "not ready: {}", stage.log());
            std::thread::sleep(Duration::from_millis(5));
        }
        stage
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("a process");
    }
}

/// A client with one connection.
pub struct Client(TcpStream);

impl Client {
    pub fn new(node: SocketAddr) -> Client {
        let stream = TcpStream::connect(node).expect("the node listens");
        stream.set_nodelay(true).expect("a socket");
        stream.set_read_timeout(Some(Duration::from_secs(8))).expect("a socket");
        Client(stream)
    }

    /// Asks for a key, and gives the status of the answer.
    pub fn ask(&mut self, name: &str) -> u16 {
        let head = format!(
            "GET /read/{name} HTTP/1.1\r\nHost: n\r\nX-Request-ID: {name}\r\nX-Timeout-Ms: 1200\r\n\r\n"
        );
        self.0.write_all(head.as_bytes()).expect("the node reads");
        let mut read = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let n = self.0.read(&mut chunk).expect("an answer");
            assert!(n > 0, "closed");
            read.extend(&chunk[..n]);
            let text = String::from_utf8_lossy(&read);
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: "));
            if length.and_then(|l| l.parse().ok()).is_none_or(|l: usize| body.len() >= l) {
                return head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
            }
        }
    }
}
