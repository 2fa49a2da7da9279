//! Leases of members whose clocks advance at different rates, or were set back. Planners are processes; fault
//! injection in their files sets their clocks.

use std::time::Duration;

use crate::support::Fleet;
use crate::support::lease_holders::{AuditResult, LeaseHolders};

/// The part of 100 fetches a second that is leased, in thousandths of a fetch a second: forwarders use a
/// quarter without a lease.
const LEASABLE: u64 = 75_000;
const ROUNDS: usize = 5;
/// The duration of the first round, which is longer since planners wait before they grant their first leases.
const FIRST_ROUND: Duration = Duration::from_millis(8500);
const LATER_ROUND: Duration = Duration::from_millis(3200);

fn write_config_with_clock(fleet: &Fleet, number: usize, clock_setting: &str) {
    fleet.write_planner_config(number, &format!("[trial]\n{clock_setting}\n"));
}

/// Audits the leases over several rounds. In the first round one half of the holders uses a planner and then
/// sends nothing more; in the second round the other half uses the same planner. Two such rounds follow with
/// the next planner, which requests back the capacity that it has lent.
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
        let result = holders.request_from_each(time, |n| if n % 2 == round % 2 { Some(to) } else { None });
        total.max_held = total.max_held.max(result.max_held);
        total.violations += result.violations;
    }
    for planner in &planners {
        // Holders that use another planner count as failed at this planner, since they send it nothing.
        let mut failed_planners = planner.events("member_failed");
        failed_planners.retain(|line| line["message"].as_str().is_some_and(|m| m.starts_with("planner")));
        assert!(
            failed_planners.is_empty() && planner.events("process_stalled").is_empty(),
            "{failed_planners:#?}"
        );
        assert!(!planner.events("fault_injection").is_empty(), "fault injection is logged");
    }
    println!("{planner_rates:?}: {total:?} of {LEASABLE}");
    total
}

/// Clock rates differ by at most 2%. The durations of leases have a margin of 3.5%, and those of loans of
/// 2.2%.
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
        "{result:?} of {LEASABLE}: possibly nothing was lent"
    );
}

/// Checks that the audit of the tests above detects violations: these clock rates differ by a factor of two.
#[test]
fn leases_exceed_the_capacity_if_clocks_are_far_beyond_the_margin() {
    let result = audit_with_clock_rates(&[1.4], &[0.7, 0.7, 0.7, 0.7]);
    assert!(result.violations > 0 && result.max_held > LEASABLE, "{result:?} of {LEASABLE}");
}

/// Guards against a planner that other members ignore after its clock was set back: the clock gives a lesser
/// incarnation, but the planner's store has the last one, which the next incarnation exceeds.
#[test]
fn planner_whose_clock_is_set_back_by_an_hour_is_heard_under_a_greater_incarnation() {
    let fleet = Fleet::new(2);
    let (mut planner_1, mut planner_2) = (fleet.start(1), fleet.start(2));
    let mut holders = LeaseHolders::new(&[1.0, 1.0], LEASABLE);
    let before = holders.request_from_planner(&fleet, 1, Duration::from_millis(6500));
    assert!(before.max_held > 0 && before.violations == 0, "{before:?}");
    let first = holders.incarnation_of(1).expect("the holder has received a message of the planner");
    planner_1.kill();
    write_config_with_clock(&fleet, 1, "clock_ahead_ms = -3600000");
    planner_1 = fleet.start(1);
    let after = holders.request_from_planner(&fleet, 1, Duration::from_millis(1000));
    let second = holders.incarnation_of(1).expect("the holder has received a message of the planner");
    assert!(second > first, "{second:?} after {first:?}");
    // The planner waits by its own clock until the leases of its earlier incarnation have expired, and then
    // grants leases.
    let later = holders.request_from_planner(&fleet, 1, Duration::from_millis(6500));
    assert!(later.max_held > 0 && after.violations + later.violations == 0, "{after:?}, {later:?}");
    assert!(planner_1.stop().success() && planner_2.stop().success());
    let rejections = planner_2.events("message_metrics")[0]["refused"].as_str().map(str::to_string);
    // Other rejections are expected: messages to the first planner failed while it was down.
    assert!(rejections.as_deref().is_some_and(|names| !names.contains("older_life")), "{rejections:?}");
}
