//! Fleets with planners, as the real program: the rules, what leases add up to, and that nothing comes to an end. What
//! hangs on the machine's speed is left to `granitelb-testbed run`.

mod support;

use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::program;
use support::{file, play};
use test_case::test_case;

#[test_case("partition")]
#[test_case("planners-killed")]
#[test_case("third-killed")]
#[test_case("grow-and-shrink")]
#[test_case("sick-cache")]
#[test_case("drains")]
#[test_case("overlapping")]
#[test_case("lying-planner")]
fn rules_hold_and_nothing_adds_up_wrong(name: &str) {
    let experiment = Experiment::load(&file(&format!("together-{name}"))).expect("a sound experiment");
    let played = play(&experiment, experiment.seeds[0], &program::node(None).expect("the program"));
    let (verdict, event_log) = (played.verdict, played.event_log);
    let figures = &verdict.figures;
    let together = &figures.fleet;
    println!("{name}: service {:.4}, {together:?}", figures.service);
    println!("rig late {:.1} ms, stalled {:.1} ms", figures.harness_late_ms, figures.harness_stall_ms);
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    // Letters went both ways: a fleet of lone nodes would hold to all else.
    let heard = |l: &&granitelb_testbed::event_log::RelayedMessage| {
        matches!(l.from, granitelb_testbed::event_log::Member::Planner(_)) && !l.forwarded_at.is_empty()
    };
    assert!(event_log.messages.iter().filter(heard).count() > 100, "{together:?}");
    let fell = verdict
        .unmet_expectations
        .iter()
        .find(|s| matches!(s.expectation, "leases" | "loss" | "stale_reads" | "sick_trials"));
    assert_eq!(fell, None, "{together:?}");
    assert!(figures.fulfilled * 2 > figures.requests, "{} of {}", figures.fulfilled, figures.requests);
    assert!(figures.longest_recovery().is_some(), "{:?}", figures.recoveries);
}
