//! Planners in the fleet simulation: the effect of coordination, and that lost messages change nothing else.

use granitelb_fleet_simulator::{ControlPlaneScope, Fault, FaultKind, RunResult, Scenario, run};

fn run_with_hang(
    planners: usize,
    control_plane: ControlPlaneScope,
    message_loss: f64,
    seed: u64,
) -> RunResult {
    run(&Scenario {
        nodes: 60,
        caches: 40,
        duration_s: 9.0,
        faults: vec![Fault::new(FaultKind::Hang(0.2), 2.0, 8.0)],
        planners,
        control_plane,
        message_loss,
        seed,
        ..Scenario::default()
    })
}

#[test]
fn result_equals_that_without_planners_when_all_messages_are_lost() {
    let mut all_lost = run_with_hang(2, ControlPlaneScope::ENDPOINT_HEALTH, 1.0, 21);
    assert!(std::mem::take(&mut all_lost.messages_sent) > 1000);
    assert_eq!(all_lost, run_with_hang(0, ControlPlaneScope::ALL, 0.0, 21));
}

#[test]
fn shared_endpoint_health_reduces_probes_of_hung_caches() {
    let run_checked = |planners| {
        let result = run_with_hang(planners, ControlPlaneScope::ENDPOINT_HEALTH, 0.05, 22);
        assert_eq!(result.invariant_violations + result.duplicate_attempts, 0);
        result
    };
    let alone = run_checked(0);
    let coordinated = run_checked(2);
    assert!(
        coordinated.probes_of_hung_caches * 3 < alone.probes_of_hung_caches * 2
            && coordinated.within_slo > alone.within_slo,
        "{alone:?} {coordinated:?}"
    );
}

/// Nodes must request enough capacity. When each node requested half as much again as it used, the busiest
/// nodes ran out of leased capacity and the service level was 0.93.
#[test]
fn leases_hardly_lower_the_service_level() {
    let run_with_planners = |planners| {
        run(&Scenario {
            nodes: 60,
            caches: 40,
            duration_s: 7.0,
            planners,
            control_plane: ControlPlaneScope::LEASES,
            seed: 24,
            ..Scenario::default()
        })
    };
    let alone = run_with_planners(0);
    let leased = run_with_planners(2);
    assert_eq!(leased.invariant_violations + leased.duplicate_attempts, 0);
    let levels = (alone.service_level(), leased.service_level());
    assert!(levels.1 > levels.0 - 0.02, "{:.3} {:.3}", levels.0, levels.1);
}
