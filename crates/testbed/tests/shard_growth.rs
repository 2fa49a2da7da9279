//! Splits of growing shards behind real nodes, with real planners: by the lab's own books. What hangs on the machine's
//! speed is left to `granitelb-testbed run`.

mod support;

use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use support::{file, play_strictly};
use test_case::test_case;

/// Stand-ins that stood still for longer than the auditor allows for clocks note late that a shot was called off.
const STALLED_MS: f64 = 50.0;

#[test]
fn a_split_goes_its_whole_way_behind_real_nodes() {
    plays("short");
}

#[test_case("course")]
#[test_case("leader-killed")]
#[test_case("leader-lost")]
#[test_case("origin-slow")]
#[test_case("deaf-nodes")]
#[ignore = "most of a minute each: by hand"]
fn splits_keep_to_what_is_expected(name: &str) {
    plays(name);
}

fn plays(name: &str) {
    let experiment = Experiment::load(&file(&format!("growth-{name}"))).expect("a sound experiment");
    let node = program::node(None).expect("the program");
    let verdict = play_strictly(&experiment, experiment.seeds[0], &node, STALLED_MS).verdict;
    let growth = verdict.figures.shard_growth.as_ref().expect("it grows");
    let figures = &verdict.figures;
    let (service, late, stalled) = (figures.service, figures.harness_late_ms, figures.harness_stall_ms);
    println!("{name}: service {service:.4}, late {late:.1} ms, stalled {stalled:.1} ms, {growth}");
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    let grew = |s: &&granitelb_testbed::audit::UnmetExpectation| {
        s.expectation.starts_with("growth") || s.expectation == "stale_reads"
    };
    assert_eq!(verdict.unmet_expectations.iter().find(grew), None, "{growth}");
    assert!(service > 0.8, "{service:.4}");
}
