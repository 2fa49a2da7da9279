//! Faults of the links between nodes and caches.

use std::time::Duration;

use super::super::TestEnvironment;
use super::super::link::{DirectionState, LinkState};
use super::super::listener::ListenerState;
use super::Phase;
use crate::experiment::{Fault, FaultKind, LinkDirection};

/// Begins or ends a fault of the links between the named caches and nodes. Faults of other kinds are ignored.
pub fn apply(environment: &TestEnvironment, fault: &Fault, caches: &[usize], nodes: &[usize], phase: Phase) {
    let Some(state) = direction_state(fault, phase) else { return };
    // A silent link also drops the packets of handshakes, so the listener leaves connection attempts
    // unanswered.
    let is_unreachable = fault.kind == FaultKind::LinkSilent && phase == Phase::Begin;
    let listener_state = if is_unreachable { ListenerState::Unresponsive } else { ListenerState::Accepting };
    for cache in caches {
        let Some(listeners) = environment.slots[*cache].listeners.get() else { continue };
        for listener in nodes.iter().filter_map(|node| listeners.get(*node)) {
            listener.link.send_modify(|link| set_directions(link, fault, state));
            listener.set_state(listener_state);
        }
    }
}

/// State that the affected directions of a link take, or none if the fault is not one of links.
fn direction_state(fault: &Fault, phase: Phase) -> Option<DirectionState> {
    let normal = DirectionState::default();
    let faulty = match fault.kind {
        FaultKind::LinkSilent => DirectionState { is_silent: true, ..normal },
        FaultKind::LinkDelay => {
            let delay = Duration::from_secs_f64(fault.ms.unwrap_or(0.0) / 1000.0);
            DirectionState { delay, ..normal }
        }
        FaultKind::LinkThrottle => {
            let bytes_per_s = fault.kbytes_per_s.map(|kbytes| kbytes * 1000.0);
            DirectionState { bytes_per_s, ..normal }
        }
        FaultKind::LinkReset => DirectionState { reset_after_bytes: fault.bytes, ..normal },
        _ => return None,
    };
    match phase {
        Phase::Begin => Some(faulty),
        Phase::End => Some(normal),
    }
}

/// Sets the state of the directions that a fault affects. [`FaultKind::LinkReset`] affects only the direction
/// toward the node.
fn set_directions(link: &mut LinkState, fault: &Fault, state: DirectionState) {
    if fault.direction != LinkDirection::Nodes && fault.kind != FaultKind::LinkReset {
        link.toward_server = state;
    }
    if fault.direction != LinkDirection::Caches {
        link.toward_node = state;
    }
}
