//! Estimates how the hit ratio falls if each node uses fewer of the caches.
//!
//! If nodes and caches were split into groups, each with its own table of slots, a node would open
//! connections to fewer caches, and each group would store each key once. The figures are calculated, not
//! simulated: hits of one pooled cache of the group's size, and random arrivals of requests at each pair of
//! node and cache.

use granitelb_fleet_simulator::Scenario;
use granitelb_fleet_simulator::popularity::Popularity;

/// Connections that have been idle for longer than this share of the servers' idle timeout are not reused.
const IDLE_REUSE_SHARE: f64 = 0.7;
/// The largest number of groups in the table.
const MAX_GROUPS: usize = 5;

fn main() {
    let scenario = Scenario::default();
    let popularity = Popularity::new(&scenario);
    println!("| groups | hits | origin's reads | handshakes per attempt |");
    println!("| --- | --- | --- | --- |");
    let max_idle_s = scenario.idle_timeout.as_secs_f64() * IDLE_REUSE_SHARE;
    let misses = 1.0 - popularity.pooled_cache(&scenario).hit_ratio;
    for groups in 1..=MAX_GROUPS {
        let group_count = groups as f64;
        // Each group has an equal part of the requests and of the memory, and all of the keys.
        let group = Scenario { load: scenario.load / group_count, ..scenario.clone() };
        let hits = popularity.pooled_cache(&group).hit_ratio;
        let caches_per_group = scenario.caches as f64 / group_count;
        let rate_of_pair = scenario.request_rate() / scenario.nodes as f64 / caches_per_group;
        let handshakes = (-rate_of_pair * max_idle_s).exp();
        println!("| {groups} | {hits:.3} | x {:.2} | {handshakes:.2} |", (1.0 - hits) / misses);
    }
}
