//! Carries out the timeline of faults.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;

use super::World;
use super::byzantine_planner;
use super::clients::Leave;
use super::growth;
use super::link::{LinkState, Way};
use super::listener::Stance;
use super::malformed_clients;
use super::origin::Spoilt;
use crate::event_log::{Event, EndpointState, NodeId, Timestamp};
use crate::experiment::{Fault, FaultKind, Toward};

/// Between two resets of a cache's connections.
const RESETS: Duration = Duration::from_millis(150);
/// Discovery that has moved ends the watches at its last address after this.
const MOVED: Duration = Duration::from_millis(1500);

pub async fn carry_out(world: Arc<World>) {
    let mut faults = tokio::task::JoinSet::new();
    for (number, fault) in world.experiment.faults().into_iter().enumerate() {
        faults.spawn(one(world.clone(), number, fault));
    }
    while faults.join_next().await.is_some() {}
}

async fn until(world: &World, seconds: f64) {
    tokio::time::sleep_until(world.event_log.instant(Timestamp::from_s(seconds)).into()).await;
}

async fn one(world: Arc<World>, id: usize, fault: Fault) {
    let caches = fault.named(&world.experiment);
    let nodes = named_or_all(&fault.nodes, world.nodes.len());
    use FaultKind::{PlannerFreeze, PlannerKill, PlannerLies, PlannerRestart};
    let what = describe(&fault, &caches);
    let Some(fault) = growth::await_phase(&world, fault).await else { return };
    world.event_log.event(Event::FaultBegan { what: what.clone() });
    let mut parts = tokio::task::JoinSet::new();
    if on_each_cache(fault.kind) {
        for (n, cache) in caches.into_iter().enumerate() {
            let (world, fault) = (world.clone(), fault.clone());
            parts.spawn(async move {
                let at = fault.at_s + n as f64 * fault.stagger_s;
                until(&world, at).await;
                at_cache(&world, &fault, cache, true).await;
                until(&world, at + fault.for_s).await;
                at_cache(&world, &fault, cache, false).await;
            });
        }
    } else if on_each_node(fault.kind) {
        for (n, node) in nodes.into_iter().enumerate() {
            let (world, mut fault) = (world.clone(), fault.clone());
            // Each its own part of the timeline.
            (fault.at_s, fault.nodes) = (fault.at_s + n as f64 * fault.stagger_s, vec![node]);
            parts.spawn(async move {
                until(&world, fault.at_s).await;
                at_node(&world, &fault, node).await;
            });
        }
    } else if matches!(fault.kind, PlannerKill | PlannerFreeze | PlannerRestart | PlannerLies) {
        for planner in named_or_all(&fault.planners, world.planners.len()) {
            let (world, fault) = (world.clone(), fault.clone());
            parts.spawn(async move { at_planner(&world, &fault, planner).await });
        }
    } else if fault.kind == FaultKind::Resize {
        for (node, at, starts) in world.experiment.resized(fault.at_s) {
            let world = world.clone();
            parts.spawn(async move { resize(&world, node, at, starts).await });
        }
    } else if fault.kind.befalls_letters() {
        let Some(relay) = &world.relay else { return };
        relay.begin_fault(id, &fault);
        until(&world, fault.end_s()).await;
        relay.end_fault(id);
    } else {
        at_world(&world, &fault, &caches, &nodes, true).await;
        until(&world, fault.end_s()).await;
        at_world(&world, &fault, &caches, &nodes, false).await;
    }
    while parts.join_next().await.is_some() {}
    world.event_log.event(Event::FaultEnded { what });
}

fn named_or_all(named: &[usize], count: usize) -> Vec<usize> {
    if named.is_empty() { (0..count).collect() } else { named.to_vec() }
}

fn describe(fault: &Fault, caches: &[usize]) -> String {
    let kind = format!("{:?}", fault.kind);
    match caches.len() {
        0 => kind,
        1..=4 => format!("{kind} {caches:?}"),
        n => format!("{kind} of {n}"),
    }
}

fn on_each_cache(kind: FaultKind) -> bool {
    use FaultKind::*;
    matches!(kind, Hang | Slow | Crash | Drain | Remove | Replace | Reset | KnockLate)
}

fn on_each_node(kind: FaultKind) -> bool {
    use FaultKind::*;
    matches!(kind, NodeKill | NodeFreeze | NodeRestart | NodeSettings | BadClients)
}

async fn at_cache(world: &World, fault: &Fault, number: usize, begins: bool) {
    let seat = &world.seats[number];
    match (fault.kind, begins) {
        (FaultKind::Hang, hung) => {
            seat.hung.send_replace(hung);
        }
        (FaultKind::Slow, true) => seat.slow_by(fault.factor.unwrap_or(1.0)),
        (FaultKind::Slow, false) => seat.slow_by(1.0),
        (FaultKind::Reset, true) => loop {
            seat.reset_connections();
            tokio::time::sleep(RESETS).await;
            if world.event_log.now() >= Timestamp::from_s(fault.at_s + fault.for_s) {
                break;
            }
        },
        (FaultKind::KnockLate, true) => seat.set_doors(Stance::Deaf),
        (FaultKind::KnockLate, false) => seat.set_doors(Stance::Open),
        (FaultKind::Crash, true) => seat.set_doors(Stance::Refusing),
        (FaultKind::Crash, false) => {
            seat.stand(seat.id(), Some(world.event_log.now()));
            seat.set_doors(Stance::Open);
            world.list(number, EndpointState::Ready);
        }
        (FaultKind::Drain, true) => {
            world.list(number, EndpointState::Draining);
            // Whoever has not heard yet is not turned away in the same moment.
            tokio::time::sleep(Duration::from_millis(500)).await;
            seat.drain();
        }
        (FaultKind::Drain, false) | (FaultKind::Remove, true) => world.list(number, EndpointState::Removed),
        (FaultKind::Remove, false) => seat.set_doors(Stance::Refusing),
        (FaultKind::Replace, true) => {
            world.list(number, EndpointState::Removed);
            seat.reset_connections();
            world.renew(number);
            world.list(number, EndpointState::Ready);
        }
        _ => {}
    }
}

async fn at_node(world: &World, fault: &Fault, number: usize) {
    let id = NodeId(number);
    let down = |down: bool| {
        world.event_log.event(if down { Event::NodeDown { node: id } } else { Event::NodeUp { node: id } });
    };
    let node = &world.nodes[number];
    match fault.kind {
        FaultKind::NodeKill => {
            let known = world.discovery.known_to(id);
            let mut node = node.lock().await;
            down(true);
            node.kill().await;
            until(world, fault.end_s()).await;
            start_again(world, &mut node, Some(known)).await;
            down(false);
        }
        FaultKind::NodeFreeze => {
            let node = node.lock().await;
            down(true);
            node.signal(Signal::STOP);
            until(world, fault.end_s()).await;
            node.signal(Signal::CONT);
            down(false);
        }
        FaultKind::NodeRestart => restart(world, &mut *node.lock().await).await,
        FaultKind::NodeSettings => {
            let mut node = node.lock().await;
            node.set_settings(&fault.settings);
            match fault.fresh {
                true => restart(world, &mut node).await,
                // A node that is down reads the file when it starts.
                false => node.read_again().unwrap_or_default(),
            }
        }
        FaultKind::BadClients => {
            malformed_clients::come(
                world.node_addresses[number],
                world.event_log.clone(),
                fault,
                world.experiment.as_ref(),
            )
            .await;
        }
        _ => {}
    }
}

async fn at_planner(world: &World, fault: &Fault, number: usize) {
    let mut planner = world.planners[number].lock().await;
    let down = |down: bool| {
        let planner = number;
        world.event_log.event(if down {
            Event::PlannerDown { planner }
        } else {
            Event::PlannerUp { planner }
        });
    };
    down(true);
    match fault.kind {
        FaultKind::PlannerFreeze => {
            planner.signal(Signal::STOP);
            until(world, fault.end_s()).await;
            planner.signal(Signal::CONT);
            return down(false);
        }
        FaultKind::PlannerRestart => planner.stop().await,
        _ => planner.kill().await,
    }
    match fault.lie.filter(|_| fault.kind == FaultKind::PlannerLies) {
        Some(lie) => {
            let leases = world.experiment.fleet.as_ref().and_then(|f| f.leases.clone()).unwrap_or_default();
            let grants = byzantine_planner::ForgedGrants {
                origin: (leases.origin_per_s * 1e3) as u32,
                warming_cache: (leases.cold_work * 1e6) as u32,
                duration: leases.lasts_ms as u32 * 1000,
            };
            let secret = world.secret.clone();
            let lies = byzantine_planner::run(number, planner.address, secret, lie, grants);
            tokio::select! {
                () = lies => {}
                () = until(world, fault.end_s()) => {}
            }
        }
        None => until(world, fault.end_s()).await,
    }
    let treated = planner.damage_state(fault.store).map_err(|e| e.to_string());
    if let Err(how) = treated.and_then(|()| planner.start().map_err(|e| e.to_string())) {
        world.event_log.event(Event::PlannerCrashed { planner: number, how });
    }
    down(false);
}

/// One of the nodes that start, or stop in order, in their turn.
async fn resize(world: &World, number: usize, at: f64, starts: bool) {
    until(world, at).await;
    let mut node = world.nodes[number].lock().await;
    if starts {
        start_again(world, &mut node, None).await;
        world.event_log.event(Event::NodeUp { node: node.id });
        return;
    }
    let longest = world.experiment.product.iter().map(|p| p.timeout_ms).max().unwrap_or(0);
    world.event_log.event(Event::NodeStopping { node: node.id });
    node.stop(Duration::from_millis(longest)).await;
}

/// Stopping in order it owes an answer to all that it has taken: it is not down until it has ended.
async fn restart(world: &World, node: &mut super::Node) {
    let known = world.discovery.known_to(node.id);
    let longest = world.experiment.product.iter().map(|p| p.timeout_ms).max().unwrap_or(0);
    world.event_log.event(Event::NodeStopping { node: node.id });
    node.stop(Duration::from_millis(longest)).await;
    start_again(world, node, Some(known)).await;
    world.event_log.event(Event::NodeUp { node: node.id });
}

async fn start_again(world: &World, node: &mut super::Node, known: Option<serde_json::Value>) {
    if let Err(how) = node.start(known).await {
        world.event_log.event(Event::NodeCrashed { node: node.id, how });
    }
}

async fn at_world(world: &World, fault: &Fault, caches: &[usize], nodes: &[usize], begins: bool) {
    match (fault.kind, begins) {
        (FaultKind::Void, true) => {
            let all: Vec<_> = (0..world.seats.len()).collect();
            let meant = if caches.is_empty() { &all } else { caches };
            meant.iter().for_each(|c| world.seats[*c].void());
        }
        (FaultKind::Grow, true) => {
            let first = world.experiment.world.caches;
            for seat in (first..world.seats.len()).take(fault.count) {
                world.renew(seat);
                world.seats[seat].set_doors(Stance::Open);
                world.list(seat, EndpointState::Ready);
            }
        }
        (FaultKind::OriginSlow, true) => world.origin.slow_by(fault.factor.unwrap_or(1.0)),
        (FaultKind::OriginSlow, false) => world.origin.slow_by(1.0),
        (FaultKind::OriginStop, stopped) => {
            world.origin.stopped.send_replace(stopped);
        }
        (FaultKind::DiscoverySilent, silent) => {
            world.discovery.silent.send_replace(silent);
        }
        (FaultKind::WatchesSilent, true) => world.discovery.silence_watches(),
        (FaultKind::WatchesReset, true) => world.discovery.reset_watches(),
        (FaultKind::ClientsLeave, true) => {
            let share = fault.share.unwrap_or(1.0);
            world.leave.send_modify(|l| *l = Leave { count: l.count + 1, share, nodes: nodes.to_vec() });
        }
        (FaultKind::DiscoveryStale, stale) => world.discovery.set_stale(stale),
        (FaultKind::DiscoveryDown, true) => world.discovery.set(Stance::Refusing),
        (FaultKind::DiscoveryDown, false) => {
            if fault.renumber {
                world.discovery.renumber();
            }
            world.discovery.set(Stance::Open);
        }
        (FaultKind::DiscoveryMove, true) => {
            let Ok(moved) = world.discovery.open(&world.discovery_at, MOVED).await else { return };
            for (node, to) in world.nodes.iter().zip(moved) {
                // A node that is down reads the file when it starts.
                let _ = node.lock().await.move_discovery(to);
            }
        }
        (FaultKind::Spoil, true) => {
            let late = Duration::from_secs_f64(fault.ms.unwrap_or(5.0) / 1000.0);
            let spoil = fault.share.zip(fault.how).map(|(share, how)| Spoilt { share, how, late });
            set_spoil(world, caches, spoil);
        }
        (FaultKind::Spoil, false) => set_spoil(world, caches, None),
        (kind, begins) => set_links(world, fault, kind, begins, caches, nodes),
    }
}

fn set_spoil(world: &World, caches: &[usize], spoil: Option<Spoilt>) {
    if caches.is_empty() {
        *world.origin.spoil.lock().expect("no holder panics") = spoil;
    }
    for cache in caches {
        *world.seats[*cache].spoil.lock().expect("no holder panics") = spoil;
    }
}

fn set_links(world: &World, fault: &Fault, kind: FaultKind, begins: bool, caches: &[usize], nodes: &[usize]) {
    use FaultKind::{LinkDelay, LinkReset, LinkSilent, LinkThrottle};
    let way = match (kind, begins) {
        (FaultKind::LinkSilent, true) => Way { silent: true, ..Way::default() },
        (FaultKind::LinkDelay, true) => {
            Way { delay: Duration::from_secs_f64(fault.ms.unwrap_or(0.0) / 1000.0), ..Way::default() }
        }
        (FaultKind::LinkThrottle, true) => {
            Way { bytes_per_s: fault.kbytes_per_s.map(|k| k * 1000.0), ..Way::default() }
        }
        (FaultKind::LinkReset, true) => Way { reset_after: fault.bytes, ..Way::default() },
        (LinkSilent | LinkDelay | LinkThrottle | LinkReset, false) => Way::default(),
        _ => return,
    };
    for seat in caches.iter().map(|c| &world.seats[*c]) {
        for door in nodes.iter().filter_map(|n| seat.doors.get().and_then(|d| d.get(*n))) {
            door.link.send_modify(|link: &mut LinkState| {
                if fault.toward != Toward::Nodes && kind != FaultKind::LinkReset {
                    link.toward_server = way;
                }
                if fault.toward != Toward::Caches {
                    link.toward_node = way;
                }
            });
            // Of a machine that hears nothing, new connections never come up.
            let deaf = kind == FaultKind::LinkSilent && begins;
            door.set(if deaf { Stance::Deaf } else { Stance::Open });
        }
    }
}
