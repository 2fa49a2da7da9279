//! The format of a planner's state file. `fixtures/planner.redb.txt` is a complete state file of planner 3,
//! as the program wrote it when the fixture was made, and `fixtures/kept-states.txt` has the snapshots of
//! that file. Planners of that version may have left files of the same format: this program has to open them,
//! read their snapshots, and act on them.
//!
//! The fixtures can't be regenerated. `storage.rs` tests files of another version and files with changed
//! snapshots.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::storage::{OpenedStorage, RejectedFile, StorageError, StorageWriter, open};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{self, Demand, Resource};
use granitelb_coordination::message::ComponentKind;
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::{
    AcceptedProposal, AcceptorState, Ballot, ConsensusMessage,
};
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_map::{
    ShardId, ShardLayout, ShardMapVersion, SplitPhase, VersionedShardMap,
};
use granitelb_coordination::shard_growth::{self, Calendar, Snapshot};
use granitelb_coordination::{
    ForwarderId, Incarnation, Member, PlannerId, Sender, counterfactual, endpoint_health,
};
use tempfile::TempDir;

use crate::support::Fleet;

const STATE_FILE: &str = include_str!("fixtures/planner.redb.txt");
const SNAPSHOTS: &str = include_str!("fixtures/kept-states.txt");

const PLANNER: PlannerId = PlannerId(3);
/// The incarnation that wrote the file. It is far ahead of any clock, so that a later process takes the next
/// incarnation.
const INCARNATION: Incarnation = Incarnation(5_000_000_000_000_001);
const NOW: Time = Time(1_764_000_000_000_000);

/// The bytes of the state file. The fixture has its size, then lines of an offset, a count, and bytes in
/// hexadecimal digits that are repeated there that many times; all other bytes are zero.
fn state_file_bytes() -> Vec<u8> {
    let mut lines = STATE_FILE.lines();
    let size = lines.next().and_then(|line| line.strip_prefix("size ")).expect("a size");
    let mut bytes = vec![0; number(size)];
    for line in lines {
        let [offset, count, run] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("not a line of the fixture: {line}")
        };
        let run = hex::decode(run).expect("bytes in hex").repeat(number(count));
        let offset = number(offset);
        bytes[offset..offset + run.len()].copy_from_slice(&run);
    }
    bytes
}

fn number(digits: &str) -> usize {
    digits.parse().expect("a number")
}

/// The snapshots by the names of their components.
fn snapshots() -> BTreeMap<&'static str, Vec<u8>> {
    let entry = |line: &'static str| {
        let (name, bytes) = line.split_once(" = ").expect("a name and bytes");
        (name, hex::decode(bytes).expect("bytes in hex"))
    };
    SNAPSHOTS.lines().map(entry).collect()
}

/// A directory with these bytes as the planner's state file.
fn directory_with(bytes: &[u8]) -> TempDir {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("planner.redb"), bytes).expect("written");
    directory
}

/// Opens the state file in a directory, which has to succeed.
fn opened(directory: &Path) -> OpenedStorage {
    open(directory, PLANNER).unwrap_or_else(|error| panic!("the state file can't be opened: {error}"))
}

fn planner(number: u8, incarnation: u64) -> Sender {
    Sender { member: Member::Planner(PlannerId(number)), incarnation: Incarnation(incarnation), sequence: 1 }
}

fn forwarder() -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(77)), incarnation: Incarnation(1), sequence: 1 }
}

/// The shard growth component of planner 3 of three, restored from a snapshot.
fn growth_from(incarnation: Incarnation, snapshot: Option<&[u8]>) -> shard_growth::PlannerComponent {
    let planners = [1, 2, 3].map(PlannerId).into();
    let settings = shard_growth::PlannerSettings { planners, ..shard_growth::PlannerSettings::default() };
    let calendar = Calendar { at: NOW, day: AccountingDay(20_000), elapsed_in_day: Span::ZERO };
    shard_growth::PlannerComponent::new(settings, PLANNER, incarnation, NOW, calendar, snapshot)
        .expect("the snapshot can be read")
}

/// A shard map with a stable shard and one in the middle of a split.
fn shard_map(version: u64, copied: u8) -> VersionedShardMap {
    let stable = ShardLayout { bits: 2, phase: None };
    let splitting = ShardLayout { bits: 1, phase: Some(SplitPhase::Copying(copied)) };
    VersionedShardMap {
        version: ShardMapVersion(version),
        shards: [(ShardId(17), stable), (ShardId(200), splitting)].into(),
    }
}

fn ballot(round: u64, planner: u8) -> Ballot {
    Ballot { round, planner, incarnation: 100 + u64::from(planner) }
}

fn prepare(round: u64, planner: u8) -> ConsensusMessage {
    ConsensusMessage::Prepare { version: ShardMapVersion(41), ballot: ballot(round, planner) }
}

fn days() -> Vec<ClosedDay> {
    vec![
        ClosedDay { day: AccountingDay(19_900), bytes: 1234.5, keys: 67.25 },
        ClosedDay { day: AccountingDay(19_902), bytes: 2345.5, keys: 78.25 },
    ]
}

fn receive_vote(component: &mut shard_growth::PlannerComponent, from: u8, vote: ConsensusMessage) {
    let message = shard_growth::GrowthMessage::Consensus(vote);
    component
        .on_message(NOW, planner(from, 100 + u64::from(from)), message)
        .expect("the message is accepted");
}

/// The shard growth component as it was when the file was written: shard map 40 is decided, shard map 41 was
/// accepted from planner 1 in ballot 9, and ballot 12 was promised to planner 2.
fn growth_that_voted() -> shard_growth::PlannerComponent {
    let mut component = growth_from(INCARNATION, None);
    for other in [1, 2] {
        let decided = ShardMapVersion(0);
        let promised = Ballot::default();
        receive_vote(
            &mut component,
            other,
            ConsensusMessage::RecoveryResponse {
                to_incarnation: INCARNATION.0,
                decided,
                promised,
                accepted: None,
            },
        );
    }
    receive_vote(&mut component, 1, ConsensusMessage::Decided { shard_map: shard_map(40, 5) });
    let ended = shard_growth::GrowthMessage::ClosedDays { shard: ShardId(17), days: days() };
    component.on_message(NOW, planner(2, 102), ended).expect("the message is accepted");
    receive_vote(&mut component, 1, prepare(9, 1));
    receive_vote(
        &mut component,
        1,
        ConsensusMessage::Accept { ballot: ballot(9, 1), shard_map: shard_map(41, 6) },
    );
    receive_vote(&mut component, 2, prepare(12, 2));
    component
}

fn persisted_votes() -> AcceptorState {
    AcceptorState {
        decided: shard_map(40, 5),
        promised: ballot(12, 2),
        accepted: Some(AcceptedProposal { ballot: ballot(9, 1), shard_map: shard_map(41, 6) }),
    }
}

/// The component's answer to a vote, after the snapshot on which the answer relies was polled.
fn answer(
    component: &mut shard_growth::PlannerComponent,
    from: u8,
    vote: ConsensusMessage,
) -> Option<(Member, shard_growth::GrowthMessage)> {
    receive_vote(component, from, vote);
    component.poll_snapshot();
    component.poll_message(NOW)
}

#[test]
fn state_file_opens_with_the_persisted_snapshots() {
    let directory = directory_with(&state_file_bytes());
    let opened = opened(directory.path());
    assert!(opened.rejected.is_none(), "rejected: {:?}", opened.rejected);
    let (writer, thread) =
        StorageWriter::start(opened.state_file, || Err(StorageError::WriterEnded)).expect("a thread");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let expected = snapshots();
    assert_eq!(expected.keys().copied().collect::<Vec<_>>(), ["growth", "members"]);
    for kind in ComponentKind::ALL {
        let found = runtime.block_on(writer.read(kind)).expect("the snapshot can be read");
        assert_eq!(found.as_ref(), expected.get(kind.name()), "the state of {kind}");
    }
    drop(writer);
    thread.join().expect("the thread ends");
}

#[test]
fn growth_with_the_same_votes_writes_the_same_snapshot() {
    let persisted = growth_that_voted().poll_snapshot().expect("a snapshot of its votes");
    assert_eq!(hex::encode(persisted), hex::encode(&snapshots()["growth"]));
}

#[test]
fn growth_snapshot_contains_the_votes() {
    let snapshot = Snapshot::from_bytes(&snapshots()["growth"]).expect("the snapshot can be read");
    assert_eq!(
        snapshot,
        Snapshot { consensus: Some(persisted_votes()), history: vec![(ShardId(17), days())] }
    );
}

#[test]
fn restored_growth_honors_its_persisted_votes() {
    let state = &snapshots()["growth"];
    let mut component = growth_from(Incarnation(INCARNATION.0 + 1), Some(state));
    assert_eq!(component.shard_map(), &shard_map(40, 5));
    let refused = ConsensusMessage::Rejected { version: ShardMapVersion(41), promised: ballot(12, 2) };
    let to_planner = |number, vote| {
        Some((Member::Planner(PlannerId(number)), shard_growth::GrowthMessage::Consensus(vote)))
    };
    assert_eq!(answer(&mut component, 1, prepare(10, 1)), to_planner(1, refused));
    let accepted = Some(AcceptedProposal { ballot: ballot(9, 1), shard_map: shard_map(41, 6) });
    let promise = ConsensusMessage::Promise { version: ShardMapVersion(41), ballot: ballot(20, 2), accepted };
    assert_eq!(answer(&mut component, 2, prepare(20, 2)), to_planner(2, promise));
}

#[test]
fn restored_growth_writes_the_same_snapshot_again() {
    let state = &snapshots()["growth"];
    let mut component = growth_from(Incarnation(INCARNATION.0 + 1), Some(state));
    assert_eq!(component.poll_snapshot(), None, "nothing has changed");
    // Planner 3 promises the same ballot again.
    receive_vote(&mut component, 2, prepare(12, 2));
    let again = component.poll_snapshot().expect("a promise is persisted each time");
    assert_eq!(hex::encode(&again), hex::encode(state));
}

#[test]
fn planner_started_on_the_file_takes_the_next_incarnation() {
    let incarnation = &snapshots()["members"];
    assert_eq!(incarnation[..], INCARNATION.0.to_be_bytes());
    let fleet = Fleet::new(3);
    let store = fleet.store_file(3);
    let directory = store.parent().expect("a directory");
    fs::create_dir_all(directory).expect("a directory");
    fs::write(&store, state_file_bytes()).expect("written");
    let mut planner = fleet.start(3);
    assert!(planner.events("store_refused").is_empty() && planner.events("task_disabled").is_empty());
    planner.kill();
    let state_file = opened(directory).state_file;
    let state = |kind| state_file.read(kind).expect("the snapshot can be read");
    assert_eq!(state(ComponentKind::Membership), Some((INCARNATION.0 + 1).to_be_bytes().to_vec()));
    assert_eq!(
        state(ComponentKind::ShardGrowth).as_ref(),
        snapshots().get("growth"),
        "no votes were cast since the file was written"
    );
}

/// The amount that is granted to a request for far more than the origin's capacity, in thousandths of a fetch
/// a second.
fn granted(component: &mut leases::PlannerComponent, now: Time, request_id: u64) -> u32 {
    let demand = Demand {
        resource: Resource::Origin,
        amount: 1_000_000,
        request_in_use: request_id,
        requesters: 1,
        already_held: 0,
    };
    let message = leases::LeaseMessage::Request { request_id, demands: vec![demand] };
    component.on_message(now, forwarder(), message).expect("the message is accepted");
    let Some((_, leases::LeaseMessage::Grant { granted, .. })) = component.poll_message(now) else {
        panic!("request {request_id} gets no grant");
    };
    granted.iter().map(|granted| granted.amount).sum()
}

/// Guards against a restarted planner that grants capacity twice. The leases component has no snapshot: a
/// planner that starts assumes that an earlier incarnation has granted all its capacity, for as long as a
/// grant can last.
#[test]
fn leases_grant_nothing_until_grants_of_an_earlier_incarnation_have_expired() {
    let settings = leases::Settings { planners: [PLANNER].into(), ..leases::Settings::default() };
    let mut earlier = leases::PlannerComponent::new(settings.clone(), PLANNER, INCARNATION, Time(0));
    assert!(granted(&mut earlier, NOW, 1) > 0, "the earlier incarnation grants");
    assert_eq!(earlier.poll_snapshot(), None, "leases have no snapshot");

    let start = NOW + Span::from_millis(1);
    let mut component =
        leases::PlannerComponent::new(settings.clone(), PLANNER, Incarnation(INCARNATION.0 + 1), start);
    let wait = settings.grantor_duration(settings.max_duration);
    assert_eq!(wait, Span::from_millis(5100));
    for (ms, request_id) in (0..wait.0 / 1000).step_by(100).zip(2..) {
        let amount = granted(&mut component, start + Span::from_millis(ms), request_id);
        assert_eq!(amount, 0, "{ms} ms after the start");
    }
    assert_eq!(granted(&mut component, start + wait, 1000), settings.escrow(Resource::Origin));
}

#[test]
fn endpoint_health_and_counterfactual_have_no_snapshot() {
    let mut health = endpoint_health::PlannerComponent::new(
        endpoint_health::Settings::default(),
        PLANNER,
        INCARNATION,
        NOW,
    );
    let report = endpoint_health::HealthReport {
        sequence: 1,
        fragment: endpoint_health::Fragment::SINGLE,
        endpoints: Vec::new(),
    };
    health
        .on_message(NOW, forwarder(), endpoint_health::HealthMessage::Report(report))
        .expect("the message is accepted");
    assert_eq!(health.poll_snapshot(), None);
    let mut counterfactual =
        counterfactual::PlannerComponent::new(counterfactual::Settings::default(), PLANNER, INCARNATION, NOW);
    counterfactual
        .on_message(
            NOW,
            forwarder(),
            counterfactual::CounterfactualMessage::CacheStarts(vec![counterfactual::CacheStart {
                cache: 1,
                age_ms: 2,
            }]),
        )
        .expect("the message is accepted");
    assert_eq!(counterfactual.poll_snapshot(), None);
}

/// Opens a state file with these bytes, and checks that the file is renamed as corrupt and an empty file is
/// created.
fn assert_is_rejected_as_corrupt(bytes: &[u8]) {
    let directory = directory_with(bytes);
    let opened = opened(directory.path());
    let RejectedFile { error, moved_to } = opened.rejected.expect("the file is rejected");
    assert!(matches!(error, StorageError::Corrupt(_)), "{error}");
    assert!(moved_to.exists());
    assert_eq!(opened.state_file.read(ComponentKind::Membership).expect("the file can be read"), None);
}

#[test]
fn truncated_state_file_is_rejected() {
    let bytes = state_file_bytes();
    assert_is_rejected_as_corrupt(&bytes[..bytes.len() / 2]);
}

#[test]
fn state_file_with_a_changed_byte_in_its_header_is_rejected() {
    let mut bytes = state_file_bytes();
    bytes[0] ^= 1;
    assert_is_rejected_as_corrupt(&bytes);
}
