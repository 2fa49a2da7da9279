//! Members whose clocks go at different rates, or were set back: planners as processes, with clocks that their files set.

use std::fs;
use std::time::Duration;

use crate::holders::Holders;
use crate::support::Fleet;

/// Of 100 fetches a second a quarter is the forwarders' own.
const LEASED: u64 = 75_000;
fn trial(fleet: &Fleet, number: usize, trial: &str) {
    let text = format!(
        "number = {number}\noperator = \"operator.toml\"\nstate = \"state-{number}\"\n[trial]\n{trial}\n"
    );
    fs::write(fleet.path(&format!("planner-{number}.toml")), text).expect("written");
}

/// The most that was held, and how often it was over, while first one half of the holders asks a planner and falls silent,
/// then the other half, and then all of it goes on with the next planner, which wants back what it has lent.
fn play(planners: &[f64], holders: &[f64]) -> (u64, u64) {
    let fleet = Fleet::new(planners.len());
    let started: Vec<_> = planners
        .iter()
        .enumerate()
        .map(|(n, rate)| {
            trial(&fleet, n + 1, &format!("clock_rate = {rate:?}"));
            fleet.start(n + 1)
        })
        .collect();
    let mut holders = Holders::new(holders, LEASED);
    let (mut most, mut over) = (0, 0);
    for turn in 0..5 {
        let planner = turn / 2 % planners.len();
        let to = (planner + 1, fleet.addresses[planner]);
        // The first leases come after a wait.
        let lasts = Duration::from_millis(if turn == 0 { 8500 } else { 3200 });
        let seen = holders.ask_each(lasts, |n| (n % 2 == turn % 2).then_some(to));
        (most, over) = (most.max(seen.most), over + seen.over);
    }
    for planner in &started {
        // Holders that ask another one are silent to it.
        let mut gone = planner.said("member_gone");
        gone.retain(|line| line["message"].as_str().is_some_and(|m| m.starts_with("planner")));
        assert!(gone.is_empty() && planner.said("stood_still").is_empty(), "{gone:#?}");
        assert!(!planner.said("fault_injection").is_empty(), "that it is a trial is said");
    }
    println!("{planners:?}: {most} of {LEASED}, over {over} times");
    (most, over)
}

/// Any two of them differ by 2%; the margin of a lease is 3.5%, of a loan 2.2%.
#[test]
fn clocks_within_the_margin_never_let_leases_exceed_the_whole() {
    let (most, over) = play(&[1.01], &[0.99, 0.99, 1.0, 1.0]);
    assert!(over == 0 && most > LEASED * 8 / 10, "{most} of {LEASED}, {over} times over");
}

#[test]
fn nor_loans() {
    let (most, over) = play(&[0.99, 1.01], &[0.99, 0.99, 1.01, 1.01]);
    assert!(over == 0 && most > LEASED / 2, "{most} of {LEASED}, {over} times over: is nothing lent?");
}

/// That the judge sees it where they do.
#[test]
fn clocks_far_beyond_the_margin_do() {
    let (most, over) = play(&[1.4], &[0.7, 0.7, 0.7, 0.7]);
    assert!(over > 0 && most > LEASED, "{most} of {LEASED}");
}

/// Its store has the life of before, so that it is heard at once, though its clock says that it is older.
#[test]
fn a_planner_whose_clock_is_set_back_by_an_hour_is_heard_under_a_greater_life() {
    let fleet = Fleet::new(2);
    let (mut one, mut two) = (fleet.start(1), fleet.start(2));
    let mut holders = Holders::new(&[1.0, 1.0], LEASED);
    let before = holders.ask(&fleet, 1, Duration::from_millis(6500));
    assert!(before.most > 0 && before.over == 0, "{before:?}");
    let (first, _) = holders.life_of(1).expect("it was heard");
    one.kill();
    trial(&fleet, 1, "clock_ahead_ms = -3600000");
    one = fleet.start(1);
    let after = holders.ask(&fleet, 1, Duration::from_millis(1000));
    let (second, _) = holders.life_of(1).expect("it was heard");
    assert!(second > first, "{second:?} after {first:?}");
    // It waits out what its earlier life granted, by its own clock, and then grants.
    let later = holders.ask(&fleet, 1, Duration::from_millis(6500));
    assert!(later.most > 0 && after.over + later.over == 0, "{after:?}, {later:?}");
    assert!(one.stop().success() && two.stop().success());
    let refused = two.said("message_metrics")[0]["refused"].as_str().map(str::to_string);
    // Letters to it while it was down came back.
    assert!(refused.as_deref().is_some_and(|r| !r.contains("older_life")), "{refused:?}");
}
