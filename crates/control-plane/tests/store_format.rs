//! The form of what a planner keeps on disk. `fixtures/planner.redb.txt` is a whole store of planner 3 as the program
//! wrote it when the file was made, and `fixtures/kept-states.txt` has the states in it. Planners of that version may have
//! left such a store: this program has to open it, read the same states, and go by what they say.
//!
//! There is no way to write the files anew by a switch. What a store of another version or a changed state comes to is in
//! `store.rs`.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use granitelb_balancer::time::{Span, Time};
use granitelb_control_plane::storage::{Opened, StorageWriter, StoreError, open};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{self, Need, Resource};
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

const STORE: &str = include_str!("fixtures/planner.redb.txt");
const KEPT_STATES: &str = include_str!("fixtures/kept-states.txt");

const ME: PlannerId = PlannerId(3);
/// The life in which the store was written: far ahead of any clock, so that a later one is the next.
const LIFE: Incarnation = Incarnation(5_000_000_000_000_001);
const NOW: Time = Time(1_764_000_000_000_000);

/// The store's bytes. The fixture has its size, then lines of a place, a count, and bytes in hex that stand there so many
/// times; all other bytes are zero.
fn store_bytes() -> Vec<u8> {
    let mut lines = STORE.lines();
    let size = lines.next().and_then(|line| line.strip_prefix("size ")).expect("a size");
    let mut bytes = vec![0; number(size)];
    for line in lines {
        let [place, count, run] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("no such line: {line}")
        };
        let run = hex::decode(run).expect("bytes in hex").repeat(number(count));
        let place = number(place);
        bytes[place..place + run.len()].copy_from_slice(&run);
    }
    bytes
}

fn number(digits: &str) -> usize {
    digits.parse().expect("a number")
}

/// The kept states by the names of their kinds.
fn kept_states() -> BTreeMap<&'static str, Vec<u8>> {
    let state = |line: &'static str| {
        let (name, bytes) = line.split_once(" = ").expect("a name and bytes");
        (name, hex::decode(bytes).expect("bytes in hex"))
    };
    KEPT_STATES.lines().map(state).collect()
}

/// A folder with these bytes as the planner's store.
fn folder_with(bytes: &[u8]) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    fs::write(folder.path().join("planner.redb"), bytes).expect("written");
    folder
}

fn opened(folder: &Path) -> Opened {
    open(folder, ME).unwrap_or_else(|fault| panic!("it can't be opened: {fault}"))
}

fn planner(number: u8, incarnation: u64) -> Sender {
    Sender { member: Member::Planner(PlannerId(number)), incarnation: Incarnation(incarnation), number: 1 }
}

fn forwarder() -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(77)), incarnation: Incarnation(1), number: 1 }
}

/// Growth at this planner of three, with what was kept.
fn growth_of(incarnation: Incarnation, kept: Option<&[u8]>) -> shard_growth::PlannerComponent {
    let planners = [1, 2, 3].map(PlannerId).into();
    let settings = shard_growth::PlannerSettings { planners, ..shard_growth::PlannerSettings::default() };
    let calendar = Calendar { at: NOW, day: AccountingDay(20_000), into: Span::ZERO };
    shard_growth::PlannerComponent::new(settings, ME, incarnation, NOW, calendar, kept)
        .expect("what was kept can be read")
}

/// A form with a shard that has settled and one in the middle of a split.
fn shard_map(version: u64, copied: u8) -> VersionedShardMap {
    let settled = ShardLayout { bits: 2, phase: None };
    let splitting = ShardLayout { bits: 1, phase: Some(SplitPhase::Copying(copied)) };
    VersionedShardMap {
        version: ShardMapVersion(version),
        shards: [(ShardId(17), settled), (ShardId(200), splitting)].into(),
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

fn hear_vote(faculty: &mut shard_growth::PlannerComponent, from: u8, vote: ConsensusMessage) {
    let message = shard_growth::GrowthMessage::Consensus(vote);
    faculty.on_message(NOW, planner(from, 100 + u64::from(from)), message).expect("it is heard");
}

/// Growth as it was when the store was written: it knows form 40 to be decided, took form 41 from planner 1 by ballot 9, and
/// promised ballot 12 to planner 2.
fn growth_that_voted() -> shard_growth::PlannerComponent {
    let mut faculty = growth_of(LIFE, None);
    for other in [1, 2] {
        let (decided, promised) = (ShardMapVersion(0), Ballot::default());
        hear_vote(
            &mut faculty,
            other,
            ConsensusMessage::RecoveryResponse { to_incarnation: LIFE.0, decided, promised, accepted: None },
        );
    }
    hear_vote(&mut faculty, 1, ConsensusMessage::Decided { shard_map: shard_map(40, 5) });
    let ended = shard_growth::GrowthMessage::ClosedDays { shard: ShardId(17), days: days() };
    faculty.on_message(NOW, planner(2, 102), ended).expect("it is heard");
    hear_vote(&mut faculty, 1, prepare(9, 1));
    hear_vote(
        &mut faculty,
        1,
        ConsensusMessage::Accept { ballot: ballot(9, 1), shard_map: shard_map(41, 6) },
    );
    hear_vote(&mut faculty, 2, prepare(12, 2));
    faculty
}

fn votes_kept() -> AcceptorState {
    AcceptorState {
        decided: shard_map(40, 5),
        promised: ballot(12, 2),
        accepted: Some(AcceptedProposal { ballot: ballot(9, 1), shard_map: shard_map(41, 6) }),
    }
}

/// What it answers to a vote, once it has kept what that answer rests on.
fn answer(
    faculty: &mut shard_growth::PlannerComponent,
    from: u8,
    vote: ConsensusMessage,
) -> Option<(Member, shard_growth::GrowthMessage)> {
    hear_vote(faculty, from, vote);
    faculty.poll_snapshot();
    faculty.poll_message(NOW)
}

#[test]
fn the_store_is_opened_and_has_the_states_that_were_kept() {
    let folder = folder_with(&store_bytes());
    let opened = opened(folder.path());
    assert!(opened.refused.is_none(), "refused: {:?}", opened.refused);
    let (keeper, thread) = StorageWriter::start(opened.shelf, || Err(StoreError::Ended)).expect("a thread");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let known = kept_states();
    assert_eq!(known.keys().copied().collect::<Vec<_>>(), ["growth", "members"]);
    for kind in ComponentKind::ALL {
        let found = runtime.block_on(keeper.read(kind)).expect("it can be read");
        assert_eq!(found.as_ref(), known.get(kind.name()), "the state of {kind}");
    }
    drop(keeper);
    thread.join().expect("it ends");
}

#[test]
fn growth_that_voted_the_same_keeps_the_same_bytes() {
    let kept = growth_that_voted().poll_snapshot().expect("its votes");
    assert_eq!(hex::encode(kept), hex::encode(&kept_states()["growth"]));
}

#[test]
fn the_state_of_growth_says_what_was_voted() {
    let archive = Snapshot::from_bytes(&kept_states()["growth"]).expect("it can be read");
    assert_eq!(archive, Snapshot { consensus: Some(votes_kept()), history: vec![(ShardId(17), days())] });
}

#[test]
fn growth_goes_on_by_the_votes_that_were_kept() {
    let state = &kept_states()["growth"];
    let mut faculty = growth_of(Incarnation(LIFE.0 + 1), Some(state));
    assert_eq!(faculty.shard_map(), &shard_map(40, 5));
    let refused = ConsensusMessage::Rejected { version: ShardMapVersion(41), promised: ballot(12, 2) };
    let to_planner = |number, vote| {
        Some((Member::Planner(PlannerId(number)), shard_growth::GrowthMessage::Consensus(vote)))
    };
    assert_eq!(answer(&mut faculty, 1, prepare(10, 1)), to_planner(1, refused));
    let accepted = Some(AcceptedProposal { ballot: ballot(9, 1), shard_map: shard_map(41, 6) });
    let promise = ConsensusMessage::Promise { version: ShardMapVersion(41), ballot: ballot(20, 2), accepted };
    assert_eq!(answer(&mut faculty, 2, prepare(20, 2)), to_planner(2, promise));
}

#[test]
fn growth_keeps_the_same_bytes_again_after_a_restart() {
    let state = &kept_states()["growth"];
    let mut faculty = growth_of(Incarnation(LIFE.0 + 1), Some(state));
    assert_eq!(faculty.poll_snapshot(), None, "nothing is new");
    // The same promise once more.
    hear_vote(&mut faculty, 2, prepare(12, 2));
    let again = faculty.poll_snapshot().expect("a promise is kept each time");
    assert_eq!(hex::encode(&again), hex::encode(state));
}

#[test]
fn a_planner_that_is_started_on_the_store_takes_the_next_life() {
    let known = &kept_states()["members"];
    assert_eq!(known[..], LIFE.0.to_be_bytes());
    let fleet = Fleet::new(3);
    let store = fleet.store(3);
    let folder = store.parent().expect("a folder");
    fs::create_dir_all(folder).expect("a folder");
    fs::write(&store, store_bytes()).expect("written");
    let mut planner = fleet.start(3);
    assert!(planner.said("store_refused").is_empty() && planner.said("task_off").is_empty());
    planner.kill();
    let shelf = opened(folder).shelf;
    let state = |kind| shelf.read(kind).expect("it can be read");
    assert_eq!(state(ComponentKind::Membership), Some((LIFE.0 + 1).to_be_bytes().to_vec()));
    assert_eq!(
        state(ComponentKind::ShardGrowth).as_ref(),
        kept_states().get("growth"),
        "nobody has voted since"
    );
}

/// What is granted of the origin's fetches to an ask for far more than there is.
fn granted(faculty: &mut leases::PlannerComponent, now: Time, ask: u64) -> u32 {
    let need = Need { resource: Resource::Origin, amount: 1_000_000, using: ask, heads: 1, has: 0 };
    let message = leases::LeaseMessage::Ask { ask, needs: vec![need] };
    faculty.on_message(now, forwarder(), message).expect("it is heard");
    let Some((_, leases::LeaseMessage::Grant { granted, .. })) = faculty.poll_message(now) else {
        panic!("no grant answers ask {ask}");
    };
    granted.iter().map(|(_, amount)| amount).sum()
}

/// Leases keep nothing: a planner that starts takes it that an earlier life has granted all, for as long as it may last.
#[test]
fn leases_grant_nothing_until_what_an_earlier_life_granted_has_ended() {
    let settings = leases::Settings { planners: [ME].into(), ..leases::Settings::default() };
    let mut earlier = leases::PlannerComponent::new(settings.clone(), ME, LIFE, Time(0));
    assert!(granted(&mut earlier, NOW, 1) > 0, "the earlier life grants");
    assert_eq!(earlier.poll_snapshot(), None, "leases keep nothing");

    let start = NOW + Span::from_millis(1);
    let mut faculty = leases::PlannerComponent::new(settings.clone(), ME, Incarnation(LIFE.0 + 1), start);
    let waits = settings.hold(settings.longest);
    assert_eq!(waits, Span::from_millis(5100));
    for (ms, ask) in (0..waits.0 / 1000).step_by(100).zip(2..) {
        let amount = granted(&mut faculty, start + Span::from_millis(ms), ask);
        assert_eq!(amount, 0, "{ms} ms after the start");
    }
    assert_eq!(granted(&mut faculty, start + waits, 1000), settings.escrow(Resource::Origin));
}

#[test]
fn verdicts_and_hindsight_keep_nothing() {
    let mut verdicts =
        endpoint_health::PlannerComponent::new(endpoint_health::Settings::default(), ME, LIFE, NOW);
    let report =
        endpoint_health::Report { number: 1, part: endpoint_health::Part::WHOLE, caches: Vec::new() };
    verdicts
        .on_message(NOW, forwarder(), endpoint_health::HealthMessage::Report(report))
        .expect("it is heard");
    assert_eq!(verdicts.poll_snapshot(), None);
    let mut hindsight =
        counterfactual::PlannerComponent::new(counterfactual::Settings::default(), ME, LIFE, NOW);
    hindsight
        .on_message(NOW, forwarder(), counterfactual::CounterfactualMessage::Started(vec![(1, 2)]))
        .expect("it is heard");
    assert_eq!(hindsight.poll_snapshot(), None);
}

/// Opens a store with these bytes, and checks that it is put aside as torn and one without states begun.
fn assert_is_refused_as_torn(bytes: &[u8]) {
    let folder = folder_with(bytes);
    let opened = opened(folder.path());
    let (fault, aside) = opened.refused.expect("it is refused");
    assert!(matches!(fault, StoreError::Torn(_)), "{fault}");
    assert!(aside.exists());
    assert_eq!(opened.shelf.read(ComponentKind::Membership).expect("it can be read"), None);
}

#[test]
fn the_store_cut_in_the_middle_is_refused() {
    let bytes = store_bytes();
    assert_is_refused_as_torn(&bytes[..bytes.len() / 2]);
}

#[test]
fn the_store_with_a_changed_byte_in_its_header_is_refused() {
    let mut bytes = store_bytes();
    bytes[0] ^= 1;
    assert_is_refused_as_torn(&bytes);
}
