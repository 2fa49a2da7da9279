//! Tests of the auditor with faulty nodes that each violate one rule. The auditor has to detect and name the
//! violation, and must report no violation for a node that breaks no rule.

mod support;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use support::run_experiment;
use test_case::test_case;

/// Experiment of a short run in which violations can occur. Tests append the faults and properties that a
/// violation needs.
const EXPERIMENT: &str = r#"
name = "NAME"
about = "a node that breaks a rule"
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

/// Caches so slow that two attempts of one request are in flight at the same time, with capacity for all
/// requests.
const SLOW: &str = r#"
[world.cache]
hit_ms = 80
cores = 40
"#;

/// An origin whose capacity is a third of the requested rate.
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

/// Writes a script that runs the faulty node with this violation, and returns the script's path. `name` is
/// the experiment's name.
fn faulty_node(violation: &str, name: &str) -> PathBuf {
    let file = format!("faulty-node-{name}-{}.sh", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
    let testbed = env!("CARGO_BIN_EXE_granitelb-testbed");
    // The testbed starts the script like the real program, with `serve --config FILE`; `shift` removes
    // `serve`.
    let text = format!("#!/bin/sh\nshift\nexec '{testbed}' stand-in-node --vice {violation} \"$@\"\n");
    // Another process writes the script. If this process wrote it, a process that another test starts at this
    // moment could inherit the open file descriptor, and the script could not be executed until that
    // descriptor is closed.
    let status = std::process::Command::new("/bin/sh")
        .args(["-c", "printf '%s' \"$2\" > \"$1\" && chmod 755 \"$1\"", "sh"])
        .arg(&path)
        .arg(text)
        .status();
    assert!(status.expect("a shell can be run").success(), "the script {} was not written", path.display());
    path
}

fn run_and_audit(violation: &str, faults: &str) -> AuditResult {
    // Each experiment has its own name, because some violations are tested twice. With one name for both
    // tests, a node reads the other test's configuration and finds its address in use, or runs its script
    // while the script is written.
    static EXPERIMENTS: AtomicU8 = AtomicU8::new(0);
    let name = format!("auditor-{violation}-{}", EXPERIMENTS.fetch_add(1, Ordering::Relaxed));
    let nodes = if violation == "favour" { "nodes = 3" } else { "nodes = 1" };
    let text = EXPERIMENT.replace("NAME", &name).replace("nodes = 1", nodes) + faults;
    let experiment = Experiment::read(Path::new("auditor.toml"), &text).expect("a valid experiment");
    let program = faulty_node(violation, &name);
    let audit_result = run_experiment(&experiment, 7, &program).audit_result;
    let _ = std::fs::remove_file(&program);
    audit_result
}

#[test_case("mute", "", "no final answer"; "a request without a response")]
#[test_case("late", "", "final answer after the client timeout"; "a response after the client timeout")]
#[test_case("close", "", "connection ended without an answer"; "a connection closed without a response")]
#[test_case("second-answer", "", "a second answer"; "a second response")]
#[test_case("another", "", "answer not made for the call"; "a response made for another request")]
#[test_case("shot-after", "", "sent after the final answer"; "an attempt after the response")]
#[test_case("resend", "", "sent again, though it may have run"; "a write sent again")]
#[test_case("resend", "", "a non-idempotent effect twice"; "a non-idempotent effect executed twice")]
#[test_case("rate-limit-ran", "", "rate-limited, though it ran"; "a rate-limited response to an executed write")]
#[test_case("unheeding", CLIENTS_LEAVE, "sent on for clients that had left"; "attempts for clients that have disconnected")]
#[test_case("second-copy", SLOW, "a second copy while one was out"; "a hedged request")]
#[test_case("undrained", DRAIN, "a new shot to a draining or gone cache"; "an attempt at a drained cache")]
#[test_case("cold-rush", ADD_CACHE, "a cold cache pushed over"; "a cold cache overloaded")]
#[test_case("stampede", WEAK_ORIGIN, "the origin overrun"; "the origin overloaded")]
fn violation_is_detected_and_named(violation: &str, faults: &str, kind: &str) {
    let audit_result = run_and_audit(violation, faults);
    let kinds: Vec<_> = audit_result.violations.iter().map(|found| found.kind).collect();
    assert!(kinds.contains(&kind), "{violation}: found {kinds:?}");
}

/// The faulty node exits at once when it is told to shut down, and leaves requests in flight without a
/// response. The auditor must report these, since a node has to respond to each accepted request. It must not
/// report requests that found no connection until the node was up again: they were not accepted.
#[test]
fn stopped_node_has_to_answer_only_accepted_requests() {
    let restart = "[[fault]]\nkind = \"node_restart\"\nat_s = 2\n";
    let audit_result = run_and_audit("none", &(SLOW.to_string() + restart));
    let kinds: Vec<_> = audit_result.violations.iter().map(|found| found.kind).collect();
    assert_eq!(kinds, ["connection ended without an answer"], "{:#?}", audit_result.violations);
}

const SHARED_LIMITS: &str = "[fleet.leases]\norigin_per_s = 20\ncold_work = 0.002\n[expect]\n";
const HANG: &str = "[[fault]]\nkind = \"hang\"\ncaches = [1]\nat_s = 0\nfor_s = 4\n";

/// Without the planners that would divide a limit among nodes, the nodes together exceed the limit. Each
/// other case breaks one expectation by its violation or fault.
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
