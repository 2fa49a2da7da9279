//! The auditor against faulty nodes that each break one rule: it has to find the violation and name it, and to find
//! nothing where nothing is wrong.

mod support;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use support::play;
use test_case::test_case;

/// A short experiment in which each violation can occur: a drain, a cache that warms up, writes of all kinds.
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

/// Slow enough that two attempts for one request are seen in flight together, with capacity for all.
const SLOW: &str = r#"
[world.cache]
hit_ms = 80
cores = 40
"#;

/// Its capacity is a third of what is requested.
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

/// A program that takes the place of the node and commits this violation, for an experiment of this name.
fn faulty_node(violation: &str, name: &str) -> PathBuf {
    let file = format!("stand-in-{name}-{}.sh", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let testbed = env!("CARGO_BIN_EXE_granitelb-testbed");
    // It is started as the real program is: `serve --config FILE`.
    let text = format!("#!/bin/sh\nshift\nexec '{testbed}' stand-in-node --vice {violation} \"$@\"\n");
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

fn audited(violation: &str, faults: &str) -> AuditResult {
    // Each experiment has its own name: two tests use the same violation, and with one name for both, the node of one read
    // the other's configuration and found its address in use, or its program while that was written.
    static EXPERIMENTS: AtomicU8 = AtomicU8::new(0);
    let name = format!("auditor-{violation}-{}", EXPERIMENTS.fetch_add(1, Ordering::Relaxed));
    let nodes = if violation == "favour" { "nodes = 3" } else { "nodes = 1" };
    let text = WORLD.replace("NAME", &name).replace("nodes = 1", nodes) + faults;
    let experiment = Experiment::read(Path::new("world.toml"), &text).expect("a sound experiment");
    let program = faulty_node(violation, &name);
    let result = play(&experiment, 7, &program).verdict;
    let _ = std::fs::remove_file(&program);
    result
}

#[test_case("mute", "", "no final answer"; "no response")]
#[test_case("late", "", "final answer after the client timeout"; "a response after the timeout")]
#[test_case("close", "", "connection ended without an answer"; "a closed connection")]
#[test_case("second-answer", "", "a second answer"; "a duplicate response")]
#[test_case("another", "", "answer not made for the call"; "a response for another request")]
#[test_case("shot-after", "", "sent after the final answer"; "an attempt after the response")]
#[test_case("resend", "", "sent again, though it may have run"; "a repeated write")]
#[test_case("resend", "", "a non-idempotent effect twice"; "an effect executed twice")]
#[test_case("rate-limit-ran", "", "rate-limited, though it ran"; "rate-limited after execution")]
#[test_case("unheeding", LEAVING, "sent on for clients that had left"; "requests of disconnected clients")]
#[test_case("second-copy", SLOW, "a second copy while one was out"; "an unwanted hedge")]
#[test_case("undrained", DRAIN, "a new shot to a draining or gone cache"; "an attempt at a drained cache")]
#[test_case("cold-rush", GROW, "a cold cache pushed over"; "an overloaded warming cache")]
#[test_case("stampede", WEAK, "the origin overrun"; "an overloaded origin")]
fn a_violation_is_found_and_named(violation: &str, faults: &str, kind: &str) {
    let result = audited(violation, faults);
    let kinds: Vec<_> = result.violations.iter().map(|violation| violation.kind).collect();
    assert!(kinds.contains(&kind), "{violation}: found {kinds:?}");
}

/// The faulty node exits at once when it is asked to stop, with requests in flight. What finds no connection until it is back
/// was not accepted; what it had accepted it owes a response.
#[test]
fn a_node_that_shuts_down_owes_responses_to_accepted_requests_only() {
    let restart = "[[fault]]\nkind = \"node_restart\"\nat_s = 2\n";
    let result = audited("none", &(SLOW.to_string() + restart));
    let kinds: Vec<_> = result.violations.iter().map(|violation| violation.kind).collect();
    assert_eq!(kinds, ["connection ended without an answer"], "{:#?}", result.violations);
}

const SHARED_QUOTA: &str = "[fleet.leases]\norigin_per_s = 20\ncold_work = 0.002\n[expect]\n";
const HANG: &str = "[[fault]]\nkind = \"hang\"\ncaches = [1]\nat_s = 0\nfor_s = 4\n";

/// The nodes exceed quotas together: there is no planner in these experiments.
#[test_case("stampede", SHARED_QUOTA, "origin_over_whole = 1.5"; "more of the origin than its quota")]
#[test_case("cold-rush", &(GROW.to_string() + SHARED_QUOTA), "cold_over_whole = 1.5"; "more of a warming cache than its quota")]
#[test_case("none", &(HANG.to_string() + "[expect]\n"), "sick_trials = 5"; "a hung cache that all nodes go on using")]
#[test_case("favour", "[expect]\n", "fairness = 0.9"; "one node that is favoured")]
fn an_unmet_expectation_is_found(violation: &str, faults: &str, expectation: &str) {
    let key = expectation.split(' ').next().expect("a key");
    let unmet = audited(violation, &format!("{faults}{expectation}\n")).unmet_expectations;
    assert!(unmet.iter().any(|unmet| unmet.expectation == key), "{violation}: {unmet:?}");
}

#[test]
fn stale_reads_are_counted() {
    let result = audited("stale", "");
    assert!(
        result.figures.stale_reads > 0
            && result.unmet_expectations.iter().any(|unmet| unmet.expectation == "stale_reads")
    );
}

#[test]
fn nothing_is_found_in_a_correct_run() {
    let result = audited("none", DRAIN);
    assert!(result.violations.is_empty(), "{:?}", result.violations);
    assert_eq!(result.figures.stale_reads, 0);
    assert_eq!(result.figures.drains, 1);
    assert!(result.figures.fulfilled > 1000, "{:?}", result.figures);
}
