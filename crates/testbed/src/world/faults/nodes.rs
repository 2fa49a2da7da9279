//! Faults of single nodes: kill, freeze, restart, new settings and malformed clients; and nodes that join or leave.

use rustix::process::Signal;
use serde_json::Value;

use super::super::node::NodeProcess;
use super::super::{World, malformed_clients};
use super::sleep_until;
use crate::event_log::{Event, NodeId};
use crate::experiment::{Fault, FaultKind};

/// Carries out a fault at a node from its beginning to its end.
pub async fn apply(world: &World, fault: &Fault, number: usize) {
    let node = &world.nodes[number];
    match fault.kind {
        FaultKind::NodeKill => kill(world, fault, number).await,
        FaultKind::NodeFreeze => freeze(world, fault, &*node.lock().await).await,
        FaultKind::NodeRestart => restart(world, &mut *node.lock().await).await,
        FaultKind::NodeSettings => change_settings(world, fault, &mut *node.lock().await).await,
        FaultKind::MalformedClients => {
            let address = world.node_addresses[number];
            malformed_clients::run(address, world.event_log.clone(), fault, &world.experiment).await;
        }
        _ => {}
    }
}

/// Starts a node that has not run yet, or has stopped.
pub async fn start(world: &World, number: usize) {
    let mut node = world.nodes[number].lock().await;
    start_process(world, &mut node, None).await;
    world.event_log.event(Event::NodeUp { node: node.id });
}

/// Stops a node gracefully.
pub async fn stop(world: &World, number: usize) {
    let mut node = world.nodes[number].lock().await;
    stop_process(world, &mut node).await;
}

/// Kills a node and starts it at the end of the fault with the endpoint list that it had.
async fn kill(world: &World, fault: &Fault, number: usize) {
    let known_endpoints = world.discovery.snapshot_for(NodeId(number));
    let mut node = world.nodes[number].lock().await;
    record_down(world, node.id);
    node.kill().await;
    sleep_until(world, fault.end_s()).await;
    start_process(world, &mut node, Some(known_endpoints)).await;
    record_up(world, node.id);
}

async fn freeze(world: &World, fault: &Fault, node: &NodeProcess) {
    record_down(world, node.id);
    node.signal(Signal::STOP);
    sleep_until(world, fault.end_s()).await;
    node.signal(Signal::CONT);
    record_up(world, node.id);
}

/// Restarts a node gracefully. While it shuts down it owes a response to each request that it has accepted: it does not
/// count as down until it has ended.
async fn restart(world: &World, node: &mut NodeProcess) {
    let known_endpoints = world.discovery.snapshot_for(node.id);
    stop_process(world, node).await;
    start_process(world, node, Some(known_endpoints)).await;
    record_up(world, node.id);
}

async fn change_settings(world: &World, fault: &Fault, node: &mut NodeProcess) {
    node.merge_settings(&fault.settings);
    if fault.restart_nodes {
        restart(world, node).await;
    } else {
        // A node that is down reads the file when it starts.
        let _ = node.reload();
    }
}

async fn start_process(world: &World, node: &mut NodeProcess, known_endpoints: Option<Value>) {
    if let Err(error) = node.start(known_endpoints).await {
        world.event_log.event(Event::NodeCrashed { node: node.id, how: error.to_string() });
    }
}

async fn stop_process(world: &World, node: &mut NodeProcess) {
    world.event_log.event(Event::NodeStopping { node: node.id });
    node.stop(world.max_client_timeout()).await;
}

fn record_down(world: &World, node: NodeId) {
    world.event_log.event(Event::NodeDown { node });
}

fn record_up(world: &World, node: NodeId) {
    world.event_log.event(Event::NodeUp { node });
}
