//! Tests of the planner and forwarder components of shard growth together: a growing shard is split before it
//! outgrows its capacity, the shard maps form one chain whichever planner leads, and invalid messages are
//! rejected.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::{Component, Remediation};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::consensus::ConsensusMessage;
use granitelb_coordination::shard_growth::history::ClosedDay;
use granitelb_coordination::shard_growth::shard_day::{ShardCounters, SketchKind};
use granitelb_coordination::shard_growth::shard_map::{
    SHARD_COUNT, ShardId, ShardLayout, ShardMapVersion, SplitPhase, VersionedShardMap,
};
use granitelb_coordination::shard_growth::sketch::REGISTER_COUNT;
use granitelb_coordination::shard_growth::{
    ForwarderComponent, ForwarderSettings, GrowthError, GrowthMessage, Snapshot, SnapshotError,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

use crate::growth_simulation::{
    DecidedLayout, FIRST_DAY, FORWARDERS, GROWING_SHARD, KNOWN_DAYS, MAX_MESSAGE_BYTES, Simulation,
    TICKS_PER_DAY, observed_endpoints, observed_fetch, observed_read,
};

#[test]
fn a_growing_shard_is_split_before_it_outgrows_its_capacity() {
    let mut simulation = Simulation::new(1);
    simulation.run(10);
    simulation.assert_split_complete();
    let is_switched = |decided: &&DecidedLayout| decided.layout.phase == Some(SplitPhase::Switched);
    let switched = simulation.layouts.iter().find(is_switched).expect("the split was switched");
    assert!(switched.day < 8, "{switched:?}");
    let latest = simulation.shard_maps.values().last().expect("there is a shard map");
    let latest = latest.to_balancer_shard_map();
    assert!(simulation.forwarders.values().all(|forwarder| forwarder.shard_map().as_ref() == Some(&latest)));
    assert!(simulation.longest_message < MAX_MESSAGE_BYTES, "{}", simulation.longest_message);
    let entries: usize = simulation.planners.values().map(Component::entries).sum();
    assert!(entries < 3 * 20_000, "{entries}");
}

#[test]
fn when_the_leader_is_killed_in_each_phase_another_planner_continues() {
    let mut simulation = Simulation::new(2);
    simulation.run_with_killed_leaders(10);
    simulation.assert_split_complete();
    // A leader is killed in all phases except the last, and the first, in which there is no leader yet: 18
    // restarts.
    assert!(simulation.last_incarnation >= 3 + 18, "{} incarnations", simulation.last_incarnation);
}

#[test]
fn a_planner_without_a_majority_changes_nothing_and_logs_why() {
    let mut simulation = Simulation::new(3);
    simulation.planners.retain(|id, _| *id == PlannerId(1));
    simulation.announce_members();
    simulation.run(9);
    assert_eq!(simulation.shard_maps.len(), 1);
    // Planner 1 leads, but does not vote, since it has not received the state of all other planners.
    let planner = simulation.planner(1);
    assert!(planner.is_leader());
    let is_logged =
        std::iter::from_fn(|| planner.poll_event()).any(|event| event.name == "shard_split_blocked");
    assert!(is_logged, "the planner logs what prevents it from deciding");
}

#[test]
fn a_leader_that_lost_its_disk_learns_the_history_and_withdraws_no_split() {
    let mut simulation = Simulation::new(5);
    simulation.run(3);
    simulation.disks.remove(&PlannerId(1));
    simulation.stop_planner(PlannerId(1));
    simulation.tick();
    simulation.start_planner(PlannerId(1));
    simulation.run(7);
    simulation.assert_split_complete();
    let forecast = |id| simulation.planners[&PlannerId(id)].capacity_forecast(GROWING_SHARD);
    assert_eq!(forecast(1), forecast(2), "the restarted planner has the same history as the others");
}

#[test]
fn one_forwarder_with_false_endpoints_changes_nothing() {
    let mut simulation = Simulation::new(6);
    let now = simulation.now;
    simulation.forwarder(0).on_observation(now, &observed_endpoints(0..400, 0..400, now));
    simulation.run(8);
    simulation.assert_split_complete();
}

#[test]
fn no_split_starts_while_two_forwarders_report_endpoints_that_warm_up() {
    let mut simulation = Simulation::new(6);
    let now = simulation.now;
    for id in [0, 3] {
        simulation.forwarder(id).on_observation(now, &observed_endpoints(0..60, 0..60, now));
    }
    simulation.run(8);
    let is_active = |shard_map: &VersionedShardMap| {
        shard_map.layout(GROWING_SHARD).phase.is_some_and(SplitPhase::is_active)
    };
    assert!(!simulation.shard_maps.values().any(is_active), "{:?}", simulation.layouts);
}

#[test]
fn a_snapshot_is_read_completely_or_rejected() {
    let days = vec![ClosedDay { day: AccountingDay(1), bytes: 2.0, keys: 3.0 }];
    let bytes = Snapshot { consensus: None, history: vec![(GROWING_SHARD, days)] }.to_bytes();
    assert_eq!(Snapshot::from_bytes(&bytes).expect("the snapshot is valid").to_bytes(), bytes);
    for position in 0..bytes.len() {
        assert!(Snapshot::from_bytes(&bytes[..position]).is_err());
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(Snapshot::from_bytes(&changed).is_err());
    }
    let mut newer = bytes[..bytes.len() - 8].to_vec();
    newer[0] = 9;
    newer.extend(xxhash_rust::xxh3::xxh3_64(&newer).to_be_bytes());
    let error = Snapshot::from_bytes(&newer).expect_err("another version");
    assert_eq!(error, SnapshotError::OtherVersion(9));
    assert!(!error.remediation().is_empty());
}

fn sender(member: Member) -> Sender {
    Sender { member, incarnation: Incarnation(1), sequence: 1 }
}

fn counters_message(day: AccountingDay, counters: ShardCounters) -> GrowthMessage {
    GrowthMessage::Counters { day, counters: vec![(GROWING_SHARD, counters)] }
}

#[test]
fn invalid_reports_of_forwarders_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let forwarder = sender(Member::Forwarder(ForwarderId(1)));
    let day = AccountingDay(FIRST_DAY + KNOWN_DAYS);
    let mut result_of = |message| simulation.planner(1).on_message(now, forwarder, message);
    let sketch =
        |registers| GrowthMessage::Sketch { day, shard: GROWING_SHARD, kind: SketchKind::Read, registers };
    assert_eq!(result_of(sketch(vec![(REGISTER_COUNT as u16, 1)])), Err(GrowthError::InvalidValue));
    assert_eq!(result_of(sketch(vec![(1, 1); 1000])), Err(GrowthError::InvalidValue));
    let too_many_bytes = ShardCounters { bytes: u64::MAX, ..ShardCounters::default() };
    assert_eq!(result_of(counters_message(day, too_many_bytes)), Err(GrowthError::InvalidValue));
    for closed in [AccountingDay(7), AccountingDay(u32::MAX)] {
        let message = counters_message(closed, ShardCounters::default());
        assert_eq!(result_of(message), Err(GrowthError::DayClosed));
    }
}

#[test]
fn invalid_shard_maps_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let other_planner = sender(Member::Planner(PlannerId(2)));
    for (version, bits) in [(1, 255), (u64::MAX, 0)] {
        let layout = ShardLayout { bits, phase: Some(SplitPhase::Switched) };
        let shards = BTreeMap::from([(GROWING_SHARD, layout)]);
        let shard_map = VersionedShardMap { version: ShardMapVersion(version), shards };
        let decided = ConsensusMessage::Decided { shard_map: shard_map.clone() };
        let result = simulation.planner(1).on_message(now, other_planner, GrowthMessage::Consensus(decided));
        assert_eq!(result, Err(GrowthError::InvalidValue));
        let message = GrowthMessage::ShardMap { shard_map };
        let result = simulation.forwarder(1).on_message(now, other_planner, message);
        assert_eq!(result, Err(GrowthError::InvalidValue));
    }
}

#[test]
fn messages_of_unexpected_senders_are_rejected() {
    let mut simulation = Simulation::new(4);
    let now = simulation.now;
    let message = GrowthMessage::CurrentDay { day: AccountingDay(FIRST_DAY + KNOWN_DAYS) };
    for member in [Member::Forwarder(ForwarderId(1)), Member::Planner(PlannerId(9))] {
        let result = simulation.planner(1).on_message(now, sender(member), message.clone());
        assert_eq!(result, Err(GrowthError::UnexpectedSender));
    }
}

#[test]
fn each_error_has_its_own_remediation() {
    let errors = [
        GrowthError::UnexpectedSender,
        GrowthError::InvalidValue,
        GrowthError::DayClosed,
        GrowthError::CapacityExceeded,
    ];
    let remediations: BTreeSet<_> = errors.map(|error| error.remediation()).into();
    assert_eq!(remediations.len(), errors.len());
}

#[test]
fn the_largest_shard_map_fits_into_a_message() {
    let mut shard_map = VersionedShardMap::default();
    for shard in 0..SHARD_COUNT as u32 {
        let layout = ShardLayout { bits: 2, phase: Some(SplitPhase::Switched) };
        shard_map = shard_map.with_layout(ShardId(shard as u8), layout);
    }
    let message = GrowthMessage::ShardMap { shard_map };
    let length = postcard::to_stdvec(&message).expect("messages can be encoded").len();
    assert!(length < MAX_MESSAGE_BYTES, "{length}");
}

/// Guards against a forwarder that reports only one shard per poll: with 40 polls per round, five of six
/// shards were not reported before planners closed the day.
#[test]
fn a_forwarder_that_is_polled_seldom_reports_all_shards_in_a_round() {
    let report_round = Span::from_millis(1000);
    let settings = ForwarderSettings { report_round, ..ForwarderSettings::default() };
    let mut now = Time(1_000_000);
    let mut forwarder = ForwarderComponent::new(settings, ForwarderId(1), Incarnation(1), now);
    let planner = Member::Planner(PlannerId(1));
    forwarder.on_membership_change(now, &[planner]);
    let message = GrowthMessage::CurrentDay { day: AccountingDay(7) };
    forwarder.on_message(now, sender(planner), message).expect("the message is valid");
    for key in 0..5000 {
        forwarder.on_observation(now, &observed_read(key));
    }
    let mut reported = BTreeSet::new();
    for _ in 0..41 {
        while let Some((_, message)) = forwarder.poll_message(now) {
            if let GrowthMessage::Counters { counters, .. } = message {
                reported.extend(counters.into_iter().map(|(shard, _)| shard));
            }
        }
        now = now + Span::from_millis(25);
    }
    assert_eq!(reported.len(), SHARD_COUNT);
}

/// Whether a split advances by more than two further steps after the second copying step, while
/// `slow_forwarders` of the forwarders observe slow fetches for 600 ticks.
fn advances_with_slow_fetches(slow_forwarders: u64) -> bool {
    let mut simulation = Simulation::new(9);
    for tick in 0.. {
        simulation.run_tick(tick);
        if simulation.is_in_phase(SplitPhase::Copying(2)) {
            break;
        }
        assert!(tick < 60 * TICKS_PER_DAY, "{:?}", simulation.layouts);
    }
    let layouts_before = simulation.layouts.len();
    for tick in 0..600 {
        let now = simulation.now;
        for forwarder in 0..FORWARDERS {
            let latency_millis = if forwarder < slow_forwarders { 300 } else { 20 };
            for fetch in 0..5 {
                let observation = observed_fetch(tick * 5 + fetch, latency_millis);
                simulation.forwarder(forwarder).on_observation(now, &observation);
            }
        }
        simulation.tick();
    }
    let is_advanced =
        |decided: &DecidedLayout| matches!(decided.layout.phase, Some(SplitPhase::Copying(step)) if step > 4);
    simulation.layouts[layouts_before..].iter().any(is_advanced)
}

/// Guards against a split that advances while the origin is slow. Leases measure the rate of fetches but not
/// their latency, so a split advanced while the origin ran at a twentieth of its speed.
#[test]
fn a_split_pauses_while_two_forwarders_see_slow_fetches_and_not_for_one() {
    assert!(advances_with_slow_fetches(1));
    assert!(!advances_with_slow_fetches(2));
}
