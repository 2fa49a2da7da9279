//! Faults of single cache servers.

use std::time::Duration;

use super::super::TestEnvironment;
use super::super::cache::CacheSlot;
use super::super::listener::ListenerState;
use super::Phase;
use crate::event_log::{EndpointState, Timestamp};
use crate::experiment::{Fault, FaultKind};

/// Time between two resets of a cache's connections.
const RESET_INTERVAL: Duration = Duration::from_millis(150);
/// Time from listing a cache as draining until it rejects requests, so that nodes have received the update by
/// then.
const DRAIN_NOTICE: Duration = Duration::from_millis(500);

/// Begins or ends a fault at the cache in the slot with this number.
pub async fn apply(environment: &TestEnvironment, fault: &Fault, number: usize, phase: Phase) {
    let slot = &environment.slots[number];
    match (fault.kind, phase) {
        (FaultKind::Hang, phase) => {
            slot.is_hung.send_replace(phase.is_begin());
        }
        (FaultKind::Slow, Phase::Begin) => slot.set_slowdown(fault.factor.unwrap_or(1.0)),
        (FaultKind::Slow, Phase::End) => slot.set_slowdown(1.0),
        (FaultKind::Reset, Phase::Begin) => {
            reset_until(environment, slot, Timestamp::from_s(fault.at_s + fault.for_s)).await;
        }
        (FaultKind::ConnectDelayed, Phase::Begin) => slot.set_listener_state(ListenerState::Unresponsive),
        (FaultKind::ConnectDelayed, Phase::End) => slot.set_listener_state(ListenerState::Accepting),
        (FaultKind::Crash, Phase::Begin) => slot.set_listener_state(ListenerState::Refusing),
        (FaultKind::Crash, Phase::End) => {
            slot.replace_server(slot.id(), Some(environment.event_log.now()));
            slot.set_listener_state(ListenerState::Accepting);
            environment.list_slot(number, EndpointState::Ready);
        }
        (FaultKind::Drain, Phase::Begin) => {
            environment.list_slot(number, EndpointState::Draining);
            tokio::time::sleep(DRAIN_NOTICE).await;
            slot.drain();
        }
        (FaultKind::Drain, Phase::End) | (FaultKind::Remove, Phase::Begin) => {
            environment.list_slot(number, EndpointState::Removed);
        }
        (FaultKind::Remove, Phase::End) => slot.set_listener_state(ListenerState::Refusing),
        (FaultKind::Replace, Phase::Begin) => {
            environment.list_slot(number, EndpointState::Removed);
            slot.reset_connections();
            environment.replace_server(number);
            environment.list_slot(number, EndpointState::Ready);
        }
        _ => {}
    }
}

/// Resets the connections of a slot every [`RESET_INTERVAL`] until the time `end`, at least once.
async fn reset_until(environment: &TestEnvironment, slot: &CacheSlot, end: Timestamp) {
    loop {
        slot.reset_connections();
        tokio::time::sleep(RESET_INTERVAL).await;
        if environment.event_log.now() >= end {
            return;
        }
    }
}
