//! Simulates caches that warm up, by default 40 seeds of each disturbance, and prints a table of simulated
//! figures. With any second argument, also prints each run in which a cache received more work than its
//! bound.
//!
//! `cargo run --release -p granitelb-fleet-simulator --example cold -- 100`

use std::num::NonZero;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use granitelb_fleet_simulator::warmup_simulation::{
    DISTURBANCES, Disturbance, Scenario, SimulationResult, simulate,
};

const DEFAULT_SEEDS: u64 = 40;

/// The sums over all runs of one disturbance, and the maximum of the window loads.
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

/// The scenario of a run, and its result.
struct Run {
    scenario: Scenario,
    result: SimulationResult,
}

/// Simulates all seeds on several threads and returns the runs in the order of their seeds.
fn simulate_all(disturbance: Disturbance, seeds: u64) -> Vec<Run> {
    let next_seed = AtomicU64::new(1);
    let runs = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(1, NonZero::get);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed > seeds {
                        return;
                    }
                    let scenario = Scenario::random(disturbance, seed);
                    let result = simulate(&scenario);
                    runs.lock().expect("no holder of the lock panics").push(Run { scenario, result });
                }
            });
        }
    });
    let mut runs = runs.into_inner().expect("no holder of the lock panics");
    runs.sort_by_key(|run| run.scenario.seed);
    runs
}

fn run_all(disturbance: Disturbance, seeds: u64, prints_violations: bool) -> Totals {
    let mut totals = Totals::default();
    for Run { scenario, result } in simulate_all(disturbance, seeds) {
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
