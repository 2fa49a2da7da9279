//! The program: its configuration and its process.

use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::Value;

use super::Stage;
use crate::connection::Conn;

impl Stage {
    /// Plays the verbs for the program: its configuration and its process; whether the line is one of these.
    pub(super) fn play_program(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["settings", ..] | ["limits", ..] => self.configure(&format!("/{}", words[0]), &words[1..]),
            ["reload", ref changes @ ..] => {
                self.configure("", changes);
                self.write_config();
                self.signal(rustix::process::Signal::HUP);
            }
            ["start"] => self.start(),
            ["starve", most] => {
                let pid = rustix::process::Pid::from_child(self.child.as_ref().expect("a node"));
                let most = most.parse().ok();
                let limit = rustix::process::Rlimit { current: most, maximum: most };
                rustix::process::prlimit(Some(pid), rustix::process::Resource::Nofile, limit)
                    .expect("a process");
            }
            ["calm", ms] => {
                let ms = ms.parse().expect("a time");
                let before = self.busy_ms();
                std::thread::sleep(Duration::from_millis(ms));
                let busy = self.busy_ms() - before;
                assert!(busy < ms / 3, "{line}: busy for {busy} ms");
            }
            ["faulty", path, value, "says", key] => {
                let mut config = self.config.clone();
                let path = path.split('.').fold(String::new(), |p, part| format!("{p}/{part}"));
                let parent = path.rsplit_once('/').expect("a path");
                let object = config.pointer_mut(parent.0).and_then(Value::as_object_mut).expect("an object");
                object.insert(parent.1.into(), value.parse().expect("JSON"));
                let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty.json");
                std::fs::write(&file, config.to_string()).expect("a file");
                let mut check = Command::new(env!("CARGO_BIN_EXE_granitelb"));
                let output = check.args(["check", "--config"]).arg(&file).output().expect("the program");
                let said = String::from_utf8_lossy(&output.stderr).into_owned();
                assert!(!output.status.success(), "{line}: taken");
                assert!(said.contains(&format!("configuration, {key}:")), "{line}: {said}");
            }
            ["stop"] => {
                self.signal(rustix::process::Signal::TERM);
            }
            ["freeze"] => {
                self.signal(rustix::process::Signal::STOP);
                // It may have been told of something just then.
                self.until(line, |s| (s.stat().next()? == "T").then_some(()));
            }
            ["thaw"] => self.signal(rustix::process::Signal::CONT),
            ["exits"] => {
                let status = self.until(line, |s| s.child.as_mut()?.try_wait().expect("a process"));
                assert!(status.success(), "{line}: {status}");
            }
            _ => return false,
        }
        true
    }

    /// Changes keys of the configuration, each under this path.
    fn configure(&mut self, under: &str, words: &[&str]) {
        for (path, value) in words.iter().filter_map(|w| w.split_once('=')) {
            let path = path.split('.').fold(under.to_string(), |p, part| format!("{p}/{part}"));
            let (parent, key) = path.rsplit_once('/').expect("a path");
            self.config.pointer_mut(parent).expect("a key")[key] = value.parse().expect("JSON");
        }
    }

    fn write_config(&self) -> std::path::PathBuf {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.json", self.address));
        std::fs::write(&path, self.config.to_string()).expect("a file");
        path
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(self.child.as_ref().expect("a node"));
        rustix::process::kill_process(pid, signal).expect("a process");
    }

    fn start(&mut self) {
        let path = self.write_config();
        let mut program = Command::new(env!("CARGO_BIN_EXE_granitelb"));
        let program = program.args(["serve", "--config"]).arg(&path);
        self.child = Some(program.stderr(Stdio::null()).spawn().expect("the program"));
        let node = self.node;
        let mut conn = self.until("the node listens", |_| TcpStream::connect(node).ok().map(Conn::new));
        conn.write(b"GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n");
        self.clients.insert("health".into(), conn);
        self.play("answer health 200");
        self.clients.remove("health");
    }

    /// How long the node has kept a core busy.
    fn busy_ms(&self) -> u64 {
        self.stat().skip(11).take(2).map(|ticks| ticks.parse::<u64>().expect("ticks") * 10).sum()
    }

    /// What the system says of the node's process, its state first.
    fn stat(&self) -> impl Iterator<Item = String> + use<> {
        let id = self.child.as_ref().expect("a node").id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process");
        let fields: Vec<_> =
            stat.rsplit_once(')').expect("its name").1.split_whitespace().map(String::from).collect();
        fields.into_iter()
    }
}
