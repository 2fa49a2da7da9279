//! Simulates leases over an unreliable network and prints one row of simulated figures for each scenario:
//! `cargo run --release -p granitelb-fleet-simulator --example leases [SEED...] [long-term]`.
//!
//! With `long-term` (or its old name `standing`), long-term allocations are 0.7 of the capacity and
//! guaranteed shares 0.05. Without `long-term`, guaranteed shares are a quarter of the capacity.

use granitelb_coordination::leases::Settings;
use granitelb_fleet_simulator::lease_simulation::{FleetSize, Outage, Scenario, SimulationResult, simulate};

const COLUMNS: [&str; 10] = [
    "scenario",
    "seed",
    "peak permitted of the capacity",
    "violations",
    "used of the fair share",
    "Jain index",
    "longest shortage, s",
    "bytes a forwarder a s",
    "largest message",
    "entries",
];

fn main() {
    let mut seeds: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    if seeds.is_empty() {
        seeds.push(1);
    }
    let has_long_term = std::env::args().any(|arg| arg == "long-term" || arg == "standing");
    println!("| {} |", COLUMNS.join(" | "));
    println!("|{}", " --- |".repeat(COLUMNS.len()));
    for seed in seeds {
        for (name, scenario) in scenarios() {
            let settings = settings(&scenario, has_long_term);
            let scenario = Scenario { seed, settings, ..scenario };
            print_row(name, &scenario, &simulate(&scenario));
        }
    }
}

fn settings(scenario: &Scenario, has_long_term: bool) -> Settings {
    if has_long_term {
        Settings { guaranteed_per_mille: 50, long_term_per_mille: 700, ..scenario.settings.clone() }
    } else {
        Settings { long_term_per_mille: 0, ..scenario.settings.clone() }
    }
}

fn scenarios() -> Vec<(&'static str, Scenario)> {
    let growth: Vec<_> = [(0.0, 4), (15.0, 40), (30.0, 6), (45.0, 300), (60.0, 6)]
        .into_iter()
        .map(|(from_second, forwarders)| FleetSize { from_second, forwarders })
        .collect();
    let faulty = Scenario::default();
    let reliable = Scenario { message_loss: 0.0, faults_per_second: 0.0, ..Scenario::default() };
    let with_size = |size, scenario: &Scenario| Scenario {
        fleet_sizes: Scenario::constant_size(size),
        ..scenario.clone()
    };
    let constant_demand = Scenario { demand_change_interval: None, ..reliable.clone() };
    let outage = Outage { from_second: 15.0, to_second: 25.0 };
    vec![
        ("3, faults", with_size(3, &faulty)),
        ("40, faults", faulty.clone()),
        (
            "300, three planners, faults",
            Scenario { planners: 3, faults_per_second: 2.0, ..with_size(300, &faulty) },
        ),
        ("40, half of the messages lost", Scenario { message_loss: 0.5, ..faulty.clone() }),
        ("40, reliable, changing demands", reliable.clone()),
        ("300, reliable, constant demands", with_size(300, &constant_demand)),
        ("40, reliable, constant demands", constant_demand),
        (
            "40, planners down from 15 to 25 s",
            Scenario { planner_outage: Some(outage), seconds: 60.0, ..reliable.clone() },
        ),
        ("4 to 40, 6, 300 and 6", Scenario { fleet_sizes: growth.clone(), seconds: 75.0, ..reliable }),
        ("the same, faults", Scenario { fleet_sizes: growth, seconds: 75.0, ..faulty }),
    ]
}

fn print_row(name: &str, scenario: &Scenario, result: &SimulationResult) {
    let forwarders = scenario.max_forwarders() as f64;
    println!(
        "| {name} | {} | {:.3} | {} | {:.3} | {:.3} | {:.1} | {:.0} | {} | {} |",
        scenario.seed,
        result.peak_permitted,
        result.violations,
        result.used_of_fair_share,
        result.jain_index,
        result.longest_shortage,
        result.bytes as f64 / scenario.seconds / forwarders,
        result.largest_message,
        result.max_entries
    );
}
