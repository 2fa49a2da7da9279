//! Faults of single planners.

use std::error::Error;

use rustix::process::Signal;

use super::super::TestEnvironment;
use super::super::byzantine_planner::{self, ForgedGrants};
use super::super::planner::Planner;
use super::sleep_until;
use crate::event_log::Event;
use crate::experiment::{FalseClaim, Fault, FaultKind, StoreCondition};

/// Injects a fault at the planner with this number and returns when the fault has ended.
pub async fn apply(environment: &TestEnvironment, fault: &Fault, number: usize) {
    let mut planner = environment.planners[number].lock().await;
    environment.event_log.event(Event::PlannerDown { planner: number });
    match fault.kind {
        FaultKind::PlannerFreeze => {
            planner.signal(Signal::STOP);
            sleep_until(environment, fault.end_s()).await;
            planner.signal(Signal::CONT);
        }
        FaultKind::PlannerRestart => {
            planner.stop().await;
            sleep_until(environment, fault.end_s()).await;
            start_again(environment, fault, &mut planner);
        }
        FaultKind::PlannerByzantine => {
            planner.kill().await;
            match fault.false_claim {
                Some(false_claim) => impersonate(environment, fault, &planner, false_claim).await,
                None => sleep_until(environment, fault.end_s()).await,
            }
            start_again(environment, fault, &mut planner);
        }
        _ => {
            planner.kill().await;
            sleep_until(environment, fault.end_s()).await;
            start_again(environment, fault, &mut planner);
        }
    }
    environment.event_log.event(Event::PlannerUp { planner: number });
}

/// Runs a Byzantine planner at a planner's address until the end of the fault.
async fn impersonate(
    environment: &TestEnvironment,
    fault: &Fault,
    planner: &Planner,
    false_claim: FalseClaim,
) {
    let leases =
        environment.experiment.fleet.as_ref().and_then(|fleet| fleet.leases.clone()).unwrap_or_default();
    // In the units of lease messages: thousandths of a request per second, microseconds of work and
    // microseconds.
    let grants = ForgedGrants {
        origin: (leases.origin_per_s * 1e3) as u32,
        warming_cache: (leases.cold_cache_work * 1e6) as u32,
        duration: leases.lease_ms as u32 * 1000,
    };
    let secret = environment.secret.clone();
    let byzantine = byzantine_planner::run(planner.index, planner.address, secret, false_claim, grants);
    tokio::select! {
        () = byzantine => {}
        () = sleep_until(environment, fault.end_s()) => {}
    }
}

/// Starts a planner again with its state files as the fault leaves them. A failure is recorded as a crash of
/// the planner.
fn start_again(environment: &TestEnvironment, fault: &Fault, planner: &mut Planner) {
    if let Err(error) = prepare_and_start(planner, fault.store) {
        environment.event_log.event(Event::PlannerCrashed { planner: planner.index, how: error.to_string() });
    }
}

/// Damages a planner's state files as the fault demands and starts its process.
fn prepare_and_start(
    planner: &mut Planner,
    store: StoreCondition,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    planner.damage_state(store)?;
    planner.start()?;
    Ok(())
}
