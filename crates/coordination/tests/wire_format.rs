//! The bytes of messages on the wire. `fixtures/wire-format.txt` has one sealed message for each variant of each
//! faculty's messages, as the program wrote them when the file was made, and members of that version may be running: the
//! same message has to be sealed to the same bytes, and the bytes opened to the same message. A field or a variant that
//! is moved, added or taken out changes them, and needs a new version of the protocol.
//!
//! There is no way to write the file anew by a switch: where a message is added, the failing test prints its line.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use granitelb_coordination::counterfactual::{How, Said, SampledRequest, Standing};
use granitelb_coordination::endpoint_health::{HealthStatus, Part, Plan, Report, Seen};
use granitelb_coordination::leases::{Need, Resource};
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

/// A message by the name that it has in the fixture.
type Named<M> = (&'static str, M);

fn secrets() -> Secrets {
    Secrets::one(Secret::new(b"the secret of the wire format's fixture").expect("long enough"))
}

fn from_forwarder() -> Sender {
    let member = Member::Forwarder(ForwarderId(0x0123_4567_89ab_cdef));
    Sender { member, incarnation: Incarnation(1_764_000_000_000_001), number: 70_001 }
}

fn from_planner() -> Sender {
    Sender {
        member: Member::Planner(PlannerId(3)),
        incarnation: Incarnation(1_764_000_000_000_002),
        number: 70_002,
    }
}

fn members_messages() -> Vec<Named<membership::MembershipMessage>> {
    use membership::MembershipMessage;
    vec![
        ("members.beat", MembershipMessage::Beat),
        ("members.you_were_gone", MembershipMessage::YouWereGone { incarnation: Incarnation(301) }),
        (
            "members.you_were_succeeded",
            MembershipMessage::YouWereSucceeded { incarnation: Incarnation(302), by: Incarnation(303) },
        ),
    ]
}

fn all_verdicts() -> [HealthStatus; 3] {
    [
        HealthStatus::Failing { ago: Span::from_millis(401) },
        HealthStatus::Probe { ago: Span::from_millis(402) },
        HealthStatus::Recovered { ago: Span::from_millis(403) },
    ]
}

fn verdicts_messages() -> Vec<Named<endpoint_health::HealthMessage>> {
    let seen = |cache, answered| Seen {
        cache: EndpointId(cache),
        answered,
        failed: answered + 1.25,
        out: answered + 2.5,
    };
    let report = Report {
        number: 501,
        part: Part { index: 2, of: 5 },
        caches: vec![seen(0xfedc_ba98_7654_3210, 10.5), seen(502, 20.5)],
    };
    let verdicts = (601..).map(EndpointId).zip(all_verdicts()).collect();
    let plan = Plan { version: Version(503), part: Part { index: 3, of: 7 }, forwarders: 504, verdicts };
    vec![
        ("verdicts.report", endpoint_health::HealthMessage::Report(report)),
        ("verdicts.plan", endpoint_health::HealthMessage::Plan(plan)),
    ]
}

fn all_resources() -> [Resource; 2] {
    [Resource::Origin, Resource::Cold(EndpointId(701))]
}

fn leases_messages() -> Vec<Named<leases::LeaseMessage>> {
    use leases::LeaseMessage;
    let need = |(resource, n)| Need { resource, amount: n, using: 811, heads: n + 1, has: n + 2 };
    let needs = all_resources().into_iter().zip([1001, 2001]).map(need).collect();
    let granted = all_resources().into_iter().zip([3001, 4001]).collect();
    let standing_ask =
        LeaseMessage::AskStanding { ask: 804, need: 805, using: 806, to: Incarnation(807), has: 808 };
    vec![
        ("leases.ask", LeaseMessage::Ask { ask: 801, needs }),
        ("leases.grant", LeaseMessage::Grant { ask: 802, granted, lasts: 2_000_001 }),
        ("leases.return", LeaseMessage::Return { ask: 803 }),
        ("leases.ask_standing", standing_ask),
        ("leases.standing", LeaseMessage::Standing { ask: 809, amount: 810, lasts: 20_000_001 }),
        ("leases.return_standing", LeaseMessage::ReturnStanding { ask: 812 }),
    ]
}

fn all_steps() -> [SplitPhase; 6] {
    [
        SplitPhase::Foreseen,
        SplitPhase::Planned,
        SplitPhase::Copying(11),
        SplitPhase::DualRead,
        SplitPhase::Switched,
        SplitPhase::Withdrawn,
    ]
}

/// A form with a settled shard, and one at each step of a split.
fn shard_map(version: u64) -> VersionedShardMap {
    let splitting = all_steps().into_iter().zip(21..).map(|(step, shard)| (shard, 2, Some(step)));
    let shards = [(20, 3, None)].into_iter().chain(splitting);
    let shards = shards.map(|(shard, bits, phase)| (ShardId(shard), ShardLayout { bits, phase })).collect();
    VersionedShardMap { version: ShardMapVersion(version), shards }
}

fn ballot(n: u64) -> Ballot {
    Ballot { round: n, planner: 5, incarnation: n + 1000 }
}

fn votes() -> Vec<Named<ConsensusMessage>> {
    let version = ShardMapVersion(901);
    let here = |accepted| ConsensusMessage::RecoveryResponse {
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
        ("growth.vote.here", here(accepted)),
        ("growth.vote.here_with_none", here(None)),
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
    messages.extend(votes().into_iter().map(|(name, vote)| (name, GrowthMessage::Consensus(vote))));
    messages
}

fn all_hows() -> [How; 4] {
    [How::Hit, How::Miss, How::Cut, How::Refused]
}

fn all_standings() -> [Standing; 4] {
    [Standing::NoSupport, Standing::AsGood, Standing::Worse, Standing::Better]
}

fn hindsight_messages() -> Vec<Named<counterfactual::CounterfactualMessage>> {
    use counterfactual::CounterfactualMessage;
    let observation = |(how, n): (How, u32)| SampledRequest {
        call: u64::from(n) + 0xabcd_0000_0000,
        key: n + 1,
        request_class: 1201,
        class: 3,
        candidates: vec![1202, 1203, 1204],
        place: 2,
        how,
        took: n + 2,
        slo: n + 3,
        out: 97,
        ago: n + 4,
    };
    let seen = all_hows().into_iter().zip((50_000..).step_by(100)).map(observation).collect();
    let said = |first: u16| {
        let said = move |(standing, n): (Standing, u16)| Said {
            cache: u64::from(n) + 0x1234_0000_0000,
            request_class: n,
            standing,
            more: f32::from(n) + 0.5,
            low: f32::from(n) - 0.25,
            high: f32::from(n) + 0.75,
        };
        all_standings().into_iter().zip(first..).map(said).collect()
    };
    vec![
        ("hindsight.seen", CounterfactualMessage::Seen(seen)),
        ("hindsight.started", CounterfactualMessage::Started(vec![(1205, 1206), (1207, 1208)])),
        ("hindsight.standing", CounterfactualMessage::Standing(said(1301))),
        ("hindsight.times", CounterfactualMessage::Times(said(1401))),
    ]
}

/// Every message with its sender: forwarders sent them all, and a planner one.
fn all_messages() -> Vec<(&'static str, Sender, Message)> {
    fn of<M>(messages: Vec<Named<M>>, wrap: fn(M) -> Message) -> Vec<Named<Message>> {
        messages.into_iter().map(|(name, message)| (name, wrap(message))).collect()
    }
    let by_forwarder = [
        of(members_messages(), Message::Membership),
        of(verdicts_messages(), Message::EndpointHealth),
        of(leases_messages(), Message::Leases),
        of(growth_messages(), Message::ShardGrowth),
        of(hindsight_messages(), Message::Counterfactual),
    ];
    let mut all: Vec<_> =
        by_forwarder.into_iter().flatten().map(|(name, letter)| (name, from_forwarder(), letter)).collect();
    all.push((
        "members.beat_of_planner",
        from_planner(),
        Message::Membership(membership::MembershipMessage::Beat),
    ));
    all
}

/// The fixture's lines: the bytes by name.
fn fixture() -> BTreeMap<&'static str, Vec<u8>> {
    let line = |line: &'static str| {
        let (name, bytes) = line.split_once(" = ").expect("a name and its bytes");
        (name, hex::decode(bytes).expect("bytes in hex"))
    };
    FIXTURE.lines().map(line).collect()
}

#[test]
fn each_message_is_sealed_to_the_bytes_that_it_had() {
    let fixture = fixture();
    for (name, sender, letter) in all_messages() {
        let bytes = seal(sender, &letter, &secrets()).expect("short enough");
        let line = format!("{name} = {}", hex::encode(&bytes));
        assert_eq!(fixture.get(name), Some(&bytes), "the program writes this line now:\n{line}");
    }
}

#[test]
fn the_bytes_of_each_message_are_opened_to_it() {
    let fixture = fixture();
    for (name, sender, letter) in all_messages() {
        let bytes = fixture.get(name).unwrap_or_else(|| panic!("{name} has no line"));
        assert_eq!(open(bytes, &secrets()), Ok((sender, letter)), "{name}");
    }
}

#[test]
fn each_line_is_of_one_message_and_each_message_has_a_line() {
    let messages = all_messages();
    let names: BTreeSet<_> = messages.iter().map(|(name, ..)| *name).collect();
    assert_eq!(names.len(), messages.len(), "two messages of one name");
    assert_eq!(names, fixture().into_keys().collect());
    assert_eq!(FIXTURE.lines().count(), messages.len(), "two lines of one name");
}

/// Postcard writes a variant's place first.
fn place_of(value: &impl Serialize) -> u8 {
    postcard::to_allocvec(value).expect("it can be written")[0]
}

/// The places of all variants that there are: those that can be read, as all can from zeros.
fn places_of_all<T: DeserializeOwned>() -> BTreeSet<u8> {
    let can_be_read = |place: &u8| {
        let mut bytes = [0; 64];
        bytes[0] = *place;
        postcard::take_from_bytes::<T>(&bytes).is_ok()
    };
    (0..128).filter(can_be_read).collect()
}

fn assert_has_all_variants<T: Serialize + DeserializeOwned + Debug>(values: &[T]) {
    let places: BTreeSet<_> = values.iter().map(place_of).collect();
    assert_eq!(places, places_of_all::<T>(), "a variant has no message in the fixture: {values:?}");
}

fn without_names<M>(messages: Vec<Named<M>>) -> Vec<M> {
    messages.into_iter().map(|(_, message)| message).collect()
}

#[test]
fn no_variant_was_left_out() {
    assert_has_all_variants(&without_names(members_messages()));
    assert_has_all_variants(&without_names(verdicts_messages()));
    assert_has_all_variants(&without_names(leases_messages()));
    assert_has_all_variants(&without_names(growth_messages()));
    assert_has_all_variants(&without_names(hindsight_messages()));
    assert_has_all_variants(&without_names(votes()));
    assert_has_all_variants(&all_verdicts());
    assert_has_all_variants(&all_resources());
    assert_has_all_variants(&all_steps());
    assert_has_all_variants(&all_hows());
    assert_has_all_variants(&all_standings());
    assert_has_all_variants(&[SketchKind::Read, SketchKind::Written]);
    assert_has_all_variants(&[from_planner().member, from_forwarder().member]);
}

/// The store and the operator's log go by these names, the wire by these numbers.
#[test]
fn each_kind_has_the_name_and_the_number_that_it_had() {
    let kinds = ComponentKind::ALL.map(|kind| (kind as u8, kind.name()));
    let expected = [(1, "members"), (2, "verdicts"), (3, "leases"), (4, "growth"), (5, "hindsight")];
    assert_eq!(kinds, expected);
    let first_bytes = |name| fixture()[name][..4].to_vec();
    assert_eq!(first_bytes("members.beat"), b"GL\x02\x01");
    assert_eq!(first_bytes("hindsight.times"), b"GL\x02\x05");
}
