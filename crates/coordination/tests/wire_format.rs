//! Tests of the bytes of messages on the wire. `fixtures/wire-format.txt` holds one sealed message for each
//! variant of each component's messages, as the program wrote them when the file was created. Members of that
//! version may be running, so the same message must be sealed to the same bytes, and the bytes must be opened
//! to the same message. A field or a variant that is moved, added or removed changes the bytes, and needs a
//! new version of the protocol.
//!
//! The file is not written automatically. When a message is added, the failing test prints the line to add.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use granitelb_coordination::counterfactual::{
    CacheStart, Comparison, ComparisonReport, SampledRequest, ServiceOutcome,
};
use granitelb_coordination::endpoint_health::{
    EndpointCounts, Fragment, HealthReport, HealthStatus, HealthUpdate,
};
use granitelb_coordination::leases::{Demand, LongTermRequest, Resource, ResourceAmount};
use granitelb_coordination::message::{ComponentKind, Message, Secret, Secrets, open, seal};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::{AcceptedProposal, Ballot, ConsensusMessage};
use granitelb_coordination::shard_growth::endpoints::ReportedEndpoint;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_day::{ShardCounters, SketchKind};
use granitelb_coordination::shard_growth::shard_map::{
    ShardId, ShardLayout, ShardMapVersion, SplitPhase, VersionedShardMap,
};
use granitelb_coordination::{
    ForwarderId, Incarnation, Member, PlannerId, Sender, Version, counterfactual, endpoint_health, leases,
    membership, shard_growth,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

const FIXTURE: &str = include_str!("fixtures/wire-format.txt");

/// A message and its name in the fixture.
type Named<M> = (&'static str, M);

fn secrets() -> Secrets {
    Secrets::single(Secret::new(b"the secret of the wire format's fixture").expect("long enough"))
}

fn from_forwarder() -> Sender {
    let member = Member::Forwarder(ForwarderId(0x0123_4567_89ab_cdef));
    Sender { member, incarnation: Incarnation(1_764_000_000_000_001), sequence: 70_001 }
}

fn from_planner() -> Sender {
    Sender {
        member: Member::Planner(PlannerId(3)),
        incarnation: Incarnation(1_764_000_000_000_002),
        sequence: 70_002,
    }
}

fn membership_messages() -> Vec<Named<membership::MembershipMessage>> {
    use membership::MembershipMessage;
    vec![
        ("members.beat", MembershipMessage::Heartbeat),
        ("members.you_were_gone", MembershipMessage::DeclaredFailed { incarnation: Incarnation(301) }),
        (
            "members.you_were_succeeded",
            MembershipMessage::Superseded { incarnation: Incarnation(302), by: Incarnation(303) },
        ),
    ]
}

fn all_health_statuses() -> [HealthStatus; 3] {
    [
        HealthStatus::Failing { ago: Span::from_millis(401) },
        HealthStatus::Probe { ago: Span::from_millis(402) },
        HealthStatus::Recovered { ago: Span::from_millis(403) },
    ]
}

fn health_messages() -> Vec<Named<endpoint_health::HealthMessage>> {
    let counts = |endpoint, answered| EndpointCounts {
        endpoint: EndpointId(endpoint),
        answered,
        failed: answered + 1.25,
        in_flight: answered + 2.5,
    };
    let report = HealthReport {
        sequence: 501,
        fragment: Fragment { index: 2, count: 5 },
        endpoints: vec![counts(0xfedc_ba98_7654_3210, 10.5), counts(502, 20.5)],
    };
    let statuses = (601..).map(EndpointId).zip(all_health_statuses()).collect();
    let update = HealthUpdate {
        version: Version(503),
        fragment: Fragment { index: 3, count: 7 },
        forwarders: 504,
        statuses,
    };
    vec![
        ("verdicts.report", endpoint_health::HealthMessage::Report(report)),
        ("verdicts.plan", endpoint_health::HealthMessage::Update(update)),
    ]
}

fn all_resources() -> [Resource; 2] {
    [Resource::Origin, Resource::WarmingCache(EndpointId(701))]
}

fn leases_messages() -> Vec<Named<leases::LeaseMessage>> {
    use leases::LeaseMessage;
    let demand = |(resource, n)| Demand {
        resource,
        amount: n,
        request_in_use: 811,
        requesters: n + 1,
        already_held: n + 2,
    };
    let demands = all_resources().into_iter().zip([1001, 2001]).map(demand).collect();
    let amount = |(resource, amount)| ResourceAmount { resource, amount };
    let granted = all_resources().into_iter().zip([3001, 4001]).map(amount).collect();
    let long_term_request = LongTermRequest {
        request_id: 804,
        demand: 805,
        request_in_use: 806,
        planner_incarnation: Incarnation(807),
        already_held: 808,
    };
    vec![
        ("leases.ask", LeaseMessage::Request { request_id: 801, demands }),
        ("leases.grant", LeaseMessage::Grant { request_id: 802, granted, duration: 2_000_001 }),
        ("leases.return", LeaseMessage::Release { request_id: 803 }),
        ("leases.ask_standing", LeaseMessage::RequestLongTerm(long_term_request)),
        (
            "leases.standing",
            LeaseMessage::GrantLongTerm { request_id: 809, amount: 810, duration: 20_000_001 },
        ),
        ("leases.return_standing", LeaseMessage::ReleaseLongTerm { request_id: 812 }),
    ]
}

fn all_split_phases() -> [SplitPhase; 6] {
    [
        SplitPhase::Foreseen,
        SplitPhase::Planned,
        SplitPhase::Copying(11),
        SplitPhase::DualRead,
        SplitPhase::Switched,
        SplitPhase::Withdrawn,
    ]
}

/// A shard map with one shard that is not being split, and one shard in each phase of a split.
fn shard_map(version: u64) -> VersionedShardMap {
    let splitting = all_split_phases().into_iter().zip(21..).map(|(phase, shard)| (shard, 2, Some(phase)));
    let shards = [(20, 3, None)].into_iter().chain(splitting);
    let shards = shards.map(|(shard, bits, phase)| (ShardId(shard), ShardLayout { bits, phase })).collect();
    VersionedShardMap { version: ShardMapVersion(version), shards }
}

fn ballot(n: u64) -> Ballot {
    Ballot { round: n, planner: 5, incarnation: n + 1000 }
}

fn consensus_messages() -> Vec<Named<ConsensusMessage>> {
    let version = ShardMapVersion(901);
    let recovery_response = |accepted| ConsensusMessage::RecoveryResponse {
        to_incarnation: 921,
        decided: ShardMapVersion(922),
        promised: ballot(923),
        accepted,
    };
    let accepted = Some(AcceptedProposal { ballot: ballot(924), shard_map: shard_map(925) });
    vec![
        ("growth.vote.prepare", ConsensusMessage::Prepare { version, ballot: ballot(902) }),
        (
            "growth.vote.promise",
            ConsensusMessage::Promise { version, ballot: ballot(903), accepted: accepted.clone() },
        ),
        (
            "growth.vote.promise_of_none",
            ConsensusMessage::Promise { version, ballot: ballot(904), accepted: None },
        ),
        ("growth.vote.accept", ConsensusMessage::Accept { ballot: ballot(905), shard_map: shard_map(906) }),
        ("growth.vote.took", ConsensusMessage::Accepted { version, ballot: ballot(907) }),
        ("growth.vote.refused", ConsensusMessage::Rejected { version, promised: ballot(908) }),
        ("growth.vote.decided", ConsensusMessage::Decided { shard_map: shard_map(909) }),
        ("growth.vote.where", ConsensusMessage::RecoveryRequest { incarnation: 910 }),
        ("growth.vote.here", recovery_response(accepted)),
        ("growth.vote.here_with_none", recovery_response(None)),
    ]
}

fn growth_messages() -> Vec<Named<shard_growth::GrowthMessage>> {
    use shard_growth::GrowthMessage;
    let (day, shard) = (AccountingDay(20_001), ShardId(201));
    let sketch = |kind| GrowthMessage::Sketch { day, shard, kind, registers: vec![(1001, 12), (1002, 13)] };
    let counts =
        |n| ShardCounters { reads: n, writes: n + 1, bytes: n + 2, sized_responses: n + 3, evictions: n + 4 };
    let counters = vec![(ShardId(202), counts(30_001)), (ShardId(203), counts(40_001))];
    let endpoints = vec![
        ReportedEndpoint { endpoint: EndpointId(1101), size: 1.5, is_warming_up: true },
        ReportedEndpoint { endpoint: EndpointId(1102), size: 2.25, is_warming_up: false },
    ];
    let days = vec![
        ClosedDay { day: AccountingDay(20_002), bytes: 1000.5, keys: 17.25 },
        ClosedDay { day: AccountingDay(20_003), bytes: 2000.5, keys: 18.25 },
    ];
    let mut messages = vec![
        ("growth.sketch_read", sketch(SketchKind::Read)),
        ("growth.sketch_written", sketch(SketchKind::Written)),
        ("growth.counted", GrowthMessage::Counters { day, counters }),
        ("growth.holds", GrowthMessage::AppliedVersion { version: ShardMapVersion(1103) }),
        ("growth.today", GrowthMessage::CurrentDay { day: AccountingDay(20_004) }),
        ("growth.table", GrowthMessage::ShardMap { shard_map: shard_map(1104) }),
        ("growth.caches", GrowthMessage::Endpoints { endpoints }),
        ("growth.ended", GrowthMessage::ClosedDays { shard: ShardId(204), days }),
        ("growth.origin_slow", GrowthMessage::OriginSlow),
    ];
    messages.extend(
        consensus_messages()
            .into_iter()
            .map(|(name, consensus_message)| (name, GrowthMessage::Consensus(consensus_message))),
    );
    messages
}

fn all_service_outcomes() -> [ServiceOutcome; 4] {
    [ServiceOutcome::Hit, ServiceOutcome::Miss, ServiceOutcome::Censored, ServiceOutcome::Failed]
}

fn all_comparisons() -> [Comparison; 4] {
    [Comparison::NoSupport, Comparison::AsGood, Comparison::Worse, Comparison::Better]
}

fn counterfactual_messages() -> Vec<Named<counterfactual::CounterfactualMessage>> {
    use counterfactual::CounterfactualMessage;
    let observation = |(outcome, n): (ServiceOutcome, u32)| SampledRequest {
        request_hash: u64::from(n) + 0xabcd_0000_0000,
        key_hash: n + 1,
        request_class: 1201,
        work_class: 3,
        candidates: vec![1202, 1203, 1204],
        position: 2,
        outcome,
        duration: n + 2,
        slo: n + 3,
        in_flight: 97,
        age_ms: n + 4,
    };
    let requests = all_service_outcomes().into_iter().zip((50_000..).step_by(100)).map(observation).collect();
    let reports = |first: u16| {
        let report = move |(comparison, n): (Comparison, u16)| ComparisonReport {
            cache: u64::from(n) + 0x1234_0000_0000,
            request_class: n,
            comparison,
            estimate: f32::from(n) + 0.5,
            low: f32::from(n) - 0.25,
            high: f32::from(n) + 0.75,
        };
        all_comparisons().into_iter().zip(first..).map(report).collect()
    };
    let starts = vec![CacheStart { cache: 1205, age_ms: 1206 }, CacheStart { cache: 1207, age_ms: 1208 }];
    vec![
        ("hindsight.seen", CounterfactualMessage::Requests(requests)),
        ("hindsight.started", CounterfactualMessage::CacheStarts(starts)),
        ("hindsight.standing", CounterfactualMessage::WaitedShareReports(reports(1301))),
        ("hindsight.times", CounterfactualMessage::TimeRatioReports(reports(1401))),
    ]
}

/// All messages with their names and senders. The sender is a forwarder, except for one message of a planner.
fn all_messages() -> Vec<(&'static str, Sender, Message)> {
    fn of<M>(messages: Vec<Named<M>>, wrap: fn(M) -> Message) -> Vec<Named<Message>> {
        messages.into_iter().map(|(name, message)| (name, wrap(message))).collect()
    }
    let by_forwarder = [
        of(membership_messages(), Message::Membership),
        of(health_messages(), Message::EndpointHealth),
        of(leases_messages(), Message::Leases),
        of(growth_messages(), Message::ShardGrowth),
        of(counterfactual_messages(), Message::Counterfactual),
    ];
    let mut all: Vec<_> =
        by_forwarder.into_iter().flatten().map(|(name, message)| (name, from_forwarder(), message)).collect();
    all.push((
        "members.beat_of_planner",
        from_planner(),
        Message::Membership(membership::MembershipMessage::Heartbeat),
    ));
    all
}

/// The lines of the fixture: the bytes of each message by its name.
fn fixture() -> BTreeMap<&'static str, Vec<u8>> {
    let line = |line: &'static str| {
        let (name, bytes) = line.split_once(" = ").expect("a name and its bytes");
        (name, hex::decode(bytes).expect("bytes in hex"))
    };
    FIXTURE.lines().map(line).collect()
}

#[test]
fn each_message_is_sealed_to_its_fixture_bytes() {
    let fixture = fixture();
    for (name, sender, message) in all_messages() {
        let bytes = seal(sender, &message, &secrets()).expect("short enough");
        let line = format!("{name} = {}", hex::encode(&bytes));
        assert_eq!(fixture.get(name), Some(&bytes), "the program writes this line now:\n{line}");
    }
}

#[test]
fn fixture_bytes_are_opened_to_their_message() {
    let fixture = fixture();
    for (name, sender, message) in all_messages() {
        let bytes = fixture.get(name).unwrap_or_else(|| panic!("{name} has no line"));
        assert_eq!(open(bytes, &secrets()), Ok((sender, message)), "{name}");
    }
}

#[test]
fn fixture_lines_and_messages_correspond_one_to_one() {
    let messages = all_messages();
    let names: BTreeSet<_> = messages.iter().map(|(name, ..)| *name).collect();
    assert_eq!(names.len(), messages.len(), "two messages of one name");
    assert_eq!(names, fixture().into_keys().collect());
    assert_eq!(FIXTURE.lines().count(), messages.len(), "two lines of one name");
}

/// Returns the index of a value's variant, which postcard writes first.
fn variant_index(value: &impl Serialize) -> u8 {
    postcard::to_allocvec(value).expect("the value can be encoded")[0]
}

/// Returns the indices of all variants of a type: the ones that can be decoded, since each variant can be
/// decoded from zeros.
fn all_variant_indices<T: DeserializeOwned>() -> BTreeSet<u8> {
    let can_be_decoded = |index: &u8| {
        let mut bytes = [0; 64];
        bytes[0] = *index;
        postcard::take_from_bytes::<T>(&bytes).is_ok()
    };
    (0..128).filter(can_be_decoded).collect()
}

fn assert_has_all_variants<T: Serialize + DeserializeOwned + Debug>(values: &[T]) {
    let indices: BTreeSet<_> = values.iter().map(variant_index).collect();
    assert_eq!(indices, all_variant_indices::<T>(), "a variant has no message in the fixture: {values:?}");
}

fn without_names<M>(messages: Vec<Named<M>>) -> Vec<M> {
    messages.into_iter().map(|(_, message)| message).collect()
}

#[test]
fn all_message_variants_are_in_the_fixture() {
    assert_has_all_variants(&without_names(membership_messages()));
    assert_has_all_variants(&without_names(health_messages()));
    assert_has_all_variants(&without_names(leases_messages()));
    assert_has_all_variants(&without_names(growth_messages()));
    assert_has_all_variants(&without_names(counterfactual_messages()));
    assert_has_all_variants(&without_names(consensus_messages()));
    assert_has_all_variants(&all_health_statuses());
    assert_has_all_variants(&all_resources());
    assert_has_all_variants(&all_split_phases());
    assert_has_all_variants(&all_service_outcomes());
    assert_has_all_variants(&all_comparisons());
    assert_has_all_variants(&[SketchKind::Read, SketchKind::Written]);
    assert_has_all_variants(&[from_planner().member, from_forwarder().member]);
}

/// Guards the names, which stored data and the log use, and the numbers, which are sent on the wire.
#[test]
fn component_kinds_have_stable_names_and_numbers() {
    let kinds = ComponentKind::ALL.map(|kind| (kind as u8, kind.name()));
    let expected = [(1, "members"), (2, "verdicts"), (3, "leases"), (4, "growth"), (5, "hindsight")];
    assert_eq!(kinds, expected);
    let first_bytes = |name| fixture()[name][..4].to_vec();
    assert_eq!(first_bytes("members.beat"), b"GL\x02\x01");
    assert_eq!(first_bytes("hindsight.times"), b"GL\x02\x05");
}
