//! Faults of single nodes (kill, freeze, restart, new settings, malformed clients), and the start and stop of
//! nodes when their number changes.

use rustix::process::Signal;
use serde_json::Value;

use super::super::node::NodeProcess;
use super::super::{TestEnvironment, malformed_clients};
use super::sleep_until;
use crate::event_log::{Event, NodeId};
use crate::experiment::{Fault, FaultKind};

/// Injects a fault at the node with this number and returns when the fault has ended.
pub async fn apply(environment: &TestEnvironment, fault: &Fault, number: usize) {
    let node = &environment.nodes[number];
    match fault.kind {
        FaultKind::NodeKill => kill(environment, fault, number).await,
        FaultKind::NodeFreeze => freeze(environment, fault, &*node.lock().await).await,
        FaultKind::NodeRestart => restart(environment, &mut *node.lock().await).await,
        FaultKind::NodeSettings => change_settings(environment, fault, &mut *node.lock().await).await,
        FaultKind::MalformedClients => {
            let address = environment.node_addresses[number];
            malformed_clients::run(address, environment.event_log.clone(), fault, &environment.experiment)
                .await;
        }
        _ => {}
    }
}

/// Starts a node that has not run yet or has been stopped.
pub async fn start(environment: &TestEnvironment, number: usize) {
    let mut node = environment.nodes[number].lock().await;
    start_process(environment, &mut node, None).await;
    environment.event_log.event(Event::NodeUp { node: node.id });
}

/// Stops a node gracefully.
pub async fn stop(environment: &TestEnvironment, number: usize) {
    let mut node = environment.nodes[number].lock().await;
    stop_process(environment, &mut node).await;
}

/// Kills a node and starts it again at the end of the fault with the endpoint list as discovery had it at the
/// kill.
async fn kill(environment: &TestEnvironment, fault: &Fault, number: usize) {
    let known_endpoints = environment.discovery.snapshot_for(NodeId(number));
    let mut node = environment.nodes[number].lock().await;
    record_down(environment, node.id);
    node.kill().await;
    sleep_until(environment, fault.end_s()).await;
    start_process(environment, &mut node, Some(known_endpoints)).await;
    record_up(environment, node.id);
}

async fn freeze(environment: &TestEnvironment, fault: &Fault, node: &NodeProcess) {
    record_down(environment, node.id);
    node.signal(Signal::STOP);
    sleep_until(environment, fault.end_s()).await;
    node.signal(Signal::CONT);
    record_up(environment, node.id);
}

/// Restarts a node gracefully. A node that shuts down still has to respond to each request that it has
/// accepted, so it does not count as down until its process has ended.
async fn restart(environment: &TestEnvironment, node: &mut NodeProcess) {
    let known_endpoints = environment.discovery.snapshot_for(node.id);
    stop_process(environment, node).await;
    start_process(environment, node, Some(known_endpoints)).await;
    record_up(environment, node.id);
}

async fn change_settings(environment: &TestEnvironment, fault: &Fault, node: &mut NodeProcess) {
    node.merge_settings(&fault.settings);
    if fault.restart_nodes {
        restart(environment, node).await;
    } else {
        // An error is ignored: a node that is down reads the new settings from its configuration file when it
        // starts.
        let _ = node.reload();
    }
}

/// Starts a node's process; a failure is recorded as a crash of the node.
async fn start_process(
    environment: &TestEnvironment,
    node: &mut NodeProcess,
    known_endpoints: Option<Value>,
) {
    if let Err(error) = node.start(known_endpoints).await {
        environment.event_log.event(Event::NodeCrashed { node: node.id, how: error.to_string() });
    }
}

async fn stop_process(environment: &TestEnvironment, node: &mut NodeProcess) {
    environment.event_log.event(Event::NodeStopping { node: node.id });
    node.stop(environment.max_client_timeout()).await;
}

fn record_down(environment: &TestEnvironment, node: NodeId) {
    environment.event_log.event(Event::NodeDown { node });
}

fn record_up(environment: &TestEnvironment, node: NodeId) {
    environment.event_log.event(Event::NodeUp { node });
}
