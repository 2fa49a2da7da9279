//! The number of running nodes over time.
//!
//! A `resize` fault starts or stops nodes one after the other, spread evenly over the fault's duration.
//! Clients use a new node from [`CLIENT_USE_DELAY_S`] after its start, and avoid a node from
//! [`CLIENT_AVOID_LEAD_S`] before its stop.

use super::{Experiment, FaultKind};

/// The delay from a node's start until clients use the node, in seconds.
const CLIENT_USE_DELAY_S: f64 = 2.0;
/// The time before a node's stop from which on clients avoid the node, in seconds.
const CLIENT_AVOID_LEAD_S: f64 = 0.3;
/// The difference, in seconds, below which two start times count as the same.
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
    /// When the node starts or is told to stop, in seconds from the start of the run.
    pub at_s: f64,
    /// Whether the node starts or stops.
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

    /// When a node starts or is told to stop, in seconds from the start of the run. Nodes stop from the
    /// highest index down.
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
    /// The number of nodes that run at the start of the run.
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

    /// The starts and stops of nodes by the `resize` fault that starts at a time, in seconds from the start
    /// of the run; empty if no `resize` fault starts then.
    pub fn node_changes(&self, fault_at_s: f64) -> Vec<NodeChange> {
        let mut resizes = self.resizes().into_iter();
        let found = resizes.find(|resize| (resize.at_s - fault_at_s).abs() < SAME_TIME_S);
        found.map_or_else(Vec::new, |resize| resize.node_changes())
    }

    /// The number of nodes that clients send requests to at a time, in seconds from the start of the run; at
    /// least
    /// 1. Clients use the nodes with the lowest indices.
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
