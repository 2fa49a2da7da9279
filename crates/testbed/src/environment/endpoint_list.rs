//! The endpoint list of the simulated discovery service: its entries, its history of changes, and the updates
//! that a watch receives. The list is pure state, without input or output; [`super::discovery`] owns and
//! serves it.
//!
//! The revision grows by one with each change. A watch names the last revision that it knows and receives the
//! later changes, or the complete list if the history doesn't reach back to that revision.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::event_log::{EndpointNotification, EndpointState, NodeId, ServerId, Timestamp};

/// The most changes in the history. A watch that needs older changes receives the complete list.
const MAX_CHANGES: usize = 4096;
/// Revision of an empty list.
const FIRST_REVISION: u64 = 1;

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// ID of the server in the event log.
    pub id: ServerId,
    /// Unique name of the server.
    pub uid: String,
    /// Address at which each node reaches the server.
    pub addresses: Vec<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Model of the server in the protocol: `plain` or `origin`.
    pub model: &'static str,
    /// State of the server.
    pub state: EndpointState,
    /// Unix time of the server's start in milliseconds, 0 if unknown.
    pub boot_ms: u64,
}

/// A change of the list and the revision that the change created.
#[derive(Clone)]
struct Change {
    revision: u64,
    endpoint: ListedEndpoint,
}

/// The next update that a watch receives.
pub struct ListUpdate {
    /// The revision that the watch knows after the update.
    pub revision: u64,
    /// The update in the protocol's JSON format, on one line.
    pub text: String,
    /// The update as notifications for the event log.
    pub notifications: Vec<EndpointNotification>,
}

/// The endpoint list with its history.
#[derive(Clone)]
pub struct EndpointList {
    revision: u64,
    /// The endpoints that have not been removed, in the order of their last change.
    endpoints: Vec<ListedEndpoint>,
    changes: VecDeque<Change>,
    /// The oldest revision from which the history is complete.
    oldest_revision: u64,
    /// All servers that have ever been listed.
    known: Vec<ServerId>,
}

impl Default for EndpointList {
    fn default() -> EndpointList {
        EndpointList {
            revision: FIRST_REVISION,
            endpoints: Vec::new(),
            changes: VecDeque::new(),
            oldest_revision: FIRST_REVISION,
            known: Vec::new(),
        }
    }
}

impl EndpointList {
    /// Adds an endpoint or changes its state.
    pub fn put(&mut self, endpoint: ListedEndpoint) {
        self.revision += 1;
        self.endpoints.retain(|listed| listed.id != endpoint.id);
        if endpoint.state != EndpointState::Removed {
            self.endpoints.push(endpoint.clone());
        }
        if !self.known.contains(&endpoint.id) {
            self.known.push(endpoint.id);
        }
        self.changes.push_back(Change { revision: self.revision, endpoint });
        while self.changes.len() > MAX_CHANGES {
            if let Some(removed) = self.changes.pop_front() {
                self.oldest_revision = removed.revision;
            }
        }
    }

    /// Restarts the revisions and clears the history of changes.
    pub fn restart_revisions(&mut self) {
        self.revision = FIRST_REVISION;
        self.oldest_revision = FIRST_REVISION;
        self.changes.clear();
    }

    /// The complete list in the format in which a node's configuration holds it.
    pub fn snapshot_for(&self, node: NodeId) -> Value {
        json!({"rev": self.revision, "all": true, "targets": self.all_targets(node)})
    }

    /// Next update for a watch of a node that knows the list up to the revision `after`; none if the watch is
    /// up to date. A watch without a revision receives the complete list.
    pub fn update_since(&self, node: NodeId, after: Option<u64>, at: Timestamp) -> Option<ListUpdate> {
        let notify = |server, state| EndpointNotification { node, server, state, at };
        let is_complete = after.is_none_or(|after| after < self.oldest_revision || after > self.revision);
        if !is_complete && after == Some(self.revision) {
            return None;
        }
        let targets: Vec<Value>;
        let mut notifications: Vec<EndpointNotification>;
        if is_complete {
            targets = self.all_targets(node);
            notifications = self.endpoints.iter().map(|e| notify(e.id, e.state)).collect();
            notifications.extend(self.removed().map(|id| notify(id, EndpointState::Removed)));
        } else {
            let changes = self.changes.iter().filter(|change| Some(change.revision) > after);
            let endpoints: Vec<&ListedEndpoint> = changes.map(|change| &change.endpoint).collect();
            targets = endpoints.iter().map(|endpoint| target(endpoint, node)).collect();
            notifications = endpoints.iter().map(|e| notify(e.id, e.state)).collect();
        }
        let text = json!({"rev": self.revision, "all": is_complete, "targets": targets}).to_string();
        Some(ListUpdate { revision: self.revision, text, notifications })
    }

    fn all_targets(&self, node: NodeId) -> Vec<Value> {
        self.endpoints.iter().map(|endpoint| target(endpoint, node)).collect()
    }

    /// The servers that were listed and have been removed since.
    fn removed(&self) -> impl Iterator<Item = ServerId> {
        let is_removed = |id: &ServerId| self.endpoints.iter().all(|endpoint| endpoint.id != *id);
        self.known.iter().copied().filter(is_removed)
    }
}

/// An endpoint in the protocol's JSON format, with its address for the node.
fn target(endpoint: &ListedEndpoint, node: NodeId) -> Value {
    let state = match endpoint.state {
        EndpointState::Ready => "active",
        EndpointState::Draining => "leaving",
        EndpointState::Removed => "left",
    };
    json!({"uid": endpoint.uid, "endpoint": endpoint.addresses[node.0].to_string(), "az": endpoint.zone,
        "model": endpoint.model, "pod_group": 0, "state": state, "capacity_hint": 1.0,
        "boot_ms": endpoint.boot_ms})
}

/// Start of a server for its entry in the list: Unix time in milliseconds, 0 if unknown.
pub fn boot_ms(started: Option<Timestamp>, unix_start_ms: u64) -> u64 {
    started.map_or(0, |started| (unix_start_ms as i64 + started.0 / 1000).max(1) as u64)
}
