//! Prints how a sick cache is tried by fleets of 3 to 300 forwarders, how even duties are, and what moves: simulated and
//! reckoned figures.

use granitelb_balancer::ids::EndpointId;
use granitelb_coordination::ForwarderId;
use granitelb_coordination::probe_scheduling::{Task, Window, assignees};
use granitelb_fleet_simulator::control_plane::{Period, Scenario, SimulationResult, simulate};

const SEEDS: std::ops::Range<u64> = 301..306;

/// Least, mean and most.
fn spread(all: impl Iterator<Item = f64>) -> String {
    let mut all: Vec<_> = all.collect();
    all.sort_by(f64::total_cmp);
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    match (all.first(), all.last()) {
        (Some(least), Some(most)) => format!("{least:.2} / {mean:.2} / {most:.2}"),
        _ => "none".into(),
    }
}

fn print_probes(label: &str, scenario: impl Fn(u64) -> Scenario) {
    let runs: Vec<(Scenario, SimulationResult)> =
        SEEDS.map(|seed| (scenario(seed), simulate(&scenario(seed)))).collect();
    let each = |measure: fn(&Scenario, &SimulationResult) -> Option<f64>| {
        spread(runs.iter().filter_map(|(scenario, result)| measure(scenario, result)))
    };
    println!(
        "| {label} | {} | {} | {} | {} | {} |",
        each(|s, r| Some(r.late_wasted_attempts as f64 / (s.hang.to - s.hang.from - 3.0))),
        each(|_, r| r.longest_probe_gap),
        each(|_, r| r.recovery_time),
        each(|_, r| r.takeover_time),
        each(|_, r| Some(r.killed_forwarders as f64)),
    );
}

fn members(n: usize, seed: u64) -> Vec<ForwarderId> {
    (0..n).map(|k| ForwarderId::of_name(&format!("{seed} {k}"))).collect()
}

fn duties(n: u64) -> Vec<Task> {
    (0..n).map(|n| Task::Probe(EndpointId(n))).collect()
}

/// Of duties held over a minute's windows: 1 is wholly even.
fn jain(n: usize, many: u64, each: usize, seed: u64) -> f64 {
    let all = members(n, seed);
    let mut held = std::collections::BTreeMap::<ForwarderId, f64>::new();
    for window in 0..30 {
        for duty in duties(many) {
            for holder in assignees(duty, Window(window + seed * 1000), &all, each) {
                *held.entry(holder).or_default() += 1.0;
            }
        }
    }
    let (sum, squares) = held.values().fold((0.0, 0.0), |s, c| (s.0 + c, s.1 + c * c));
    sum * sum / (n as f64 * squares)
}

/// The share of a minute's duties that move when one goes, times n: 1 is its own and no other.
fn moved(n: usize, many: u64, seed: u64) -> impl Iterator<Item = f64> {
    let all = members(n, seed);
    let windows = (0..30).map(move |k| Window(seed * 1000 + k));
    let pairs: Vec<_> = windows.flat_map(|w| duties(many).into_iter().map(move |d| (d, w))).collect();
    let before: Vec<_> = pairs.iter().map(|(d, w)| assignees(*d, *w, &all, 1)).collect();
    (0..n).map(move |gone| {
        let mut rest = all.clone();
        rest.remove(gone);
        let moves =
            pairs.iter().zip(&before).filter(|((d, w), b)| assignees(*d, *w, &rest, 1) != **b).count();
        moves as f64 / pairs.len() as f64 * n as f64
    })
}

fn main() {
    println!("| fleet | trials a second | longest quiet, s | back after, s | taken over after, s | died |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for forwarders in [3, 10, 30, 100, 300] {
        let rate = 600.0 / forwarders as f64;
        let of = |planners, seed| Scenario {
            forwarders,
            planners,
            rate,
            seconds: 50.0,
            hang: Period { from: 8.0, to: 40.0 },
            seed,
            ..Scenario::default()
        };
        print_probes(&format!("{forwarders} lone"), |seed| of(0, seed));
        print_probes(&format!("{forwarders}, two planners"), |seed| of(2, seed));
        let die = |seed| Scenario { probers_killed_at: Some(20.0), ..of(2, seed) };
        print_probes(&format!("{forwarders}, all holders die at 20 s"), die);
        let outage = Period { from: 15.0, to: 25.0 };
        let suspended =
            |seed| Scenario { planner_outage: Some(outage), suspended_planners: 1, ..of(2, seed) };
        print_probes(&format!("{forwarders}, the first planner stands still from 15 to 25 s"), suspended);
    }
    println!(
        "\n| forwarders | duties | held by | Jain's index over a minute | share of a minute's duties moved when one goes, times n |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (n, many, each) in [(10, 30, 1), (30, 30, 1), (60, 40, 1), (300, 40, 1), (300, 40, 8)] {
        let index = spread(SEEDS.map(|seed| jain(n, many, each, seed)));
        let moves = spread(SEEDS.flat_map(|seed| moved(n, many, seed)));
        println!("| {n} | {many} | {each} | {index} | {moves} |");
    }
}
