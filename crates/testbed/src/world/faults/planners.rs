//! Faults of single planners.

use std::error::Error;

use rustix::process::Signal;

use super::super::planner::Planner;
use super::super::{World, byzantine_planner};
use super::sleep_until;
use crate::event_log::Event;
use crate::experiment::{Fault, FaultKind, Lie, Store};

/// Carries out a fault at a planner from its beginning to its end.
pub async fn apply(world: &World, fault: &Fault, number: usize) {
    let mut planner = world.planners[number].lock().await;
    world.event_log.event(Event::PlannerDown { planner: number });
    match fault.kind {
        FaultKind::PlannerFreeze => {
            planner.signal(Signal::STOP);
            sleep_until(world, fault.end_s()).await;
            planner.signal(Signal::CONT);
        }
        FaultKind::PlannerRestart => {
            planner.stop().await;
            sleep_until(world, fault.end_s()).await;
            start_again(world, fault, &mut planner);
        }
        FaultKind::PlannerLies => {
            planner.kill().await;
            match fault.lie {
                Some(lie) => impersonate(world, fault, &planner, lie).await,
                None => sleep_until(world, fault.end_s()).await,
            }
            start_again(world, fault, &mut planner);
        }
        _ => {
            planner.kill().await;
            sleep_until(world, fault.end_s()).await;
            start_again(world, fault, &mut planner);
        }
    }
    world.event_log.event(Event::PlannerUp { planner: number });
}

/// Runs a byzantine planner at a planner's address until the end of the fault.
async fn impersonate(world: &World, fault: &Fault, planner: &Planner, lie: Lie) {
    let leases = world.experiment.fleet.as_ref().and_then(|fleet| fleet.leases.clone()).unwrap_or_default();
    // In the units of the lease messages: thousandths of a request a second, and microseconds.
    let capacities = [leases.origin_per_s * 1e3, leases.cold_work * 1e6].map(|capacity| capacity as u32);
    let lease_duration_us = leases.lasts_ms as u32 * 1000;
    let secret = world.secret.clone();
    let byzantine =
        byzantine_planner::stand(planner.number, planner.address, secret, lie, capacities, lease_duration_us);
    tokio::select! {
        () = byzantine => {}
        () = sleep_until(world, fault.end_s()) => {}
    }
}

/// Starts a planner with its state files as the fault leaves them, and records a failure to do so.
fn start_again(world: &World, fault: &Fault, planner: &mut Planner) {
    if let Err(error) = prepare_and_start(planner, fault.store) {
        world.event_log.event(Event::PlannerCrashed { planner: planner.number, how: error.to_string() });
    }
}

fn prepare_and_start(planner: &mut Planner, store: Store) -> Result<(), Box<dyn Error + Send + Sync>> {
    planner.treat(store)?;
    planner.start()?;
    Ok(())
}
