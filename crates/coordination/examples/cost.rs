//! Prints the cost of endpoint health at one planner, by the number of forwarders. The planner opens
//! messages, tracks members, merges reports and seals updates in this process, without sockets. Each
//! forwarder reports twice per second on five of 70 endpoints, one of which hangs.

use std::time::Instant;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::{Fragment, HealthMessage, PlannerComponent};
use granitelb_coordination::membership::{Acceptance, Membership};
use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{
    EndpointCounts, ForwarderId, HealthReport, Incarnation, Member, PlannerId, Sender, Settings,
};

const SECONDS: u64 = 10;
const REPORTS_PER_SECOND: u64 = 2;
const REPORT_INTERVAL_MICROS: u64 = 1_000_000 / REPORTS_PER_SECOND;
const REPORT_INTERVAL_SECS: f64 = 0.5;
const ENDPOINTS: u64 = 70;
const ENDPOINTS_PER_REPORT: u64 = 5;
const FLEET_SIZES: [u64; 7] = [50, 100, 200, 300, 500, 1000, 2000];

const PLANNER: PlannerId = PlannerId(1);
const INCARNATION: Incarnation = Incarnation(1);

/// A planner that seals its messages, counts them and discards them.
struct Planner {
    secrets: Secrets,
    membership: Membership,
    health: PlannerComponent,
    sequence: u64,
    bytes_sent: usize,
    updates_sent: u64,
}

impl Planner {
    fn new(secrets: Secrets) -> Planner {
        Planner {
            secrets,
            membership: Membership::new(Member::Planner(PLANNER), INCARNATION, Time(0)),
            health: PlannerComponent::new(Settings::default(), PLANNER, INCARNATION, Time(0)),
            sequence: 0,
            bytes_sent: 0,
            updates_sent: 0,
        }
    }

    fn on_datagram(&mut self, now: Time, bytes: &[u8]) {
        let (sender, message) = message::open(bytes, &self.secrets).expect("a valid message");
        let Message::EndpointHealth(report) = message else { return };
        if self.membership.accept(now, sender).expect("a new message") == Acceptance::Joined {
            let alive = self.membership.poll_change(now).expect("one more member");
            self.health.on_membership_change(now, &alive);
        }
        self.health.on_message(now, sender, report).expect("a valid report");
        while let Some((to, update)) = self.health.poll_message(now) {
            self.membership.on_message_sent(now, to);
            self.send(Message::EndpointHealth(update));
            self.updates_sent += 1;
        }
        while let Some((_, heartbeat)) = self.membership.poll_message(now) {
            self.send(Message::Membership(heartbeat));
        }
    }

    fn send(&mut self, message: Message) {
        self.sequence += 1;
        let member = Member::Planner(PLANNER);
        let sender = Sender { member, incarnation: INCARNATION, sequence: self.sequence };
        self.bytes_sent += message::seal(sender, &message, &self.secrets).expect("short enough").len();
    }
}

/// The counts of one endpoint in a report. Endpoint 0 hangs: its only attempt fails.
fn counts(forwarder: u64, sequence: u64, index: u64) -> EndpointCounts {
    let endpoint = (forwarder + sequence + ENDPOINTS / ENDPOINTS_PER_REPORT * index) % ENDPOINTS;
    let failed = f64::from(u8::from(endpoint == 0));
    EndpointCounts { endpoint: EndpointId(endpoint), answered: 1.0 - failed, failed, in_flight: 0.0 }
}

/// The sealed message with a report of a forwarder.
fn sealed_report(forwarder: u64, sequence: u64, secrets: &Secrets) -> Vec<u8> {
    let endpoints = (0..ENDPOINTS_PER_REPORT).map(|index| counts(forwarder, sequence, index)).collect();
    let report = HealthReport { sequence, fragment: Fragment::SINGLE, endpoints };
    let member = Member::Forwarder(ForwarderId::of_name(&format!("forwarder {forwarder}")));
    let sender = Sender { member, incarnation: INCARNATION, sequence };
    let message = Message::EndpointHealth(HealthMessage::Report(report));
    message::seal(sender, &message, secrets).expect("short enough")
}

/// Measures and prints the cost with this many forwarders.
fn measure(forwarders: u64, secrets: &Secrets) {
    let mut datagrams = Vec::new();
    for sequence in 1..=REPORTS_PER_SECOND * SECONDS {
        for forwarder in 0..forwarders {
            datagrams.push(sealed_report(forwarder, sequence, secrets));
        }
    }
    let (joining, steady) = datagrams.split_at(forwarders as usize);
    let mut planner = Planner::new(secrets.clone());
    let time_of = |index: usize| Time(0) + Span(index as u64 * REPORT_INTERVAL_MICROS / forwarders);

    let start = Instant::now();
    for (index, datagram) in joining.iter().enumerate() {
        planner.on_datagram(time_of(index), datagram);
    }
    let joining_secs = start.elapsed().as_secs_f64();

    // All forwarders have joined: the cost of a fleet without changes is measured from here on.
    planner.bytes_sent = 0;
    planner.updates_sent = 0;
    let start = Instant::now();
    for (index, datagram) in steady.iter().enumerate() {
        planner.on_datagram(time_of(joining.len() + index), datagram);
    }
    let cpu_secs = start.elapsed().as_secs_f64();

    let bytes_received: usize = steady.iter().map(Vec::len).sum();
    let seconds = SECONDS as f64 - REPORT_INTERVAL_SECS;
    println!(
        "| {forwarders} | {:.2}% | {:.1} us | {} | {} | {} | {:.0} ms |",
        100.0 * cpu_secs / seconds,
        1e6 * cpu_secs / planner.updates_sent as f64,
        (bytes_received as f64 / seconds) as u64,
        (planner.bytes_sent as f64 / seconds) as u64,
        planner.health.entries() + planner.membership.entries(),
        1e3 * joining_secs
    );
}

fn main() {
    println!(
        "| forwarders | share of a core | time per report and update | bytes received per second | bytes sent per second | \
         entries | time for all to join |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let secrets = Secrets::single(Secret::new(b"of all that are asked").expect("long enough"));
    for forwarders in FLEET_SIZES {
        measure(forwarders, &secrets);
    }
}
