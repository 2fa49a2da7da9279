//! Prints simulated figures of a fleet with a hung cache, with planners and without.

use granitelb_fleet_simulator::control_plane::{Period, Scenario, SimulationResult, simulate};

/// The request rate of a whole fleet, per second, where fleets of different sizes are compared.
const FLEET_RATE: f64 = 600.0;

fn print_row(label: &str, result: &SimulationResult) {
    let percent = |count: usize| 100.0 * count as f64 / result.requests as f64;
    let recovery = match result.recovery_time {
        Some(seconds) => format!("{seconds:.0} s"),
        None => "never".to_string(),
    };
    println!(
        "| {label} | {:.2}% | {:.2}% | {} | {} | {recovery} | {} | {:.0} |",
        percent(result.fulfilled_in_time),
        percent(result.errored),
        result.attempts_at_hung_caches,
        result.late_attempts_at_hung_caches,
        result.messages,
        result.message_bytes as f64 / result.messages.max(1) as f64
    );
}

fn print_fault_rows(seed: u64) {
    let with_planners = |planners| Scenario { planners, seed, ..Scenario::default() };
    let suspended = Scenario { planner_outage: Some(Period { from: 0.0, to: 30.0 }), ..with_planners(2) };
    let byzantine = Scenario { has_byzantine_members: true, ..with_planners(2) };
    let corrupting = Scenario { corruption: 0.5, ..with_planners(2) };
    let lossy = Scenario { loss: 0.5, ..with_planners(2) };
    let rows = [
        ("no planner", with_planners(0)),
        ("two planners", with_planners(2)),
        ("one planner", with_planners(1)),
        ("two planners suspended for 30 s", suspended),
        ("a byzantine planner among two", byzantine),
        ("half of the messages with a bit changed", corrupting),
        ("half of the messages lost", lossy),
    ];
    for (label, scenario) in rows {
        print_row(&format!("{label}, seed {seed}"), &simulate(&scenario));
    }
}

fn main() {
    println!(
        "| fleet | in time | errored | attempts wasted | after 3 s | recovered after | messages | bytes each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=3 {
        print_fault_rows(seed);
    }
    for forwarders in [20, 50, 100] {
        let rate = FLEET_RATE / forwarders as f64;
        let with_planners = |planners| Scenario { forwarders, planners, rate, ..Scenario::default() };
        let alone = simulate(&with_planners(0));
        print_row(&format!("{forwarders} without planners, the same requests"), &alone);
        print_row(&format!("{forwarders} with two planners"), &simulate(&with_planners(2)));
    }
}
