//! Leases over a bad network: what all loops may send together is within the whole at each event, and is shared fairly
//! where nothing is in the way.

use granitelb_fleet_simulator::leases_model::{Play, play};
use test_case::test_case;

fn troubled(forwarders: usize, planners: u8, seed: u64) -> Play {
    Play { up: vec![(0.0, forwarders)], planners, troubles: 0.6, seconds: 25.0, seed, ..Play::default() }
}

#[test_case(3, 1, 101)]
#[test_case(12, 3, 102)]
#[test_case(40, 2, 103)]
#[test_case(60, 5, 104)]
fn the_whole_is_never_exceeded(forwarders: usize, planners: u8, seed: u64) {
    let came = play(&troubled(forwarders, planners, seed));
    assert_eq!(came.exceeded, 0, "{came:?}");
    // Else nothing was shared out that could have exceeded it.
    assert!(came.most > 0.3 && came.largest < 1100, "{came:?}");
}

/// Planners that die and are back grant again what forwarders hold, and members in trouble hold standing parts for long.
#[test_case(12, 2, 108)]
#[test_case(40, 3, 109)]
fn nor_with_standing_parts(forwarders: usize, planners: u8, seed: u64) {
    // Far more is wanted than there is, so that all that may be held is.
    let mut one = Play { seconds: 60.0, wanted: 3.0, ..troubled(forwarders, planners, seed) };
    (one.settings.guaranteed_per_mille, one.settings.long_term_per_mille) = (50, 700);
    one.settings.forwarder_count = forwarders as u32;
    let came = play(&one);
    assert!(came.exceeded == 0 && came.most > 0.6, "{came:?}");
}

/// By even own parts of half of the whole, 0.71 and 0.63 of the fair part are used while they are dead.
#[test]
fn planners_that_die_leave_each_its_usual_part() {
    for seed in [110, 111] {
        let mut one =
            Play { loss: 0.0, troubles: 0.0, changes: None, seconds: 45.0, seed, ..Play::default() };
        one.planners_dead = Some((35.0, 46.0));
        (one.settings.forwarder_count, one.settings.guaranteed_per_mille, one.settings.long_term_per_mille) =
            (40, 50, 850);
        one.wanted = 0.7;
        let came = play(&one);
        assert!(came.exceeded == 0 && came.used > 0.9, "{came:?}");
    }
}

/// The auditor sees a planner that starts with nothing and waits for nothing. Not each play has a start that comes soon
/// enough after an end, while all is held.
#[test]
fn a_planner_that_does_not_wait_is_seen() {
    let exceeded = |seed, no_wait| {
        let mut one = Play { wanted: 3.0, spread: 0.3, seconds: 120.0, no_wait, ..troubled(12, 1, seed) };
        one.settings.forwarder_count = 12;
        play(&one).exceeded
    };
    let seeds = 105..125;
    assert!(seeds.clone().all(|seed| exceeded(seed, false) == 0));
    let seen = seeds.filter(|seed| exceeded(*seed, true) > 0).count();
    assert!(seen >= 3, "in {seen} plays");
}

/// Of what is wanted and there 0.74 to 0.87 is used by seeds 1 to 22: needs are found out by use, with some to spare.
#[test]
fn it_is_shared_fairly() {
    let calm = Play { loss: 0.0, troubles: 0.0, changes: None, ..Play::default() };
    for seed in [106, 107] {
        let came = play(&Play { seed, ..calm.clone() });
        assert!(came.exceeded == 0 && came.jain > 0.9 && came.used > 0.7, "{came:?}");
    }
}
