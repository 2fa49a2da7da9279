//! Tests of the keys of JSON reports and event logs. Programs that read these files rely on the keys of the
//! first versions.

use granitelb_testbed::audit::{AuditResult, Figures, PhaseChange, ShardGrowthFigures, UnmetExpectation};
use granitelb_testbed::event_log::{
    ClientAttempt, ClientAttemptEnd, Event, EventLog, Member, NodeId, RelayedMessage, RequestId, ServerInfo,
    TimedEvent, Timestamp,
};
use granitelb_testbed::shard_map_reference::{ShardState, SplitPhase};
use serde_json::{Value, json};

/// The keys of an object, sorted.
fn keys(value: &Value) -> Vec<&str> {
    let object = value.as_object().expect("an object");
    let mut keys: Vec<&str> = object.keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

/// The names of a list that is separated by spaces, sorted.
fn sorted(names: &str) -> Vec<&str> {
    let mut names: Vec<&str> = names.split_whitespace().collect();
    names.sort_unstable();
    names
}

#[test]
fn report_keys_are_stable() {
    let phase_changes = vec![PhaseChange {
        at_s: 1.5,
        shard: 17,
        state: ShardState { bits: 1, phase: Some(SplitPhase::DualRead) },
    }];
    let growth = ShardGrowthFigures { phase_changes, ..ShardGrowthFigures::default() };
    let figures = Figures { shard_growth: Some(growth), ..Figures::default() };
    let unmet = UnmetExpectation { expectation: "service", bound: 0.9, measured: 0.8 };
    let result = AuditResult { violations: Vec::new(), unmet_expectations: vec![unmet], figures };
    let report = json!(result);
    assert_eq!(keys(&report), sorted("breaches shortfalls figures"));
    assert_eq!(report["shortfalls"], json!([{"bar": "service", "asked": 0.9, "measured": 0.8}]));
    let figures = "calls tries fulfilled rate_limited errored lost told_when service service_after recoveries p50_ms \
        p99_ms max_over_mean load origin_fetches drain_stop_ms drains stale_reads memory_mb descriptors cpu_us_a_call \
        bad_clients bad_clients_met leaving fleet growth seconds rig_late_ms rig_stalled_ms";
    assert_eq!(keys(&report["figures"]), sorted(figures));
    assert_eq!(keys(&report["figures"]["leaving"]), sorted("left waited sent_late"));
    let fleet = "letters letters_lost letters_changed bytes_per_s grants leases origin_over_whole cold_over_whole \
        sick_trials fairness step loss named named_wrongly planners_crashed";
    assert_eq!(keys(&report["figures"]["fleet"]), sorted(fleet));
    let growth = "forms steps settled withdrawn steps_while_slow kills killed_at gone_on missed spared at_origin \
        old_first behind behind_at_origin moved moved_at_origin faults_missing nodes_behind";
    assert_eq!(keys(&report["figures"]["growth"]), sorted(growth));
    assert_eq!(report["figures"]["growth"]["steps"], json!([[1.5, 17, {"bits": 1, "step": "both_read"}]]));
}

#[test]
fn event_log_keys_are_stable() {
    let at = Timestamp(7);
    let mut event_log = EventLog::default();
    event_log.servers.push(ServerInfo { name: "a".into(), slot: Some(1), started: None });
    event_log
        .events
        .push(TimedEvent { at, event: Event::MalformedClient { handled: true, what: "x".into() } });
    event_log.messages.push(RelayedMessage {
        from: Member::Node(0),
        to: Member::Planner(1),
        received_at: at,
        forwarded_at: vec![at],
        corrupted: false,
        bytes: vec![1],
    });
    event_log.client_attempts.push(ClientAttempt {
        request: RequestId(3),
        number: 0,
        id: "r".into(),
        idempotency_key: None,
        node: NodeId(0),
        request_class: 2,
        key: 5,
        due: at,
        sent: at,
        ended: at,
        end: ClientAttemptEnd::ConnectionLost { reused: true },
    });
    let log = json!(event_log);
    let names = "servers tries shots effects fetches told usage events letters stalled lateness";
    assert_eq!(keys(&log), sorted(names));
    assert_eq!(log["servers"], json!([{"name": "a", "seat": 1, "started": null}]));
    assert_eq!(log["events"], json!([[7, {"BadClient": {"met": true, "what": "x"}}]]));
    let message =
        json!({"from": {"Node": 0}, "to": {"Planner": 1}, "taken": 7, "passed": [7], "changed": false});
    assert_eq!(log["letters"], json!([message]));
    let attempt = json!({
        "call": 3, "nth": 0, "id": "r", "idempotency_key": null, "node": 0, "product": 2, "key": 5,
        "due": 7, "sent": 7, "ended": 7, "end": {"Torn": {"used_before": true}},
    });
    assert_eq!(log["tries"], json!([attempt]));
}
