//! Leases played over a bad network: `cargo run --release -p granitelb-fleet-simulator --example leases [SEED...] [standing]`. With
//! standing parts of 0.7 and a floor of 0.05, or without and with even own parts of a quarter.

use granitelb_coordination::leases::Settings;
use granitelb_fleet_simulator::leases_model::{Play, play};

fn main() {
    let seeds: Vec<u64> = std::env::args().skip(1).filter_map(|s| s.parse().ok()).collect();
    let standing = std::env::args().any(|a| a == "standing");
    let settings = |one: &Play| Settings {
        guaranteed_per_mille: if standing { 50 } else { one.settings.guaranteed_per_mille },
        long_term_per_mille: if standing { 700 } else { 0 },
        ..one.settings.clone()
    };
    let growth = vec![(0.0, 4), (15.0, 40), (30.0, 6), (45.0, 300), (60.0, 6)];
    let calm = Play { loss: 0.0, troubles: 0.0, ..Play::default() };
    let plays = [
        ("3, troubles", Play { up: vec![(0.0, 3)], ..Play::default() }),
        ("40, troubles", Play::default()),
        (
            "300, three planners, troubles",
            Play { up: vec![(0.0, 300)], planners: 3, troubles: 2.0, ..Play::default() },
        ),
        ("40, half of the letters lost", Play { loss: 0.5, ..Play::default() }),
        ("40, calm, wants change", calm.clone()),
        ("300, calm, wants stay", Play { up: vec![(0.0, 300)], changes: None, ..calm.clone() }),
        ("40, calm, wants stay", Play { changes: None, ..calm.clone() }),
        (
            "40, planners dead 15 to 25 s",
            Play { planners_dead: Some((15.0, 25.0)), seconds: 60.0, ..calm.clone() },
        ),
        ("4 to 40, 6, 300 and 6", Play { up: growth.clone(), seconds: 75.0, ..calm.clone() }),
        ("the same, troubles", Play { up: growth, seconds: 75.0, ..Play::default() }),
    ];
    println!(
        "| play | seed | most held of the whole | moments over | used of the fair part | Jain | waited, s | bytes a forwarder a s | largest | entries |"
    );
    println!("|{}", " --- |".repeat(10));
    for seed in if seeds.is_empty() { vec![1] } else { seeds } {
        for (name, one) in &plays {
            let came = play(&Play { seed, settings: settings(one), ..one.clone() });
            let most_up = one.up.iter().map(|(_, n)| *n).max().unwrap_or(1) as f64;
            println!(
                "| {name} | {seed} | {:.3} | {} | {:.3} | {:.3} | {:.1} | {:.0} | {} | {} |",
                came.most,
                came.exceeded,
                came.used,
                came.jain,
                came.waited,
                came.bytes as f64 / one.seconds / most_up,
                came.largest,
                came.entries
            );
        }
    }
}
