//! Discovery: the list of cache servers, whole or as a watch.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub model: String,
    pub group: u32,
    pub state: String,
    pub boot_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"{}\",\"pod_group\":{},\
             \"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.zone, self.model, self.group, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    entries: Vec<Entry>,
    /// The lines that were told since the start, with their revisions.
    changes: Vec<(u64, String)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Discovery {
        let listener = TcpListener::bind((crate::process::own_ip(), 0)).expect("a loopback address");
        let address = listener.local_addr().unwrap();
        let state = State { revision: 1, entries, changes: Vec::new() };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry's state and tells it to all watches.
    pub fn set_state(&self, uid: &str, new: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let Some(entry) = state.entries.iter_mut().find(|entry| entry.uid == uid) else { return };
        entry.state = new.to_string();
        let line = format!("{{\"rev\":{revision},\"all\":false,\"targets\":[{}]}}\n", entry.json());
        if new == "left" {
            state.entries.retain(|entry| entry.uid != uid);
        }
        state.changes.push((revision, line));
        changed.notify_all();
    }

    fn whole(state: &State) -> String {
        let entries: Vec<String> = state.entries.iter().map(Entry::json).collect();
        format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}\n", state.revision, entries.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let is_watch = request.path().contains("watch=1");
            let result = if is_watch { self.watch(&mut writer) } else { self.answer(&mut writer) };
            if result.is_err() || is_watch {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        let text = Discovery::whole(&self.state.0.lock().unwrap());
        writer.write_all(&http::response(200, &[], &text))
    }

    /// Writes the whole list, then each change, and an empty line every 2 s while nothing changes.
    fn watch(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (state, changed) = &*self.state;
        let (first, mut told) = {
            let state = state.lock().unwrap();
            (Discovery::whole(&state), state.revision)
        };
        write_chunk(writer, &first)?;
        loop {
            let lines: Vec<(u64, String)> = {
                let guard = state.lock().unwrap();
                let (guard, _) = changed
                    .wait_timeout_while(guard, Duration::from_secs(2), |state| state.revision <= told)
                    .unwrap();
                guard.changes.iter().filter(|(revision, _)| *revision > told).cloned().collect()
            };
            if lines.is_empty() {
                write_chunk(writer, "\n")?;
            }
            for (revision, line) in lines {
                told = revision;
                write_chunk(writer, &line)?;
            }
        }
    }
}

fn write_chunk(writer: &mut TcpStream, text: &str) -> std::io::Result<()> {
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
