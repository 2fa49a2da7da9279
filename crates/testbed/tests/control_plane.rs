//! Tests of fleets of real nodes and planners under faults: no rule is violated, leases keep to their limits,
//! and service recovers. `granitelb-testbed run` checks the limits that depend on the machine's speed.

mod support;

use granitelb_testbed::event_log::{Member, RelayedMessage};
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use granitelb_testbed::run_result::RunResult;
use support::{experiment_file, run_experiment};
use test_case::test_case;

#[test_case("partition")]
#[test_case("planners-killed")]
#[test_case("third-killed")]
#[test_case("grow-and-shrink")]
#[test_case("sick-cache")]
#[test_case("drains")]
#[test_case("overlapping")]
#[test_case("lying-planner")]
fn rules_hold_and_limits_are_kept(name: &str) {
    let experiment =
        Experiment::load(&experiment_file(&format!("together-{name}"))).expect("a valid experiment");
    let node = program::find_node(None).expect("the program is built");
    let RunResult { audit_result, event_log } = run_experiment(&experiment, experiment.seeds[0], &node);
    let figures = &audit_result.figures;
    let fleet = &figures.fleet;
    println!("{name}: service {:.4}, {fleet:?}", figures.service);
    println!("testbed late {:.1} ms, stalled {:.1} ms", figures.harness_late_ms, figures.harness_stall_ms);
    assert!(audit_result.violations.is_empty(), "{:#?}", audit_result.violations);
    // Planners must have sent messages: nodes without a working control plane would pass all other checks.
    let is_from_planner = |message: &&RelayedMessage| {
        matches!(message.from, Member::Planner(_)) && !message.forwarded_at.is_empty()
    };
    assert!(event_log.messages.iter().filter(is_from_planner).count() > 100, "{fleet:?}");
    let unmet = audit_result
        .unmet_expectations
        .iter()
        .find(|unmet| matches!(unmet.expectation, "leases" | "loss" | "stale_reads" | "sick_trials"));
    assert_eq!(unmet, None, "{fleet:?}");
    assert!(figures.fulfilled * 2 > figures.requests, "{} of {}", figures.fulfilled, figures.requests);
    assert!(figures.longest_recovery().is_some(), "{:?}", figures.recoveries);
}
