//! Tests of the splits of growing shards with real nodes and planners, judged by the testbed's own records.
//! `granitelb-testbed run` checks the limits that depend on the machine's speed.

mod support;

use granitelb_testbed::audit::UnmetExpectation;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use support::{experiment_file, run_experiment_strictly};
use test_case::test_case;

/// Longest stall of the emulated servers, in milliseconds, for which a run is judged. Servers that stall for
/// longer than the auditor's tolerance of clocks record cancelled attempts too late.
const MAX_STALL_MS: f64 = 50.0;

#[test]
fn split_completes_with_real_nodes() {
    run_and_check("short");
}

#[test_case("course")]
#[test_case("leader-killed")]
#[test_case("leader-lost")]
#[test_case("origin-slow")]
#[test_case("deaf-nodes")]
#[ignore = "each takes most of a minute; run by hand"]
fn splits_meet_expectations(name: &str) {
    run_and_check(name);
}

fn run_and_check(name: &str) {
    let experiment =
        Experiment::load(&experiment_file(&format!("growth-{name}"))).expect("a valid experiment");
    let node = program::find_node(None).expect("the program is built");
    let audit_result =
        run_experiment_strictly(&experiment, experiment.seeds[0], &node, MAX_STALL_MS).audit_result;
    let growth = audit_result.figures.shard_growth.as_ref().expect("the experiment has growing shards");
    let figures = &audit_result.figures;
    let (service, late, stalled) = (figures.service, figures.harness_late_ms, figures.harness_stall_ms);
    println!("{name}: service {service:.4}, late {late:.1} ms, stalled {stalled:.1} ms, {growth}");
    assert!(audit_result.violations.is_empty(), "{:#?}", audit_result.violations);
    let is_of_growth = |unmet: &&UnmetExpectation| {
        unmet.expectation.starts_with("growth") || unmet.expectation == "stale_reads"
    };
    assert_eq!(audit_result.unmet_expectations.iter().find(is_of_growth), None, "{growth}");
    assert!(service > 0.8, "{service:.4}");
}
