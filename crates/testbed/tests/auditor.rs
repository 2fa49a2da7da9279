//! The audit of nodes that each violate one rule: it has to detect and name the violation, and to find nothing where nothing is
//! wrong.

mod support;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use support::run_experiment;
use test_case::test_case;

/// A short run in which a violation can occur. Faults and other properties are appended where a violation needs them.
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

const CLIENTS_LEAVE: &str = r#"
[[fault]]
kind = "clients_leave"
share = 0.8
at_s = 2
"#;

/// Slow enough that two attempts of one request are in flight together, with capacity for all.
const SLOW: &str = r#"
[world.cache]
hit_ms = 80
cores = 40
"#;

/// The origin's capacity is a third of the requested rate.
const WEAK_ORIGIN: &str = r#"
[world.origin]
cores = 1
"#;

const ADD_CACHE: &str = r#"
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

/// A program that runs the faulty node with this violation, for an experiment of this name.
fn faulty_node(violation: &str, name: &str) -> PathBuf {
    let file = format!("stand-in-{name}-{}.sh", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let testbed = env!("CARGO_BIN_EXE_granitelb-testbed");
    // It is started as the real program is: `serve --config FILE`.
    let text = format!("#!/bin/sh\nshift\nexec '{testbed}' stand-in-node --vice {violation} \"$@\"\n");
    // Written by another process: a process that another test starts at this moment would inherit this process's descriptor of
    // the file, and the file could not be executed until that is closed.
    let status = std::process::Command::new("/bin/sh")
        .args(["-c", "printf '%s' \"$2\" > \"$1\" && chmod 755 \"$1\"", "sh"])
        .arg(&path)
        .arg(text)
        .status();
    assert!(status.expect("a shell").success());
    path
}

fn run_and_audit(violation: &str, faults: &str) -> AuditResult {
    // Each experiment has its own name: some violations are tested twice, and with the same name the node of one test read the
    // other's configuration and found its address in use, or its program while that was written.
    static EXPERIMENTS: AtomicU8 = AtomicU8::new(0);
    let name = format!("auditor-{violation}-{}", EXPERIMENTS.fetch_add(1, Ordering::Relaxed));
    let nodes = if violation == "favour" { "nodes = 3" } else { "nodes = 1" };
    let text = WORLD.replace("NAME", &name).replace("nodes = 1", nodes) + faults;
    let experiment = Experiment::read(Path::new("world.toml"), &text).expect("a valid experiment");
    let program = faulty_node(violation, &name);
    let audit_result = run_experiment(&experiment, 7, &program).audit_result;
    let _ = std::fs::remove_file(&program);
    audit_result
}

#[test_case("mute", "", "no final answer"; "a request without an answer")]
#[test_case("late", "", "final answer after the client timeout"; "an answer after the timeout")]
#[test_case("close", "", "connection ended without an answer"; "a connection ended")]
#[test_case("second-answer", "", "a second answer"; "a second answer")]
#[test_case("another", "", "answer not made for the call"; "an answer for another request")]
#[test_case("shot-after", "", "sent after the final answer"; "an attempt after the answer")]
#[test_case("resend", "", "sent again, though it may have run"; "a write sent again")]
#[test_case("resend", "", "a non-idempotent effect twice"; "an effect twice")]
#[test_case("rate-limit-ran", "", "rate-limited, though it ran"; "rate-limited though it ran")]
#[test_case("unheeding", CLIENTS_LEAVE, "sent on for clients that had left"; "requests of clients that left")]
#[test_case("second-copy", SLOW, "a second copy while one was out"; "a hedged request")]
#[test_case("undrained", DRAIN, "a new shot to a draining or gone cache"; "an attempt to a drained cache")]
#[test_case("cold-rush", ADD_CACHE, "a cold cache pushed over"; "a cold cache overloaded")]
#[test_case("stampede", WEAK_ORIGIN, "the origin overrun"; "the origin overloaded")]
fn violation_is_detected_and_named(violation: &str, faults: &str, kind: &str) {
    let audit_result = run_and_audit(violation, faults);
    let kinds: Vec<_> = audit_result.violations.iter().map(|b| b.kind).collect();
    assert!(kinds.contains(&kind), "{violation}: found {kinds:?}");
}

/// The faulty node stops at once when it is told to shut down, with requests in flight. A request that found no connection until
/// the node was back was not accepted; an accepted one has to be answered.
#[test]
fn stopped_node_has_to_answer_only_accepted_requests() {
    let restart = "[[fault]]\nkind = \"node_restart\"\nat_s = 2\n";
    let audit_result = run_and_audit("none", &(SLOW.to_string() + restart));
    let kinds: Vec<_> = audit_result.violations.iter().map(|b| b.kind).collect();
    assert_eq!(kinds, ["connection ended without an answer"], "{:#?}", audit_result.violations);
}

const SHARED_LIMITS: &str = "[fleet.leases]\norigin_per_s = 20\ncold_work = 0.002\n[expect]\n";
const HANG: &str = "[[fault]]\nkind = \"hang\"\ncaches = [1]\nat_s = 0\nfor_s = 4\n";

/// The nodes together exceed a limit, because there is no planner in these experiments.
#[test_case("stampede", SHARED_LIMITS, "origin_over_whole = 1.5"; "the origin's shared limit is exceeded")]
#[test_case("cold-rush", &(ADD_CACHE.to_string() + SHARED_LIMITS), "cold_over_whole = 1.5"; "a cold cache's shared limit is exceeded")]
#[test_case("none", &(HANG.to_string() + "[expect]\n"), "sick_trials = 5"; "all nodes go on using a hung cache")]
#[test_case("favour", "[expect]\n", "fairness = 0.9"; "one node serves all requests")]
fn unmet_expectation_is_detected(violation: &str, faults: &str, expectation: &str) {
    let name = expectation.split(' ').next().expect("an expectation");
    let unmet = run_and_audit(violation, &format!("{faults}{expectation}\n")).unmet_expectations;
    assert!(unmet.iter().any(|unmet| unmet.expectation == name), "{violation}: {unmet:?}");
}

#[test]
fn stale_values_are_counted() {
    let audit_result = run_and_audit("stale", "");
    let is_unmet = audit_result.unmet_expectations.iter().any(|unmet| unmet.expectation == "stale_reads");
    assert!(audit_result.figures.stale_reads > 0 && is_unmet);
}

#[test]
fn no_violation_is_found_in_a_correct_run() {
    let audit_result = run_and_audit("none", DRAIN);
    assert!(audit_result.violations.is_empty(), "{:?}", audit_result.violations);
    assert_eq!(audit_result.figures.stale_reads, 0);
    assert_eq!(audit_result.figures.drains, 1);
    assert!(audit_result.figures.fulfilled > 1000, "{:?}", audit_result.figures);
}
