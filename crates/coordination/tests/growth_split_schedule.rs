//! Tests of the split schedule: its invariants hold at every step under random conditions, and splits are
//! completed under stable conditions.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::shard_growth::accounting_day::FrozenPeriod;
use granitelb_coordination::shard_growth::shard_map::{ShardId, ShardLayout, SplitPhase, VersionedShardMap};
use granitelb_coordination::shard_growth::split_schedule::{
    FleetConditions, ProposedChange, Reason, Settings, ShardOutlook, ShardOutlooks, SplitSchedule,
};
use proptest::prelude::*;

const MINUTE: Span = Span::from_millis(60_000);
const SHARD: ShardId = ShardId(3);

fn minutes(count: u64) -> Span {
    Span(MINUTE.0 * count)
}

fn outlook(earliest_minutes: Option<u64>, keys: f64, endpoints: &[u64]) -> ShardOutlook {
    ShardOutlook {
        earliest: earliest_minutes.map(minutes),
        likely: earliest_minutes.map(|earliest| minutes(earliest * 2)),
        keys,
        endpoints: endpoints.iter().map(|endpoint| EndpointId(*endpoint)).collect(),
    }
}

/// The conditions and shard outlooks at one call of the schedule.
#[derive(Clone, Debug)]
struct Moment {
    minutes_since_last: u64,
    failing: Option<u64>,
    warming_up: Option<u64>,
    is_origin_slow: bool,
    lacks_planner_majority: bool,
    spare_fetches_per_second: f64,
    /// When a frozen period begins and ends, in minutes from now.
    frozen: Option<(u64, u64)>,
    /// For each shard, the minutes until the shard may outgrow its endpoints.
    earliest_minutes: Vec<Option<u64>>,
    /// Whether another planner leads from now on, which lacks the timers of the former leader.
    has_new_leader: bool,
    /// Whether an operator requests the withdrawal of all splits.
    is_withdrawal_requested: bool,
}

impl Moment {
    fn conditions(&self) -> FleetConditions {
        FleetConditions {
            failing: self.failing.map(EndpointId).into_iter().collect(),
            warming_up: self.warming_up.map(EndpointId).into_iter().collect(),
            is_origin_slow: self.is_origin_slow,
            lacks_planner_majority: self.lacks_planner_majority,
            spare_fetches_per_second: self.spare_fetches_per_second,
            frozen_period: self.frozen.map(|(begins, ends)| frozen_period(begins, ends)),
        }
    }

    fn outlooks(&self) -> ShardOutlooks {
        let outlook_of = |(index, earliest): (usize, &Option<u64>)| {
            let shard = index as u64;
            let endpoints = [shard, (shard + 1) % 6 + 3, shard + 6];
            (ShardId(index as u8), outlook(*earliest, 20_000.0, &endpoints))
        };
        self.earliest_minutes.iter().enumerate().map(outlook_of).collect()
    }
}

fn frozen_period(begins_in_minutes: u64, ends_in_minutes: u64) -> FrozenPeriod {
    FrozenPeriod { begins_in: minutes(begins_in_minutes), ends_in: minutes(ends_in_minutes) }
}

prop_compose! {
    fn moment()(
        minutes_since_last in 1u64..90,
        failing in prop::option::weighted(0.1, 0u64..12),
        warming_up in prop::option::weighted(0.1, 0u64..12),
        is_origin_slow in prop::bool::weighted(0.05),
        lacks_planner_majority in prop::bool::weighted(0.05),
        spare_fetches_per_second in 0.0..200.0f64,
        frozen in prop::option::weighted(0.3, (0u64..300, 1u64..300)),
        earliest_minutes in prop::collection::vec(prop::option::weighted(0.8, 0u64..3000), 6),
        has_new_leader in prop::bool::weighted(0.03),
        is_withdrawal_requested in prop::bool::weighted(0.01),
    ) -> Moment {
        Moment {
            minutes_since_last,
            failing,
            warming_up,
            is_origin_slow,
            lacks_planner_majority,
            spare_fetches_per_second,
            frozen: frozen.map(|(begins, length)| (begins.saturating_sub(100), begins + length)),
            earliest_minutes,
            has_new_leader,
            is_withdrawal_requested,
        }
    }
}

/// The progress of a split as a number; 0 for phases from which the split may start again.
fn rank(phase: Option<SplitPhase>) -> u32 {
    match phase {
        None | Some(SplitPhase::Withdrawn) => 0,
        Some(SplitPhase::Foreseen) => 1,
        Some(SplitPhase::Planned) => 2,
        Some(SplitPhase::Copying(step)) => 2 + u32::from(step),
        Some(SplitPhase::DualRead) => 19,
        Some(SplitPhase::Switched) => 20,
    }
}

/// Checks that a step forward is allowed by the conditions, skips no phase, and leaves no phase too early.
fn check_step(
    change: &ProposedChange,
    before: ShardLayout,
    conditions: &FleetConditions,
    outlooks: &ShardOutlooks,
    time_in_phase: Option<Span>,
    settings: &Settings,
) -> Result<(), TestCaseError> {
    let after = change.shard_map.layout(change.shard);
    let is_forward = rank(after.phase) > rank(before.phase).max(1) || after.bits > before.bits;
    if !is_forward {
        return Ok(());
    }
    let endpoints = &outlooks[&change.shard].endpoints;
    prop_assert!(endpoints.is_disjoint(&conditions.failing));
    prop_assert!(endpoints.is_disjoint(&conditions.warming_up));
    prop_assert!(!conditions.is_origin_slow);
    prop_assert!(conditions.frozen_period.is_none_or(|period| period.begins_in > Span::ZERO));
    if rank(before.phase) >= 2 {
        let time_in_phase = time_in_phase.expect("an active split has entered its phase");
        prop_assert!(time_in_phase >= settings.copy_step_duration);
        prop_assert!(rank(after.phase) == rank(before.phase) + 1 || after.bits == before.bits + 1);
    }
    Ok(())
}

/// Checks that no more splits are active than the settings allow, and that no two active splits share an
/// endpoint.
fn check_active_splits(
    shard_map: &VersionedShardMap,
    outlooks: &ShardOutlooks,
    settings: &Settings,
) -> Result<(), TestCaseError> {
    let active: Vec<_> = shard_map
        .shards
        .iter()
        .filter(|(_, layout)| layout.phase.is_some_and(SplitPhase::is_active))
        .collect();
    prop_assert!(active.len() <= settings.max_active_splits);
    let mut used = BTreeSet::new();
    for endpoint in active.iter().flat_map(|(shard, _)| &outlooks[shard].endpoints) {
        prop_assert!(used.insert(*endpoint), "two splits on {:?}", endpoint);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn invariants_hold_under_random_conditions(moments in prop::collection::vec(moment(), 1..150)) {
        let settings = Settings {
            switched_duration: minutes(60),
            withdrawn_duration: minutes(60),
            ..Settings::default()
        };
        let mut schedule = SplitSchedule::new(settings.clone());
        let mut now = Time(0);
        let mut shard_map = VersionedShardMap::default();
        let mut entered_at: BTreeMap<ShardId, Time> = BTreeMap::new();
        for moment in moments {
            now = now + minutes(moment.minutes_since_last);
            if moment.has_new_leader {
                schedule = SplitSchedule::new(settings.clone());
            }
            if moment.is_withdrawal_requested {
                for shard in shard_map.shards.keys() {
                    schedule.request_withdrawal(*shard);
                }
            }
            let conditions = moment.conditions();
            let outlooks = moment.outlooks();
            let Some(change) = schedule.next_change(now, &shard_map, &conditions, &outlooks) else { continue };
            prop_assert!(!conditions.lacks_planner_majority);
            let before = shard_map.layout(change.shard);
            let time_in_phase = entered_at.get(&change.shard).map(|entered_at| now - *entered_at);
            check_step(&change, before, &conditions, &outlooks, time_in_phase, &settings)?;
            shard_map = change.shard_map;
            prop_assert!(shard_map.is_valid());
            entered_at.insert(change.shard, now);
            check_active_splits(&shard_map, &outlooks, &settings)?;
        }
    }
}

/// A step that the schedule took.
#[derive(Debug)]
struct TakenStep {
    minute: u64,
    phase: Option<SplitPhase>,
    reason: Reason,
}

/// Calls the schedule each minute for a shard that may outgrow its endpoints at `earliest_minute`, and
/// returns all steps.
fn run(
    earliest_minute: u64,
    conditions: impl Fn(u64) -> FleetConditions,
    minute_count: u64,
) -> Vec<TakenStep> {
    let mut schedule = SplitSchedule::new(Settings::default());
    let mut shard_map = VersionedShardMap::default();
    let mut steps = Vec::new();
    for minute in 0..minute_count {
        let remaining = earliest_minute.saturating_sub(minute);
        let is_split = shard_map.layout(SHARD).bits > 0;
        let earliest = (!is_split).then_some(remaining);
        let outlooks = BTreeMap::from([(SHARD, outlook(earliest, 96_000.0, &[1, 2]))]);
        let now = Time(minutes(minute).0);
        if let Some(change) = schedule.next_change(now, &shard_map, &conditions(minute), &outlooks) {
            steps.push(TakenStep { minute, phase: change.to.phase, reason: change.reason });
            shard_map = change.shard_map;
        }
    }
    steps
}

fn stable(spare_fetches_per_second: f64) -> FleetConditions {
    FleetConditions { spare_fetches_per_second, ..FleetConditions::default() }
}

fn minute_of(steps: &[TakenStep], phase: SplitPhase) -> Option<u64> {
    steps.iter().find(|step| step.phase == Some(phase)).map(|step| step.minute)
}

fn last_step(steps: &[TakenStep]) -> Option<(Option<SplitPhase>, Reason)> {
    steps.last().map(|step| (step.phase, step.reason))
}

#[test]
fn an_undisturbed_split_ends_before_the_earliest_day_and_starts_no_sooner_than_needed() {
    // Copying 48,000 keys at 10 keys per second takes 80 minutes; the whole split takes 150 minutes.
    let steps = run(2000, |_| stable(40.0), 4000);
    let planned = minute_of(&steps, SplitPhase::Planned).unwrap();
    let switched = minute_of(&steps, SplitPhase::Switched).unwrap();
    assert!((2000 - 2 * 160..2000 - 150).contains(&planned), "{planned}");
    assert!(switched < 2000, "{switched}");
    assert_eq!(last_step(&steps), Some((None, Reason::Due)));
}

#[test]
fn a_split_that_is_needed_in_a_frozen_period_ends_before_it() {
    let frozen = |minute: u64| FleetConditions {
        frozen_period: (minute < 3000).then(|| frozen_period(1500u64.saturating_sub(minute), 3000 - minute)),
        ..stable(40.0)
    };
    let steps = run(2000, frozen, 2000);
    assert!(minute_of(&steps, SplitPhase::Switched).is_some_and(|minute| minute <= 1500), "{steps:?}");
}

#[test]
fn a_slow_origin_pauses_a_split_and_then_withdraws_it() {
    let slow = |from: u64, to: u64| {
        move |minute: u64| FleetConditions { is_origin_slow: (from..to).contains(&minute), ..stable(40.0) }
    };
    let paused = run(2000, slow(1800, 1820), 2100);
    assert!(minute_of(&paused, SplitPhase::Switched).is_some());
    assert!(minute_of(&paused, SplitPhase::Withdrawn).is_none());
    let withdrawn = run(2000, slow(1800, 2000), 2100);
    assert_eq!(last_step(&withdrawn), Some((Some(SplitPhase::Withdrawn), Reason::OriginSlow)));
}

#[test]
fn no_split_starts_while_the_origin_has_no_spare_fetches() {
    let steps = run(2000, |_| stable(0.0), 2100);
    assert!(steps.iter().all(|step| step.phase == Some(SplitPhase::Foreseen)));
}

#[test]
fn keys_move_when_a_migration_begins_when_it_ends_and_when_it_is_withdrawn() {
    let layout = |bits, phase| ShardLayout { bits, phase };
    let moves_keys = |(from, to): (ShardLayout, ShardLayout)| to.moves_keys_since(from);
    let planned = layout(0, Some(SplitPhase::Planned));
    let first_step = layout(0, Some(SplitPhase::Copying(1)));
    let last_step = layout(0, Some(SplitPhase::Copying(16)));
    let dual_read = layout(0, Some(SplitPhase::DualRead));
    let switched = layout(0, Some(SplitPhase::Switched));
    let withdrawn = layout(0, Some(SplitPhase::Withdrawn));
    let complete = layout(1, None);
    let moving = [
        (planned, first_step),
        (last_step, dual_read),
        (last_step, switched),
        (last_step, complete),
        (dual_read, withdrawn),
    ];
    assert!(moving.into_iter().all(moves_keys));
    let not_moving =
        [(first_step, last_step), (dual_read, switched), (switched, complete), (planned, withdrawn)];
    assert!(!not_moving.into_iter().any(moves_keys));
}
