//! Tests of the counterfactual comparison of caches by real nodes and planners, in short runs. Planners have
//! to report a slow cache and no other cache, although messages are lost and duplicated and a planner and a
//! node are killed and restarted. Without a slow cache, planners must report none. No check depends on the
//! machine's speed.

mod support;

use std::path::Path;

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use support::run_experiment;
use test_case::test_case;

const EXPERIMENT: &str = r#"
name = "NAME"
about = "hindsight behind real nodes, short"
seconds = 24

[world]
nodes = 4

[fleet]
planners = 2
operator.turns = {}
operator.hindsight = { judge_ms = 2000 }

[load]
rate = 240
keys = 1000

[[fault]]
kind = "letters_lost"
share = 0.1
at_s = 1
for_s = 22

[[fault]]
kind = "letters_doubled"
share = 0.1
ms = 500
at_s = 1
for_s = 22

[[fault]]
kind = "planner_kill"
planners = [0]
at_s = 5
for_s = 3

[[fault]]
kind = "node_kill"
nodes = [0]
at_s = 7
for_s = 3
"#;

const SLOW: &str = r#"
[[fault]]
kind = "slow"
caches = [2]
factor = 6
at_s = 1
for_s = 23
"#;

fn run_and_audit(experiment: &Experiment) -> AuditResult {
    let node = program::find_node(None).expect("the program is built");
    run_experiment(experiment, 1, &node).audit_result
}

/// Experiment that tests the auditor: a Byzantine planner reports that every cache is slow, although none is.
const FALSE_REPORTS: &str = r#"
name = "hindsight-lies"
about = "a planner that holds the secret names all caches"
seconds = 8

[world]
nodes = 2

[fleet]
planners = 2
operator.turns = {}
operator.hindsight = {}

[load]
rate = 200
keys = 400

[[fault]]
kind = "planner_lies"
planners = [0]
lie = "standings"
at_s = 2
for_s = 4

[expect]
named_wrongly = 0
"#;

#[test]
fn false_reports_of_slow_caches_are_counted() {
    let experiment = Experiment::read(Path::new("lies.toml"), FALSE_REPORTS).expect("a valid experiment");
    let audit_result = run_and_audit(&experiment);
    let fleet = &audit_result.figures.fleet;
    assert_eq!(
        (fleet.slow_caches_detected, fleet.false_detections),
        (0, experiment.environment.caches),
        "{fleet:?}"
    );
    let unmet = &audit_result.unmet_expectations;
    assert!(unmet.iter().any(|unmet| unmet.expectation == "named_wrongly"), "{unmet:?}");
}

#[test_case("slow", SLOW, 1; "one cache takes six times as long")]
#[test_case("calm", "", 0; "none does")]
fn planners_report_only_the_slow_cache(name: &str, faults: &str, reported: usize) {
    let text = EXPERIMENT.replace("NAME", &format!("hindsight-short-{name}")) + faults;
    let experiment = Experiment::read(Path::new("short.toml"), &text).expect("a valid experiment");
    let audit_result = run_and_audit(&experiment);
    let figures = &audit_result.figures;
    let fleet = &figures.fleet;
    println!(
        "{name}: service {:.4}, testbed late {:.1} ms, {fleet:?}",
        figures.service, figures.harness_late_ms
    );
    assert!(audit_result.violations.is_empty(), "{:#?}", audit_result.violations);
    assert_eq!(
        (fleet.slow_caches_detected, fleet.false_detections, fleet.planners_crashed),
        (reported, 0, 0),
        "{fleet:?}"
    );
}
