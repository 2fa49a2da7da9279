//! Prints what planners bring a fleet with a hung cache, beside the same fleet without: simulated figures.

use granitelb_fleet_simulator::two_levels::{Came, Play, play};

fn row(what: &str, came: &Came) {
    let back = came.back_after.map_or("never".into(), |s| format!("{s:.0} s"));
    let of = |n: usize| 100.0 * n as f64 / came.calls as f64;
    println!(
        "| {what} | {:.2}% | {:.2}% | {} | {} | {back} | {} | {:.0} |",
        of(came.in_time),
        of(came.errored),
        came.wasted,
        came.wasted_late,
        came.letters,
        came.bytes as f64 / came.letters.max(1) as f64
    );
}

fn main() {
    println!(
        "| fleet | in time | errored | shots wasted | of them after 3 s | back after | letters | bytes each |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in 1..=3 {
        let of = |planners| Play { planners, seed, ..Play::default() };
        row(&format!("lone, seed {seed}"), &play(&of(0)));
        row(&format!("two planners, seed {seed}"), &play(&of(2)));
        row(&format!("one planner, seed {seed}"), &play(&of(1)));
        let dead = Play { planners_dead: Some((0.0, 30.0)), ..of(2) };
        row(&format!("two planners silent for 30 s, seed {seed}"), &play(&dead));
        row(&format!("a liar among two, seed {seed}"), &play(&Play { liar: true, ..of(2) }));
        row(
            &format!("half of the letters with a bit changed, seed {seed}"),
            &play(&Play { spoilt: 0.5, ..of(2) }),
        );
        row(&format!("half of the letters lost, seed {seed}"), &play(&Play { loss: 0.5, ..of(2) }));
    }
    for forwarders in [20, 50, 100] {
        let few =
            |planners| Play { forwarders, planners, rate: 600.0 / forwarders as f64, ..Play::default() };
        row(&format!("{forwarders} lone, as many calls"), &play(&few(0)));
        row(&format!("{forwarders} with two planners"), &play(&few(2)));
    }
}
