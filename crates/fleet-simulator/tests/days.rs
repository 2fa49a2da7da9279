//! Days of a small fleet from a seed: what the module must reach there, and that the model itself is sound.

use granitelb_fleet_simulator::{Came, Fault, Kind, Play, Policy, play};
use test_case::test_case;

fn day(policy: Policy, faults: Vec<Fault>, seed: u64) -> Came {
    let (nodes, caches, seconds) = (90, 60, 14.0);
    play(&Play { policy, nodes, caches, seconds, faults, seed, warm_up: 4.0, ..Play::default() })
}

fn hang() -> Vec<Fault> {
    vec![Fault::new(Kind::Hang(0.2), 4.0, 9.0)]
}

fn lost() -> Vec<Fault> {
    vec![Fault::new(Kind::ZoneLost, 4.0, 8.0)]
}

fn replaced() -> Vec<Fault> {
    vec![Fault::new(Kind::Replace(0.6), 2.0, 7.0)]
}

#[test]
fn one_seed_gives_one_day() {
    let twice: Vec<_> = (0..2).map(|_| day(Policy::Module, hang(), 3)).collect();
    assert_eq!(twice[0], twice[1]);
    assert_ne!(twice[0], day(Policy::Module, hang(), 4));
}

/// Calls off what nothing answers, so that reads at hung caches are served elsewhere: 0.934 and 0.936 without.
#[test_case(hang(), 0.96; "a fifth of the caches hangs")]
/// 0.958 and 0.962 with the text before all of this.
#[test_case(lost(), 0.966; "a zone is lost and comes back cold")]
/// Few keys have none but cold candidates: 0.900 without, at seed 11.
#[test_case(replaced(), 0.92; "six in ten caches are replaced")]
fn the_module_serves(faults: Vec<Fault>, least: f64) {
    for seed in [11, 12] {
        let came = day(Policy::Module, faults.clone(), seed);
        assert_eq!((came.unsound, came.copies), (0, 0), "{came:?}");
        assert!(came.service() >= least, "seed {seed}: {:.3}", came.service());
    }
}

/// A node knows a zone that is cut off by three of its caches, and leaves the rest of them alone: 0.20 and 0.18 shots a
/// call are lost there without.
#[test]
fn a_cut_zone_costs_each_node_a_few_shots() {
    for seed in [11, 12] {
        let came = day(Policy::Module, vec![Fault::new(Kind::ZoneCut, 4.0, 9.0)], seed);
        let lost = came.per_call(came.unreachable + came.recalled);
        assert!(lost < 0.1, "seed {seed}: {lost:.3}");
    }
}

/// The share of shots turned away grows with the fleet, since each node knows less of each cache: 0.164 at 300 nodes and
/// 0.100 at 20. With 1,024 slots, five for each cache, the large one comes to 0.176.
#[test]
fn fleets_of_either_size_are_turned_away_little_on_a_calm_day() {
    let share = |nodes, caches| {
        let of = |seed| play(&Play { nodes, caches, seed, seconds: 12.0, ..Play::default() }).full_share();
        (1..=3).map(of).sum::<f64>() / 3.0
    };
    let (large, small) = (share(300, 200), share(20, 20));
    // Each by itself: their ratio also rises where the small one is turned away less. Where low limits of caches grow
    // quickly the small one comes to 0.12.
    assert!(large < 0.172 && small < 0.11, "{large:.3} and {small:.3}");
}

/// Who sees the caches as they are loses less: else the model would not tell a good choice from a bad one.
#[test_case(vec![]; "calm")]
#[test_case(hang(); "hang")]
fn sight_helps(faults: Vec<Fault>) {
    let blind = day(Policy::RandomOf(3), faults.clone(), 5);
    let seeing = day(Policy::Seeing(3), faults, 5);
    assert!(seeing.service() > blind.service());
    assert!(seeing.full_share() < blind.full_share());
}
