use std::path::Path;

use super::{ShardGrowthFigures, audit};
use crate::event_log::{
    ClientAttempt, ClientAttemptEnd, Event, EventLog, Member, NodeId, RelayedMessage, RequestId,
    ServerAttempt, ServerAttemptEnd, ServerId, ServerInfo, TimedEvent, Timestamp, Version,
};
use crate::experiment::{Experiment, GrowthExpectations};
use crate::message_reference::{self, MessageKind, Sender, Signer};
use crate::shard_map_reference::{Placement, ShardGrowthMessage, ShardMap, ShardState, SplitPhase, keys_of};

const SECRET: &[u8] = b"a secret of sixteen or more";
const SHARD: u8 = 17;

fn experiment() -> Experiment {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 20\n[world]\nnodes = 1\n[fleet]\nplanners = 2\n\
        operator.growth.day_ms = 2000\n[growth]\nshards = [17, 90]\nkeys = 10\ngrows = 0.1\n";
    Experiment::read(Path::new("x.toml"), text).expect("a valid experiment")
}

/// An event log with twelve caches and the origin.
fn event_log() -> EventLog {
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    for slot in 0..12 {
        event_log.servers.push(ServerInfo { name: format!("box-{slot}.0"), slot: Some(slot), started: None });
    }
    event_log.servers.push(ServerInfo { name: "origin".into(), slot: None, started: None });
    event_log
}

fn send(event_log: &mut EventLog, from: Member, to: Member, at_s: f64, message: &ShardGrowthMessage) {
    let signer = match from {
        Member::Planner(p) => Signer::Planner(p as u8 + 1),
        Member::Node(n) => Signer::Node(n as u64),
    };
    let received_at = Timestamp::from_s(at_s);
    let sender = Sender { member: signer, incarnation: 1, sequence: received_at.0 as u64 };
    let bytes = message_reference::encode(SECRET, MessageKind::ShardGrowth, sender, message)
        .expect("the message can be encoded");
    event_log.messages.push(RelayedMessage {
        from,
        to,
        received_at,
        forwarded_at: vec![received_at],
        corrupted: false,
        bytes,
    });
}

fn send_map(event_log: &mut EventLog, at_s: f64, version: u64, shards: &[(u8, u8, Option<SplitPhase>)]) {
    let shards = shards.iter().map(|(shard, bits, step)| (*shard, ShardState { bits: *bits, phase: *step }));
    let map = ShardMap { version, shards: shards.collect() };
    send(event_log, Member::Planner(0), Member::Node(0), at_s, &ShardGrowthMessage::Map { map });
}

fn audited(event_log: &EventLog) -> (ShardGrowthFigures, Vec<&'static str>) {
    let experiment = experiment();
    let growth = experiment.growth.as_ref().expect("the experiment has growing shards");
    let audited = audit(&experiment, growth, event_log);
    (audited.figures, audited.violations.iter().map(|violation| violation.kind).collect())
}

#[test]
fn a_regular_split_violates_nothing() {
    let mut event_log = event_log();
    let copied = (1..=16).map(|n| Some(SplitPhase::Copying(n)));
    let steps = [Some(SplitPhase::Forecast), Some(SplitPhase::ScheduledRequest)].into_iter().chain(copied);
    let steps = steps.chain([Some(SplitPhase::DualRead), Some(SplitPhase::Switched)]);
    for (n, step) in steps.enumerate() {
        send_map(&mut event_log, n as f64 / 10.0, n as u64 + 1, &[(SHARD, 0, step)]);
    }
    send_map(&mut event_log, 9.0, 21, &[(SHARD, 1, None)]);
    send(
        &mut event_log,
        Member::Node(0),
        Member::Planner(0),
        9.1,
        &ShardGrowthMessage::MapInUse { version: 21 },
    );
    let (figures, kinds) = audited(&event_log);
    assert_eq!((kinds, figures.completed, figures.withdrawn, figures.nodes_behind), (vec![], 1, 0, 0));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other on the same maps")]
fn maps_that_differ_skip_phases_or_share_a_cache_are_found() {
    let violations: [(&[_], &[_], &str); 4] = [
        (
            &[(SHARD, 0, Some(SplitPhase::ScheduledRequest))],
            &[(SHARD, 0, Some(SplitPhase::DualRead))],
            "a step out of order",
        ),
        (
            &[(SHARD, 0, Some(SplitPhase::Switched))],
            &[(SHARD, 1, Some(SplitPhase::Copying(1)))],
            "a step out of order",
        ),
        (
            &[],
            &[(17, 0, Some(SplitPhase::Forecast)), (90, 0, Some(SplitPhase::Forecast))],
            "two shards changed at once",
        ),
        (
            &[(17, 0, Some(SplitPhase::DualRead)), (90, 0, Some(SplitPhase::Forecast))],
            &[(17, 0, Some(SplitPhase::DualRead)), (90, 0, Some(SplitPhase::ScheduledRequest))],
            "two splits on one cache",
        ),
    ];
    for (before, after, kind) in violations {
        let mut event_log = event_log();
        send_map(&mut event_log, 1.0, 8, before);
        send_map(&mut event_log, 2.0, 9, after);
        assert_eq!(audited(&event_log).1, [kind]);
    }
    let mut event_log = event_log();
    send_map(&mut event_log, 1.0, 1, &[(SHARD, 0, Some(SplitPhase::Forecast))]);
    send_map(&mut event_log, 2.0, 1, &[(90, 0, Some(SplitPhase::Forecast))]);
    for (at, version) in [(2.0, 4), (3.0, 3)] {
        send(
            &mut event_log,
            Member::Node(0),
            Member::Planner(0),
            at,
            &ShardGrowthMessage::MapInUse { version },
        );
    }
    assert_eq!(audited(&event_log).1, ["two forms of one version", "a node went back to an older form"]);
}

#[test]
fn advances_while_the_origin_is_slow_and_kills_without_takeover_are_counted() {
    let mut event_log = event_log();
    let event = |at_s, event| TimedEvent { at: Timestamp::from_s(at_s), event };
    event_log.events.push(event(1.0, Event::FaultBegan { what: "OriginSlow".into() }));
    event_log.events.push(event(1.0, Event::PlannerDown { planner: 0 }));
    for (at, n) in [(0.5, 1), (2.0, 2), (5.0, 3), (9.0, 4)] {
        send_map(&mut event_log, at, u64::from(n), &[(SHARD, 0, Some(SplitPhase::Copying(n)))]);
    }
    event_log.events.push(event(8.0, Event::FaultEnded { what: "OriginSlow".into() }));
    event_log.events.push(event(8.0, Event::PlannerUp { planner: 0 }));
    let figures = audited(&event_log).0;
    assert_eq!((figures.advances_while_slow, figures.kills, figures.taken_over), (1, 1, 0));
    let expect = GrowthExpectations {
        min_takeovers: Some(1),
        max_steps_while_origin_slow: Some(0),
        ..GrowthExpectations::default()
    };
    let unmet: Vec<_> = figures.unmet(&expect).iter().map(|s| s.expectation).collect();
    assert!(unmet.contains(&"growth.expect.gone_on") && unmet.contains(&"growth.expect.steps_while_slow"));
}

/// The figures of a read of a moving key that misses at its new place in the dual-read phase; `old_first`
/// says whether the read goes to its old place before the origin.
fn figures_of_missed_read(old_first: bool) -> ShardGrowthFigures {
    let mut event_log = event_log();
    send_map(&mut event_log, 1.0, 1, &[(SHARD, 0, Some(SplitPhase::DualRead))]);
    let names: Vec<String> = (0..12).map(|slot| format!("box-{slot}.0")).collect();
    let placement = Placement::new(names.iter().map(String::as_str));
    let moves = |key: &&u64| placement.cache_of(**key, 0) != placement.cache_of(**key, 1);
    let key = *keys_of(SHARD, 40).iter().find(moves).expect("half of the keys move");
    let [old, new] = [0, 1].map(|bits| placement.cache_of(key, bits).expect("the key has a cache"));
    let mut route = vec![
        (new, ServerAttemptEnd::CacheMiss),
        (old, ServerAttemptEnd::CacheMiss),
        (12, ServerAttemptEnd::Answered),
    ];
    if !old_first {
        route.remove(1);
    }
    let at = Timestamp::from_s(5.0);
    for (n, (server, end)) in route.into_iter().enumerate() {
        let arrived = Timestamp(at.0 + n as i64 * 1000);
        let (server, node) = (ServerId(server), NodeId(0));
        let attempt =
            ServerAttempt { server, node, id: "r".into(), arrived, ended: Some(arrived), end, work_s: 0.0 };
        event_log.server_attempts.push(attempt);
    }
    let end = ClientAttemptEnd::Fulfilled { made_for: "r".into(), version: Some(Version(0)) };
    let read = ClientAttempt {
        request: RequestId(0),
        number: 0,
        id: "r".into(),
        idempotency_key: None,
        node: NodeId(0),
        request_class: 0,
        key,
        due: at,
        sent: at,
        ended: Timestamp(at.0 + 9000),
        end,
    };
    event_log.client_attempts.push(read);
    audited(&event_log).0
}

#[test]
fn reads_that_skip_the_old_place_are_found() {
    let expect = GrowthExpectations { min_old_owner_first: Some(0.9), ..GrowthExpectations::default() };
    let is_unmet =
        |f: &ShardGrowthFigures| f.unmet(&expect).iter().any(|s| s.expectation == "growth.expect.old_first");
    let (right, wrong) = (figures_of_missed_read(true), figures_of_missed_read(false));
    assert_eq!((right.missed, right.at_origin, right.old_first), (1, 1, 1));
    assert_eq!((wrong.missed, wrong.at_origin, wrong.old_first), (1, 1, 0));
    assert!(!is_unmet(&right) && is_unmet(&wrong));
}
