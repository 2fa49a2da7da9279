use super::*;
use crate::event_log::{ClientAttemptEnd, NodeId, RelayedMessage, RequestId, ServerId, ServerInfo, Version};
use crate::message_reference::{Sender, Signer};
use crate::shard_map_reference::keys_of;

const SECRET: &[u8] = b"a secret of sixteen or more";
const SHARD: u8 = 17;

fn experiment() -> Experiment {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 20\n[world]\nnodes = 1\n[fleet]\nplanners = 2\n\
        operator.growth.day_ms = 2000\n[growth]\nshards = [17, 90]\nkeys = 10\ngrows = 0.1\n";
    Experiment::read(std::path::Path::new("x.toml"), text).expect("a sound experiment")
}

/// Twelve caches and the origin.
fn event_log() -> EventLog {
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    for seat in 0..12 {
        event_log.servers.push(ServerInfo { name: format!("box-{seat}.0"), seat: Some(seat), started: None });
    }
    event_log.servers.push(ServerInfo { name: "origin".into(), seat: None, started: None });
    event_log
}

fn letter(event_log: &mut EventLog, from: Member, to: Member, at_s: f64, message: &ShardGrowthMessage) {
    let signer = match from {
        Member::Planner(p) => Signer::Planner(p as u8 + 1),
        Member::Node(n) => Signer::Node(n as u64),
    };
    let taken = Timestamp::from_s(at_s);
    let sender = Sender { member: signer, incarnation: 1, sequence: taken.0 as u64 };
    let bytes =
        message_reference::encode(SECRET, MessageKind::ShardGrowth, sender, message).expect("a letter");
    event_log.letters.push(RelayedMessage { from, to, taken, passed: vec![taken], changed: false, bytes });
}

fn tells(event_log: &mut EventLog, at_s: f64, version: u64, shards: &[(u8, u8, Option<SplitPhase>)]) {
    let shards = shards.iter().map(|(shard, bits, step)| (*shard, ShardState { bits: *bits, phase: *step }));
    let form = ShardMap { version, shards: shards.collect() };
    letter(event_log, Member::Planner(0), Member::Node(0), at_s, &ShardGrowthMessage::Map { map: form });
}

fn judged(event_log: &EventLog) -> (GrowthFigures, Vec<&'static str>) {
    let experiment = experiment();
    let (figures, found) = judge(&experiment, experiment.growth.as_ref().expect("it has"), event_log);
    (figures, found.iter().map(|b| b.kind).collect())
}

#[test]
fn a_split_that_goes_its_way_breaks_nothing() {
    let mut event_log = event_log();
    let copied = (1..=16).map(|n| Some(SplitPhase::Copying(n)));
    let steps = [Some(SplitPhase::Forecast), Some(SplitPhase::Planned)].into_iter().chain(copied);
    let steps = steps.chain([Some(SplitPhase::DualRead), Some(SplitPhase::Switched)]);
    for (n, step) in steps.enumerate() {
        tells(&mut event_log, n as f64 / 10.0, n as u64 + 1, &[(SHARD, 0, step)]);
    }
    tells(&mut event_log, 9.0, 21, &[(SHARD, 1, None)]);
    letter(
        &mut event_log,
        Member::Node(0),
        Member::Planner(0),
        9.1,
        &ShardGrowthMessage::MapInUse { version: 21 },
    );
    let (figures, kinds) = judged(&event_log);
    assert_eq!((kinds, figures.settled, figures.withdrawn, figures.nodes_behind), (vec![], 1, 0, 0));
}

#[test]
fn forms_that_differ_or_leap_or_share_a_cache_are_caught() {
    let leaps: [(&[_], &[_], &str); 4] = [
        (
            &[(SHARD, 0, Some(SplitPhase::Planned))],
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
            &[(17, 0, Some(SplitPhase::DualRead)), (90, 0, Some(SplitPhase::Planned))],
            "two splits on one cache",
        ),
    ];
    for (before, after, kind) in leaps {
        let mut event_log = event_log();
        tells(&mut event_log, 1.0, 8, before);
        tells(&mut event_log, 2.0, 9, after);
        assert_eq!(judged(&event_log).1, [kind]);
    }
    let mut event_log = event_log();
    tells(&mut event_log, 1.0, 1, &[(SHARD, 0, Some(SplitPhase::Forecast))]);
    tells(&mut event_log, 2.0, 1, &[(90, 0, Some(SplitPhase::Forecast))]);
    for (at, version) in [(2.0, 4), (3.0, 3)] {
        letter(
            &mut event_log,
            Member::Node(0),
            Member::Planner(0),
            at,
            &ShardGrowthMessage::MapInUse { version },
        );
    }
    assert_eq!(judged(&event_log).1, ["two forms of one version", "a node went back to an older form"]);
}

#[test]
fn steps_while_the_origin_is_slow_and_kills_that_nobody_goes_on_from_are_counted() {
    let mut event_log = event_log();
    let event = |at, e| (Timestamp::from_s(at), e);
    event_log.events.push(event(1.0, Event::FaultBegan { what: "OriginSlow".into() }));
    event_log.events.push(event(1.0, Event::PlannerDown { planner: 0 }));
    for (at, n) in [(0.5, 1), (2.0, 2), (5.0, 3), (9.0, 4)] {
        tells(&mut event_log, at, u64::from(n), &[(SHARD, 0, Some(SplitPhase::Copying(n)))]);
    }
    event_log.events.push(event(8.0, Event::FaultEnded { what: "OriginSlow".into() }));
    event_log.events.push(event(8.0, Event::PlannerUp { planner: 0 }));
    let figures = judged(&event_log).0;
    assert_eq!((figures.steps_while_slow, figures.kills, figures.gone_on), (1, 1, 0));
    let expect = GrowthExpect { gone_on: Some(1), steps_while_slow: Some(0), ..GrowthExpect::default() };
    let short: Vec<_> = figures.hold(&expect).iter().map(|s| s.bar).collect();
    assert!(short.contains(&"growth.expect.gone_on") && short.contains(&"growth.expect.steps_while_slow"));
}

/// A read of a key that moves misses at its new place while both are read.
fn missed(old_first: bool) -> GrowthFigures {
    let mut event_log = event_log();
    tells(&mut event_log, 1.0, 1, &[(SHARD, 0, Some(SplitPhase::DualRead))]);
    let names: Vec<String> = (0..12).map(|seat| format!("box-{seat}.0")).collect();
    let places = Placement::new(names.iter().map(String::as_str));
    let moves = |key: &&u64| places.cache_of(**key, 0) != places.cache_of(**key, 1);
    let key = *keys_of(SHARD, 40).iter().find(moves).expect("half of them");
    let [old, new] = [0, 1].map(|bits| places.cache_of(key, bits).expect("a place"));
    let mut ways = vec![
        (new, ServerAttemptEnd::Lacked),
        (old, ServerAttemptEnd::Lacked),
        (12, ServerAttemptEnd::Answered),
    ];
    if !old_first {
        ways.remove(1);
    }
    let at = Timestamp::from_s(5.0);
    for (n, (server, end)) in ways.into_iter().enumerate() {
        let arrived = Timestamp(at.0 + n as i64 * 1000);
        let (server, node) = (ServerId(server), NodeId(0));
        let shot =
            ServerAttempt { server, node, id: "r".into(), arrived, ended: Some(arrived), end, work: 0.0 };
        event_log.shots.push(shot);
    }
    let end = ClientAttemptEnd::Fulfilled { made_for: "r".into(), version: Some(Version(0)) };
    let (call, node, ended) = (RequestId(0), NodeId(0), Timestamp(at.0 + 9000));
    let id = String::from("r");
    let read = ClientAttempt {
        call,
        nth: 0,
        id,
        idempotency_key: None,
        node,
        product: 0,
        key,
        due: at,
        sent: at,
        ended,
        end,
    };
    event_log.tries.push(read);
    judged(&event_log).0
}

#[test]
fn an_origin_that_is_asked_before_the_old_place_is_caught() {
    let expect = GrowthExpect { old_first: Some(0.9), ..GrowthExpect::default() };
    let bars = |f: &GrowthFigures| f.hold(&expect).iter().any(|s| s.bar == "growth.expect.old_first");
    let (right, wrong) = (missed(true), missed(false));
    assert_eq!((right.missed, right.at_origin, right.old_first), (1, 1, 1));
    assert_eq!((wrong.missed, wrong.at_origin, wrong.old_first), (1, 1, 0));
    assert!(!bars(&right) && bars(&wrong));
}
