//! The simulated discovery service. It serves each node the endpoint list and watches of the list, with the
//! addresses at which that node reaches the servers, and records which endpoint states each node was notified
//! of.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::Value;
use tokio::sync::{mpsc, watch};

use super::endpoint_list::{EndpointList, ListUpdate, ListedEndpoint};
use super::listener::{
    ConnectionAborted, Handler, HandlerFuture, HandlerResult, Listener, ListenerState, ServerConnection,
};
use super::wire;
use crate::event_log::{EventLogWriter, NodeId};

/// Interval at which a watch sends empty lines while the list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time within which a node has to notice that its watch is silent. After this time the node counts as
/// notified of the changes that the silent watch withholds.
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Number of lines that are buffered for a slow reader of a watch.
const WATCH_BUFFER_LINES: usize = 16;
/// Time after which an idle connection is closed.
const KEEPALIVE: Duration = Duration::from_secs(3600);
/// The most connections of each node.
const MAX_CONNECTIONS: usize = 4096;

/// The simulated discovery service.
pub struct Discovery {
    event_log: EventLogWriter,
    list: Mutex<EndpointList>,
    /// The frozen list, while a stale one is served in place of the current list.
    stale_list: Mutex<Option<EndpointList>>,
    /// Incremented with each change of the served list.
    change_count: watch::Sender<u64>,
    /// Whether requests get no response and watches no updates.
    pub is_silent: watch::Sender<bool>,
    /// Incremented to silence the open watches permanently.
    silenced_count: watch::Sender<u64>,
    listeners: Mutex<Vec<Arc<Listener>>>,
}

impl Discovery {
    /// Creates a service with an empty list and without listeners.
    pub fn new(event_log: EventLogWriter) -> Discovery {
        Discovery {
            event_log,
            list: Mutex::default(),
            stale_list: Mutex::default(),
            change_count: watch::Sender::new(0),
            is_silent: watch::Sender::new(false),
            silenced_count: watch::Sender::new(0),
            listeners: Mutex::default(),
        }
    }

    /// Binds a new listener for each node and returns the new addresses. After `old_listeners_lifetime` the
    /// former listeners refuse connections and reset their open watches.
    ///
    /// # Errors
    /// Returns the system's error if an address can't be bound.
    pub async fn bind(
        self: &Arc<Self>,
        addresses: &[IpAddr],
        old_listeners_lifetime: Duration,
    ) -> std::io::Result<Vec<SocketAddr>> {
        let mut listeners = Vec::new();
        for (node, ip) in addresses.iter().enumerate() {
            let listener = Listener::bind(*ip, NodeId(node), ListenerState::Accepting, self.clone()).await?;
            listeners.push(Arc::new(listener));
        }
        let bound = listeners.iter().map(|listener| listener.address).collect();
        let old = std::mem::replace(
            &mut *self.listeners.lock().expect("no thread panics while it holds the lock"),
            listeners,
        );
        tokio::spawn(async move {
            tokio::time::sleep(old_listeners_lifetime).await;
            for listener in old {
                listener.set_state(ListenerState::Refusing);
            }
        });
        Ok(bound)
    }

    /// Changes the state of all listeners.
    pub fn set_listener_state(&self, state: ListenerState) {
        for listener in self.listeners.lock().expect("no thread panics while it holds the lock").iter() {
            listener.set_state(state);
        }
    }

    /// Silences the open watches permanently; new watches are served.
    pub fn silence_watches(&self) {
        self.silenced_count.send_modify(|count| *count += 1);
    }

    /// Resets all connections and with them the open watches.
    pub fn reset_watches(&self) {
        for listener in self.listeners.lock().expect("no thread panics while it holds the lock").iter() {
            listener.reset_connections();
        }
    }

    /// Adds an endpoint to the list or changes its state there.
    pub fn put(&self, endpoint: ListedEndpoint) {
        self.list.lock().expect("no thread panics while it holds the lock").put(endpoint);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Freezes the served list as it is now, or serves the current list again if `is_stale` is false.
    pub fn set_stale(&self, is_stale: bool) {
        let list = self.list.lock().expect("no thread panics while it holds the lock").clone();
        *self.stale_list.lock().expect("no thread panics while it holds the lock") = is_stale.then_some(list);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Restarts the list's revisions and clears its history of changes.
    pub fn restart_revisions(&self) {
        self.list.lock().expect("no thread panics while it holds the lock").restart_revisions();
    }

    /// The complete current list in the format in which a node's configuration holds it.
    pub fn snapshot_for(&self, node: NodeId) -> Value {
        self.list.lock().expect("no thread panics while it holds the lock").snapshot_for(node)
    }

    /// Next update for a watch of a node that knows the list up to the revision `after`; none if the watch is
    /// up to date.
    fn update_since(&self, node: NodeId, after: Option<u64>) -> Option<ListUpdate> {
        let stale_list = self.stale_list.lock().expect("no thread panics while it holds the lock").clone();
        let list = match stale_list {
            Some(list) => list,
            None => self.list.lock().expect("no thread panics while it holds the lock").clone(),
        };
        list.update_since(node, after, self.event_log.now())
    }

    async fn serve(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerResult {
        let node = connection.node;
        self.wait_while_silent(&mut self.is_silent.subscribe()).await;
        if request.uri().path() != "/registry/instances" {
            return Ok(wire::empty_response(StatusCode::NOT_FOUND));
        }
        let query = request.uri().query().unwrap_or_default();
        if query_parameter(query, "watch").is_none() {
            let update = self.update_since(node, None).ok_or(ConnectionAborted)?;
            self.event_log.write(|log| log.endpoint_notifications.extend(update.notifications));
            return Ok(Response::new(wire::text_body(update.text)));
        }
        let after = query_parameter(query, "after").and_then(|revision| revision.parse().ok());
        let (lines, line_receiver) = mpsc::channel(WATCH_BUFFER_LINES);
        tokio::spawn(self.clone().run_watch(node, after, lines, connection));
        Ok(Response::new(LineBody(line_receiver).boxed()))
    }

    async fn wait_while_silent(&self, is_silent: &mut watch::Receiver<bool>) {
        let _ = is_silent.wait_for(|is_silent| !is_silent).await;
    }

    /// Writes the updates and heartbeats of a watch until its reader is gone. The task holds the watch's
    /// `_connection` until then.
    async fn run_watch(
        self: Arc<Self>,
        node: NodeId,
        mut after: Option<u64>,
        lines: mpsc::Sender<Bytes>,
        _connection: Arc<ServerConnection>,
    ) {
        let mut changes = self.change_count.subscribe();
        let mut is_silent = self.is_silent.subscribe();
        let mut silenced = self.silenced_count.subscribe();
        silenced.borrow_and_update();
        loop {
            changes.borrow_and_update();
            self.wait_while_silent(&mut is_silent).await;
            let mut line = String::new();
            if let Some(update) = self.update_since(node, after) {
                after = Some(update.revision);
                line = update.text;
                self.event_log.write(|log| log.endpoint_notifications.extend(update.notifications));
            }
            line.push('\n');
            if lines.send(Bytes::from(line)).await.is_err() {
                return;
            }
            tokio::select! {
                _ = tokio::time::timeout(HEARTBEAT_INTERVAL, changes.changed()) => {}
                () = lines.closed() => return,
                Ok(()) = silenced.changed() => {
                    let silent_watch = lines.clone();
                    tokio::spawn(async move { self.count_as_notified(node, after, silent_watch).await });
                    return lines.closed().await;
                }
            }
        }
    }

    /// Records the updates that a silenced watch withholds as notifications of the node, once the node has
    /// had [`SILENT_WATCH_TIMEOUT`] to notice the silence. Goes on with later changes while the node keeps
    /// the same watch open.
    async fn count_as_notified(&self, node: NodeId, mut after: Option<u64>, watch: mpsc::Sender<Bytes>) {
        tokio::time::sleep(SILENT_WATCH_TIMEOUT).await;
        let mut changes = self.change_count.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(update) = self.update_since(node, after) {
                after = Some(update.revision);
                self.event_log.write(|log| log.endpoint_notifications.extend(update.notifications));
            }
            tokio::select! {
                () = watch.closed() => return,
                _ = changes.changed() => {}
            }
        }
    }
}

/// Value of a parameter in a URL's query string, if the parameter is there.
fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, value)| value)
}

impl Handler for Discovery {
    fn handle(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerFuture {
        Box::pin(self.serve(connection, request))
    }

    fn keepalive(&self) -> Duration {
        KEEPALIVE
    }

    fn max_connections(&self) -> usize {
        MAX_CONNECTIONS
    }
}

/// A streaming response body: each line is sent when it becomes available.
struct LineBody(mpsc::Receiver<Bytes>);

impl Body for LineBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}
