//! The discovery: lists and changes on the node's watch.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Cache, Stage};
use crate::connection::{deafen, free};
use crate::notation::option;

/// How often something is written while a call is waited for.
const DRIP: Duration = Duration::from_millis(100);

impl Stage {
    /// Plays the verbs for discovery; whether the line is one of these.
    pub(super) fn play_discovery(&mut self, line: &str, words: &[&str]) -> bool {
        match *words {
            ["move-discovery"] => {
                self.discovery = free(&self.address);
                self.former = self.watch.take();
                self.config["discovery"] =
                    self.discovery.local_addr().expect("an address").to_string().into();
            }
            ["silenced"] => self.former = self.watch.take(),
            ["former-change", ..] => {
                std::mem::swap(&mut self.watch, &mut self.former);
                self.play(line.strip_prefix("former-").expect("just seen"));
                std::mem::swap(&mut self.watch, &mut self.former);
            }
            ["former-ended"] => {
                self.until(line, |s| s.former.take_if(|f| f.ended));
            }
            ["known", ref names @ ..] => self.config["known"] = self.list(names, true),
            ["watched", ref options @ ..] => {
                self.play(&format!("called {}", options.join(" ")));
                self.play("heads");
            }
            ["called", ref options @ ..] => {
                let meanwhile = option(options, "while").map(|what| if what == "beats" { "\n" } else { " " });
                let mut next = Instant::now();
                let (head, conn) = self.until(line, |s| {
                    if let Some(text) = meanwhile.filter(|_| next <= Instant::now()) {
                        s.write_chunk(text);
                        next = Instant::now() + DRIP;
                    }
                    s.asked.retain(|c| !c.ended);
                    let at = s.asked.iter().position(|c| c.input.ends_with(b"\r\n\r\n"))?;
                    let mut conn = s.asked.remove(at);
                    Some((conn.message()?.0, conn))
                });
                let after = head.split(' ').nth(1).and_then(|t| t.split_once("&after=")).map(|a| a.1);
                assert_eq!(after, option(options, "after"), "{line}: {head}");
                if let Some(most) = option(options, "within") {
                    let took = self.told.elapsed();
                    assert!(took.as_millis() <= most.parse().expect("a time"), "{line}: {took:?}");
                }
                self.watch = Some(conn);
                self.told = Instant::now();
            }
            ["heads"] => {
                let watch = self.watch.as_mut().expect("a call");
                watch.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            ["hints"] => self.watch.as_mut().expect("a call").write(b"HTTP/1.1 103 Early Hints\r\n\r\n"),
            ["waits", ms] => {
                let end = Instant::now() + Duration::from_millis(ms.parse().expect("a time"));
                while Instant::now() < end {
                    self.poll();
                    assert!(!self.watch.as_ref().expect("a call").ended, "{line}: it was given up");
                    assert!(self.asked.is_empty(), "{line}: another was made");
                    std::thread::sleep(Duration::from_millis(1));
                }
            }
            ["unlisted"] => {
                let mut conn = self.until(line, |s| s.asked.pop());
                conn.write(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            }
            ["unwatched"] => self.watch = None,
            ["list", ref names @ ..] => {
                let list = self.list(names, true);
                self.tell(&list.to_string());
            }
            ["change", ref names @ ..] => {
                let list = self.list(names, false);
                self.tell(&list.to_string());
            }
            ["beat"] => self.tell(""),
            // The same over many lines.
            ["indented", ref names @ ..] => {
                let list = self.list(names, false);
                self.tell(&format!("{list:#}"));
            }
            // As the protocol's page shows it: an entry a line, and all that is open ended with the last one.
            ["spread", ref names @ ..] => {
                let list = self.list(names, false);
                let entries: Vec<_> = names.iter().map(|w| format!("\n  {}", self.entry(w))).collect();
                self.tell(&format!(
                    "{{\"rev\":{},\"all\":false,\"targets\":[{}]}}",
                    list["rev"],
                    entries.join(",")
                ));
            }
            ["half", ref names @ ..] => {
                let list = self.list(names, false).to_string();
                self.write_chunk(&list[..list.len() / 2]);
            }
            ["back-to", revision] => self.revision = revision.parse().expect("a revision"),
            ["broken-off"] => self.tell("{\"rev\": 77,\n  \"all\": true,\n  \"targets\": ["),
            ["garble"] => self.tell("{\"rev\": 9, \"targets\": [{\"uid\": 4}"),
            ["deaf", "discovery"] => {
                (self.deaf, self.fillers) = (true, deafen(&self.discovery));
            }
            ["hear", "discovery"] => (self.deaf, self.fillers) = (false, Vec::new()),
            _ => return false,
        }
        true
    }

    pub(super) fn entry(&mut self, word: &str) -> Value {
        if word == "?" {
            return json!({"uid": 4, "endpoint": "nowhere"});
        }
        let (word, zone) = word.split_once('~').unwrap_or((word, "z"));
        let (word, boot) = word.split_once('@').unwrap_or((word, "0"));
        let (name, state) = word.split_once(':').unwrap_or((word, "active"));
        let (name, at) = name.split_once('=').unwrap_or((name, name));
        let address = self.address.clone();
        let cache = self.caches.entry(at.to_string()).or_insert_with(|| {
            let listener = free(&address);
            Cache { endpoint: listener.local_addr().ok(), listener: Some(listener), ..Cache::default() }
        });
        let kind = if name == "origin" { "origin" } else { "plain" };
        let now = || std::time::UNIX_EPOCH.elapsed().expect("a clock").as_millis() as u64;
        let boot = match boot.strip_prefix("now") {
            Some(before) => now() - before.strip_prefix('-').map_or(0, |ms| ms.parse().expect("a time")),
            None => boot.parse().expect("a time"),
        };
        let (zone, cell) = zone.split_once('#').unwrap_or((zone, "0"));
        let mut entry = json!({"uid": format!("s-{name}"), "endpoint": cache.endpoint.expect("one").to_string(),
            "az": zone, "model": kind, "state": state, "capacity_hint": 1.0, "boot_ms": boot});
        if !cell.is_empty() {
            entry["pod_group"] = cell.parse::<u16>().expect("a number").into();
        }
        entry
    }

    fn list(&mut self, words: &[&str], all: bool) -> Value {
        let entries: Vec<_> = words.iter().map(|w| self.entry(w)).collect();
        self.revision += 1;
        json!({"rev": self.revision, "all": all, "targets": entries})
    }

    fn tell(&mut self, line: &str) {
        self.write_chunk(&format!("{line}\n"));
        self.told = Instant::now();
    }

    fn write_chunk(&mut self, text: &str) {
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.watch.as_mut().expect("a watch").write(chunk.as_bytes());
    }
}
