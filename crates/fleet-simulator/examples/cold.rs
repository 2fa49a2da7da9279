//! Plays days of cold caches, by default 40 seeds of each crossing, and prints what came of them; figures are simulated.
//! `cargo run --release -p granitelb-fleet-simulator --example cold -- 100`

use granitelb_fleet_simulator::cold_model::{CROSSINGS, Day, play};

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(40u64);
    let each = std::env::args().nth(2).is_some();
    println!("| crossing | days | starts | fell | broken | fullest window | served | work sent |");
    println!("|{}", " --- |".repeat(8));
    for crossing in CROSSINGS {
        let (mut starts, mut falls, mut broken, mut fullest) = (0, 0, 0, 0.0f64);
        let (mut calls, mut served, mut sent) = (0, 0, 0.0);
        for seed in 1..=seeds {
            let day = Day::drawn(crossing, seed);
            let came = play(&day);
            if each && came.broken > 0 {
                println!("{came:?}\n  {day:?}");
            }
            (starts, falls, broken) = (starts + came.starts, falls + came.falls, broken + came.broken);
            (calls, served, sent) = (calls + came.calls, served + came.served, sent + came.sent);
            fullest = fullest.max(came.fullest);
        }
        let share = served as f64 / calls as f64;
        println!(
            "| {crossing:?} | {seeds} | {starts} | {falls} | {broken} | {fullest:.2} | {share:.3} | {sent:.0} |"
        );
    }
}
