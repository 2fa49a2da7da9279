//! Hindsight behind real nodes, short: a cache that takes longer is named by the planners and no other, though letters are
//! lost and doubled, a planner and a node are killed and come back; on the same day without it nobody is. Nothing is asked
//! that hangs on the machine's speed.

mod support;

use std::path::Path;

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use support::play;
use test_case::test_case;

const WORLD: &str = r#"
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

fn judged(experiment: &Experiment) -> AuditResult {
    play(experiment, 1, &program::node(None).expect("the program")).verdict
}

/// The judge's own trial: a planner that says of every cache that it is slow.
const LIES: &str = r#"
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
fn caches_named_wrongly_are_counted() {
    let experiment = Experiment::read(Path::new("lies.toml"), LIES).expect("a sound experiment");
    let verdict = judged(&experiment);
    let fleet = &verdict.figures.fleet;
    assert_eq!(
        (fleet.slow_caches_detected, fleet.false_detections),
        (0, experiment.world.caches),
        "{fleet:?}"
    );
    assert!(
        verdict.unmet_expectations.iter().any(|s| s.expectation == "named_wrongly"),
        "{:?}",
        verdict.unmet_expectations
    );
}

#[test_case("slow", SLOW, 1; "one cache takes six times as long")]
#[test_case("calm", "", 0; "none does")]
fn planners_name_the_slow_cache_and_no_other(name: &str, faults: &str, named: usize) {
    let text = WORLD.replace("NAME", &format!("hindsight-short-{name}")) + faults;
    let experiment = Experiment::read(Path::new("short.toml"), &text).expect("a sound experiment");
    let verdict = judged(&experiment);
    let (figures, fleet) = (&verdict.figures, &verdict.figures.fleet);
    println!("{name}: service {:.4}, rig late {:.1} ms, {fleet:?}", figures.service, figures.harness_late_ms);
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert_eq!(
        (fleet.slow_caches_detected, fleet.false_detections, fleet.planners_crashed),
        (named, 0, 0),
        "{fleet:?}"
    );
}
