//! The auditor against stand-in nodes that each break one rule: it has to catch the breach and name it, and to
//! find nothing where nothing is wrong.

mod support;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use support::play;
use test_case::test_case;

/// A short world in which each vice has its chance: a drain, a cold cache, writes of all kinds.
const WORLD: &str = r#"
name = "NAME"
about = "a world for a node that breaks a rule"
seconds = 4

[world]
nodes = 1
caches = 4

[load]
rate = 300
keys = 40
clients.retries = 0
clients.once = 0.0

[[product]]
name = "summary"
effect = "idempotent"
slo_ms = 400
timeout_ms = 1000
share = 0.8

[[product]]
name = "transfer"
effect = "non_idempotent"
slo_ms = 400
timeout_ms = 1000
share = 0.2
"#;

const DRAIN: &str = r#"
[[fault]]
kind = "drain"
caches = [1]
at_s = 1
for_s = 1
"#;

const LEAVING: &str = r#"
[[fault]]
kind = "clients_leave"
share = 0.8
at_s = 2
"#;

/// Slow enough that two shots of one call are seen out together, with room for all.
const SLOW: &str = r#"
[world.cache]
hit_ms = 80
cores = 40
"#;

/// A third of what is asked for is its capacity.
const WEAK: &str = r#"
[world.origin]
cores = 1
"#;

const GROW: &str = r#"
[[fault]]
kind = "grow"
count = 1
at_s = 1

[world.cache]
hit_ms = 1
fall_s = 0.5
fall_multiple = 1.0
cold_from = 0.02
"#;

/// A program that stands in for the node with this vice, for a world of this name.
fn program(vice: &str, name: &str) -> PathBuf {
    let file = format!("stand-in-{name}-{}.sh", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let lab = env!("CARGO_BIN_EXE_granitelb-testbed");
    // It is started as the real program is: `serve --config FILE`.
    let text = format!("#!/bin/sh\nshift\nexec '{lab}' stand-in-node --vice {vice} \"$@\"\n");
    // Written by a process of its own: one that another test starts at that moment would inherit a descriptor of ours that
    // writes the file, and it could not be run until that one is closed.
    let written = std::process::Command::new("/bin/sh")
        .args(["-c", "printf '%s' \"$2\" > \"$1\" && chmod 755 \"$1\"", "sh"])
        .arg(&path)
        .arg(text)
        .status();
    assert!(written.expect("a shell").success());
    path
}

fn judged(vice: &str, faults: &str) -> AuditResult {
    // Each world its own name: two tests have one vice, and with one name for both, the node of one read the other's
    // configuration and found its address in use, or its program while that was written.
    static WORLDS: AtomicU8 = AtomicU8::new(0);
    let name = format!("auditor-{vice}-{}", WORLDS.fetch_add(1, Ordering::Relaxed));
    let nodes = if vice == "favour" { "nodes = 3" } else { "nodes = 1" };
    let text = WORLD.replace("NAME", &name).replace("nodes = 1", nodes) + faults;
    let experiment = Experiment::read(Path::new("world.toml"), &text).expect("a sound experiment");
    let program = program(vice, &name);
    let verdict = play(&experiment, 7, &program).verdict;
    let _ = std::fs::remove_file(&program);
    verdict
}

#[test_case("mute", "", "no final answer"; "a call without an answer")]
#[test_case("late", "", "final answer after the client timeout"; "an answer after the timeout")]
#[test_case("close", "", "connection ended without an answer"; "a connection ended")]
#[test_case("second-answer", "", "a second answer"; "a second answer")]
#[test_case("another", "", "answer not made for the call"; "an answer for another call")]
#[test_case("shot-after", "", "sent after the final answer"; "a shot after the answer")]
#[test_case("resend", "", "sent again, though it may have run"; "a write sent again")]
#[test_case("resend", "", "a non-idempotent effect twice"; "an effect twice")]
#[test_case("rate-limit-ran", "", "rate-limited, though it ran"; "rate-limited though it ran")]
#[test_case("unheeding", LEAVING, "sent on for clients that had left"; "calls of clients that left")]
#[test_case("second-copy", SLOW, "a second copy while one was out"; "a second copy")]
#[test_case("undrained", DRAIN, "a new shot to a draining or gone cache"; "a shot to a drained cache")]
#[test_case("cold-rush", GROW, "a cold cache pushed over"; "a cold cache overrun")]
#[test_case("stampede", WEAK, "the origin overrun"; "the origin overrun")]
fn a_breach_is_caught_and_named(vice: &str, faults: &str, kind: &str) {
    let verdict = judged(vice, faults);
    let kinds: Vec<_> = verdict.violations.iter().map(|b| b.kind).collect();
    assert!(kinds.contains(&kind), "{vice}: found {kinds:?}");
}

/// The stand-in ends at once when it is told to stop, with calls out. What finds no connection until it is back was not
/// taken; what it had taken it owes.
#[test]
fn a_node_that_stops_in_order_owes_what_it_took_and_nothing_else() {
    let restart = "[[fault]]\nkind = \"node_restart\"\nat_s = 2\n";
    let verdict = judged("none", &(SLOW.to_string() + restart));
    let kinds: Vec<_> = verdict.violations.iter().map(|b| b.kind).collect();
    assert_eq!(kinds, ["connection ended without an answer"], "{:#?}", verdict.violations);
}

const SHARED: &str = "[fleet.leases]\norigin_per_s = 20\ncold_work = 0.002\n[expect]\n";
const HANG: &str = "[[fault]]\nkind = \"hang\"\ncaches = [1]\nat_s = 0\nfor_s = 4\n";

/// What each node does by itself adds up wrong: there is no planner in these worlds.
#[test_case("stampede", SHARED, "origin_over_whole = 1.5"; "more of the origin than the whole")]
#[test_case("cold-rush", &(GROW.to_string() + SHARED), "cold_over_whole = 1.5"; "more of a cold cache than the whole")]
#[test_case("none", &(HANG.to_string() + "[expect]\n"), "sick_trials = 5"; "a sick cache that all go on asking")]
#[test_case("favour", "[expect]\n", "fairness = 0.9"; "a node that has it all")]
fn what_adds_up_wrong_is_caught(vice: &str, faults: &str, bar: &str) {
    let asked = bar.split(' ').next().expect("a bar");
    let short = judged(vice, &format!("{faults}{bar}\n")).unmet_expectations;
    assert!(short.iter().any(|s| s.expectation == asked), "{vice}: {short:?}");
}

#[test]
fn stale_values_are_counted() {
    let verdict = judged("stale", "");
    assert!(
        verdict.figures.stale_reads > 0
            && verdict.unmet_expectations.iter().any(|s| s.expectation == "stale_reads")
    );
}

#[test]
fn nothing_is_found_where_nothing_is_wrong() {
    let verdict = judged("none", DRAIN);
    assert!(verdict.violations.is_empty(), "{:?}", verdict.violations);
    assert_eq!(verdict.figures.stale_reads, 0);
    assert_eq!(verdict.figures.drains, 1);
    assert!(verdict.figures.fulfilled > 1000, "{:?}", verdict.figures);
}
