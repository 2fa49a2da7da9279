//! Prints what one planner costs by the number of forwarders: letters opened, members kept, reports merged, plans sealed
//! in this process, no sockets. Each forwarder reports twice a second what it saw of five caches of 70, one of which
//! hangs.

use std::time::Instant;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::{HealthMessage, Part, PlannerComponent};
use granitelb_coordination::membership::Members;
use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Report, Seen, Sender, Settings};

const SECONDS: u64 = 10;

fn main() {
    println!(
        "| forwarders | of a core | a report in, a plan out | bytes in a second | bytes out a second | entries kept | all joining |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let secrets = Secrets::one(Secret::new(b"of all that are asked").expect("long enough"));
    let seal = |sender, letter| message::seal(sender, &letter, &secrets).expect("a letter");
    let (me, incarnation) = (Member::Planner(PlannerId(1)), Incarnation(1));
    for forwarders in [50, 100, 200, 300, 500, 1000, 2000] {
        let seen = |from: u64, n: u64, k: u64| {
            let cache = (from + n + 14 * k) % 70;
            let ill = f64::from(u8::from(cache == 0));
            Seen { cache: EndpointId(cache), answered: 1.0 - ill, failed: ill, out: 0.0 }
        };
        let id = |from: u64| ForwarderId::of_name(&format!("forwarder {from}"));
        let report = |from: u64, n: u64| {
            let caches = (0..5).map(|k| seen(from, n, k)).collect();
            let sender = Sender { member: Member::Forwarder(id(from)), incarnation, number: n };
            let report = Report { number: n, part: Part::WHOLE, caches };
            seal(sender, Message::EndpointHealth(HealthMessage::Report(report)))
        };
        let letters: Vec<_> = (1..=2 * SECONDS)
            .flat_map(|n| (0..forwarders).map(move |from| (n, from)))
            .map(|(n, from)| report(from, n))
            .collect();
        let mut members = Members::new(me, incarnation, Time(0));
        let mut planner = PlannerComponent::new(Settings::default(), PlannerId(1), incarnation, Time(0));
        let (mut out, mut plans, mut number) = (0_u32, 0, 0);
        let (mut began, mut joined) = (Instant::now(), 0.0);
        for (n, letter) in letters.iter().enumerate() {
            let now = Time(0) + Span(n as u64 * 500_000 / forwarders);
            if n as u64 == forwarders {
                // All are there: what comes now is the cost of a fleet that stays.
                (joined, began) = (began.elapsed().as_secs_f64(), Instant::now());
                (out, plans) = (0, 0);
            }
            let Ok((sender, Message::EndpointHealth(message))) = message::open(letter, &secrets) else {
                continue;
            };
            if members.take(now, sender).expect("news") {
                let alive = members.changed(now).expect("one more");
                planner.on_membership_change(now, &alive);
            }
            planner.on_message(now, sender, message).expect("a sound report");
            while let Some((to, plan)) = planner.poll_message(now) {
                number += 1;
                members.sent(now, to);
                out += seal(Sender { member: me, incarnation, number }, Message::EndpointHealth(plan)).len()
                    as u32;
                plans += 1;
            }
            while let Some((_, beat)) = members.poll_message(now) {
                number += 1;
                out +=
                    seal(Sender { member: me, incarnation, number }, Message::Membership(beat)).len() as u32;
            }
        }
        let took = began.elapsed().as_secs_f64();
        let came: usize = letters[forwarders as usize..].iter().map(Vec::len).sum();
        let seconds = SECONDS as f64 - 0.5;
        println!(
            "| {forwarders} | {:.2}% | {:.1} us | {} | {} | {} | {:.0} ms |",
            100.0 * took / seconds,
            1e6 * took / plans as f64,
            (came as f64 / seconds) as u64,
            (f64::from(out) / seconds) as u64,
            planner.entries() + members.entries(),
            1e3 * joined
        );
    }
}
