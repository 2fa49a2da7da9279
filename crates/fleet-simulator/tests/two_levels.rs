//! A fleet of forwarders with planners, beside the same fleet without.

use granitelb_fleet_simulator::two_levels::{Play, play};
use test_case::test_case;

fn small(planners: usize, seed: u64) -> Play {
    Play {
        forwarders: 80,
        caches: 14,
        planners,
        rate: 2.0,
        seconds: 20.0,
        hang: (6.0, 14.0),
        seed,
        ..Play::default()
    }
}

#[test]
fn planners_spare_a_fleet_most_of_what_a_hung_cache_costs() {
    for seed in 1..=2 {
        let (lone, led) = (play(&small(0, seed)), play(&small(2, seed)));
        assert_eq!((lone.unsound, led.unsound), (0, 0));
        assert!(led.wasted_late * 2 < lone.wasted_late, "{} of {}", led.wasted_late, lone.wasted_late);
        assert!(led.in_time > lone.in_time, "{} and {}", led.in_time, lone.in_time);
    }
}

#[test]
fn silent_planners_cost_nothing_and_lying_ones_little() {
    let lone = play(&small(0, 4));
    let dead = play(&Play { planners_dead: Some((0.0, 60.0)), ..small(2, 4) });
    assert_eq!((dead.in_time, dead.wasted), (lone.in_time, lone.wasted));
    // Nor do letters that are all changed on their way: none is taken for what it says.
    let spoilt = play(&Play { spoilt: 1.0, ..small(2, 4) });
    assert_eq!((spoilt.in_time, spoilt.wasted), (lone.in_time, lone.wasted));
    assert_eq!(spoilt.refused, spoilt.letters);
    // With a planner that calls every cache ill, and a forwarder that reports the same, calls keep their answers.
    let lied = play(&Play { liar: true, ..small(2, 4) });
    assert_eq!(lied.unsound, 0);
    assert!(lied.in_time * 100 > lone.in_time * 97, "{} and {}", lied.in_time, lone.in_time);
}

#[test]
fn one_seed_plays_one_way() {
    let short = |seed| play(&Play { seconds: 7.0, ..small(2, seed) });
    assert_eq!(short(5), short(5));
    assert_ne!(short(5), short(6));
}

/// The same calls over all, by few forwarders or many.
#[test_case(10)]
#[test_case(100)]
fn a_sick_cache_is_tried_as_often_by_few_as_by_many(forwarders: usize) {
    let rate = 160.0 / forwarders as f64;
    let long = Play { forwarders, rate, hang: (6.0, 26.0), seconds: 27.0, ..small(2, 7) };
    let came = play(&long);
    let a_second = came.wasted_late as f64 / 17.0;
    assert!((0.4..1.2).contains(&a_second), "{a_second} trials a second");
    assert!(came.longest_quiet.is_some_and(|s| s < 10.0), "{:?}", came.longest_quiet);
}

#[test_case(1; "the planner that gives turns stands still and comes back")]
#[test_case(0; "all holders die")]
fn somebody_goes_on_trying(dead: usize) {
    let planners_dead = (dead > 0).then_some((12.0, 18.0));
    let holders_die = (dead == 0).then_some(14.0);
    let long = Play { hang: (6.0, 26.0), seconds: 27.0, ..small(2, 8) };
    let came = play(&Play { planners_dead, dead, holders_die, ..long });
    assert_eq!(came.unsound, 0);
    assert!(came.longest_quiet.is_some_and(|s| s < 10.0), "{:?}", came.longest_quiet);
    if dead == 0 {
        assert!(came.died > 0);
        assert!(came.taken_over_after.is_some_and(|s| s < 6.0), "{:?}", came.taken_over_after);
    }
}
