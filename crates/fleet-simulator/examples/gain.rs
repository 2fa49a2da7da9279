//! Prints the effect of coordination for 300 nodes and 200 caches: means over seeds, with planners and
//! without.
//!
//! The arguments are seeds and names of days, in any order, and options of the form `name=value`:
//! - `origin=2`: capacity of the origin as a multiple of the usual load,
//! - `whole=4`: leased fetches of the origin as a multiple of the origin's capacity,
//! - `reserve=0.05`: the share of the leased fetches that is guaranteed to nodes permanently,
//! - `standing=0.85`: the share of the leased fetches that is granted as long-term allocations,
//! - `warm=30`: length of the warm-up in seconds.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use granitelb_fleet_simulator::{ControlPlaneScope, Outage, RunResult, Scenario, days, run};

/// The number of scenarios that run at the same time.
const WORKER_THREADS: usize = 6;
/// The length of the intervals over which the worst service level is searched, in seconds.
const WORST_INTERVAL_S: usize = 10;
/// The length of the default day with warm-up and shutdown, in seconds, over which messages per second are
/// averaged.
const MESSAGING_TIME_S: f64 = 28.0;
/// The panic message for an argument that is none of a seed, an option and the name of a day.
const UNKNOWN_DAY: &str =
    "an argument without `=` must be a seed or a day; `granitelb-fleet-simulator --help` lists the days";
const OUTAGE: Outage = Outage { from_s: 5.0, to_s: 15.0 };

/// A configuration of the control plane to compare.
struct Variant {
    name: &'static str,
    planners: usize,
    control_plane: ControlPlaneScope,
    planner_outage: Option<Outage>,
}

impl Variant {
    const fn with_planners(
        name: &'static str,
        control_plane: ControlPlaneScope,
        planner_outage: Option<Outage>,
    ) -> Variant {
        Variant { name, planners: 2, control_plane, planner_outage }
    }
}

const VARIANTS: [Variant; 6] = [
    Variant { name: "no planners", planners: 0, control_plane: ControlPlaneScope::ALL, planner_outage: None },
    Variant::with_planners("endpoint health", ControlPlaneScope::ENDPOINT_HEALTH, None),
    Variant::with_planners("leases", ControlPlaneScope::LEASES, None),
    Variant::with_planners("both", ControlPlaneScope::ALL, None),
    Variant::with_planners(
        "endpoint health, planners down 5 to 15 s",
        ControlPlaneScope::ENDPOINT_HEALTH,
        Some(OUTAGE),
    ),
    Variant::with_planners("both, planners down 5 to 15 s", ControlPlaneScope::ALL, Some(OUTAGE)),
];

/// The arguments of the command line.
struct Arguments {
    seeds: Vec<u64>,
    days: Vec<String>,
    /// The default scenario with the options applied.
    base: Scenario,
}

fn per_mille(share: f64) -> u32 {
    (share * 1000.0) as u32
}

fn parse_arguments(arguments: impl Iterator<Item = String>) -> Arguments {
    let mut parsed = Arguments { seeds: Vec::new(), days: Vec::new(), base: Scenario::default() };
    for argument in arguments {
        if let Ok(seed) = argument.parse() {
            parsed.seeds.push(seed);
        } else if let Some((name, value)) = argument.split_once('=') {
            let value: f64 = value.parse().expect("the value of an option `name=value` must be a number");
            match name {
                "origin" => parsed.base.origin_headroom = value,
                "whole" => parsed.base.leased_capacity_factor = value,
                "reserve" => parsed.base.guaranteed_per_mille = per_mille(value),
                "standing" => parsed.base.long_term_per_mille = per_mille(value),
                "warm" => parsed.base.warm_up_s = value,
                _ => {}
            }
        } else {
            parsed.days.push(argument);
        }
    }
    parsed
}

/// Returns all scenarios, in the order of days, variants and seeds.
fn scenarios(arguments: &Arguments) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for day in &arguments.days {
        let faults = days::faults_of_day(day).expect(UNKNOWN_DAY);
        for variant in &VARIANTS {
            for &seed in &arguments.seeds {
                scenarios.push(Scenario {
                    faults: faults.clone(),
                    planners: variant.planners,
                    control_plane: variant.control_plane,
                    planner_outage: variant.planner_outage,
                    seed,
                    ..arguments.base.clone()
                });
            }
        }
    }
    scenarios
}

/// Runs the scenarios on several threads and returns the results in the scenarios' order.
fn run_all(scenarios: &[Scenario]) -> Vec<RunResult> {
    let results: Vec<Mutex<RunResult>> = scenarios.iter().map(|_| Mutex::new(RunResult::default())).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..WORKER_THREADS {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(n) else { return };
                    *results[n].lock().expect("no thread panics with the lock") = run(scenario);
                }
            });
        }
    });
    results.into_iter().map(|result| result.into_inner().expect("no thread panicked")).collect()
}

fn main() {
    let arguments = parse_arguments(std::env::args().skip(1));
    let mut results = run_all(&scenarios(&arguments)).into_iter();
    println!(
        "| day | fleet | within SLO | worst 10 s | rejected | probes | origin, busiest s | origin rejected | \
         origin late | rate-limited | errored | messages/s |"
    );
    println!("|{}", " --- |".repeat(12));
    for day in &arguments.days {
        for variant in &VARIANTS {
            let of_variant: Vec<RunResult> = results.by_ref().take(arguments.seeds.len()).collect();
            println!("| {day} | {} | {}", variant.name, format_row(&of_variant));
        }
    }
}

fn format_row(results: &[RunResult]) -> String {
    let mean = |of: &dyn Fn(&RunResult) -> f64| results.iter().map(of).sum::<f64>() / results.len() as f64;
    let percent = |of: &dyn Fn(&RunResult) -> usize| 100.0 * mean(&|result| result.per_request(of(result)));
    let busiest = |result: &RunResult| result.origin_reads.iter().copied().max().unwrap_or(0) as f64;
    let is_sound = results.iter().all(|result| result.invariant_violations + result.duplicate_attempts == 0);
    format!(
        "{:.4} | {:.4} | {:.4} | {:.0} | {:.0} | {:.0} | {:.0} | {:.2}% | {:.2}% | {:.0} |{}",
        mean(&RunResult::service_level),
        mean(&|result| result.worst_service_level(WORST_INTERVAL_S)),
        mean(&RunResult::rejection_ratio),
        mean(&|result| result.probes_of_hung_caches as f64),
        mean(&busiest),
        mean(&|result| result.origin_rejections as f64),
        mean(&|result| result.origin_late as f64),
        percent(&|result| result.rate_limited),
        percent(&|result| result.errored),
        mean(&|result| result.messages_sent as f64 / MESSAGING_TIME_S),
        if is_sound { "" } else { " unsound |" }
    )
}
