//! `granitelb-fleet-simulator`: runs days of a simulated fleet and prints a table row for each.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

mod cli;

use cli::Options;
use granitelb_fleet_simulator::{RunResult, Scenario, days, run};

/// The length of the intervals over which the worst service level is searched, in seconds.
const WORST_INTERVAL_S: usize = 10;
/// The columns of the table.
const COLUMNS: [&str; 13] = [
    "day",
    "policy",
    "size",
    "seed",
    "within SLO",
    "worst 10 s",
    "rejected",
    "handshakes",
    "attempts",
    "rate-limited",
    "errored",
    "late",
    "at origin",
];

fn main() {
    let options = cli::options().run();
    println!("| {} |", COLUMNS.join(" | "));
    println!("|{}", " --- |".repeat(COLUMNS.len()));
    for day in &options.days {
        run_day(&options, day);
    }
}

/// Runs all combinations of policy, size and seed for a day, and prints a row for each.
fn run_day(options: &Options, day: &str) {
    // The parser accepts only known days.
    let Some(faults) = days::faults_of_day(day) else { return };
    for &policy in &options.policies {
        for &size in &options.sizes {
            for seed in 1..=options.seeds {
                let result = run(&Scenario {
                    policy,
                    nodes: size.nodes,
                    caches: size.caches,
                    seed,
                    faults: faults.clone(),
                    load: options.load,
                    planners: options.planners,
                    control_plane: options.control_plane,
                    planner_outage: options.planner_outage,
                    ..Scenario::default()
                });
                println!("| {day} | {policy} | {size} | {seed} | {}", format_row(&result));
            }
        }
    }
}

/// Returns the result columns of a row. Counts are divided by the number of requests, rejections by the
/// number of attempts at caches.
fn format_row(result: &RunResult) -> String {
    let counts = [
        result.handshakes,
        result.cache_attempts,
        result.rate_limited,
        result.errored,
        result.late,
        result.origin_attempts,
    ];
    let counts = counts.map(|count| format!("{:.3}", result.per_request(count))).join(" | ");
    let is_sound = result.invariant_violations + result.duplicate_attempts == 0;
    let mark = if is_sound { "" } else { " unsound |" };
    format!(
        "{:.3} | {:.3} | {:.3} | {counts} |{mark}",
        result.service_level(),
        result.worst_service_level(WORST_INTERVAL_S),
        result.rejection_ratio()
    )
}
