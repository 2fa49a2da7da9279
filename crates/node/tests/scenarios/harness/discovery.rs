//! Commands for discovery: endpoint lists and changes on the node's watch.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::Harness;
use super::endpoints::TestEndpoint;
use crate::connection::{POLL_INTERVAL, TestConnection, fill_accept_queue, listen};
use crate::notation::option;

/// The time between two writes on the former watch while the harness waits for a watch request.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

impl Harness {
    /// Runs the commands for discovery, and returns whether the line is such a command.
    pub(super) fn run_discovery_command(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["known", ref names @ ..] => self.config["known"] = self.next_list(names, true),
            ["watch", ref options @ ..] => {
                self.run(&format!("watch-request {}", options.join(" ")));
                self.run("accept-watch");
            }
            ["watch-request", ref options @ ..] => self.expect_watch_request(line, options),
            ["accept-watch"] => {
                self.write_to_watch(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            ["interim-response"] => self.write_to_watch(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
            ["watch-pending", ms] => self.expect_watch_pending(line, ms),
            ["refuse-watch"] => {
                let mut connection = self.wait_until(line, |harness| harness.discovery_connections.pop());
                connection.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            }
            ["close-watch"] => self.watch = None,
            ["silence-watch"] => self.former_watch = self.watch.take(),
            ["move-discovery"] => {
                self.discovery = listen(&self.address);
                self.former_watch = self.watch.take();
                let address = self.discovery.local_addr().expect("an address");
                self.config["discovery"] = address.to_string().into();
            }
            ["former-change", ..] => {
                std::mem::swap(&mut self.watch, &mut self.former_watch);
                self.run(line.strip_prefix("former-").expect("just seen"));
                std::mem::swap(&mut self.watch, &mut self.former_watch);
            }
            ["former-closed"] => {
                self.wait_until(line, |harness| {
                    harness.former_watch.take_if(|connection| connection.has_ended())
                });
            }
            ["block", "discovery"] => {
                self.discovery_blocked_by = Some(fill_accept_queue(&self.discovery));
            }
            ["unblock", "discovery"] => self.discovery_blocked_by = None,
            _ => return self.run_list_command(words),
        }
        true
    }

    /// Runs the commands that send lists, and returns whether the words are such a command.
    fn run_list_command(&mut self, words: &[&str]) -> bool {
        match *words {
            ["list", ref names @ ..] => {
                let list = self.next_list(names, true);
                self.send_line(&list.to_string());
            }
            ["change", ref names @ ..] => {
                let list = self.next_list(names, false);
                self.send_line(&list.to_string());
            }
            ["change-indented", ref names @ ..] => {
                let list = self.next_list(names, false);
                self.send_line(&format!("{list:#}"));
            }
            // As the protocol's page shows a change: an entry a line, and all open brackets closed on the
            // line of the last entry.
            ["change-over-lines", ref names @ ..] => {
                let list = self.next_list(names, false);
                let entries: Vec<_> = names.iter().map(|name| format!("\n  {}", self.entry(name))).collect();
                let entries = entries.join(",");
                self.send_line(&format!("{{\"rev\":{},\"all\":false,\"targets\":[{entries}]}}", list["rev"]));
            }
            ["partial-change", ref names @ ..] => {
                let list = self.next_list(names, false).to_string();
                self.send_chunk(&list[..list.len() / 2]);
            }
            ["set-revision", revision] => self.revision = revision.parse().expect("a revision"),
            ["heartbeat"] => self.send_line(""),
            ["cut-off-list"] => self.send_line("{\"rev\": 77,\n  \"all\": true,\n  \"targets\": ["),
            ["malformed-list"] => self.send_line("{\"rev\": 9, \"targets\": [{\"uid\": 4}"),
            _ => return false,
        }
        true
    }

    fn expect_watch_request(&mut self, line: &str, options: &[&str]) {
        let written_meanwhile = match option(options, "while") {
            Some("heartbeats") => Some("\n"),
            Some("trickle") => Some(" "),
            Some(other) => panic!("{line}: unknown value {other} of `while`"),
            None => None,
        };
        let mut next_write = Instant::now();
        let (head, connection) = self.wait_until(line, |harness| {
            if let Some(text) = written_meanwhile.filter(|_| next_write <= Instant::now()) {
                harness.send_chunk(text);
                next_write = Instant::now() + TRICKLE_INTERVAL;
            }
            harness.take_watch_request()
        });
        let target = head.split(' ').nth(1);
        let after = target.and_then(|target| target.split_once("&after=")).map(|(_, revision)| revision);
        assert_eq!(after, option(options, "after"), "{line}: {head}");
        if let Some(within) = option(options, "within") {
            let elapsed = self.last_sent_at.elapsed();
            assert!(elapsed.as_millis() <= within.parse().expect("a time"), "{line}: {elapsed:?}");
        }
        self.watch = Some(connection);
        self.last_sent_at = Instant::now();
    }

    fn take_watch_request(&mut self) -> Option<(String, TestConnection)> {
        self.discovery_connections.retain(|connection| !connection.has_ended());
        let is_complete = |connection: &TestConnection| connection.input.ends_with(b"\r\n\r\n");
        let index = self.discovery_connections.iter().position(is_complete)?;
        let mut connection = self.discovery_connections.remove(index);
        let request = connection.take_message()?;
        Some((request.head, connection))
    }

    fn expect_watch_pending(&mut self, line: &str, ms: &str) {
        let end = Instant::now() + Duration::from_millis(ms.parse().expect("a time"));
        while Instant::now() < end {
            self.poll();
            assert!(!self.watch.as_ref().expect("a watch").has_ended(), "{line}: the node closed the watch");
            assert!(self.discovery_connections.is_empty(), "{line}: the node opened another connection");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// The JSON of a list entry, whose endpoint is created if it does not exist.
    pub(super) fn entry(&mut self, word: &str) -> Value {
        if word == "?" {
            return json!({"uid": 4, "endpoint": "nowhere"});
        }
        let (word, location) = word.split_once('~').unwrap_or((word, "z"));
        let (word, boot) = word.split_once('@').unwrap_or((word, "0"));
        let (name, state) = word.split_once(':').unwrap_or((word, "active"));
        let (name, address_of) = name.split_once('=').unwrap_or((name, name));
        let (zone, cell) = location.split_once('#').unwrap_or((location, "0"));
        let kind = if name == "origin" { "origin" } else { "plain" };
        let address = self.endpoint(address_of).address.expect("an address");
        let mut entry = json!({"uid": format!("s-{name}"), "endpoint": address.to_string(),
            "az": zone, "model": kind, "state": state, "capacity_hint": 1.0, "boot_ms": parse_boot_ms(boot)});
        if !cell.is_empty() {
            entry["pod_group"] = cell.parse::<u16>().expect("a number").into();
        }
        entry
    }

    /// The endpoint of this name, which is created if it does not exist.
    fn endpoint(&mut self, name: &str) -> &TestEndpoint {
        let address = &self.address;
        self.endpoints.entry(name.to_string()).or_insert_with(|| {
            let listener = listen(address);
            TestEndpoint {
                address: listener.local_addr().ok(),
                listener: Some(listener),
                ..TestEndpoint::default()
            }
        })
    }

    fn next_list(&mut self, names: &[&str], is_complete: bool) -> Value {
        let entries: Vec<_> = names.iter().map(|name| self.entry(name)).collect();
        self.revision += 1;
        json!({"rev": self.revision, "all": is_complete, "targets": entries})
    }

    fn send_line(&mut self, line: &str) {
        self.send_chunk(&format!("{line}\n"));
        self.last_sent_at = Instant::now();
    }

    fn send_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.write_to_watch(chunk.as_bytes());
    }

    fn write_to_watch(&mut self, bytes: &[u8]) {
        self.watch.as_mut().expect("a watch").write(bytes);
    }
}

/// The start of an endpoint as Unix time in milliseconds, parsed from a number, `now` or `now-MS`.
fn parse_boot_ms(text: &str) -> u64 {
    let Some(before_now) = text.strip_prefix("now") else { return text.parse().expect("a time") };
    let now = std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
    let before_ms = before_now.strip_prefix('-').map_or(0, |ms| ms.parse().expect("a time"));
    now - before_ms
}
