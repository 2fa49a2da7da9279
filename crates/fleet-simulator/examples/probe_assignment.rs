//! Prints how fleets of 3 to 300 forwarders probe a hung cache, how evenly probe tasks are assigned, and how
//! many tasks move when a forwarder leaves. The first table is simulated, the second table is calculated.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_coordination::ForwarderId;
use granitelb_coordination::probe_scheduling::{Task, Window, assignees};
use granitelb_fleet_simulator::control_plane::{Period, Scenario, SimulationResult, simulate};

/// The seeds over which the minimum, mean and maximum of each figure are taken.
const SEEDS: std::ops::Range<u64> = 301..306;
/// The number of probe windows in a minute.
const WINDOWS_PER_MINUTE: u64 = 30;
/// The distance between the first windows of successive seeds.
const WINDOWS_PER_SEED: u64 = 1000;
/// The time after the beginning of the hang from which attempts at the hung cache count as probes, in
/// seconds.
const HANG_DETECTION_S: f64 = 3.0;
/// The request rate of the whole fleet, per second.
const FLEET_REQUEST_RATE: f64 = 600.0;
/// The start and end of the hang, in seconds.
const HANG: Period = Period { from: 8.0, to: 40.0 };
/// The start and end of the first planner's suspension, in seconds.
const PLANNER_SUSPENSION: Period = Period { from: 15.0, to: 25.0 };

/// A fleet whose assignment of probe tasks is calculated.
struct AssignmentCase {
    forwarders: usize,
    tasks: u64,
    /// The number of forwarders to which each task is assigned.
    holders: usize,
}

const ASSIGNMENT_CASES: [AssignmentCase; 5] = [
    AssignmentCase { forwarders: 10, tasks: 30, holders: 1 },
    AssignmentCase { forwarders: 30, tasks: 30, holders: 1 },
    AssignmentCase { forwarders: 60, tasks: 40, holders: 1 },
    AssignmentCase { forwarders: 300, tasks: 40, holders: 1 },
    AssignmentCase { forwarders: 300, tasks: 40, holders: 8 },
];

/// Formats the minimum, mean and maximum of the values.
fn format_spread(values: impl Iterator<Item = f64>) -> String {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    match (values.first(), values.last()) {
        (Some(min), Some(max)) => format!("{min:.2} / {mean:.2} / {max:.2}"),
        _ => "none".into(),
    }
}

/// Runs a scenario with all seeds and prints a row of the results' spreads.
fn print_probe_row(name: &str, scenario: impl Fn(u64) -> Scenario) {
    let runs: Vec<(Scenario, SimulationResult)> =
        SEEDS.map(|seed| (scenario(seed), simulate(&scenario(seed)))).collect();
    let spread_of = |value: fn(&Scenario, &SimulationResult) -> Option<f64>| {
        format_spread(runs.iter().filter_map(|(scenario, result)| value(scenario, result)))
    };
    println!(
        "| {name} | {} | {} | {} | {} | {} |",
        spread_of(|scenario, result| Some(
            result.late_attempts_at_hung_caches as f64
                / (scenario.hang.to - scenario.hang.from - HANG_DETECTION_S)
        )),
        spread_of(|_, result| result.longest_probe_gap),
        spread_of(|_, result| result.recovery_time),
        spread_of(|_, result| result.takeover_time),
        spread_of(|_, result| Some(result.killed_forwarders as f64)),
    );
}

fn forwarder_ids(count: usize, seed: u64) -> Vec<ForwarderId> {
    (0..count).map(|n| ForwarderId::of_name(&format!("{seed} {n}"))).collect()
}

fn probe_tasks(count: u64) -> Vec<Task> {
    (0..count).map(|n| Task::Probe(EndpointId(n))).collect()
}

/// Returns the probe windows of one minute, which differ for each seed.
fn windows(seed: u64) -> impl Iterator<Item = Window> {
    (0..WINDOWS_PER_MINUTE).map(move |n| Window(seed * WINDOWS_PER_SEED + n))
}

/// Returns Jain's fairness index of the numbers of tasks that forwarders hold in a minute; 1 is an even
/// assignment.
fn fairness_index(case: &AssignmentCase, seed: u64) -> f64 {
    let forwarders = forwarder_ids(case.forwarders, seed);
    let mut held = BTreeMap::<ForwarderId, f64>::new();
    for window in windows(seed) {
        for task in probe_tasks(case.tasks) {
            for holder in assignees(task, window, &forwarders, case.holders) {
                *held.entry(holder).or_default() += 1.0;
            }
        }
    }
    let mut sum = 0.0;
    let mut squares = 0.0;
    for count in held.values() {
        sum += count;
        squares += count * count;
    }
    sum * sum / (case.forwarders as f64 * squares)
}

/// Returns, for each forwarder that could leave, the share of a minute's tasks that would move, times the
/// number of forwarders. 1 means that only the leaving forwarder's own tasks move.
fn moved_tasks(case: &AssignmentCase, seed: u64) -> Vec<f64> {
    let forwarders = forwarder_ids(case.forwarders, seed);
    let mut assignments = Vec::new();
    for window in windows(seed) {
        for task in probe_tasks(case.tasks) {
            assignments.push((task, window, assignees(task, window, &forwarders, 1)));
        }
    }
    let mut shares = Vec::new();
    for leaving in 0..case.forwarders {
        let mut remaining = forwarders.clone();
        remaining.remove(leaving);
        let has_moved = |&&(task, window, ref before): &&(Task, Window, _)| {
            assignees(task, window, &remaining, 1) != *before
        };
        let moved = assignments.iter().filter(has_moved).count();
        shares.push(moved as f64 / assignments.len() as f64 * case.forwarders as f64);
    }
    shares
}

fn print_probe_table() {
    println!("| fleet | probes a second | longest gap, s | back after, s | taken over after, s | died |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for forwarders in [3, 10, 30, 100, 300] {
        let scenario = |planners, seed| Scenario {
            forwarders,
            planners,
            rate: FLEET_REQUEST_RATE / forwarders as f64,
            seconds: 50.0,
            hang: HANG,
            seed,
            ..Scenario::default()
        };
        print_probe_row(&format!("{forwarders} without planners"), |seed| scenario(0, seed));
        print_probe_row(&format!("{forwarders}, two planners"), |seed| scenario(2, seed));
        let probers_die = |seed| Scenario { probers_killed_at: Some(20.0), ..scenario(2, seed) };
        print_probe_row(&format!("{forwarders}, all assignees die at 20 s"), probers_die);
        let planner_stalls = |seed| Scenario {
            planner_outage: Some(PLANNER_SUSPENSION),
            suspended_planners: 1,
            ..scenario(2, seed)
        };
        print_probe_row(&format!("{forwarders}, the first planner stalls from 15 to 25 s"), planner_stalls);
    }
}

fn print_assignment_table() {
    println!(
        "\n| forwarders | tasks | assignees | Jain's index over a minute | share of a minute's tasks moved when one \
         leaves, times n |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for case in &ASSIGNMENT_CASES {
        let fairness = format_spread(SEEDS.map(|seed| fairness_index(case, seed)));
        let moved = format_spread(SEEDS.flat_map(|seed| moved_tasks(case, seed)));
        let AssignmentCase { forwarders, tasks, holders } = case;
        println!("| {forwarders} | {tasks} | {holders} | {fairness} | {moved} |");
    }
}

fn main() {
    print_probe_table();
    print_assignment_table();
}
