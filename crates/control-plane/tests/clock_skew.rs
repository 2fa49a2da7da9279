//! Members whose clocks advance at different rates, or were set back. Planners are processes, whose files set their clocks.

use std::time::Duration;

use crate::support::Fleet;
use crate::support::lease_holders::{AuditResult, LeaseHolders};

/// What is leased of 100 fetches a second, in thousandths: a quarter is the forwarders' own.
const LEASABLE: u64 = 75_000;
const ROUNDS: usize = 5;
/// The first leases are granted after a wait.
const FIRST_ROUND: Duration = Duration::from_millis(8500);
const LATER_ROUND: Duration = Duration::from_millis(3200);

fn write_config_with_clock(fleet: &Fleet, number: usize, clock_setting: &str) {
    fleet.write_planner_config(number, &format!("[trial]\n{clock_setting}\n"));
}

/// Audits the leases while first one half of the holders uses a planner and falls silent, then the other half, and then all
/// of that is repeated with the next planner, which requests back what it has lent.
fn audit_with_clock_rates(planner_rates: &[f64], holder_rates: &[f64]) -> AuditResult {
    let fleet = Fleet::new(planner_rates.len());
    let mut planners = Vec::new();
    for (n, rate) in planner_rates.iter().enumerate() {
        write_config_with_clock(&fleet, n + 1, &format!("clock_rate = {rate:?}"));
        planners.push(fleet.start(n + 1));
    }
    let mut holders = LeaseHolders::new(holder_rates, LEASABLE);
    let mut total = AuditResult::default();
    for round in 0..ROUNDS {
        let planner = round / 2 % planner_rates.len();
        let to = (planner + 1, fleet.addresses[planner]);
        let time = if round == 0 { FIRST_ROUND } else { LATER_ROUND };
        let result = holders.request_of_each(time, |n| if n % 2 == round % 2 { Some(to) } else { None });
        total.max_held = total.max_held.max(result.max_held);
        total.violations += result.violations;
    }
    for planner in &planners {
        // Holders that use another planner are silent to this one.
        let mut gone = planner.events("member_failed");
        gone.retain(|line| line["message"].as_str().is_some_and(|m| m.starts_with("planner")));
        assert!(gone.is_empty() && planner.events("process_stalled").is_empty(), "{gone:#?}");
        assert!(!planner.events("fault_injection").is_empty(), "fault injection is logged");
    }
    println!("{planner_rates:?}: {total:?} of {LEASABLE}");
    total
}

/// Any two of the clocks differ by 2%; the margin of a lease is 3.5%, of a loan 2.2%.
#[test]
fn leases_never_exceed_the_capacity_if_clocks_are_within_the_margin() {
    let result = audit_with_clock_rates(&[1.01], &[0.99, 0.99, 1.0, 1.0]);
    assert!(result.violations == 0 && result.max_held > LEASABLE * 8 / 10, "{result:?} of {LEASABLE}");
}

#[test]
fn loans_never_exceed_the_capacity_if_clocks_are_within_the_margin() {
    let result = audit_with_clock_rates(&[0.99, 1.01], &[0.99, 0.99, 1.01, 1.01]);
    assert!(
        result.violations == 0 && result.max_held > LEASABLE / 2,
        "{result:?} of {LEASABLE}: is nothing lent?"
    );
}

/// Shows that the auditor detects violations.
#[test]
fn leases_exceed_the_capacity_if_clocks_are_far_beyond_the_margin() {
    let result = audit_with_clock_rates(&[1.4], &[0.7, 0.7, 0.7, 0.7]);
    assert!(result.violations > 0 && result.max_held > LEASABLE, "{result:?} of {LEASABLE}");
}

/// Its store has its last incarnation, so that it is heard at once although its clock gives a lesser one.
#[test]
fn planner_whose_clock_is_set_back_by_an_hour_is_heard_under_a_greater_incarnation() {
    let fleet = Fleet::new(2);
    let (mut one, mut two) = (fleet.start(1), fleet.start(2));
    let mut holders = LeaseHolders::new(&[1.0, 1.0], LEASABLE);
    let before = holders.request_of_planner(&fleet, 1, Duration::from_millis(6500));
    assert!(before.max_held > 0 && before.violations == 0, "{before:?}");
    let first = holders.incarnation_of(1).expect("the planner was heard");
    one.kill();
    write_config_with_clock(&fleet, 1, "clock_ahead_ms = -3600000");
    one = fleet.start(1);
    let after = holders.request_of_planner(&fleet, 1, Duration::from_millis(1000));
    let second = holders.incarnation_of(1).expect("the planner was heard");
    assert!(second > first, "{second:?} after {first:?}");
    // It waits by its own clock until the leases of its earlier incarnation have expired, and then grants.
    let later = holders.request_of_planner(&fleet, 1, Duration::from_millis(6500));
    assert!(later.max_held > 0 && after.violations + later.violations == 0, "{after:?}, {later:?}");
    assert!(one.stop().success() && two.stop().success());
    let rejections = two.events("message_metrics")[0]["refused"].as_str().map(str::to_string);
    // Messages to it while it was down came back.
    assert!(rejections.as_deref().is_some_and(|names| !names.contains("older_life")), "{rejections:?}");
}
