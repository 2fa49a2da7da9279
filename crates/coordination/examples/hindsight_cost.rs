//! Prints what hindsight costs a planner and its letters, by the number of forwarders: in this process, no sockets. Each
//! forwarder serves three calls a second of two products over 200 caches.

use std::time::{Duration, Instant};

use granitelb_balancer::time::Time;
use granitelb_coordination::component::Component;
use granitelb_coordination::counterfactual::{
    CounterfactualMessage, How, PlannerComponent, SampledRequest, Settings, is_sampled,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const SECONDS: u64 = 600;

fn spread(n: u64) -> u64 {
    let x = (n ^ (n >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    (x ^ (x >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d) >> 7
}

fn observation(n: u64) -> Option<SampledRequest> {
    let call = spread(n);
    let of = |k: u64, most: u64| spread(call ^ k) % most;
    let first = of(1, 200);
    let place = u8::from(of(2, 8) == 0);
    is_sampled(call).then(|| SampledRequest {
        call,
        key: of(3, 20_000) as u32,
        request_class: of(4, 2) as u16,
        class: of(5, 3) as u8,
        candidates: vec![first, (first + 7) % 200, (first + 31) % 200],
        place,
        how: if of(6, 8) == 0 { How::Miss } else { How::Hit },
        took: 50 + of(7, 300) as u32,
        slo: 600,
        out: place,
        ago: of(8, 4000) as u32,
    })
}

fn main() {
    println!("| forwarders | bytes in a second | of a core | a round takes, at the longest | calls kept |");
    println!("| --- | --- | --- | --- | --- |");
    for forwarders in [50u64, 100, 200, 300, 500, 1000, 2000] {
        let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), Incarnation(1), Time(0));
        let (mut bytes, mut n, mut longest) = (0, 0, Duration::ZERO);
        let mut took = Duration::ZERO;
        for beat in 0..SECONDS / 4 {
            let now = Time(beat * 4_000_000);
            for forwarder in 0..forwarders {
                let seen: Vec<_> = (n..n + 12).filter_map(observation).collect();
                n += 12;
                let member = Member::Forwarder(ForwarderId(forwarder));
                let from = Sender { member, incarnation: Incarnation(1), sequence: beat };
                let message = CounterfactualMessage::Seen(seen);
                bytes += postcard::to_allocvec(&message).map_or(0, |b| b.len());
                let began = Instant::now();
                planner.on_message(now, from, message).expect("a sound letter");
                took += began.elapsed();
            }
            let began = Instant::now();
            while planner.poll_message(now).is_some() {}
            longest = longest.max(began.elapsed());
            took += began.elapsed();
        }
        println!(
            "| {forwarders} | {} | {:.2}% | {:.2} s | {} |",
            bytes as u64 / SECONDS,
            100.0 * took.as_secs_f64() / SECONDS as f64,
            longest.as_secs_f64(),
            planner.support()
        );
    }
}
