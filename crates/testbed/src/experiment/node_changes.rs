//! How many nodes run over time.
//!
//! A `resize` fault starts or stops nodes one after the other, spread evenly over the fault's duration. Clients have a
//! view of their own: they use a new node somewhat after it starts, and avoid a node somewhat before it stops.

use super::{Experiment, FaultKind};

/// How long after its start clients use a node, in seconds.
const CLIENT_USE_DELAY_S: f64 = 2.0;
/// How long before its stop clients avoid a node, in seconds.
const CLIENT_AVOID_LEAD_S: f64 = 0.3;
/// Two start times that differ by less than this, in seconds, are the same.
const SAME_TIME_S: f64 = 1e-9;

/// Whether a node starts or stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAction {
    /// The node's process is started.
    Start,
    /// The node is told to shut down gracefully.
    Stop,
}

/// The start or the stop of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeChange {
    /// The node's index.
    pub node: usize,
    /// When it starts or is told to stop, in seconds from the start of the run.
    pub at_s: f64,
    /// Which of both.
    pub action: NodeAction,
}

/// A change of the number of nodes.
struct Resize {
    at_s: f64,
    for_s: f64,
    from: usize,
    to: usize,
}

impl Resize {
    fn grows(&self) -> bool {
        self.to > self.from
    }

    /// When a node starts or is told to stop. The last node to start is the first to stop.
    fn change_time_s(&self, node: usize) -> f64 {
        let changes = self.from.abs_diff(self.to).max(1) as f64;
        let earlier_changes = if self.grows() { node - self.from } else { self.from - 1 - node };
        self.at_s + self.for_s * earlier_changes as f64 / changes
    }

    /// The changes of single nodes, ordered by the node's index.
    fn node_changes(&self) -> Vec<NodeChange> {
        let action = if self.grows() { NodeAction::Start } else { NodeAction::Stop };
        let changed = self.from.min(self.to)..self.from.max(self.to);
        changed.map(|node| NodeChange { node, at_s: self.change_time_s(node), action }).collect()
    }
}

impl Experiment {
    /// The number of nodes that run at the start.
    pub fn initial_nodes(&self) -> usize {
        let configured = self.fleet.as_ref().and_then(|fleet| fleet.initial_nodes);
        configured.unwrap_or(self.environment.nodes)
    }

    fn resizes(&self) -> Vec<Resize> {
        let mut nodes = self.initial_nodes();
        let mut resizes = Vec::new();
        for fault in self.faults() {
            if fault.kind == FaultKind::Resize {
                resizes.push(Resize { at_s: fault.at_s, for_s: fault.for_s, from: nodes, to: fault.count });
                nodes = fault.count;
            }
        }
        resizes
    }

    /// The nodes that start or stop by the `resize` fault that starts at a time, in seconds from the start; empty if none
    /// does.
    pub fn node_changes(&self, fault_at_s: f64) -> Vec<NodeChange> {
        let mut resizes = self.resizes().into_iter();
        let found = resizes.find(|resize| (resize.at_s - fault_at_s).abs() < SAME_TIME_S);
        found.map_or_else(Vec::new, |resize| resize.node_changes())
    }

    /// How many nodes, from the first one on, clients send requests to at a time, in seconds from the start; at least one.
    pub fn active_nodes_at(&self, at_s: f64) -> usize {
        let mut active = self.initial_nodes();
        for resize in self.resizes() {
            for change in resize.node_changes() {
                match change.action {
                    NodeAction::Start if change.at_s + CLIENT_USE_DELAY_S <= at_s => active += 1,
                    NodeAction::Stop if change.at_s - CLIENT_AVOID_LEAD_S <= at_s => {
                        active = active.saturating_sub(1);
                    }
                    NodeAction::Start | NodeAction::Stop => {}
                }
            }
        }
        active.max(1)
    }
}

#[cfg(test)]
mod tests;
