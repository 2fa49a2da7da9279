//! Tests that run experiments of the repository once with the real program and check the four rules, counts
//! and recovery; and tests of experiment files, schedules and recordings. `granitelb-testbed run` checks the
//! limits that depend on the machine's speed.

mod support;

use std::ops::Range;
use std::path::Path;

use granitelb_testbed::event_log::{EventLog, ServerAttempt, Timestamp};
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::schedule::Schedule;
use granitelb_testbed::stats::{PairedBlock, Ratio};
use granitelb_testbed::{program, recording, run_result, stats};
use support::{RunPermit, experiment_file, run_experiment};
use test_case::test_case;

#[test_case("calm")]
#[test_case("hang-while-draining")]
#[test_case("void-with-slow-origin")]
#[test_case("discovery-down")]
#[test_case("half-the-nodes-killed")]
#[test_case("fleet-doubles")]
#[test_case("one-way-silence")]
#[test_case("resets-after-writes")]
#[test_case("rolling-replacement")]
#[test_case("bad-clients")]
#[test_case("discovery-silent-and-moved")]
#[test_case("origin-stops")]
#[test_case("late-and-narrow-links")]
#[test_case("frozen-nodes")]
#[test_case("spoilt-answers")]
fn rules_hold_and_service_recovers(name: &str) {
    let experiment = Experiment::load(&experiment_file(name)).expect("a valid experiment");
    let node = program::find_node(None).expect("the program is built");
    let audit_result = run_experiment(&experiment, experiment.seeds[0], &node).audit_result;
    assert!(audit_result.violations.is_empty(), "{:#?}", audit_result.violations);
    let figures = &audit_result.figures;
    assert!(figures.longest_recovery().is_some(), "{:?}", figures.recoveries);
    assert_eq!(figures.stale_reads, 0);
    assert!(
        (figures.malformed_clients_handled - 1.0).abs() < 1e-9,
        "{} handled",
        figures.malformed_clients_handled
    );
    assert!(figures.fulfilled * 2 > figures.requests, "{} of {}", figures.fulfilled, figures.requests);
}

/// Counts of reads and attempts within a period of a run.
#[derive(Debug)]
struct PeriodCounts {
    /// Reads that the origin executed.
    origin_reads: usize,
    /// Attempts at the cache that hangs.
    hung_cache_attempts: usize,
    /// Attempts at the cold caches.
    cold_cache_attempts: usize,
}

impl PeriodCounts {
    fn of(event_log: &EventLog, period_s: Range<f64>) -> PeriodCounts {
        let in_period = |at: Timestamp| period_s.contains(&at.seconds());
        let attempts_to = |slots: &[usize]| {
            let servers = latest_servers(event_log, slots);
            let counted =
                |attempt: &&ServerAttempt| in_period(attempt.arrived) && servers.contains(&attempt.server.0);
            event_log.server_attempts.iter().filter(counted).count()
        };
        PeriodCounts {
            origin_reads: event_log.fetches.iter().filter(|fetch| in_period(fetch.at)).count(),
            hung_cache_attempts: attempts_to(&[HUNG_CACHE]),
            cold_cache_attempts: attempts_to(&COLD_CACHES),
        }
    }
}

/// Index of the last server in each of these cache slots.
fn latest_servers(event_log: &EventLog, slots: &[usize]) -> Vec<usize> {
    let latest = |slot: &usize| event_log.servers.iter().rposition(|server| server.slot == Some(*slot));
    slots.iter().filter_map(latest).collect()
}

/// Slot of the cache that hangs in the experiment `settings-in-service`.
const HUNG_CACHE: usize = 3;
/// Slots of the caches that are added in the experiment `settings-in-service`.
const COLD_CACHES: [usize; 2] = [6, 7];
/// Time at which the experiment `settings-in-service` applies new settings, in seconds.
const SETTINGS_AT_S: f64 = 6.0;
/// Length of the compared periods before and after the new settings, in seconds.
const COMPARED_S: f64 = 2.0;

/// The number of runs without new settings, of which the one that sends most is the reference: budgets bound what a cold
/// cache gets, and a machine that is held up only lowers it.
const REFERENCE_RUNS: usize = 3;

/// Runs the experiment `settings-in-service`, or a variant of it, and returns the counts before and after the
/// settings are applied. Violations are allowed only if `may_reset_connections`.
fn count_around_settings(experiment: &Experiment, may_reset_connections: bool) -> [PeriodCounts; 2] {
    let node = program::find_node(None).expect("the program is built");
    let result = run_result::run_experiment(experiment, 1, &node).expect("the experiment can be run");
    let violations = &result.audit_result.violations;
    assert!(may_reset_connections || violations.is_empty(), "{violations:#?}");
    let before = SETTINGS_AT_S - COMPARED_S..SETTINGS_AT_S;
    let after = SETTINGS_AT_S..SETTINGS_AT_S + COMPARED_S;
    [before, after].map(|period_s| PeriodCounts::of(&result.event_log, period_s))
}

#[test]
fn settings_reload_costs_no_burst_and_less_than_a_restart() {
    let path = experiment_file("settings-in-service");
    let text = std::fs::read_to_string(&path).expect("the experiment file can be read");
    let restart_text = text
        .replace("kind = \"node_settings\"", "kind = \"node_settings\"\nfresh = true")
        .replace("name = \"", "name = \"fresh-");
    let unchanged_text = without_new_settings(&text).replace("name = \"", "name = \"unchanged-");
    let unchanged_experiment = Experiment::read(&path, &unchanged_text).expect("a valid experiment");
    let reload_experiment = Experiment::read(&path, &text).expect("a valid experiment");
    let restart_experiment = Experiment::read(&path, &restart_text).expect("a valid experiment");
    let _permit = RunPermit::acquire();
    let reload = count_around_settings(&reload_experiment, false);
    // A node that shuts down may reset a connection that it has not accepted yet. This test does not check
    // that.
    let restart = count_around_settings(&restart_experiment, true);
    let unchanged: Vec<_> =
        (0..REFERENCE_RUNS).map(|_| count_around_settings(&unchanged_experiment, false)).collect();
    println!("before and after, by a reload {reload:?}, by a restart {restart:?}, unchanged {unchanged:?}");
    let [before_reload, after_reload] = &reload;
    let [_, after_restart] = &restart;
    let reads = after_reload.origin_reads;
    assert!(reads <= before_reload.origin_reads * 3 / 2, "{reload:?} {restart:?}");
    assert!(reads <= after_restart.origin_reads * 3 / 2, "{reload:?} {restart:?}");
    assert!(
        after_reload.hung_cache_attempts * 2 <= after_restart.hung_cache_attempts,
        "{reload:?} {restart:?}"
    );
    // A reload costs no burst: cold caches get no more than without new settings.
    let most = unchanged.iter().map(|[_, after]| after.cold_cache_attempts).max().unwrap_or_default();
    assert!(after_reload.cold_cache_attempts <= most, "{reload:?} {unchanged:?}");
}

/// The experiment without the fault that applies new settings.
fn without_new_settings(text: &str) -> String {
    let (faults, rest) = text.split_once("[[fault]]\nkind = \"node_settings\"").expect("new settings");
    let (_, expectations) = rest.split_once("[expect]").expect("expectations");
    format!("{faults}[expect]{expectations}")
}

#[test]
fn equal_seeds_give_equal_schedules() {
    let experiment = Experiment::load(&experiment_file("calm")).expect("a valid experiment");
    let text = |seed| Schedule::draw(&experiment, seed).text();
    assert_eq!(text(5), text(5));
    assert_ne!(text(5), text(6));
}

#[test_case("seconds = 8\nsurprise = 1", 4, "surprise"; "an unknown key")]
#[test_case("seconds = 0.5", 3, "seconds: must be from 1 to 600"; "a figure out of range")]
#[test_case("seconds = 8\n[world]\nnodes = 99", 5, "world.nodes: 99 is not from 1 to 40"; "a nested figure")]
#[test_case("seconds = 8\n[[fault]]\nkind = \"explode\"\nat_s = 1", 5, "explode"; "an unknown fault")]
#[test_case(
    "seconds = 8\n[[fault]]\nkind = \"hang\"\nat_s = 1\ncaches = [0, 77]", 7,
    "fault[0].caches: there is no cache 77; indices count from 0"; "a cache that is not there"
)]
#[test_case(
    "seconds = 8\n[[fault]]\nkind = \"slow\"\nat_s = 1\ncaches = [0]", 4,
    "fault[0].factor: a fault of kind Slow requires a valid value of this key";
    "a fault without its figure"
)]
#[test_case(
    "seconds = 8\n[[fault]]\nkind = \"void\"\nat_s = 9", 6,
    "fault[0].at_s: the fault ends at 9 s, after the run's end at 8 s";
    "a fault after the end"
)]
fn invalid_file_is_reported_with_line_and_key(rest: &str, line: usize, message: &str) {
    let text = format!("name = \"x\"\nabout = \"y\"\n{rest}\n");
    let error = Experiment::read(Path::new("x.toml"), &text).expect_err("an invalid file");
    assert!(error.to_string().contains(message), "{error}");
    assert_eq!(error.line, Some(line), "{error}");
    assert!(error.to_string().starts_with("x.toml:"), "{error}");
}

/// Experiment in which clients retry often. A replay must not send the recorded retries as additional
/// requests.
const MANY_RETRIES: &str = r#"
name = "restless"
about = "clients that repeat"
seconds = 4

[world]
nodes = 1
caches = 2

[load]
rate = 150
clients.retries = 3
clients.backoff_ms = 20

[[fault]]
kind = "spoil"
caches = [0, 1]
how = "error"
share = 0.6
at_s = 0
for_s = 3

[[fault]]
kind = "spoil"
how = "error"
share = 0.6
at_s = 0
for_s = 3
"#;

#[test]
fn replay_sends_each_request_once() {
    let experiment = Experiment::read(Path::new("restless.toml"), MANY_RETRIES).expect("a valid experiment");
    let node = program::find_node(None).expect("the program is built");
    let drawn = Schedule::draw(&experiment, 3);
    let result = {
        let _permit = RunPermit::acquire();
        run_result::run_schedule(&experiment, &drawn, 3, &node).expect("the experiment can be run")
    };
    assert!(result.event_log.client_attempts.len() > drawn.requests.len(), "no client retried anything");
    let text = recording::record(&experiment, &drawn, &result.event_log);
    assert_eq!(text.lines().count(), result.event_log.client_attempts.len());
    let replayed = recording::read(Path::new("recorded"), &text, &experiment).expect("a valid recording");
    assert_eq!(replayed.text(), drawn.text());
}

#[test_case(
    "{\"at_us\": 5, \"node\": 0, \"product\": \"none\", \"key\": 1}",
    "r:1: product: the experiment has no request class none"
)]
#[test_case(
    "{\"at_us\": 5, \"node\": 7, \"product\": \"summary\", \"key\": 1}",
    "r:1: node: the experiment has no node 7"
)]
#[test_case(
    "\n{\"at_us\": -1, \"node\": 0, \"product\": \"summary\", \"key\": 1}",
    "r:2: at_us: outside the run"
)]
#[test_case("{\"at_us\": 5, \"knot\": 0}", "r:1: not a recorded attempt: unknown field `knot`")]
fn invalid_recording_is_reported_with_line(text: &str, message: &str) {
    let experiment = Experiment::read(Path::new("restless.toml"), MANY_RETRIES).expect("a valid experiment");
    let error = recording::read(Path::new("r"), text, &experiment).expect_err("an invalid recording");
    assert!(error.to_string().contains(message), "{error}");
}

#[test]
fn interval_contains_the_true_difference() {
    // Pairs of blocks that differ only randomly, with `more` added to the candidate's value; 10 is about a
    // tenth of it.
    let blocks = |more: f64| -> Vec<PairedBlock> {
        let wave = |n: usize| 80.0 + ((n * 37) % 11) as f64;
        let ratio = |numerator| Ratio { numerator, denominator: 100.0 };
        (0..60)
            .map(|n| PairedBlock { baseline: ratio(wave(n)), candidate: ratio(wave(n + 5) + more) })
            .collect()
    };
    let none = stats::difference_of_ratios(&blocks(0.0), 1).expect("blocks");
    assert!(none.low < 0.0 && none.high > 0.0, "{none:?}");
    let some = stats::difference_of_ratios(&blocks(10.0), 1).expect("blocks");
    assert!(some.low > 0.05 && some.high < 0.15, "{some:?}");
    assert!(stats::difference_of_ratios(&[], 1).is_none());
}
