//! Rule four over the whole fleet: in no window does a cache that warms up receive more than N + 2 root N + 2
//! requests of mean work, if more than two thirds of the work come from nodes that were notified of the
//! cache's start. Scenarios of all disturbances are drawn from seeds and run with the real balancer. Function
//! names that KNOWN-RED.txt lists stay.

use granitelb_fleet_simulator::warmup_simulation::{DISTURBANCES, Disturbance, Scenario, simulate};
use test_case::test_case;

#[test]
fn no_disturbance_overloads_a_cold_cache() {
    for disturbance in DISTURBANCES {
        let mut max_window_load = 0.0f64;
        for seed in 1..=6 {
            let result = simulate(&Scenario::random(disturbance, seed));
            assert!(result.starts > 0, "{disturbance:?}, seed {seed}: nothing started");
            assert_eq!(result.violations, 0, "{disturbance:?}, seed {seed}: {result:?}");
            max_window_load = max_window_load.max(result.max_window_load);
        }
        // With less work in every window, the runs could not have shown an overload.
        assert!(max_window_load > 0.1, "{disturbance:?}: {max_window_load:.2}");
    }
}

/// Guards against budgets of cold caches that grow with rejected attempts. The request rate doubles and
/// exceeds the capacity of all caches, so that many requests are rejected and sent again. If budgets were
/// refilled by work sent, and not by work that caches did, 2 of 2, 9 of 10 and 2 of 11 cold caches would be
/// overloaded in the three cases.
#[test_case(10)]
#[test_case(29)]
#[test_case(56)]
fn rejected_requests_of_a_burst_do_not_raise_budgets_of_cold_caches(seed: u64) {
    let result = simulate(&Scenario::random(Disturbance::Burst, seed));
    assert_eq!(result.violations, 0, "{result:?}");
}

/// Guards against budgets of cold caches that grow with rejected attempts, not only in a burst: requests are
/// also rejected and sent again where all caches are cold, and where one key takes a third of the requests.
/// When a node's budgets followed the sum of all work that the node sent, each rejected attempt counted, and
/// cold caches were granted more work than any cache can do.
#[test_case(Disturbance::FleetCold, 130)]
#[test_case(Disturbance::HotKey, 70)]
#[test_case(Disturbance::HotKey, 119)]
#[test_case(Disturbance::Burst, 85)]
fn rejected_attempts_do_not_raise_budgets_of_cold_caches(disturbance: Disturbance, seed: u64) {
    let result = simulate(&Scenario::random(disturbance, seed));
    assert_eq!(result.violations, 0, "{result:?}");
}

/// Guards against budgets that follow demand beyond the overload multiple. Requests demand more work than the
/// caches can do, and the budget of a cold cache follows demand up to half as much again. Where the overload
/// multiple is small and the endpoint list does not state that the cache's capacity is small, this increase
/// alone overloads the cache.
#[test_case(Disturbance::FleetCold, 88)]
#[test_case(Disturbance::Burst, 19)]
fn budgets_that_follow_demand_stay_within_the_overload_multiple(disturbance: Disturbance, seed: u64) {
    let result = simulate(&Scenario::random(disturbance, seed));
    assert_eq!(result.violations, 0, "{result:?}");
}

/// Fails at present (KNOWN-RED.txt). The request rate doubles, and at the same moment one key begins to take
/// a third of all requests. The key's cold candidates receive somewhat more than a window's bound. The
/// suspected cause, not shown yet: each of many nodes accumulates budget for a whole request over any length
/// of time, and all nodes spend at once the budget that they accumulated while the key had few requests.
#[test_case(105)]
#[test_case(112)]
#[test_case(156)]
fn hot_key_in_a_burst_pushes_no_cold_cache_over(seed: u64) {
    let result = simulate(&Scenario::random(Disturbance::HotKeyInBurst, seed));
    assert_eq!(result.violations, 0, "{result:?}");
}

#[test]
fn equal_seeds_give_equal_results() {
    let simulate_seed = |seed| simulate(&Scenario::random(Disturbance::NodesRestart, seed));
    let first = simulate_seed(3);
    assert_eq!(first, simulate_seed(3));
    assert_ne!(first, simulate_seed(4));
}
