//! Planners as processes of the real program, and a forwarder that sends messages to the planners.

// No test uses all of this module.
#![allow(dead_code)]

pub mod growing_fleet;
pub mod lease_holders;

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

/// The secret of all members, unless a test says otherwise.
pub const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
pub const OTHER_SECRET: &str = "f00102030405060708090a0b0c0d0e0f";
const EVENT_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_DATAGRAM_BYTES: usize = 2000;
/// The lowest port of planners, and the number of such ports. All lie below the ephemeral ports: the system could
/// give one of those to another socket before the planner binds it.
const FIRST_PLANNER_PORT: u16 = 12_000;
const PLANNER_PORTS: u32 = 4000;
/// The network of the planners' addresses.
const PLANNER_NETWORK: [u8; 3] = [127, 88, 1];

/// The path of the program, which is built when this is first called.
fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let test_program = std::env::current_exe().expect("the test's path");
        let folder = test_program.ancestors().nth(2).expect("two folders up").to_path_buf();
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.args(["build", "--quiet", "--locked", "-p", "granitelb-node", "--bin", "granitelb"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().is_ok_and(|s| s.success()), "the program is not built");
        folder.join("granitelb")
    })
}

/// The secrets of a member that has only the secret with these hexadecimal digits.
pub fn secrets(hex: &str) -> Secrets {
    Secrets::single(Secret::new(&hex::decode(hex).expect("hexadecimal")).expect("long enough"))
}

/// An address for a planner, which no other planner and no ephemeral socket has. Test processes at the same time
/// have different ports.
pub fn planner_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let [a, b, c] = PLANNER_NETWORK;
    let ip = Ipv4Addr::new(a, b, c, NEXT_HOST.fetch_add(1, Ordering::Relaxed));
    let port = FIRST_PLANNER_PORT + (std::process::id() % PLANNER_PORTS) as u16;
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// A folder with the configuration files of a fleet, whose planners have addresses of their own.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub addresses: Vec<SocketAddr>,
}

impl Fleet {
    pub fn new(planners: usize) -> Fleet {
        let addresses = (0..planners).map(|_| planner_address()).collect();
        let fleet = Fleet { folder: tempfile::tempdir().expect("a folder"), addresses };
        fleet.write_fleet_config(&format!("secret = \"{SECRET}\""));
        for number in 1..=planners {
            fleet.write_planner_config(number, "");
        }
        fleet
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes the fleet configuration; `secrets` are the lines that set its secrets.
    pub fn write_fleet_config(&self, secrets: &str) {
        let mut text = format!("{secrets}\nforwarders = 10\n");
        for (n, address) in self.addresses.iter().enumerate() {
            text += &format!("[[planner]]\nnumber = {}\nletters = \"{address}\"\n", n + 1);
        }
        text += "[leases]\norigin_per_s = 100.0\n[growth]\nshard_bytes = 1000000\n[hindsight]\n";
        fs::write(self.path("operator.toml"), text).expect("the file is written");
    }

    /// Writes a planner's own file, with `further_lines` at its end.
    pub fn write_planner_config(&self, number: usize, further_lines: &str) {
        let text = format!(
            "number = {number}\noperator = \"operator.toml\"\nstate = \"state-{number}\"\n{further_lines}"
        );
        fs::write(self.path(&format!("planner-{number}.toml")), text).expect("the file is written");
    }

    /// The path of a planner's state file.
    pub fn store_file(&self, number: usize) -> PathBuf {
        self.path(&format!("state-{number}")).join("planner.redb")
    }

    /// Starts a planner, and waits until the planner is ready.
    pub fn start(&self, number: usize) -> Planner {
        self.start_with_config(number, &format!("planner-{number}.toml"))
    }

    /// Starts a planner with the configuration file of this name, and waits until the planner is ready.
    pub fn start_with_config(&self, number: usize, config: &str) -> Planner {
        let files = fs::read_dir(self.folder.path()).expect("the fleet's folder").count();
        let log_path = self.path(&format!("log-{number}-{files}"));
        let log_file = fs::File::create(&log_path).expect("the log is created");
        let mut command = Command::new(program());
        command.arg("plan").arg("--config").arg(self.path(config));
        let child = command.args(["--log-format", "json"]).stdin(Stdio::null()).stderr(log_file).spawn();
        let planner = Planner { child: child.expect("the planner starts"), log_path };
        planner.wait_for_event("ready");
        planner
    }
}

/// A planner's process, which is killed when this value is dropped.
pub struct Planner {
    child: Child,
    log_path: PathBuf,
}

impl Planner {
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).expect("the log is read")
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the planner runs");
    }

    /// The lines of the planner's log with this event.
    pub fn events(&self, event: &str) -> Vec<Value> {
        let text = self.log();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["event"] == event).collect()
    }

    /// Waits for a line with this event, and returns the line.
    pub fn wait_for_event(&self, event: &str) -> Value {
        self.wait_for_event_with(event, |_| true)
    }

    /// Waits for a line with this event that meets a condition, and returns the line.
    pub fn wait_for_event_with(&self, event: &str, is_expected: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Some(line) = self.events(event).into_iter().find(|line| is_expected(line)) {
                return line;
            }
            assert!(Instant::now() < deadline, "no {event} in:\n{}", self.log());
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Limits the size of the files that the planner writes; `None` removes the limit.
    pub fn limit_file_size(&self, max_bytes: Option<u64>) {
        let limit = Rlimit { current: max_bytes, maximum: None };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit).expect("the planner runs");
    }

    /// Sends SIGTERM to the planner, and waits until its process exits.
    pub fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        self.wait()
    }

    /// Waits until the planner's process exits.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the planner exits")
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.wait();
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A forwarder that seals and opens messages, without the logic of a real forwarder.
pub struct Forwarder {
    pub socket: UdpSocket,
    me: Member,
    pub incarnation: Incarnation,
    last_number: u64,
}

impl Forwarder {
    pub fn new(name: &str) -> Forwarder {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT)).expect("the timeout is set");
        Forwarder {
            socket,
            me: Member::Forwarder(ForwarderId::of_name(name)),
            incarnation: Incarnation(1),
            last_number: 0,
        }
    }

    pub fn seal(&mut self, message: &Message, secret: &str) -> Vec<u8> {
        self.last_number += 1;
        let sender = Sender { member: self.me, incarnation: self.incarnation, sequence: self.last_number };
        message::seal(sender, message, &secrets(secret)).expect("the message is sealed")
    }

    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        self.socket.send_to(bytes, to).expect("the datagram is sent");
    }

    /// The next message that this secret opens; `None` if none arrives within `timeout`.
    pub fn receive(&self, secret: &str, timeout: Duration) -> Option<(Sender, Message)> {
        let deadline = Instant::now() + timeout;
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        while Instant::now() < deadline {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            if let Ok(opened) = message::open(&buffer[..length], &secrets(secret)) {
                return Some(opened);
            }
        }
        None
    }
}

/// The result of `granitelb check`: whether the files are valid, and what the program printed.
pub struct CheckResult {
    pub is_valid: bool,
    pub output: String,
}

/// Runs `granitelb check` with these arguments.
pub fn run_check(args: &[&str]) -> CheckResult {
    let output = Command::new(program()).arg("check").args(args).output().expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    CheckResult { is_valid: output.status.success(), output: String::from_utf8_lossy(&text).into_owned() }
}
