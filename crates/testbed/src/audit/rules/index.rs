//! The event log with its records found by name.

use std::collections::{BTreeMap, HashMap};

use super::link_delay_ms;
use crate::event_log::{ClientAttempt, ClientAttemptEnd, Event, EventLog, NodeId, ServerAttempt, Timestamp};
use crate::experiment::{Experiment, FaultKind, RequestEffect};

/// A period of a node, both ends included; an open one ends at [`Timestamp::MAX`].
struct Period {
    from: Timestamp,
    to: Timestamp,
}

type PeriodsByNode = BTreeMap<NodeId, Vec<Period>>;

/// What the checks of rules look up.
pub(super) struct RunIndex<'a> {
    pub experiment: &'a Experiment,
    pub event_log: &'a EventLog,
    /// What injected link faults may add to an attempt's way, in milliseconds.
    pub link_delay_ms: f64,
    /// Client attempts by name.
    client_attempts: HashMap<&'a str, &'a ClientAttempt>,
    /// Attempts at servers by the name of the client attempt, in the order of arrival.
    server_attempts: HashMap<&'a str, Vec<&'a ServerAttempt>>,
    /// When each node could not be expected to respond.
    down: PeriodsByNode,
    /// When each node accepted nothing new, though it owed responses.
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

    /// The client attempt of this name.
    pub fn client_attempt(&self, id: &str) -> Option<&'a ClientAttempt> {
        self.client_attempts.get(id).copied()
    }

    /// The attempts at servers for a client attempt.
    pub fn server_attempts(&self, id: &str) -> &[&'a ServerAttempt] {
        self.server_attempts.get(id).map_or(&[], Vec::as_slice)
    }

    /// The same by the time of their arrival.
    pub fn server_attempts_by_arrival(&self, id: &str) -> Vec<&'a ServerAttempt> {
        let mut attempts = self.server_attempts(id).to_vec();
        attempts.sort_by_key(|attempt| attempt.arrived);
        attempts
    }

    /// The names of all client attempts that have attempts at servers.
    pub fn forwarded_ids(&self) -> impl Iterator<Item = &'a str> {
        self.server_attempts.keys().copied()
    }

    pub fn effect(&self, attempt: &ClientAttempt) -> RequestEffect {
        self.experiment.request_classes[attempt.request_class].effect
    }

    /// Whether the node owes the attempt no response, because it was down or accepted nothing new.
    pub fn is_excused(&self, attempt: &ClientAttempt) -> bool {
        let overlaps = |period: &Period| attempt.sent <= period.to && attempt.ended >= period.from;
        let any_overlap = |periods: &PeriodsByNode| {
            periods.get(&attempt.node).is_some_and(|periods| periods.iter().any(overlaps))
        };
        // An attempt that found no connection was not accepted, unless something was sent upstream for it: its client
        // had first used a pooled connection, which ended, and then tried to connect again.
        let not_accepted =
            attempt.end == ClientAttemptEnd::ConnectFailed && self.server_attempts(&attempt.id).is_empty();
        any_overlap(&self.down) || (not_accepted && any_overlap(&self.stopping))
    }

    /// Whether the link of an attempt was silent at some time while it was in flight, so that the server could not see
    /// what the node did.
    pub fn was_cut_off(&self, attempt: &ServerAttempt) -> bool {
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
