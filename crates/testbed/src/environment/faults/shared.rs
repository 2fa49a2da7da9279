//! Faults of what all nodes share: the origin, discovery, the clients, and the set of caches. Faults of links
//! are passed on to [`super::links`].

use std::time::Duration;

use super::super::TestEnvironment;
use super::super::clients::MassDisconnect;
use super::super::listener::ListenerState;
use super::super::response_corruption::ActiveCorruption;
use super::{Phase, links};
use crate::event_log::EndpointState;
use crate::experiment::{Fault, FaultKind};

/// Time for which discovery still serves watches at its former address after it has moved.
const OLD_DISCOVERY_LIFETIME: Duration = Duration::from_millis(1500);
/// Mean delay of bytes that follow a complete response, in milliseconds, where the fault sets none.
const DEFAULT_CORRUPTION_DELAY_MS: f64 = 5.0;

/// Begins or ends a fault of shared services or of links.
pub async fn apply(
    environment: &TestEnvironment,
    fault: &Fault,
    caches: &[usize],
    nodes: &[usize],
    phase: Phase,
) {
    match (fault.kind, phase) {
        (FaultKind::FlushCaches, Phase::Begin) => clear_caches(environment, caches),
        (FaultKind::AddCaches, Phase::Begin) => add_caches(environment, fault.count),
        (FaultKind::OriginSlow, Phase::Begin) => environment.origin.set_slowdown(fault.factor.unwrap_or(1.0)),
        (FaultKind::OriginSlow, Phase::End) => environment.origin.set_slowdown(1.0),
        (FaultKind::OriginStop, phase) => {
            environment.origin.is_stopped.send_replace(phase.is_begin());
        }
        (FaultKind::DiscoverySilent, phase) => {
            environment.discovery.is_silent.send_replace(phase.is_begin());
        }
        (FaultKind::WatchesSilent, Phase::Begin) => environment.discovery.silence_watches(),
        (FaultKind::WatchesReset, Phase::Begin) => environment.discovery.reset_watches(),
        (FaultKind::ClientsLeave, Phase::Begin) => disconnect_clients(environment, fault, nodes),
        (FaultKind::DiscoveryStale, phase) => environment.discovery.set_stale(phase.is_begin()),
        (FaultKind::DiscoveryDown, Phase::Begin) => {
            environment.discovery.set_listener_state(ListenerState::Refusing);
        }
        (FaultKind::DiscoveryDown, Phase::End) => {
            if fault.restart_revisions {
                environment.discovery.restart_revisions();
            }
            environment.discovery.set_listener_state(ListenerState::Accepting);
        }
        (FaultKind::DiscoveryMove, Phase::Begin) => move_discovery(environment).await,
        (FaultKind::CorruptResponses, Phase::Begin) => set_corruption(environment, caches, corruption(fault)),
        (FaultKind::CorruptResponses, Phase::End) => set_corruption(environment, caches, None),
        (_, phase) => links::apply(environment, fault, caches, nodes, phase),
    }
}

/// Clears the named caches, or all caches if none is named.
fn clear_caches(environment: &TestEnvironment, caches: &[usize]) {
    if caches.is_empty() {
        environment.slots.iter().for_each(|slot| slot.clear());
    }
    for cache in caches {
        environment.slots[*cache].clear();
    }
}

/// Starts up to `count` cold caches in the slots that are free when the run starts.
fn add_caches(environment: &TestEnvironment, count: usize) {
    let first_free = environment.experiment.environment.caches;
    for slot in (first_free..environment.slots.len()).take(count) {
        environment.replace_server(slot);
        environment.slots[slot].set_listener_state(ListenerState::Accepting);
        environment.list_slot(slot, EndpointState::Ready);
    }
}

/// Has the fault's share of the clients that wait for these nodes disconnect at once.
fn disconnect_clients(environment: &TestEnvironment, fault: &Fault, nodes: &[usize]) {
    let share = fault.share.unwrap_or(1.0);
    environment.mass_disconnect.send_modify(|disconnect| {
        *disconnect = MassDisconnect { count: disconnect.count + 1, share, nodes: nodes.to_vec() };
    });
}

/// Moves discovery to new addresses and has the nodes reload their configuration.
async fn move_discovery(environment: &TestEnvironment) {
    let Ok(addresses) = environment.discovery.bind(&environment.discovery_ips, OLD_DISCOVERY_LIFETIME).await
    else {
        return;
    };
    for (node, address) in environment.nodes.iter().zip(addresses) {
        // An error is ignored: a node that is down reads the new address from its configuration file when it
        // starts.
        let _ = node.lock().await.set_discovery(address);
    }
}

/// The corruption of responses that a fault describes, or none if the fault lacks a share or a kind of
/// corruption.
fn corruption(fault: &Fault) -> Option<ActiveCorruption> {
    let delay = Duration::from_secs_f64(fault.ms.unwrap_or(DEFAULT_CORRUPTION_DELAY_MS) / 1000.0);
    Some(ActiveCorruption { share: fault.share?, kind: fault.corruption?, delay })
}

/// Sets the corruption of responses at the named caches, or at the origin if none is named.
fn set_corruption(environment: &TestEnvironment, caches: &[usize], corruption: Option<ActiveCorruption>) {
    if caches.is_empty() {
        *environment.origin.corruption.lock().expect("no thread panics while it holds the lock") = corruption;
    }
    for cache in caches {
        *environment.slots[*cache].corruption.lock().expect("no thread panics while it holds the lock") =
            corruption;
    }
}
