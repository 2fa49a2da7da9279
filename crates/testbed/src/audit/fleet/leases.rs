//! Reconstructs the leases that nodes held from the signed messages that the relay received.
//!
//! A node counts a lease's duration from when the node sent the request. The relay received the request no
//! earlier, so the audit counts each lease as held for at least as long as the node does.

use std::collections::BTreeMap;

use crate::event_log::{EventLog, Member, RelayedMessage, Timestamp};
use crate::experiment::LeasesConfig;
use crate::message_reference::{self, LeaseMessage, MessageKind, Resource};

/// Units of a lease of the origin per fetch: leases count thousandths of a fetch.
const ORIGIN_UNITS_PER_FETCH: f64 = 1e3;
/// Units of a lease of a cache per second of work: leases count millionths of a second.
const WORK_UNITS_PER_SECOND: f64 = 1e6;

/// Whether a grant is a short lease or a long-term allocation. A grant replaces only grants of the same term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Term {
    Lease,
    Allocation,
}

/// The key of grants that replace each other.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GrantKey {
    node: usize,
    planner: usize,
    resource: Resource,
    term: Term,
}

/// A grant that a node received.
struct Grant {
    /// The node's incarnation.
    incarnation: u64,
    /// When the relay received the node's request.
    requested: Timestamp,
    /// When the node received the grant.
    from: Timestamp,
    /// When the grant expires, is returned, or is lost in a restart of the node.
    to: Timestamp,
    amount: u32,
}

/// The number of a lease request, by node, planner and term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    node: usize,
    planner: usize,
    term: Term,
    request: u64,
}

/// When the relay received a lease request, and from which incarnation of the node.
#[derive(Clone, Copy)]
struct LeaseRequest {
    at: Timestamp,
    incarnation: u64,
}

/// The contents of a planner's message that grants a lease or an allocation.
struct GrantMessage {
    term: Term,
    request: u64,
    amounts: Vec<(Resource, u32)>,
    duration_us: u32,
}

/// All grants of leases and allocations of a run.
#[derive(Default)]
pub(super) struct LeaseHistory {
    /// Grants in the order in which nodes received them.
    grants: BTreeMap<GrantKey, Vec<Grant>>,
    /// The last request of each number.
    requests: BTreeMap<RequestKey, LeaseRequest>,
    /// The latest incarnation of each node.
    incarnations: BTreeMap<usize, u64>,
}

/// A change of the amount that nodes hold of a resource.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Change {
    at: Timestamp,
    amount: i64,
}

impl LeaseHistory {
    /// Reads the messages of a run.
    pub fn read(event_log: &EventLog) -> LeaseHistory {
        let mut history = LeaseHistory::default();
        let mut messages: Vec<&RelayedMessage> =
            event_log.messages.iter().filter(|message| !message.corrupted).collect();
        messages.sort_by_key(|message| message.received_at);
        for message in messages {
            history.on_message(&event_log.secret, message);
        }
        for grants in history.grants.values_mut() {
            grants.sort_by_key(|grant| (grant.from, grant.requested));
        }
        history
    }

    /// The number of grants that nodes received.
    pub fn grant_count(&self) -> usize {
        self.grants.values().map(Vec::len).sum()
    }

    fn on_message(&mut self, secret: &[u8], message: &RelayedMessage) {
        if let Member::Node(node) = message.from
            && let Some(sender) = message_reference::decode_sender(secret, &message.bytes)
        {
            self.on_incarnation(node, sender.incarnation, message.received_at);
        }
        let decoded = message_reference::decode(secret, MessageKind::Leases, &message.bytes);
        let Some((sender, lease)) = decoded else { return };
        match (message.from, message.to) {
            (Member::Node(node), Member::Planner(planner)) => {
                let request = LeaseRequest { at: message.received_at, incarnation: sender.incarnation };
                self.on_node_message(node, planner, request, &lease);
            }
            (Member::Planner(planner), Member::Node(node)) => {
                if let Some(granted) = GrantMessage::from_message(lease) {
                    self.on_grant(node, planner, &granted, &message.forwarded_at);
                }
            }
            _ => {}
        }
    }

    /// Ends the grants of a node's earlier incarnations: a node loses its grants when it restarts.
    fn on_incarnation(&mut self, node: usize, incarnation: u64, at: Timestamp) {
        let previous = self.incarnations.insert(node, incarnation);
        if previous.is_none_or(|previous| previous >= incarnation) {
            return;
        }
        for (key, grants) in &mut self.grants {
            for grant in grants {
                if key.node == node && grant.incarnation < incarnation {
                    grant.to = grant.to.min(at);
                }
            }
        }
    }

    /// Records a node's lease request, or ends the grants that the node returns.
    fn on_node_message(&mut self, node: usize, planner: usize, sent: LeaseRequest, message: &LeaseMessage) {
        let key = |term, request: &u64| RequestKey { node, planner, term, request: *request };
        match message {
            LeaseMessage::Request { request, .. } => {
                self.requests.insert(key(Term::Lease, request), sent);
            }
            LeaseMessage::RequestAllocation { request, .. } => {
                self.requests.insert(key(Term::Allocation, request), sent);
            }
            LeaseMessage::Return { request } => self.on_return(key(Term::Lease, request), sent.at),
            LeaseMessage::ReturnAllocation { request } => {
                self.on_return(key(Term::Allocation, request), sent.at);
            }
            LeaseMessage::Grant { .. } | LeaseMessage::Allocation { .. } => {}
        }
    }

    /// Ends all grants for requests up to the returned request.
    fn on_return(&mut self, returned: RequestKey, at: Timestamp) {
        let Some(request) = self.requests.get(&returned) else { return };
        for (key, grants) in &mut self.grants {
            if key.node != returned.node || key.planner != returned.planner || key.term != returned.term {
                continue;
            }
            for grant in grants {
                if grant.requested <= request.at {
                    grant.to = grant.to.min(at);
                }
            }
        }
    }

    /// Adds the grants of a message for each time at which the node received the message.
    fn on_grant(&mut self, node: usize, planner: usize, granted: &GrantMessage, received: &[Timestamp]) {
        let term = granted.term;
        // A node that restarts numbers its requests from the beginning: the grant answers the last request of
        // this number.
        let key = RequestKey { node, planner, term, request: granted.request };
        let Some(LeaseRequest { at: requested, incarnation }) = self.requests.get(&key).copied() else {
            return;
        };
        let to = Timestamp(requested.0 + i64::from(granted.duration_us));
        for from in received {
            for (resource, amount) in &granted.amounts {
                let key = GrantKey { node, planner, resource: *resource, term };
                let grant = Grant { incarnation, requested, from: *from, to, amount: *amount };
                self.grants.entry(key).or_default().push(grant);
            }
        }
    }

    /// The largest amount of a resource that nodes held at one time, including their permanent reserve,
    /// divided by the resource's capacity; the largest such ratio of all resources.
    pub fn max_leased_ratio(&self, config: &LeasesConfig, nodes: usize) -> f64 {
        let mut worst = 0.0_f64;
        for (resource, mut changes) in self.changes() {
            let capacity = match resource {
                Resource::Origin => config.origin_per_s * ORIGIN_UNITS_PER_FETCH,
                Resource::WarmingCache(_) => config.cold_cache_work * WORK_UNITS_PER_SECOND,
            };
            // Grants that end at a time sort before grants that begin at the same time.
            changes.sort_unstable();
            let mut held = 0;
            let mut max_held = i64::MIN;
            for change in &changes {
                held += change.amount;
                max_held = max_held.max(held);
            }
            let max_held = if changes.is_empty() { 0 } else { max_held };
            let reserve = (capacity * config.reserve / nodes as f64).floor() * nodes as f64;
            worst = worst.max((max_held as f64 + reserve) / capacity);
        }
        worst
    }

    /// The changes of the amount that nodes hold of each resource.
    fn changes(&self) -> BTreeMap<Resource, Vec<Change>> {
        let mut changes: BTreeMap<Resource, Vec<Change>> = BTreeMap::new();
        for (key, grants) in &self.grants {
            let changes = changes.entry(key.resource).or_default();
            let mut last_requested = None;
            for (n, grant) in grants.iter().enumerate() {
                // A node ignores a duplicate, and a grant that arrives after the grant for a later request.
                if last_requested.is_some_and(|last| last >= grant.requested) {
                    continue;
                }
                last_requested = Some(grant.requested);
                let replacement = grants[n + 1..].iter().find(|later| later.requested > grant.requested);
                let to = replacement.map_or(grant.to, |later| later.from.min(grant.to));
                if to > grant.from {
                    let amount = i64::from(grant.amount);
                    changes.push(Change { at: grant.from, amount });
                    changes.push(Change { at: to, amount: -amount });
                }
            }
        }
        changes
    }
}

impl GrantMessage {
    /// What a message grants; `None` for a message that grants nothing.
    fn from_message(message: LeaseMessage) -> Option<GrantMessage> {
        match message {
            LeaseMessage::Grant { request, granted, duration } => {
                Some(GrantMessage { term: Term::Lease, request, amounts: granted, duration_us: duration })
            }
            LeaseMessage::Allocation { request, amount, duration } if duration > 0 => Some(GrantMessage {
                term: Term::Allocation,
                request,
                amounts: vec![(Resource::Origin, amount)],
                duration_us: duration,
            }),
            _ => None,
        }
    }
}
