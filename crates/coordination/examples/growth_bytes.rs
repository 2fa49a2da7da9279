//! What growth's signals cost at 300 forwarders and 256 shards: bytes a second to one planner, its time, and entries.

use std::time::Instant;

use granitelb_balancer::calls::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::shard_growth::sketch::Day;
use granitelb_coordination::shard_growth::{
    Calendar, ForwarderComponent, ForwarderSettings, PlannerComponent, Settings,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const HOURS: u64 = 23;

fn main() {
    println!(
        "| forwarders | calls a second each | bytes a second to a planner | letters a second | of a core | entries |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (forwarders, per_s) in [(50, 1.5), (300, 1.5), (300, 15.0)] {
        row(forwarders, per_s);
    }
}

fn row(forwarders: u64, per_s: f64) {
    let start = Time(1_000_000_000);
    let calendar = Calendar { at: start, day: Day(20_000), into: Span::ZERO };
    let me = PlannerId(1);
    let mut planner = PlannerComponent::new(Settings::default(), me, Incarnation(1), start, calendar, None)
        .expect("nothing was kept");
    planner.on_membership_change(
        start,
        &(0..forwarders).map(|f| Member::Forwarder(ForwarderId(f))).collect::<Vec<_>>(),
    );
    let (mut bytes, mut letters, mut busy) = (0u64, 0u64, 0.0);
    for f in 0..forwarders {
        let from =
            Sender { member: Member::Forwarder(ForwarderId(f)), incarnation: Incarnation(1), sequence: 0 };
        let today = Sender { member: Member::Planner(me), ..from };
        let mut forwarder =
            ForwarderComponent::new(ForwarderSettings::default(), ForwarderId(f), Incarnation(f), start);
        forwarder.on_membership_change(start, &[Member::Planner(me)]);
        forwarder
            .on_message(
                start,
                today,
                granitelb_coordination::shard_growth::GrowthMessage::Today { day: Day(20_000) },
            )
            .expect("sound");
        let calls = (per_s * 10.0) as u64;
        for tick in 0..HOURS * 360 {
            let now = start + Span::from_millis(tick * 10_000);
            for n in 0..calls {
                // A million keys, the first ones more often.
                let drawn =
                    xxh3_64_with_seed(&(f << 40 | tick << 10 | n).to_le_bytes(), 1) as f64 / u64::MAX as f64;
                let ended = FinishedAttempt {
                    request_hash: n,
                    number: 0,
                    key: Key((drawn * drawn * 1e6) as u64),
                    request_class: RequestClassId(0),
                    write: n % 10 == 0,
                    work: None,
                    cache: EndpointId(1),
                    is_origin: false,
                    candidates: Vec::new(),
                    outcome: AttemptOutcome::Fulfilled,
                    latency: Span::from_millis(5),
                    bytes: 1000,
                    in_flight_at_send: 0,
                    slo: Span::from_millis(500),
                };
                forwarder.seen(now, &Observation::AttemptFinished(Box::new(ended)));
            }
            while let Some((_, message)) = forwarder.poll_message(now) {
                // An envelope takes about 48 more.
                bytes += postcard::to_stdvec(&message).expect("plain").len() as u64 + 48;
                letters += 1;
                let began = Instant::now();
                planner.on_message(start, from, message).expect("sound");
                busy += began.elapsed().as_secs_f64();
            }
        }
    }
    let seconds = (HOURS * 3600) as f64;
    println!(
        "| {forwarders} | {per_s} | {:.0} | {:.1} | {:.3}% | {} |",
        bytes as f64 / seconds,
        letters as f64 / seconds,
        100.0 * busy / seconds,
        planner.entries()
    );
}
