//! An index of the event log's records, which the checks of rules use.

use std::collections::{BTreeMap, HashMap};

use super::link_delay_ms;
use crate::event_log::{ClientAttempt, ClientAttemptEnd, Event, EventLog, NodeId, ServerAttempt, Timestamp};
use crate::experiment::{Experiment, FaultKind, RequestEffect};

/// A period in the state of a node, both ends included; a period without an end has [`Timestamp::MAX`].
struct Period {
    from: Timestamp,
    to: Timestamp,
}

type PeriodsByNode = BTreeMap<NodeId, Vec<Period>>;

/// The records of a run, indexed for the checks of rules.
pub(super) struct RunIndex<'a> {
    pub experiment: &'a Experiment,
    pub event_log: &'a EventLog,
    /// The latency that injected link faults may add to an attempt, in milliseconds.
    pub link_delay_ms: f64,
    /// Client attempts by identifier.
    client_attempts: HashMap<&'a str, &'a ClientAttempt>,
    /// Attempts at servers by the identifier of the client attempt, in the order of the event log.
    server_attempts: HashMap<&'a str, Vec<&'a ServerAttempt>>,
    /// Periods in which each node was down and could not respond.
    down: PeriodsByNode,
    /// Periods in which each node was stopping: it accepted no new requests, but had to answer accepted ones.
    stopping: PeriodsByNode,
}

impl<'a> RunIndex<'a> {
    pub fn new(experiment: &'a Experiment, event_log: &'a EventLog) -> RunIndex<'a> {
        let mut server_attempts: HashMap<&str, Vec<&ServerAttempt>> = HashMap::new();
        for attempt in &event_log.server_attempts {
            server_attempts.entry(&attempt.id).or_default().push(attempt);
        }
        let mut index = RunIndex {
            experiment,
            event_log,
            link_delay_ms: link_delay_ms(experiment),
            client_attempts: event_log.client_attempts.iter().map(|a| (a.id.as_str(), a)).collect(),
            server_attempts,
            down: BTreeMap::new(),
            stopping: BTreeMap::new(),
        };
        for timed in &event_log.events {
            match &timed.event {
                Event::NodeDown { node } => open_period(&mut index.down, *node, timed.at),
                Event::NodeStopping { node } => open_period(&mut index.stopping, *node, timed.at),
                Event::NodeUp { node } => {
                    close_period(&mut index.down, *node, timed.at);
                    close_period(&mut index.stopping, *node, timed.at);
                }
                _ => {}
            }
        }
        index
    }

    /// The client attempt with this identifier.
    pub fn client_attempt(&self, id: &str) -> Option<&'a ClientAttempt> {
        self.client_attempts.get(id).copied()
    }

    /// The attempts at servers for the client attempt with this identifier.
    pub fn server_attempts(&self, id: &str) -> &[&'a ServerAttempt] {
        self.server_attempts.get(id).map_or(&[], Vec::as_slice)
    }

    /// The attempts at servers for the client attempt with this identifier, in the order of arrival.
    pub fn server_attempts_by_arrival(&self, id: &str) -> Vec<&'a ServerAttempt> {
        let mut attempts = self.server_attempts(id).to_vec();
        attempts.sort_by_key(|attempt| attempt.arrived);
        attempts
    }

    /// The identifiers of all client attempts for which a server received an attempt.
    pub fn forwarded_ids(&self) -> impl Iterator<Item = &'a str> {
        self.server_attempts.keys().copied()
    }

    /// The effect of executing the attempt's request.
    pub fn effect(&self, attempt: &ClientAttempt) -> RequestEffect {
        self.experiment.request_classes[attempt.request_class].effect
    }

    /// Whether the node need not answer the attempt, because the node was down or accepted no new requests.
    pub fn is_excused(&self, attempt: &ClientAttempt) -> bool {
        let overlaps = |period: &Period| attempt.sent <= period.to && attempt.ended >= period.from;
        let any_overlap = |periods: &PeriodsByNode| {
            periods.get(&attempt.node).is_some_and(|periods| periods.iter().any(overlaps))
        };
        // A node did not accept an attempt that could not connect. If something was sent upstream for the
        // attempt, the node had accepted it on a pooled connection that then ended, and the client failed to
        // connect again.
        let not_accepted =
            attempt.end == ClientAttemptEnd::ConnectFailed && self.server_attempts(&attempt.id).is_empty();
        any_overlap(&self.down) || (not_accepted && any_overlap(&self.stopping))
    }

    /// Whether the link of an attempt was silent at some time while the attempt was in flight, so that the
    /// server could not see what the node did.
    pub fn link_was_silent(&self, attempt: &ServerAttempt) -> bool {
        let server = self.event_log.servers.get(attempt.server.0);
        let Some(slot) = server.and_then(|server| server.slot) else { return false };
        self.experiment.faults().iter().any(|fault| {
            let is_silent =
                fault.kind == FaultKind::LinkSilent && fault.target_caches(self.experiment).contains(&slot);
            let is_from_node = fault.nodes.is_empty() || fault.nodes.contains(&attempt.node.0);
            let from = Timestamp::from_s(fault.at_s);
            let to = Timestamp::from_s(fault.end_s());
            let overlaps = attempt.arrived <= to && attempt.ended.is_none_or(|ended| ended >= from);
            is_silent && is_from_node && overlaps
        })
    }
}

fn open_period(periods: &mut PeriodsByNode, node: NodeId, from: Timestamp) {
    periods.entry(node).or_default().push(Period { from, to: Timestamp::MAX });
}

fn close_period(periods: &mut PeriodsByNode, node: NodeId, to: Timestamp) {
    if let Some(last) = periods.get_mut(&node).and_then(|periods| periods.last_mut()) {
        last.to = last.to.min(to);
    }
}
