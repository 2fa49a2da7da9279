//! Measures the cost of shard growth reports for up to 300 forwarders and 256 shards: the bytes and messages
//! per second to one planner, the fraction of a core that the planner uses for them, and the entries that the
//! planner holds.

use std::time::Instant;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::{EndpointId, Key, RequestClassId};
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::observation::{FinishedAttempt, Observation};
use granitelb_coordination::shard_growth::accounting_day::AccountingDay;
use granitelb_coordination::shard_growth::{
    Calendar, ForwarderComponent, ForwarderSettings, GrowthMessage, PlannerComponent, PlannerSettings,
};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const START: Time = Time(1_000_000_000);
const TODAY: AccountingDay = AccountingDay(20_000);
const PLANNER: PlannerId = PlannerId(1);
const HOURS: u64 = 23;
const TICK_MILLIS: u64 = 10_000;
const TICKS_PER_HOUR: u64 = 360;
const TICK_SECONDS: f64 = 10.0;
const KEYS: f64 = 1e6;
/// The approximate length of an envelope in bytes.
const ENVELOPE_BYTES: u64 = 48;

/// The reports that one planner received, and the time in seconds that the planner used for them.
#[derive(Default)]
struct Received {
    bytes: u64,
    messages: u64,
    handling_seconds: f64,
}

fn main() {
    println!(
        "| forwarders | requests a second each | bytes a second to a planner | messages a second | of a core | entries |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (forwarders, requests_per_second) in [(50, 1.5), (300, 1.5), (300, 15.0)] {
        print_row(forwarders, requests_per_second);
    }
}

fn print_row(forwarders: u64, requests_per_second: f64) {
    let mut planner = start_planner(forwarders);
    let mut received = Received::default();
    for forwarder in 0..forwarders {
        simulate_forwarder(forwarder, requests_per_second, &mut planner, &mut received);
    }
    let seconds = (HOURS * 3600) as f64;
    println!(
        "| {forwarders} | {requests_per_second} | {:.0} | {:.1} | {:.3}% | {} |",
        received.bytes as f64 / seconds,
        received.messages as f64 / seconds,
        100.0 * received.handling_seconds / seconds,
        planner.entries()
    );
}

fn start_planner(forwarders: u64) -> PlannerComponent {
    let calendar = Calendar { at: START, day: TODAY, elapsed_in_day: Span::ZERO };
    let settings = PlannerSettings::default();
    let mut planner = PlannerComponent::new(settings, PLANNER, Incarnation(1), START, calendar, None)
        .expect("there is no snapshot");
    let members: Vec<_> = (0..forwarders).map(|id| Member::Forwarder(ForwarderId(id))).collect();
    planner.on_membership_change(START, &members);
    planner
}

fn start_forwarder(id: ForwarderId) -> ForwarderComponent {
    let mut forwarder = ForwarderComponent::new(ForwarderSettings::default(), id, Incarnation(id.0), START);
    forwarder.on_membership_change(START, &[Member::Planner(PLANNER)]);
    let from = Sender { member: Member::Planner(PLANNER), incarnation: Incarnation(1), sequence: 0 };
    forwarder
        .on_message(START, from, GrowthMessage::CurrentDay { day: TODAY })
        .expect("the message is valid");
    forwarder
}

fn simulate_forwarder(
    id: u64,
    requests_per_second: f64,
    planner: &mut PlannerComponent,
    received: &mut Received,
) {
    let member = Member::Forwarder(ForwarderId(id));
    let from = Sender { member, incarnation: Incarnation(1), sequence: 0 };
    let mut forwarder = start_forwarder(ForwarderId(id));
    let requests_per_tick = (requests_per_second * TICK_SECONDS) as u64;
    for tick in 0..HOURS * TICKS_PER_HOUR {
        let now = START + Span::from_millis(tick * TICK_MILLIS);
        for request in 0..requests_per_tick {
            let attempt = finished_attempt(id, tick, request);
            forwarder.on_observation(now, &Observation::AttemptFinished(Box::new(attempt)));
        }
        while let Some((_, message)) = forwarder.poll_message(now) {
            let encoded = postcard::to_stdvec(&message).expect("messages can be encoded");
            received.bytes += encoded.len() as u64 + ENVELOPE_BYTES;
            received.messages += 1;
            let began = Instant::now();
            planner.on_message(START, from, message).expect("the message is valid");
            received.handling_seconds += began.elapsed().as_secs_f64();
        }
    }
}

/// A finished attempt for one of a million keys. Keys with low numbers occur more often.
fn finished_attempt(forwarder: u64, tick: u64, request: u64) -> FinishedAttempt {
    let index = forwarder << 40 | tick << 10 | request;
    let drawn = xxh3_64_with_seed(&index.to_le_bytes(), 1) as f64 / u64::MAX as f64;
    FinishedAttempt {
        request_hash: request,
        number: 0,
        key: Key((drawn * drawn * KEYS) as u64),
        request_class: RequestClassId(0),
        write: request.is_multiple_of(10),
        work: None,
        cache: EndpointId(1),
        is_origin: false,
        candidates: Vec::new(),
        outcome: AttemptOutcome::Fulfilled,
        latency: Span::from_millis(5),
        bytes: 1000,
        in_flight_at_send: 0,
        slo: Span::from_millis(500),
    }
}
