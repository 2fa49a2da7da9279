//! Splits in random worlds: what the schedule's module promises holds at every step, and a calm world sees them through.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::shard_growth::form::{Form, ShardForm, Step};
use granitelb_coordination::shard_growth::schedule::{Outlook, Reason, Schedule, Settings, World};
use granitelb_coordination::shard_growth::sketch::Shard;
use proptest::prelude::*;

const MINUTE: Span = Span::from_millis(60_000);

fn minutes(n: u64) -> Span {
    Span(MINUTE.0 * n)
}

fn outlook(early: Option<u64>, keys: f64, caches: &[u64]) -> Outlook {
    let caches = caches.iter().map(|c| EndpointId(*c)).collect();
    Outlook { early: early.map(minutes), likely: early.map(|e| minutes(e * 2)), keys, caches }
}

#[derive(Clone, Debug)]
struct Moment {
    minutes: u64,
    failing: Option<u64>,
    cold: Option<u64>,
    origin_slow: bool,
    planners_few: bool,
    spare: f64,
    frozen: Option<(u64, u64)>,
    early: Vec<Option<u64>>,
    /// A new leader: what the old one remembered is gone.
    anew: bool,
    operator: bool,
}

fn moments() -> impl Strategy<Value = Vec<Moment>> {
    let early = prop::collection::vec(prop::option::weighted(0.8, 0u64..3000), 6);
    let trouble = (prop::option::weighted(0.1, 0u64..12), prop::option::weighted(0.1, 0u64..12));
    let moment = (
        1u64..90,
        trouble,
        prop::bool::weighted(0.05),
        prop::bool::weighted(0.05),
        0.0..200.0f64,
        prop::option::weighted(0.3, (0u64..300, 1u64..300)),
        early,
        prop::bool::weighted(0.03),
        prop::bool::weighted(0.01),
    );
    prop::collection::vec(moment, 1..150).prop_map(|all| {
        all.into_iter()
            .map(
                |(
                    minutes,
                    (failing, cold),
                    origin_slow,
                    planners_few,
                    spare,
                    frozen,
                    early,
                    anew,
                    operator,
                )| Moment {
                    minutes,
                    failing,
                    cold,
                    origin_slow,
                    planners_few,
                    spare,
                    frozen: frozen.map(|(a, b)| (a.saturating_sub(100), a + b)),
                    early,
                    anew,
                    operator,
                },
            )
            .collect()
    })
}

/// How far along a step is; those back at the start are 0.
fn rank(step: Option<Step>) -> u32 {
    match step {
        None | Some(Step::Withdrawn) => 0,
        Some(Step::Foreseen) => 1,
        Some(Step::Planned) => 2,
        Some(Step::Copying(n)) => 2 + u32::from(n),
        Some(Step::BothRead) => 19,
        Some(Step::Switched) => 20,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]
    #[test]
    fn what_the_schedule_promises_holds(moments in moments()) {
        let settings = Settings { watched: minutes(60), rests: minutes(60), ..Settings::default() };
        let mut schedule = Schedule::new(settings.clone());
        let (mut now, mut form) = (Time(0), Form::default());
        let mut entered: BTreeMap<Shard, Time> = BTreeMap::new();
        for m in moments {
            now = now + minutes(m.minutes);
            if m.anew {
                schedule = Schedule::new(settings.clone());
            }
            if m.operator {
                form.shards.keys().for_each(|s| schedule.withdraw(*s));
            }
            let world = World {
                failing: m.failing.map(EndpointId).into_iter().collect(),
                cold: m.cold.map(EndpointId).into_iter().collect(),
                origin_slow: m.origin_slow,
                planners_few: m.planners_few,
                spare_fetches: m.spare,
                frozen: m.frozen.map(|(a, b)| (minutes(a), minutes(b))),
            };
            let outlooks: BTreeMap<Shard, Outlook> = m.early.iter().enumerate().map(|(n, early)| {
                let n = n as u64;
                (Shard(n as u8), outlook(*early, 20_000.0, &[n, (n + 1) % 6 + 3, n + 6]))
            }).collect();
            let Some(change) = schedule.next(now, &form, &world, &outlooks) else { continue };
            prop_assert!(!world.planners_few);
            let (before, after) = (form.of(change.shard), change.form.of(change.shard));
            let forward = rank(after.step) > rank(before.step).max(1) || after.bits > before.bits;
            if forward {
                let own = &outlooks[&change.shard].caches;
                prop_assert!(own.is_disjoint(&world.failing) && own.is_disjoint(&world.cold));
                prop_assert!(!world.origin_slow);
                prop_assert!(world.frozen.is_none_or(|f| f.0 > Span::ZERO));
            }
            if rank(before.step) >= 2 && forward {
                prop_assert!(now - entered[&change.shard] >= settings.part);
                prop_assert!(rank(after.step) == rank(before.step) + 1 || after.bits == before.bits + 1);
            }
            form = change.form;
            prop_assert!(form.is_sound());
            entered.insert(change.shard, now);
            let active: Vec<_> = form.shards.iter().filter(|(_, s)| s.step.is_some_and(Step::is_active)).collect();
            prop_assert!(active.len() <= settings.most);
            let mut taken = BTreeSet::new();
            for cache in active.iter().flat_map(|(shard, _)| &outlooks[shard].caches) {
                prop_assert!(taken.insert(*cache), "two splits on {:?}", cache);
            }
        }
    }
}

/// Plays minute by minute from when the early edge is so far off; the steps and when each was taken.
fn run(early: u64, world: impl Fn(u64) -> World, until: u64) -> Vec<(u64, Option<Step>, Reason)> {
    let (mut schedule, mut form) = (Schedule::new(Settings::default()), Form::default());
    let mut steps = Vec::new();
    for minute in 0..until {
        let left = early.saturating_sub(minute);
        let split = form.of(Shard(3)).bits > 0;
        let outlooks = BTreeMap::from([(Shard(3), outlook((!split).then_some(left), 96_000.0, &[1, 2]))]);
        if let Some(change) = schedule.next(Time(minutes(minute).0), &form, &world(minute), &outlooks) {
            steps.push((minute, change.to.step, change.reason));
            form = change.form;
        }
    }
    steps
}

fn calm(spare: f64) -> World {
    World { spare_fetches: spare, ..World::default() }
}

fn when(steps: &[(u64, Option<Step>, Reason)], step: Step) -> Option<u64> {
    steps.iter().find(|s| s.1 == Some(step)).map(|s| s.0)
}

#[test]
fn in_a_calm_world_it_ends_before_the_early_edge_and_starts_no_sooner_than_needed() {
    // 48,000 keys at 10 a second take 80 minutes; with what is around them 150.
    let steps = run(2000, |_| calm(40.0), 4000);
    let (planned, switched) = (when(&steps, Step::Planned).unwrap(), when(&steps, Step::Switched).unwrap());
    assert!((2000 - 2 * 160..2000 - 150).contains(&planned), "{planned}");
    assert!(switched < 2000, "{switched}");
    assert_eq!(steps.last().map(|s| (s.1, s.2)), Some((None, Reason::Due)));
}

#[test]
fn a_frozen_time_that_the_edge_falls_into_is_left_behind() {
    let frozen = |minute: u64| World {
        frozen: (minute < 3000).then(|| (minutes(1500u64.saturating_sub(minute)), minutes(3000 - minute))),
        ..calm(40.0)
    };
    let steps = run(2000, frozen, 2000);
    assert!(when(&steps, Step::Switched).is_some_and(|at| at <= 1500), "{steps:?}");
}

#[test]
fn an_origin_that_turns_slow_pauses_a_split_and_then_withdraws_it() {
    let slow =
        |from: u64, to: u64| move |m: u64| World { origin_slow: (from..to).contains(&m), ..calm(40.0) };
    let paused = run(2000, slow(1800, 1820), 2100);
    assert!(when(&paused, Step::Switched).is_some() && when(&paused, Step::Withdrawn).is_none());
    let given_up = run(2000, slow(1800, 2000), 2100);
    assert_eq!(given_up.last().map(|s| (s.1, s.2)), Some((Some(Step::Withdrawn), Reason::OriginSlow)));
}

#[test]
fn with_nothing_to_spare_at_the_origin_no_split_starts() {
    assert!(run(2000, |_| calm(0.0), 2100).iter().all(|s| s.1 == Some(Step::Foreseen)));
}

#[test]
fn a_table_is_new_when_keys_begin_to_move_when_all_have_and_when_they_go_back() {
    let of = |bits, step| ShardForm { bits, step };
    let new = |(a, b): (ShardForm, ShardForm)| b.makes_new_table(a);
    let (planned, first) = (of(0, Some(Step::Planned)), of(0, Some(Step::Copying(1))));
    let (last, both) = (of(0, Some(Step::Copying(16))), of(0, Some(Step::BothRead)));
    let (switched, withdrawn) = (of(0, Some(Step::Switched)), of(0, Some(Step::Withdrawn)));
    let news = [(planned, first), (last, both), (last, switched), (last, of(1, None)), (both, withdrawn)];
    assert!(news.into_iter().all(new));
    let none = [(first, last), (both, switched), (switched, of(1, None)), (planned, withdrawn)];
    assert!(!none.into_iter().any(new));
}
