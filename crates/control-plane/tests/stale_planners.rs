//! Planners that resume after others have taken over, two planners of one number, and configurations and
//! secrets that differ between members. Planners are processes, forwarders hold leases, and an audit sums up
//! all leases.

use std::fs;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::support::lease_holders::LeaseHolders;
use crate::support::{Fleet, OTHER_SECRET, Planner, SECRET, planner_address};

/// The part of 100 fetches a second that is leased, in thousandths of a fetch a second: forwarders use a
/// quarter without a lease.
const LEASABLE: u64 = 75_000;
/// The time within which a planner that starts grants its first leases.
const FIRST_GRANTS: Duration = Duration::from_millis(6500);

/// Stops planners, and returns the counts of rejected messages that they have logged.
fn stop_and_collect_rejections(planners: &mut [Planner]) -> Vec<String> {
    let mut rejections = Vec::new();
    for planner in planners {
        assert!(planner.stop().success());
        let lines = planner.events("message_metrics");
        rejections.extend(lines.iter().filter_map(|line| line["refused"].as_str().map(str::to_string)));
    }
    rejections.retain(|names| !names.is_empty());
    rejections
}

/// Guards against two planners of one number that both grant that number's part, so that more is leased than
/// the capacity. A third of the holders uses the suspended planner, a third its successor of the same number,
/// and a third the other planner.
#[test]
fn suspended_planner_grants_nothing_beside_its_successor_of_the_same_number() {
    let mut fleet = Fleet::new(2);
    let (suspended, planner_2) = (fleet.start(1), fleet.start(2));
    let first_address = fleet.addresses[0];
    let mut holders = LeaseHolders::new(&[1.0; 6], LEASABLE);
    let before = holders.request_from_planner(&fleet, 1, FIRST_GRANTS);
    assert!(before.max_held > 0 && before.violations == 0, "{before:?}");
    suspended.signal(Signal::STOP);

    // Another process takes over the number, at another address.
    let new_address = planner_address();
    fleet.addresses[0] = new_address;
    fleet.write_fleet_config(&format!("secret = \"{SECRET}\""));
    let text = "number = 1\noperator = \"operator.toml\"\nstate = \"state-1-new\"\n";
    fs::write(fleet.path("planner-1-new.toml"), text).expect("the file is written");
    planner_2.signal(Signal::HUP);
    planner_2.wait_for_event("reloaded");
    let successor = fleet.start_with_config(1, "planner-1-new.toml");
    let alone = holders.request_from_planner(&fleet, 1, Duration::from_secs(7));
    assert!(alone.max_held > 0 && alone.violations == 0, "{alone:?}");

    suspended.signal(Signal::CONT);
    let addresses = [(1, first_address), (1, new_address), (2, fleet.addresses[1])];
    let both = holders.request_from_each(Duration::from_secs(8), |n| Some(addresses[n % 3]));
    assert_eq!(both.violations, 0, "{both:?} of {LEASABLE}");
    suspended.wait_for_event("process_stalled");
    let superseded = successor.wait_for_event("incarnation_superseded");
    assert!(superseded["message"].as_str().is_some_and(|m| m.contains("two processes")), "{superseded}");
    // Both planners of the number are stopped and one is restarted, since forwarders may know an incarnation
    // of the suspended planner that no planner knows.
    drop((suspended, successor));
    let _successor = fleet.start_with_config(1, "planner-1-new.toml");
    let after = holders.request_from_planner(&fleet, 1, Duration::from_secs(7));
    assert!(
        after.violations == 0 && holders.held_by(0) > 0,
        "{after:?}: the planner that is left must grant leases again"
    );
}

/// Guards against a restarted forwarder whose messages are ignored, or whose leases of earlier incarnations
/// are not counted or are counted for too long.
#[test]
fn forwarder_that_restarts_three_times_in_two_seconds_is_heard_at_once_and_counted_fully() {
    let fleet = Fleet::new(1);
    let _planner = fleet.start(1);
    let mut holders = LeaseHolders::new(&[1.0; 3], LEASABLE);
    holders.request_from_planner(&fleet, 1, FIRST_GRANTS);
    assert!(holders.held_by(0) > 0);
    let mut violations = 0;
    for _ in 0..3 {
        holders.restart(0);
        violations += holders.request_from_planner(&fleet, 1, Duration::from_millis(600)).violations;
    }
    // The forwarder has its part again after the leases of its earlier incarnations have expired.
    violations += holders.request_from_planner(&fleet, 1, Duration::from_millis(3200)).violations;
    assert_eq!(violations, 0);
    let held: Vec<_> = (0..3).map(|n| holders.held_by(n)).collect();
    assert!(held[0] * 2 > held[1] && held[0] > 0, "{held:?}");
}

/// The rotation takes three steps, each at one planner after the other: all planners accept the new secret,
/// all seal with the new secret, and no planner accepts the old secret.
#[test]
fn secret_is_rotated_by_rolling_restarts_without_a_rejected_message() {
    let fleet = Fleet::new(3);
    let mut planners: Vec<_> = (1..=3).map(|n| fleet.start(n)).collect();
    let steps = [
        format!("secret = \"{SECRET}\"\nformer_secret = \"{OTHER_SECRET}\""),
        format!("secret = \"{OTHER_SECRET}\"\nformer_secret = \"{SECRET}\""),
        format!("secret = \"{OTHER_SECRET}\""),
    ];
    let mut rejections = Vec::new();
    for step in steps {
        fleet.write_fleet_config(&step);
        for n in 0..3 {
            rejections.extend(stop_and_collect_rejections(&mut planners[n..=n]));
            planners[n] = fleet.start(n + 1);
            thread::sleep(Duration::from_millis(600));
        }
    }
    rejections.extend(stop_and_collect_rejections(&mut planners));
    assert!(!rejections.iter().any(|names| names.contains("forged")), "{rejections:?}");
}

/// Two planners are configured with 100 fetches a second and one with 200. The sum of all leases is within
/// the greater configuration, and each planner's leases are within its part of its own configuration.
#[test]
fn differing_configurations_add_up_to_at_most_the_greater_one() {
    let fleet = Fleet::new(3);
    let planners: Vec<_> = (1..=3).map(|n| fleet.start(n)).collect();
    let mut holders = LeaseHolders::new(&[1.0; 6], 2 * LEASABLE);
    let planner_of = |n: usize| Some((n % 3 + 1, fleet.addresses[n % 3]));
    holders.request_from_each(FIRST_GRANTS, planner_of);
    let config = fs::read_to_string(fleet.path("operator.toml")).expect("the file is read");
    let greater = config.replace("origin_per_s = 100.0", "origin_per_s = 200.0");
    fs::write(fleet.path("operator.toml"), greater).expect("the file is written");
    planners[0].signal(Signal::HUP);
    planners[0].wait_for_event("incarnation_changed");
    let mixed = holders.request_from_each(Duration::from_secs(8), planner_of);
    assert_eq!(mixed.violations, 0, "{mixed:?}");
    // The upper bound is a third of 150 and two thirds of 75 fetches a second.
    assert!((LEASABLE..=100_000).contains(&mixed.max_held), "{mixed:?}");
}
