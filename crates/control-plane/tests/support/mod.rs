//! Planners as processes of the real program, and a forwarder that speaks letters.

// Each test uses a part of it.
#![allow(dead_code)]

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{ForwarderId, Incarnation, Member, Sender};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

pub const OURS: &str = "000102030405060708090a0b0c0d0e0f";
pub const THEIRS: &str = "f00102030405060708090a0b0c0d0e0f";
const PATIENCE: Duration = Duration::from_secs(8);

/// The program, built beside these tests.
fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let own = std::env::current_exe().expect("a test has a place");
        let folder = own.ancestors().nth(2).expect("two folders up").to_path_buf();
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.args(["build", "--quiet", "--locked", "-p", "granitelb-node", "--bin", "granitelb"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().is_ok_and(|s| s.success()), "the program is not built");
        folder.join("granitelb")
    })
}

pub fn secrets(hex: &str) -> Secrets {
    Secrets::single(Secret::new(&hex::decode(hex).expect("hexadecimal")).expect("long enough"))
}

/// A folder with the files of a fleet of so many planners, at free ports.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    pub addresses: Vec<SocketAddr>,
}

impl Fleet {
    pub fn new(planners: usize) -> Fleet {
        let free = |_| UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let sockets: Vec<_> = (0..planners).map(free).collect();
        let addresses = sockets.iter().map(|s| s.local_addr().expect("an address")).collect();
        let fleet = Fleet { folder: tempfile::tempdir().expect("a folder"), addresses };
        fleet.write_operator(&format!("secret = \"{OURS}\""));
        for number in 1..=planners {
            let text =
                format!("number = {number}\noperator = \"operator.toml\"\nstate = \"state-{number}\"\n");
            fs::write(fleet.path(&format!("planner-{number}.toml")), text).expect("written");
        }
        fleet
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn write_operator(&self, secrets: &str) {
        let mut text = format!("{secrets}\nforwarders = 10\n");
        for (n, address) in self.addresses.iter().enumerate() {
            text += &format!("[[planner]]\nnumber = {}\nletters = \"{address}\"\n", n + 1);
        }
        text += "[leases]\norigin_per_s = 100.0\n[growth]\nshard_bytes = 1000000\n[hindsight]\n";
        fs::write(self.path("operator.toml"), text).expect("written");
    }

    pub fn store(&self, number: usize) -> PathBuf {
        self.path(&format!("state-{number}")).join("planner.redb")
    }

    /// Starts a planner, and waits until it is ready.
    pub fn start(&self, number: usize) -> Planner {
        self.start_by(number, &format!("planner-{number}.toml"))
    }

    /// By a file of another name.
    pub fn start_by(&self, number: usize, own: &str) -> Planner {
        let starts = fs::read_dir(self.folder.path()).expect("a folder").count();
        let log = self.path(&format!("log-{number}-{starts}"));
        let file = fs::File::create(&log).expect("a log");
        let mut command = Command::new(program());
        command.arg("plan").arg("--config").arg(self.path(own));
        let child = command.args(["--log-format", "json"]).stdin(Stdio::null()).stderr(file).spawn();
        let planner = Planner { child: child.expect("it starts"), log };
        planner.wait_for("ready");
        planner
    }
}

pub struct Planner {
    child: Child,
    log: PathBuf,
}

impl Planner {
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).expect("a log")
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it is there");
    }

    /// The lines of its log with this event.
    pub fn said(&self, event: &str) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).expect("a log");
        let lines = text.lines().filter_map(|l| serde_json::from_str::<Value>(l).ok());
        lines.filter(|l| l["event"] == event).collect()
    }

    pub fn wait_for(&self, event: &str) -> Value {
        self.wait_for_one(event, |_| true)
    }

    pub fn wait_for_one(&self, event: &str, is: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(line) = self.said(event).into_iter().find(|l| is(l)) {
                return line;
            }
            assert!(Instant::now() < until, "no {event} in:\n{}", self.log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// No file of its grows past this, or none is bound.
    pub fn room_for_files(&self, most: Option<u64>) {
        let limit = Rlimit { current: most, maximum: None };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Fsize, limit).expect("it is there");
    }

    pub fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::TERM);
        self.child.wait().expect("it ends")
    }

    /// How it ended by itself.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("it ends");
    }
}

impl Drop for Planner {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Forwarder {
    pub socket: UdpSocket,
    me: Member,
    pub incarnation: Incarnation,
    number: u64,
}

impl Forwarder {
    pub fn new(name: &str) -> Forwarder {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout");
        Forwarder {
            socket,
            me: Member::Forwarder(ForwarderId::of_name(name)),
            incarnation: Incarnation(1),
            number: 0,
        }
    }

    pub fn sealed(&mut self, letter: &Message, secret: &str) -> Vec<u8> {
        self.number += 1;
        let sender = Sender { member: self.me, incarnation: self.incarnation, sequence: self.number };
        message::seal(sender, letter, &secrets(secret)).expect("a letter")
    }

    pub fn send(&self, bytes: &[u8], to: SocketAddr) {
        self.socket.send_to(bytes, to).expect("sent");
    }

    /// The next letter that this secret opens, if one comes in a while.
    pub fn receive(&self, secret: &str, patience: Duration) -> Option<(Sender, Message)> {
        let until = Instant::now() + patience;
        let mut bytes = [0; 2000];
        while Instant::now() < until {
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            if let Ok(opened) = message::open(&bytes[..length], &secrets(secret)) {
                return Some(opened);
            }
        }
        None
    }
}

pub fn check(args: &[&str]) -> (bool, String) {
    let output = Command::new(program()).arg("check").args(args).output().expect("it starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}
