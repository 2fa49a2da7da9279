//! Injects the faults of an experiment's timeline.
//!
//! Each fault runs in its own task. A fault that names several caches, nodes or planners runs one task for
//! each target; the event log holds only the beginning and the end of the whole fault.

mod caches;
mod links;
mod nodes;
mod planners;
mod shared;

use std::sync::Arc;

use tokio::task::JoinSet;

use super::{TestEnvironment, growth};
use crate::event_log::{Event, Timestamp};
use crate::experiment::{Fault, FaultKind, NodeAction};

/// The most caches that the description of a fault lists by number; for more, it gives their count.
const MAX_DESCRIBED_CACHES: usize = 4;

/// Whether a fault is to be begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Begin,
    End,
}

impl Phase {
    /// Whether a state that lasts as long as the fault is to be set: true at the beginning, false at the end.
    fn is_begin(self) -> bool {
        self == Phase::Begin
    }
}

/// What a fault affects, which determines how the fault is split into tasks.
enum Scope {
    /// Each of the named caches, one after the other with a stagger.
    EachCache,
    /// Each of the named nodes, one after the other with a stagger.
    EachNode,
    /// Each of the named planners, at once.
    EachPlanner,
    /// The number of running nodes.
    NodeCount,
    /// The messages between members.
    Messages,
    /// What all nodes share: origin, discovery, clients, the set of caches, and links.
    Shared,
}

impl Scope {
    fn of(kind: FaultKind) -> Scope {
        match kind {
            FaultKind::Hang
            | FaultKind::Slow
            | FaultKind::Crash
            | FaultKind::Drain
            | FaultKind::Remove
            | FaultKind::Replace
            | FaultKind::Reset
            | FaultKind::ConnectDelayed => Scope::EachCache,
            FaultKind::NodeKill
            | FaultKind::NodeFreeze
            | FaultKind::NodeRestart
            | FaultKind::NodeSettings
            | FaultKind::MalformedClients => Scope::EachNode,
            FaultKind::PlannerKill
            | FaultKind::PlannerFreeze
            | FaultKind::PlannerRestart
            | FaultKind::PlannerByzantine => Scope::EachPlanner,
            FaultKind::Resize => Scope::NodeCount,
            _ if kind.affects_messages() => Scope::Messages,
            _ => Scope::Shared,
        }
    }
}

/// Injects all faults of the experiment and returns when the last one has ended.
pub async fn inject_all(environment: Arc<TestEnvironment>) {
    let mut faults = JoinSet::new();
    for (id, fault) in environment.experiment.faults().into_iter().enumerate() {
        faults.spawn(inject(environment.clone(), id, fault));
    }
    while faults.join_next().await.is_some() {}
}

/// Waits until a time of the run, in seconds from its start.
async fn sleep_until(environment: &TestEnvironment, seconds: f64) {
    tokio::time::sleep_until(environment.event_log.instant(Timestamp::from_s(seconds)).into()).await;
}

/// Injects one fault from its beginning to its end.
async fn inject(environment: Arc<TestEnvironment>, id: usize, fault: Fault) {
    let caches = fault.target_caches(&environment.experiment);
    let nodes = named_or_all(&fault.nodes, environment.nodes.len());
    let what = describe(&fault, &caches);
    let Some(fault) = growth::await_phase(&environment, fault).await else { return };
    environment.event_log.event(Event::FaultBegan { what: what.clone() });
    match Scope::of(fault.kind) {
        Scope::EachCache => inject_at_each_cache(&environment, &fault, caches).await,
        Scope::EachNode => inject_at_each_node(&environment, &fault, nodes).await,
        Scope::EachPlanner => inject_at_each_planner(&environment, &fault).await,
        Scope::NodeCount => resize(&environment, &fault).await,
        Scope::Messages => {
            let Some(relay) = &environment.relay else { return };
            relay.begin_fault(id, &fault);
            sleep_until(&environment, fault.end_s()).await;
            relay.end_fault(id);
        }
        Scope::Shared => {
            shared::apply(&environment, &fault, &caches, &nodes, Phase::Begin).await;
            sleep_until(&environment, fault.end_s()).await;
            shared::apply(&environment, &fault, &caches, &nodes, Phase::End).await;
        }
    }
    environment.event_log.event(Event::FaultEnded { what });
}

async fn inject_at_each_cache(environment: &Arc<TestEnvironment>, fault: &Fault, caches: Vec<usize>) {
    let mut tasks = JoinSet::new();
    for (n, cache) in caches.into_iter().enumerate() {
        let environment = environment.clone();
        let fault = fault.clone();
        tasks.spawn(async move {
            let begin_s = fault.at_s + n as f64 * fault.stagger_s;
            sleep_until(&environment, begin_s).await;
            caches::apply(&environment, &fault, cache, Phase::Begin).await;
            sleep_until(&environment, begin_s + fault.for_s).await;
            caches::apply(&environment, &fault, cache, Phase::End).await;
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn inject_at_each_node(environment: &Arc<TestEnvironment>, fault: &Fault, nodes: Vec<usize>) {
    let mut tasks = JoinSet::new();
    for (n, node) in nodes.into_iter().enumerate() {
        let environment = environment.clone();
        // Each node's copy of the fault begins and ends at that node's own, staggered time.
        let mut fault = fault.clone();
        fault.at_s += n as f64 * fault.stagger_s;
        fault.nodes = vec![node];
        tasks.spawn(async move {
            sleep_until(&environment, fault.at_s).await;
            nodes::apply(&environment, &fault, node).await;
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn inject_at_each_planner(environment: &Arc<TestEnvironment>, fault: &Fault) {
    let mut tasks = JoinSet::new();
    for planner in named_or_all(&fault.planners, environment.planners.len()) {
        let environment = environment.clone();
        let fault = fault.clone();
        tasks.spawn(async move { planners::apply(&environment, &fault, planner).await });
    }
    while tasks.join_next().await.is_some() {}
}

/// Starts or stops nodes, at the times that the experiment sets, until the fault's `count` of nodes run.
async fn resize(environment: &Arc<TestEnvironment>, fault: &Fault) {
    let mut tasks = JoinSet::new();
    for change in environment.experiment.node_changes(fault.at_s) {
        let environment = environment.clone();
        tasks.spawn(async move {
            sleep_until(&environment, change.at_s).await;
            match change.action {
                NodeAction::Start => nodes::start(&environment, change.node).await,
                NodeAction::Stop => nodes::stop(&environment, change.node).await,
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Indices of the named targets, or of all `count` targets if none is named.
fn named_or_all(named: &[usize], count: usize) -> Vec<usize> {
    if named.is_empty() { (0..count).collect() } else { named.to_vec() }
}

/// Description of a fault for the event log: its kind and the caches that it names.
fn describe(fault: &Fault, caches: &[usize]) -> String {
    let kind = fault.kind.to_string();
    match caches.len() {
        0 => kind,
        1..=MAX_DESCRIBED_CACHES => format!("{kind} {caches:?}"),
        count => format!("{kind} of {count}"),
    }
}
