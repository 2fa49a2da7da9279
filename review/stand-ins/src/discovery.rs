//! Discovery: the list of cache servers, whole or as a watch.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{response, Reader};

#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub state: String,
    pub size: f64,
    pub boot_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\"state\":\"{}\",\"capacity_hint\":{:.1},\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.kind, self.cell, self.state, self.size, self.boot_ms
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Each entry with the revision of its last change.
    entries: Vec<(u64, Entry)>,
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    trouble: Mutex<Trouble>,
}

/// What goes wrong at discovery.
#[derive(Clone, Copy, Default)]
pub struct Trouble {
    /// Watches that were opened before this number of calls say nothing more.
    silent_before: usize,
    calls: usize,
    /// How many of the calls that come are refused, after how long a wait, and how long the others wait.
    pub refused: usize,
    pub refused_after: Duration,
    pub answered_after: Duration,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State { revision: 41, entries: entries.into_iter().map(|entry| (41, entry)).collect() };
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            trouble: Mutex::default(),
        });
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(Reader::new(stream)));
            }
        });
        discovery
    }

    /// Changes the state of an entry.
    pub fn set_state(&self, uid: &str, new_state: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for (changed_at, entry) in &mut state.entries {
            if entry.uid == uid {
                *changed_at = revision;
                entry.state = new_state.to_string();
            }
        }
        self.changed.notify_all();
    }

    /// A cache server has started anew just now.
    pub fn restart(&self, uid: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        for (changed_at, entry) in &mut state.entries {
            if entry.uid == uid {
                *changed_at = revision;
                entry.boot_ms = now.as_millis() as u64;
            }
        }
        self.changed.notify_all();
    }

    /// All open watches fall silent, and calls go as `trouble` says from now on.
    pub fn silence_watches(&self, refused: usize, refused_after: Duration, answered_after: Duration) {
        let mut trouble = self.trouble.lock().unwrap();
        let calls = trouble.calls;
        *trouble = Trouble { silent_before: calls, calls, refused, refused_after, answered_after };
    }

    fn list(&self, after: Option<u64>) -> (u64, String) {
        let state = self.state.lock().unwrap();
        let since = after.unwrap_or(0);
        let targets: Vec<String> =
            state.entries.iter().filter(|(changed_at, _)| *changed_at > since).map(|(_, entry)| entry.json()).collect();
        let all = after.is_none();
        (state.revision, format!("{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}", state.revision, targets.join(",")))
    }

    /// The whole list, as a node's configuration holds it.
    pub fn known(&self) -> String {
        self.list(None).1
    }

    fn serve(&self, mut reader: Reader) {
        while let Ok(Some(request)) = reader.message() {
            let path = request.path().to_string();
            if !path.contains("watch=1") {
                let (_, list) = self.list(None);
                let _ = reader.stream.write_all(&response(200, &[("Content-Type", "application/json")], list.as_bytes()));
                continue;
            }
            let (call, wait, is_refused) = {
                let mut trouble = self.trouble.lock().unwrap();
                trouble.calls += 1;
                let is_refused = trouble.refused > 0;
                trouble.refused = trouble.refused.saturating_sub(1);
                let wait = if is_refused { trouble.refused_after } else { trouble.answered_after };
                (trouble.calls, wait, is_refused)
            };
            thread::sleep(wait);
            if is_refused {
                let _ = reader.stream.write_all(&response(503, &[], b"too many calls\n"));
                continue;
            }
            let after = path.split("after=").nth(1).and_then(|text| text.parse::<u64>().ok());
            let _ = self.watch(&mut reader, after, call);
            return;
        }
    }

    fn watch(&self, reader: &mut Reader, after: Option<u64>, call: usize) -> std::io::Result<()> {
        reader.stream.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        )?;
        let (mut told, list) = self.list(after);
        write_chunk(reader, &format!("{list}\n"))?;
        loop {
            let state = self.state.lock().unwrap();
            let (state, _) = self
                .changed
                .wait_timeout_while(state, Duration::from_secs(2), |state| state.revision == told)
                .unwrap();
            let is_changed = state.revision != told;
            drop(state);
            if call <= self.trouble.lock().unwrap().silent_before {
                // The connection stays open, and nothing comes on it.
                thread::sleep(Duration::from_secs(60));
                return Ok(());
            }
            if is_changed {
                let (revision, list) = self.list(Some(told));
                told = revision;
                write_chunk(reader, &format!("{list}\n"))?;
            } else {
                write_chunk(reader, "\n")?;
            }
        }
    }
}

fn write_chunk(reader: &mut Reader, text: &str) -> std::io::Result<()> {
    reader.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
