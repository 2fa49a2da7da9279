//! Planners that come back when others have gone on, two of one number, and files and secrets that are not the same at all
//! members: planners as processes, forwarders that hold leases, and a judge of what all of them hold.

use std::fs;
use std::net::UdpSocket;
use std::time::Duration;

use crate::holders::Holders;
use crate::support::{Fleet, OURS, Planner, THEIRS};
use rustix::process::Signal;

/// Of 100 fetches a second a quarter is the forwarders' own.
const LEASED: u64 = 75_000;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What is refused of letters from planners.
fn refused(planners: &mut [Planner]) -> Vec<String> {
    planners.iter_mut().for_each(|p| assert!(p.stop().success()));
    let lines = planners.iter().flat_map(|p| p.said("message_metrics"));
    lines.filter_map(|line| line["refused"].as_str().map(str::to_string)).filter(|r| !r.is_empty()).collect()
}

/// A third of the holders asks the one that was stopped, a third the one that has its number since, and a third the other
/// planner: each would have its whole part to give.
#[test]
fn a_planner_that_comes_back_when_another_has_its_number_grants_nothing_beside_it() {
    let mut fleet = Fleet::new(2);
    let (zombie, two) = (fleet.start(1), fleet.start(2));
    let first = fleet.addresses[0];
    let mut holders = Holders::new(&[1.0; 6], LEASED);
    let calm = holders.ask(&fleet, 1, secs(6.5));
    assert!(calm.most > 0 && calm.over == 0, "{calm:?}");
    zombie.signal(Signal::STOP);

    // Another process takes the number, elsewhere.
    let free = UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().expect("an address");
    fleet.addresses[0] = free;
    fleet.write_operator(&format!("secret = \"{OURS}\""));
    let text = "number = 1\noperator = \"operator.toml\"\nstate = \"state-1-new\"\n";
    fs::write(fleet.path("planner-1-new.toml"), text).expect("written");
    two.signal(Signal::HUP);
    two.wait_for("reloaded");
    let heir = fleet.start_by(1, "planner-1-new.toml");
    let alone = holders.ask(&fleet, 1, secs(7.0));
    assert!(alone.most > 0 && alone.over == 0, "{alone:?}");

    zombie.signal(Signal::CONT);
    let addresses = [(1, first), (1, free), (2, fleet.addresses[1])];
    let both = holders.ask_each(secs(8.0), |n| Some(addresses[n % 3]));
    assert_eq!(both.over, 0, "{both:?} of {LEASED}");
    zombie.wait_for("stood_still");
    let said = heir.wait_for("succeeded");
    assert!(said["message"].as_str().is_some_and(|m| m.contains("two processes")), "{said}");
    // Both are stopped and one is started again, since a forwarder may have heard a life of the zombie's that no planner did.
    drop((zombie, heir));
    let _heir = fleet.start_by(1, "planner-1-new.toml");
    let after = holders.ask(&fleet, 1, secs(7.0));
    assert!(after.over == 0 && holders.held_by(0) > 0, "{after:?}: the one that is left grants again");
}

#[test]
fn a_forwarder_that_starts_three_times_in_two_seconds_is_heard_at_once_and_counted_whole() {
    let fleet = Fleet::new(1);
    let _planner = fleet.start(1);
    let mut holders = Holders::new(&[1.0; 3], LEASED);
    holders.ask(&fleet, 1, secs(6.5));
    assert!(holders.held_by(0) > 0);
    let mut over = 0;
    for _ in 0..3 {
        holders.restart(0);
        over += holders.ask(&fleet, 1, secs(0.6)).over;
    }
    // Once what its lives of before held has ended, it has its part again.
    over += holders.ask(&fleet, 1, secs(3.2)).over;
    assert_eq!(over, 0);
    let held: Vec<_> = (0..3).map(|n| holders.held_by(n)).collect();
    assert!(held[0] * 2 > held[1] && held[0] > 0, "{held:?}");
}

/// Three steps, each at one member after the other: all open by the new secret, all seal by it, nobody knows the old one.
#[test]
fn a_secret_is_turned_over_by_restarts_one_by_one_with_no_letter_refused() {
    let fleet = Fleet::new(3);
    let mut planners: Vec<_> = (1..=3).map(|n| fleet.start(n)).collect();
    let steps = [
        format!("secret = \"{OURS}\"\nformer_secret = \"{THEIRS}\""),
        format!("secret = \"{THEIRS}\"\nformer_secret = \"{OURS}\""),
        format!("secret = \"{THEIRS}\""),
    ];
    let mut all = Vec::new();
    for step in steps {
        fleet.write_operator(&step);
        for n in 0..3 {
            all.extend(refused(&mut planners[n..=n]));
            planners[n] = fleet.start(n + 1);
            std::thread::sleep(secs(0.6));
        }
    }
    all.extend(refused(&mut planners));
    assert!(!all.iter().any(|r| r.contains("forged")), "{all:?}");
}

/// Two planners go by 100 fetches a second and one by 200: what is leased is within the greater file's, and each planner's
/// part within its own.
#[test]
fn files_that_differ_at_half_of_the_members_add_up_to_the_greater_whole_at_the_most() {
    let fleet = Fleet::new(3);
    let planners: Vec<_> = (1..=3).map(|n| fleet.start(n)).collect();
    let mut holders = Holders::new(&[1.0; 6], 2 * LEASED);
    holders.ask_each(secs(6.5), |n| Some((n % 3 + 1, fleet.addresses[n % 3])));
    let file = fs::read_to_string(fleet.path("operator.toml")).expect("a file");
    let greater = file.replace("origin_per_s = 100.0", "origin_per_s = 200.0");
    fs::write(fleet.path("operator.toml"), greater).expect("written");
    planners[0].signal(Signal::HUP);
    planners[0].wait_for("incarnation_changed");
    let mixed = holders.ask_each(secs(8.0), |n| Some((n % 3 + 1, fleet.addresses[n % 3])));
    assert_eq!(mixed.over, 0, "{mixed:?}");
    // A third of 150 and two thirds of 75.
    assert!((LEASED..=100_000).contains(&mixed.most), "{mixed:?}");
}
