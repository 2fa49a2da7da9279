//! Planners in the crowded world: what they bring, and that talk that comes to nothing costs nothing.

use granitelb_fleet_simulator::{Came, Fault, Kind, Play, Together, play};

fn day(planners: usize, together: Together, loss: f64, seed: u64) -> Came {
    let faults = vec![Fault::new(Kind::Hang(0.2), 2.0, 8.0)];
    let (nodes, caches, seconds) = (60, 40, 9.0);
    play(&Play { nodes, caches, seconds, faults, planners, together, loss, seed, ..Play::default() })
}

#[test]
fn with_all_letters_lost_nodes_do_as_lone_ones() {
    let mut lost = day(2, Together::VERDICTS, 1.0, 21);
    assert!(std::mem::take(&mut lost.letters) > 1000);
    assert_eq!(lost, day(0, Together::ALL, 0.0, 21));
}

#[test]
fn verdicts_spare_trials_of_caches_that_hang() {
    let sum = |planners| {
        let came = [22].map(|seed| day(planners, Together::VERDICTS, 0.05, seed));
        assert!(came.iter().all(|c| c.unsound + c.copies == 0));
        came.iter().fold((0, 0), |sum, c| (sum.0 + c.trials, sum.1 + c.in_time))
    };
    let (lone, told) = (sum(0), sum(2));
    assert!(told.0 * 3 < lone.0 * 2 && told.1 > lone.1, "{lone:?} {told:?}");
}

/// Where each asked for half as much again as it used the heaviest went short, and 0.93 was left.
#[test]
fn leases_of_what_there_is_cost_little() {
    let day = |planners| {
        let (nodes, caches, seconds) = (60, 40, 7.0);
        let together = Together::LEASES;
        play(&Play { nodes, caches, seconds, planners, together, seed: 24, ..Play::default() })
    };
    let (lone, leased) = (day(0), day(2));
    assert_eq!(leased.unsound + leased.copies, 0);
    assert!(leased.service() > lone.service() - 0.02, "{:.3} {:.3}", lone.service(), leased.service());
}
