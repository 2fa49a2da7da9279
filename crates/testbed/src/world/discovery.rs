//! Discovery: the list of caches, told to each node with the addresses at which that node finds them.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::listener::{Answers, Broken, Door, Peer, Reply, Stance};
use super::wire;
use crate::event_log::{EndpointNotification, EventLogWriter, EndpointState, NodeId, ServerId, Timestamp};

/// An empty line comes so often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);
const SILENT_COUNTS: Duration = Duration::from_secs(6);
/// Changes that are kept; a watch that asks for older ones is told the whole list.
const KEPT: usize = 4096;

/// One server as it is listed.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: ServerId,
    pub uid: String,
    /// Its address for each node.
    pub endpoints: Vec<std::net::SocketAddr>,
    pub zone: String,
    pub kind: &'static str,
    pub listed: EndpointState,
    pub boot_ms: u64,
}

#[derive(Clone, Default)]
struct List {
    revision: u64,
    /// Those that are not gone.
    entries: Vec<Entry>,
    /// What changed, each with the revision that it made.
    changes: VecDeque<(u64, Entry)>,
    /// Nothing before this revision is known.
    from: u64,
    /// The names that ever were.
    known: Vec<ServerId>,
}

pub struct Discovery {
    event_log: EventLogWriter,
    list: Mutex<List>,
    /// The list as it goes on being told while it is stale.
    stale: Mutex<Option<List>>,
    changed: watch::Sender<u64>,
    pub silent: watch::Sender<bool>,
    /// Counts up when open watches fall silent for good.
    muted: watch::Sender<u64>,
    doors: Mutex<Vec<Arc<Door>>>,
}

impl Discovery {
    pub fn new(event_log: EventLogWriter) -> Discovery {
        let list = List { revision: 1, from: 1, ..List::default() };
        Discovery {
            event_log,
            list: Mutex::new(list),
            stale: Mutex::default(),
            changed: watch::Sender::new(0),
            silent: watch::Sender::new(false),
            muted: watch::Sender::new(0),
            doors: Mutex::default(),
        }
    }

    /// Opens a door for each node; those before take nothing new, and their watches end after `old_lasts`.
    pub async fn open(
        self: &Arc<Self>,
        addresses: &[IpAddr],
        old_lasts: Duration,
    ) -> std::io::Result<Vec<std::net::SocketAddr>> {
        let mut doors = Vec::new();
        for (node, ip) in addresses.iter().enumerate() {
            doors.push(Arc::new(Door::open(*ip, NodeId(node), Stance::Open, self.clone()).await?));
        }
        let told = doors.iter().map(|d| d.address).collect();
        let old = std::mem::replace(&mut *self.doors.lock().expect("no holder panics"), doors);
        tokio::spawn(async move {
            tokio::time::sleep(old_lasts).await;
            old.iter().for_each(|door| door.set(Stance::Refusing));
        });
        Ok(told)
    }

    /// Refuses, or is there again.
    pub fn set(&self, stance: Stance) {
        self.doors.lock().expect("no holder panics").iter().for_each(|door| door.set(stance));
    }

    /// Watches that are open say nothing more; new ones are answered.
    pub fn silence_watches(&self) {
        self.muted.send_modify(|n| *n += 1);
    }

    pub fn reset_watches(&self) {
        self.doors.lock().expect("no holder panics").iter().for_each(|door| door.reset());
    }

    /// What a watch misses that has fallen silent counts as told so long after, written or not.
    async fn count_as_told(&self, node: NodeId, mut after: Option<u64>, watch: mpsc::Sender<Bytes>) {
        tokio::time::sleep(SILENT_COUNTS).await;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            if let Some((revision, _, told)) = self.news(node, after) {
                after = Some(revision);
                self.event_log.write(|b| b.endpoint_notifications.extend(told));
            }
            // And whatever changes while the node goes on waiting for it to speak.
            tokio::select! {
                () = watch.closed() => return,
                _ = changed.changed() => {}
            }
        }
    }

    /// Lists a server anew or in another state.
    pub fn put(&self, entry: Entry) {
        let mut list = self.list.lock().expect("no holder panics");
        list.revision += 1;
        let revision = list.revision;
        list.entries.retain(|e| e.id != entry.id);
        if entry.listed != EndpointState::Removed {
            list.entries.push(entry.clone());
        }
        if !list.known.contains(&entry.id) {
            list.known.push(entry.id);
        }
        list.changes.push_back((revision, entry));
        while list.changes.len() > KEPT {
            list.from = list.changes.pop_front().map_or(list.from, |c| c.0);
        }
        drop(list);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Goes on with the list as it is now, whatever changes, or takes up what has changed.
    pub fn set_stale(&self, stale: bool) {
        let list = self.list.lock().expect("no holder panics").clone();
        *self.stale.lock().expect("no holder panics") = stale.then_some(list);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Counts revisions anew, and knows nothing of what was before.
    pub fn renumber(&self) {
        let mut list = self.list.lock().expect("no holder panics");
        (list.revision, list.from) = (1, 1);
        list.changes.clear();
    }

    /// The whole list in the form that a node's configuration keeps it in.
    pub fn known_to(&self, node: NodeId) -> Value {
        let list = self.list.lock().expect("no holder panics");
        let targets: Vec<_> = list.entries.iter().map(|e| target(e, node)).collect();
        json!({"rev": list.revision, "all": true, "targets": targets})
    }

    /// What a watch that has heard all up to `after` is told next, if anything, and up to where it has heard then.
    fn news(&self, node: NodeId, after: Option<u64>) -> Option<(u64, String, Vec<EndpointNotification>)> {
        let stale = self.stale.lock().expect("no holder panics").clone();
        let list = stale.unwrap_or_else(|| self.list.lock().expect("no holder panics").clone());
        let at = self.event_log.now();
        let told = |server, listed| EndpointNotification { node, server, state: listed, at };
        let whole = after.is_none_or(|a| a < list.from || a > list.revision);
        let (targets, told): (Vec<_>, Vec<_>) = if whole {
            let gone = list.known.iter().filter(|k| list.entries.iter().all(|e| e.id != **k));
            let mut said: Vec<_> = list.entries.iter().map(|e| told(e.id, e.listed)).collect();
            said.extend(gone.map(|id| told(*id, EndpointState::Removed)));
            (list.entries.iter().map(|e| target(e, node)).collect(), said)
        } else if after == Some(list.revision) {
            return None;
        } else {
            let changes = list.changes.iter().filter(|(r, _)| Some(*r) > after);
            changes.map(|(_, e)| (target(e, node), told(e.id, e.listed))).unzip()
        };
        let text = json!({"rev": list.revision, "all": whole, "targets": targets}).to_string();
        Some((list.revision, text, told))
    }

    async fn serve(self: Arc<Self>, peer: Arc<Peer>, call: Request<Incoming>) -> Reply {
        let node = peer.node;
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
        if call.uri().path() != "/registry/instances" {
            return Ok(wire::plain(404));
        }
        let query = call.uri().query().unwrap_or_default();
        let named = |name| query.split('&').find_map(|p| p.split_once('=').filter(|(n, _)| *n == name));
        if named("watch").is_none() {
            let (_, text, told) = self.news(node, None).ok_or(Broken)?;
            self.event_log.write(|b| b.endpoint_notifications.extend(told));
            return Ok(Response::new(wire::body(text)));
        }
        let after = named("after").and_then(|(_, n)| n.parse().ok());
        let (sender, receiver) = mpsc::channel(16);
        tokio::spawn(self.clone().tell(node, after, sender, peer));
        Ok(Response::new(Lines(receiver).boxed()))
    }

    async fn tell(
        self: Arc<Self>,
        node: NodeId,
        mut after: Option<u64>,
        lines: mpsc::Sender<Bytes>,
        _peer: Arc<Peer>,
    ) {
        let mut changed = self.changed.subscribe();
        let mut silent = self.silent.subscribe();
        let mut muted = self.muted.subscribe();
        muted.borrow_and_update();
        loop {
            changed.borrow_and_update();
            let _ = silent.wait_for(|silent| !silent).await;
            let mut line = String::new();
            if let Some((revision, text, told)) = self.news(node, after) {
                after = Some(revision);
                line = text;
                self.event_log.write(|b| b.endpoint_notifications.extend(told));
            }
            line.push('\n');
            if lines.send(Bytes::from(line)).await.is_err() {
                return;
            }
            tokio::select! {
                _ = tokio::time::timeout(BEAT, changed.changed()) => {}
                () = lines.closed() => return,
                Ok(()) = muted.changed() => {
                    let watch = lines.clone();
                    tokio::spawn(async move { self.count_as_told(node, after, watch).await });
                    return lines.closed().await;
                }
            }
        }
    }
}

/// A list's entry as the protocol words it.
fn target(entry: &Entry, node: NodeId) -> Value {
    let state = match entry.listed {
        EndpointState::Ready => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    json!({"uid": entry.uid, "endpoint": entry.endpoints[node.0].to_string(), "az": entry.zone,
        "model": entry.kind, "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": entry.boot_ms})
}

impl Answers for Discovery {
    fn answer(
        self: Arc<Self>,
        peer: Arc<Peer>,
        call: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
        Box::pin(self.serve(peer, call))
    }

    fn keepalive(&self) -> Duration {
        Duration::from_secs(3600)
    }

    fn connections(&self) -> usize {
        4096
    }
}

/// A body of lines that come as they are said.
struct Lines(mpsc::Receiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|l| Ok(Frame::data(l))))
    }
}

/// A server's start as lists word it.
pub fn boot_ms(started: Option<Timestamp>, unix_start_ms: u64) -> u64 {
    started.map_or(0, |s| (unix_start_ms as i64 + s.0 / 1000).max(1) as u64)
}
