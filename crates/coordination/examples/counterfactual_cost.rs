//! Prints the processor time and network traffic of off-policy evaluation at a planner, by the number of
//! forwarders. All runs in one process, without sockets. Each forwarder serves three requests per second, of
//! two request classes, from 200 caches.

use std::time::{Duration, Instant};

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, PlannerComponent, SampledRequest, ServiceOutcome, Settings, is_sampled,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const SECONDS: u64 = 600;
const BATCH_SECONDS: u64 = 4;
const REQUESTS_PER_BATCH: u64 = 12;
const CACHES: u64 = 200;
const KEYS: u64 = 20_000;
const FORWARDERS: [u64; 7] = [50, 100, 200, 300, 500, 1000, 2000];

/// A pseudo-random number of `n`.
fn mix(n: u64) -> u64 {
    let x = (n ^ (n >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    (x ^ (x >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d) >> 7
}

/// Returns the `n`th request; none if it is not sampled.
fn sampled_request(n: u64) -> Option<SampledRequest> {
    let request_hash = mix(n);
    if !is_sampled(request_hash) {
        return None;
    }
    let draw = |salt: u64, below: u64| mix(request_hash ^ salt) % below;
    let first = draw(1, CACHES);
    let position = u8::from(draw(2, 8) == 0);
    Some(SampledRequest {
        request_hash,
        key_hash: draw(3, KEYS) as u32,
        request_class: draw(4, 2) as u16,
        work_class: draw(5, 3) as u8,
        candidates: vec![first, (first + 7) % CACHES, (first + 31) % CACHES],
        position,
        outcome: if draw(6, 8) == 0 { ServiceOutcome::Miss } else { ServiceOutcome::Hit },
        duration: 50 + draw(7, 300) as u32,
        slo: 600,
        in_flight: position,
        age_ms: draw(8, 4000) as u32,
    })
}

/// The cost of a run.
#[derive(Default)]
struct Cost {
    /// The bytes of the messages to the planner.
    bytes: usize,
    /// The time in which the planner handled messages and ran rounds.
    busy: Duration,
    longest_round: Duration,
    stored_requests: usize,
}

/// Runs a planner with this many forwarders for [`SECONDS`] of simulated time.
fn run(forwarders: u64) -> Cost {
    let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), Incarnation(1), Time(0));
    let mut cost = Cost::default();
    let mut n = 0;
    for batch in 0..SECONDS / BATCH_SECONDS {
        let now = Time(batch * BATCH_SECONDS * 1_000_000);
        for forwarder in 0..forwarders {
            let requests: Vec<_> = (n..n + REQUESTS_PER_BATCH).filter_map(sampled_request).collect();
            n += REQUESTS_PER_BATCH;
            let member = Member::Forwarder(ForwarderId(forwarder));
            let from = Sender { member, incarnation: Incarnation(1), sequence: batch };
            let message = CounterfactualMessage::Requests(requests);
            cost.bytes += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
            let start = Instant::now();
            planner.on_message(now, from, message).expect("a valid message");
            cost.busy += start.elapsed();
        }
        let start = Instant::now();
        while planner.poll_message(now).is_some() {}
        cost.longest_round = cost.longest_round.max(start.elapsed());
        cost.busy += start.elapsed();
    }
    cost.stored_requests = planner.request_count();
    cost
}

fn main() {
    println!(
        "| forwarders | bytes received per second | share of a core | longest round | requests stored |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for forwarders in FORWARDERS {
        let cost = run(forwarders);
        println!(
            "| {forwarders} | {} | {:.2}% | {:.2} s | {} |",
            cost.bytes as u64 / SECONDS,
            100.0 * cost.busy.as_secs_f64() / SECONDS as f64,
            cost.longest_round.as_secs_f64(),
            cost.stored_requests
        );
    }
}
