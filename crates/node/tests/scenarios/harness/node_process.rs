//! Commands for the node's process and its configuration.

use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::Value;

use super::Harness;
use crate::connection::TestConnection;
use crate::notation::option;

/// The length, in milliseconds, of a tick, in which the system counts a process's CPU time.
const TICK_MS: u64 = 10;

impl Harness {
    /// Runs the commands for the process and its configuration. Returns whether the line is such a command.
    pub(super) fn run_process_command(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["settings" | "limits", ref changes @ ..] => self.configure(&format!("/{}", words[0]), changes),
            ["reload", ref changes @ ..] => {
                self.configure("", changes);
                self.write_config();
                self.signal(Signal::HUP);
            }
            ["start"] => self.start(),
            ["limit-descriptors", max] => {
                let max = max.parse().ok();
                let limit = Rlimit { current: max, maximum: max };
                prlimit(Some(self.pid()), Resource::Nofile, limit).expect("a process");
            }
            ["logged", times, ref texts @ ..] => {
                let texts: Vec<_> = texts.iter().map(|text| text.replace("\\s", " ")).collect();
                let texts: Vec<_> = texts.iter().map(String::as_str).collect();
                let times = times.parse().expect("a number");
                self.wait_until(line, |harness| (harness.count_log_lines(&texts) >= times).then_some(()));
                assert_eq!(self.count_log_lines(&texts), times, "{line}");
            }
            ["low-cpu", ms] => self.expect_low_cpu(line, ms),
            ["peak-memory", max_mb] => self.expect_peak_memory(line, max_mb),
            ["invalid", path, value, "says", key] => self.expect_invalid_config(line, path, value, key),
            ["stop"] => {
                self.signal(Signal::TERM);
                self.stopped_at = Some(Instant::now());
            }
            ["freeze"] => {
                self.signal(Signal::STOP);
                // The process may stop a moment after the signal was sent.
                self.wait_until(line, |harness| (harness.process_stat().next()? == "T").then_some(()));
            }
            ["resume"] => self.signal(Signal::CONT),
            ["exits", ref options @ ..] => {
                let status =
                    self.wait_until(line, |harness| harness.process.as_mut()?.try_wait().expect("a process"));
                assert!(status.success(), "{line}: {status}");
                let took = self.stopped_at.expect("a stop signal").elapsed();
                let within = option(options, "within").map(|ms| ms.parse().expect("a time"));
                assert!(within.is_none_or(|ms| took <= Duration::from_millis(ms)), "{line}: {took:?}");
            }
            _ => return false,
        }
        true
    }

    /// Sets keys of the configuration under the JSON pointer `under`.
    fn configure(&mut self, under: &str, changes: &[&str]) {
        for (path, value) in changes.iter().filter_map(|change| change.split_once('=')) {
            let pointer = format!("{under}{}", json_pointer(path));
            let (parent, key) = pointer.rsplit_once('/').expect("a path");
            let object = self.config.pointer_mut(parent).expect("a key");
            object[key] = value.parse().expect("JSON");
        }
    }

    fn expect_low_cpu(&self, line: &str, ms: &str) {
        let ms = ms.parse().expect("a time");
        let before = self.cpu_time_ms();
        std::thread::sleep(Duration::from_millis(ms));
        let used = self.cpu_time_ms() - before;
        assert!(used < ms / 3, "{line}: the node used {used} ms of CPU time");
    }

    fn expect_peak_memory(&self, line: &str, max_mb: &str) {
        let id = self.process.as_ref().expect("a node").id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
        let peak = status.lines().find_map(|status| status.strip_prefix("VmHWM:")).expect("a peak");
        let kib: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a size");
        let max_kib = max_mb.parse::<u64>().expect("a size") * 1024;
        assert!(kib <= max_kib, "{line}: the node used {kib} KiB");
    }

    /// Checks that a configuration with this value is refused, and that the error message names the key.
    fn expect_invalid_config(&self, line: &str, path: &str, value: &str, key: &str) {
        let mut config = self.config.clone();
        let pointer = json_pointer(path);
        let (parent, name) = pointer.rsplit_once('/').expect("a path");
        let object = config.pointer_mut(parent).and_then(Value::as_object_mut).expect("an object");
        object.insert(name.into(), value.parse().expect("JSON"));
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty.json");
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut check = Command::new(env!("CARGO_BIN_EXE_granitelb"));
        let output = check.args(["check", "--config"]).arg(&file).output().expect("the program");
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{line}: the configuration was accepted");
        assert!(message.contains(&format!("configuration, {key}:")), "{line}: {message}");
    }

    fn write_config(&self) -> PathBuf {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.json", self.address));
        std::fs::write(&path, self.config.to_string()).expect("a file");
        path
    }

    fn log_path(&self) -> PathBuf {
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.log", self.address))
    }

    /// The number of lines in the node's log that contain all of the texts.
    fn count_log_lines(&self, texts: &[&str]) -> usize {
        let log = std::fs::read_to_string(self.log_path()).expect("a log");
        log.lines().filter(|line| texts.iter().all(|text| line.contains(text))).count()
    }

    fn pid(&self) -> Pid {
        Pid::from_child(self.process.as_ref().expect("a node"))
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("a process");
    }

    /// Starts the node and waits until it is ready.
    fn start(&mut self) {
        let path = self.write_config();
        let mut program = Command::new(env!("CARGO_BIN_EXE_granitelb"));
        let log = std::fs::File::create(self.log_path()).expect("a file");
        let program = program.args(["serve", "--config"]).arg(&path).stderr(log);
        self.process = Some(program.spawn().expect("the program"));
        let node = self.node;
        let mut connection =
            self.wait_until("the node listens", |_| TcpStream::connect(node).ok().map(TestConnection::new));
        connection.write(b"GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n");
        self.clients.insert("health".into(), connection);
        self.run("response health 200");
        self.clients.remove("health");
    }

    /// The CPU time, in milliseconds, that the node has used in user and system mode.
    fn cpu_time_ms(&self) -> u64 {
        let ticks = self.process_stat().skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<u64>().expect("ticks") * TICK_MS).sum()
    }

    /// The fields of the process's `/proc` stat after the process name; the first is the process state.
    fn process_stat(&self) -> impl Iterator<Item = String> + use<> {
        let id = self.process.as_ref().expect("a node").id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process");
        let (_, fields) = stat.rsplit_once(')').expect("a process name");
        let fields: Vec<_> = fields.split_whitespace().map(String::from).collect();
        fields.into_iter()
    }
}

/// The JSON pointer for a path whose parts are separated by dots.
fn json_pointer(path: &str) -> String {
    path.split('.').map(|part| format!("/{part}")).collect()
}
