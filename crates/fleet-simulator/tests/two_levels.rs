//! Compares a fleet of forwarders with planners to the same fleet without planners, while caches hang.

use granitelb_fleet_simulator::control_plane::{Period, Scenario, simulate};
use test_case::test_case;

const LONG_HANG: Period = Period { from: 6.0, to: 26.0 };

fn small_fleet(planners: usize, seed: u64) -> Scenario {
    Scenario {
        forwarders: 80,
        caches: 14,
        planners,
        rate: 2.0,
        seconds: 20.0,
        hang: Period { from: 6.0, to: 14.0 },
        seed,
        ..Scenario::default()
    }
}

#[test]
fn planners_halve_the_late_attempts_at_a_hung_cache() {
    for seed in 1..=2 {
        let alone = simulate(&small_fleet(0, seed));
        let planned = simulate(&small_fleet(2, seed));
        assert_eq!((alone.invalid_requests, planned.invalid_requests), (0, 0));
        let late_attempts = (planned.late_attempts_at_hung_caches, alone.late_attempts_at_hung_caches);
        assert!(late_attempts.0 * 2 < late_attempts.1, "{} of {}", late_attempts.0, late_attempts.1);
        let in_time = (planned.fulfilled_in_time, alone.fulfilled_in_time);
        assert!(in_time.0 > in_time.1, "{} and {}", in_time.1, in_time.0);
    }
}

#[test]
fn suspended_planners_change_nothing_and_byzantine_members_little() {
    let alone = simulate(&small_fleet(0, 4));
    let outage = Some(Period { from: 0.0, to: 60.0 });
    let suspended = simulate(&Scenario { planner_outage: outage, ..small_fleet(2, 4) });
    assert_eq!(
        (suspended.fulfilled_in_time, suspended.attempts_at_hung_caches),
        (alone.fulfilled_in_time, alone.attempts_at_hung_caches)
    );
    // If all messages are corrupted, no message is accepted and the results don't change either.
    let corrupted = simulate(&Scenario { corruption: 1.0, ..small_fleet(2, 4) });
    assert_eq!(
        (corrupted.fulfilled_in_time, corrupted.attempts_at_hung_caches),
        (alone.fulfilled_in_time, alone.attempts_at_hung_caches)
    );
    assert_eq!(corrupted.rejected_messages, corrupted.messages);
    // Requests still succeed if a planner and a forwarder falsely report that every cache fails.
    let byzantine = simulate(&Scenario { has_byzantine_members: true, ..small_fleet(2, 4) });
    assert_eq!(byzantine.invalid_requests, 0);
    let in_time = (byzantine.fulfilled_in_time, alone.fulfilled_in_time);
    assert!(in_time.0 * 100 > in_time.1 * 97, "{} and {}", in_time.0, in_time.1);
}

#[test]
fn equal_seeds_give_equal_results() {
    let short = |seed| simulate(&Scenario { seconds: 7.0, ..small_fleet(2, seed) });
    assert_eq!(short(5), short(5));
    assert_ne!(short(5), short(6));
}

/// The total request rate is the same for few forwarders and for many.
#[test_case(10)]
#[test_case(100)]
fn probe_rate_of_a_hung_cache_does_not_depend_on_the_fleet_size(forwarders: usize) {
    let rate = 160.0 / forwarders as f64;
    let scenario = Scenario { forwarders, rate, hang: LONG_HANG, seconds: 27.0, ..small_fleet(2, 7) };
    let result = simulate(&scenario);
    let probe_rate = result.late_attempts_at_hung_caches as f64 / 17.0;
    assert!((0.4..1.2).contains(&probe_rate), "{probe_rate} probes a second");
    assert!(result.longest_probe_gap.is_some_and(|s| s < 10.0), "{:?}", result.longest_probe_gap);
}

#[test_case(1; "the assigning planner is suspended and resumes")]
#[test_case(0; "all probers are killed")]
fn probes_continue(suspended_planners: usize) {
    let planner_outage = (suspended_planners > 0).then_some(Period { from: 12.0, to: 18.0 });
    let probers_killed_at = (suspended_planners == 0).then_some(14.0);
    let long = Scenario { hang: LONG_HANG, seconds: 27.0, ..small_fleet(2, 8) };
    let scenario = Scenario { planner_outage, suspended_planners, probers_killed_at, ..long };
    let result = simulate(&scenario);
    assert_eq!(result.invalid_requests, 0);
    assert!(result.longest_probe_gap.is_some_and(|s| s < 10.0), "{:?}", result.longest_probe_gap);
    if suspended_planners == 0 {
        assert!(result.killed_forwarders > 0);
        assert!(result.takeover_time.is_some_and(|s| s < 6.0), "{:?}", result.takeover_time);
    }
}
