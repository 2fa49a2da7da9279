//! Simulates caches that warm up, by default 40 seeds of each disturbance, and prints a table; figures are simulated.
//! A second argument also prints each run in which a cache received too much.
//! `cargo run --release -p granitelb-fleet-simulator --example cold -- 100`

use granitelb_fleet_simulator::warmup_simulation::{DISTURBANCES, Disturbance, Scenario, simulate};

const DEFAULT_SEEDS: u64 = 40;

/// The sums over all runs of one disturbance.
#[derive(Default)]
struct Totals {
    starts: usize,
    overloads: usize,
    violations: usize,
    max_window_load: f64,
    requests: usize,
    fulfilled_in_time: usize,
    warmup_work: f64,
}

fn run_all(disturbance: Disturbance, seeds: u64, prints_violations: bool) -> Totals {
    let mut totals = Totals::default();
    for seed in 1..=seeds {
        let scenario = Scenario::random(disturbance, seed);
        let result = simulate(&scenario);
        if prints_violations && result.violations > 0 {
            println!("{result:?}\n  {scenario:?}");
        }
        totals.starts += result.starts;
        totals.overloads += result.overloads;
        totals.violations += result.violations;
        totals.max_window_load = totals.max_window_load.max(result.max_window_load);
        totals.requests += result.requests;
        totals.fulfilled_in_time += result.fulfilled_in_time;
        totals.warmup_work += result.warmup_work;
    }
    totals
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_SEEDS);
    let prints_violations = std::env::args().nth(2).is_some();
    println!(
        "| disturbance | runs | starts | overloads | violations | fullest window | in time | work sent |"
    );
    println!("|{}", " --- |".repeat(8));
    for disturbance in DISTURBANCES {
        let totals = run_all(disturbance, seeds, prints_violations);
        let in_time = totals.fulfilled_in_time as f64 / totals.requests as f64;
        println!(
            "| {disturbance:?} | {seeds} | {} | {} | {} | {:.2} | {in_time:.3} | {:.0} |",
            totals.starts, totals.overloads, totals.violations, totals.max_window_load, totals.warmup_work
        );
    }
}
