//! Applies message faults to one message: loss, duplication, delay and corruption.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{ActiveFault, Route};
use crate::event_log::Member;
use crate::experiment::{Fault, FaultKind, LinkDirection};

const MILLIS_PER_SECOND: f64 = 1000.0;

/// The outcome of all faults for one message.
pub(super) struct Impairment {
    /// The delay of each copy that is forwarded; empty if the message is lost.
    pub copy_delays: Vec<Duration>,
    /// Whether a bit of the message was flipped.
    pub is_corrupted: bool,
}

/// Applies all active faults to a message. Each fault that applies to the route draws the same count of
/// random numbers whether or not it affects the message.
pub(super) fn impair(
    faults: &[ActiveFault],
    route: Route,
    bytes: &mut [u8],
    generator: &mut ChaCha8Rng,
) -> Impairment {
    let mut impairment = Impairment { copy_delays: vec![Duration::ZERO], is_corrupted: false };
    for ActiveFault { fault, .. } in faults {
        if !applies(fault, route) {
            continue;
        }
        let is_affected = generator.random::<f64>() < fault.share.unwrap_or(1.0);
        let delay_ms = fault.ms.unwrap_or(0.0) * (0.5 + generator.random::<f64>());
        if !is_affected {
            continue;
        }
        let delay = Duration::from_secs_f64(delay_ms / MILLIS_PER_SECOND);
        match fault.kind {
            FaultKind::MessagesLost | FaultKind::MessagesBlocked => impairment.copy_delays.clear(),
            FaultKind::MessagesDuplicated => impairment.copy_delays.push(delay),
            FaultKind::MessagesDelayed => {
                for copy_delay in &mut impairment.copy_delays {
                    *copy_delay += delay;
                }
            }
            FaultKind::MessagesCorrupted if !bytes.is_empty() => {
                impairment.is_corrupted = true;
                let bit = generator.random_range(0..bytes.len() * 8);
                bytes[bit / 8] ^= 1 << (bit % 8);
            }
            _ => {}
        }
    }
    impairment
}

/// Whether a fault applies to messages on a route.
pub(super) fn applies(fault: &Fault, route: Route) -> bool {
    let is_named = |member: Member| match member {
        Member::Node(node) => fault.nodes.contains(&node),
        Member::Planner(planner) => fault.planners.contains(&planner),
    };
    if fault.kind == FaultKind::MessagesBlocked {
        return is_named(route.from) != is_named(route.to);
    }
    let ends = [route.from, route.to];
    let has_named_planner = ends.iter().any(|m| matches!(m, Member::Planner(_)) && is_named(*m));
    let has_named_node = ends.iter().any(|m| matches!(m, Member::Node(_)) && is_named(*m));
    let is_direction = match fault.direction {
        LinkDirection::Nodes => matches!(route.to, Member::Node(_)),
        LinkDirection::Planners => matches!(route.to, Member::Planner(_)),
        _ => true,
    };
    is_direction
        && (has_named_planner || fault.planners.is_empty())
        && (has_named_node || fault.nodes.is_empty())
}
