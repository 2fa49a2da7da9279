//! What it would cost in misses to have nodes share fewer caches: were nodes and caches parted into groups, each with a
//! table of its own, a node would open connections to fewer caches, and each key would be kept once in each group.
//! Reckoned, not played: hits of one pooled cache of the group's size, calls at a pair of node and cache by chance.

use granitelb_fleet_simulator::Play;
use granitelb_fleet_simulator::popularity::Popularity;

/// Connections idle for longer than this share of the limit are not used again.
const IDLE_SHARE: f64 = 0.7;

fn main() {
    let play = Play::default();
    let keys = Popularity::new(&play);
    println!("| groups | hits | origin's reads | handshakes a shot |");
    println!("| --- | --- | --- | --- |");
    let kept = play.idle.as_secs_f64() * IDLE_SHARE;
    let misses = 1.0 - keys.pooled(&play).0;
    for groups in 1..=5 {
        let of = groups as f64;
        // A group has its part of the calls and of the memory, and all of the keys.
        let part = Play { load: play.load / of, ..play.clone() };
        let hits = keys.pooled(&part).0;
        let at_pair = play.rate() / play.nodes as f64 / (play.caches as f64 / of);
        let handshakes = (-at_pair * kept).exp();
        println!("| {groups} | {hits:.3} | x {:.2} | {handshakes:.2} |", (1.0 - hits) / misses);
    }
}
