//! Tests of the agent's thread and its parts. Each test acts as the event loop, and as a planner where one is
//! needed.

use std::net::{Ipv4Addr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, AttemptResult, ControlPlaneUpdate, Request};
use granitelb_coordination::leases::LeaseMessage;
use granitelb_coordination::membership::MembershipMessage;
use granitelb_coordination::message::{self, Message};
use granitelb_coordination::observation::{FinishedAttempt, Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

use super::components::Components;
use super::metrics::{AgentMetrics, RejectedMessage};
use super::observations::ObservationAssembler;
use super::{Agent, RawObservation, SentAttempt};
use crate::config_error::ConfigSource;
use crate::fleet_config::{FleetConfig, LeaseSection};

const TIMEOUT: Duration = Duration::from_secs(8);
const SECRET: &str = "000102030405060708090a0b0c0d0e0f";
const OTHER_SECRET: &str = "0f0e0d0c0b0a09080706050403020100";
const FORWARDER: ForwarderId = ForwarderId(3);

fn planner_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a socket");
    socket
}

fn fleet_config(planner: &UdpSocket, secret: &str) -> FleetConfig {
    let address = planner.local_addr().expect("an address");
    let text = format!(
        "secret = \"{secret}\"\nforwarders = 2\n[hindsight]\n[[planner]]\nnumber = 1\nletters = \"{address}\"\n"
    );
    FleetConfig::parse(&ConfigSource { path: PathBuf::from("operator.toml"), text })
        .expect("the configuration is valid")
}

/// The sender of the next message that opens with the secrets of `config` and satisfies the condition.
fn receive(planner: &UdpSocket, config: &FleetConfig, condition: impl Fn(&Sender) -> bool) -> Sender {
    let deadline = Instant::now() + TIMEOUT;
    let mut buffer = [0; 2048];
    loop {
        assert!(Instant::now() < deadline, "no such message");
        let Ok(length) = planner.recv(&mut buffer) else { continue };
        if let Ok((sender, _)) = message::open(&buffer[..length], &config.secrets)
            && condition(&sender)
        {
            return sender;
        }
    }
}

#[test]
fn agent_restarts_after_a_panic_with_a_later_incarnation_and_applies_reloaded_configs() {
    const CLOCK_CALL_THAT_PANICS: u64 = 100;
    let (first, second) = (planner_socket(), planner_socket());
    let before = fleet_config(&first, SECRET);
    let after = fleet_config(&second, OTHER_SECRET);
    let agent = Agent::new(before.clone(), "n", Ipv4Addr::LOCALHOST);
    let reload_handle = agent.reload_handle();
    let start = Instant::now();
    // The clock is read a few times in a round, so that the panic happens once, while the agent runs.
    let clock_calls = Arc::new(AtomicU64::new(0));
    let count = clock_calls.clone();
    let clock = move || {
        let call = count.fetch_add(1, Ordering::Relaxed);
        assert!(call != CLOCK_CALL_THAT_PANICS, "an injected fault");
        Time(1_000_000 + start.elapsed().as_micros() as u64)
    };
    let mut handle = agent.start(clock).expect("a thread");
    let original = receive(&first, &before, |_| true);
    assert_eq!(original.member, Member::Forwarder(ForwarderId::of_name("n")));
    let restarted = receive(&first, &before, |sender| sender.incarnation > original.incarnation);
    assert!(
        clock_calls.load(Ordering::Relaxed) > CLOCK_CALL_THAT_PANICS
            && restarted.sequence > original.sequence
    );
    // A new secret and a new address keep the incarnation, so that its leases stay valid.
    reload_handle.reload(after.clone());
    assert_eq!(receive(&second, &after, |_| true).incarnation, restarted.incarnation);
    // The event loop goes on after the agent's panic, and the agent ends when the event loop closes its
    // handle.
    handle.record(Time(0), RawObservation::EndpointsChanged(Vec::new()));
    handle.end_iteration();
    let closed_at = Instant::now();
    handle.close();
    assert!(closed_at.elapsed() < Duration::from_millis(60), "{:?}", closed_at.elapsed());
}

const ENDPOINT: EndpointId = EndpointId(4);

fn record_sent(assembler: &mut ObservationAssembler, n: u64) {
    let slo = Span::from_millis(500);
    let requested = Request {
        request_class: RequestClassId(0),
        key: Key(9),
        client_timeout: slo,
        work: None,
        write: false,
    };
    let sent = SentAttempt {
        request: RequestId(n),
        number: AttemptNumber(0),
        endpoint: ENDPOINT,
        name_hash: n,
        requested,
        bytes: 0,
        slo,
        candidates: [Some(ENDPOINT), None, None],
    };
    assert!(assembler.assemble(RawObservation::AttemptSent(sent)).is_some());
}

fn record_finished(assembler: &mut ObservationAssembler, n: u64) -> Option<FinishedAttempt> {
    let result = AttemptResult {
        number: AttemptNumber(0),
        endpoint: ENDPOINT,
        outcome: AttemptOutcome::CacheMiss,
        latency: Span::ZERO,
        answered: false,
    };
    let finished = RawObservation::AttemptFinished { request: RequestId(n), result, bytes: 3 };
    match assembler.assemble(finished) {
        Some(Observation::AttemptFinished(finished)) => Some(*finished),
        _ => None,
    }
}

#[test]
fn observations_are_assembled_even_if_some_were_lost() {
    let mut assembler = ObservationAssembler::default();
    record_sent(&mut assembler, 1);
    record_sent(&mut assembler, 2);
    let second = record_finished(&mut assembler, 2).expect("the start of the attempt is known");
    assert_eq!(second.request_hash, 2);
    assert_eq!(second.in_flight_at_send, 1);
    assert_eq!(second.candidates, vec![ENDPOINT]);
    assert_eq!(second.bytes, 3);
    assert_eq!(record_finished(&mut assembler, 3), None, "the start of the attempt was lost");
    // The ends of these attempts are lost. The number of attempts that are kept is bounded, which also bounds
    // the number of attempts in flight.
    for n in 10..60_000 {
        record_sent(&mut assembler, n);
    }
    assert_eq!(record_finished(&mut assembler, 1), None);
    assert!(
        record_finished(&mut assembler, 59_999).is_some_and(|finished| finished.in_flight_at_send <= 16_384)
    );
}

/// The rate that each lease of an update allows at `now`, by endpoint.
fn allowed(update: &ControlPlaneUpdate, now: Time) -> Vec<(EndpointId, f64)> {
    update.leases.iter().map(|(endpoint, lease)| (*endpoint, lease.quota_at(now))).collect()
}

#[test]
fn disabled_leases_no_longer_limit() {
    let now = Time(5_000_000);
    let disabled = fleet_config(&planner_socket(), SECRET);
    let origin = EndpointId(9);
    let leases = LeaseSection {
        origin_fetches_per_s: 10.0,
        warmup_work: 0.5,
        reserved_share: 0.5,
        long_term_share: 0.0,
        duration_ms: 1000,
    };
    let enabled = FleetConfig { leases: Some(leases), ..disabled.clone() };
    let mut components = Components::new(&enabled, FORWARDER, Incarnation(1), now);
    let endpoint = ObservedEndpoint {
        cache: origin,
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::from_millis(1000),
    };
    components.on_observation(now, &Observation::EndpointsChanged(vec![endpoint]));
    assert_eq!(allowed(&components.update(now), now), [(origin, 2.5)]);
    components.restart(&disabled, Incarnation(2), now);
    for _ in 0..2 {
        assert!(allowed(&components.update(now), now)[0].1 > 1e6, "the origin is still limited");
    }
    components.restart(&enabled, Incarnation(3), now);
    components.on_observation(now, &Observation::EndpointsChanged(vec![endpoint]));
    assert_eq!(allowed(&components.update(now), now), [(origin, 2.5)]);
}

#[test]
fn stale_messages_and_those_of_disabled_components_are_rejected_and_counted() {
    let now = Time(5_000_000);
    let config = fleet_config(&planner_socket(), SECRET);
    let mut components = Components::new(&config, FORWARDER, Incarnation(1), now);
    let sender = |incarnation, number| Sender {
        member: Member::Planner(PlannerId(1)),
        incarnation: Incarnation(incarnation),
        sequence: number,
    };
    let heartbeat = || Message::Membership(MembershipMessage::Heartbeat);
    assert_eq!(components.on_message(now, sender(2, 1), heartbeat()), Ok(()));
    let mut metrics = AgentMetrics::default();
    for (incarnation, number) in [(2, 1), (1, 9)] {
        let result = components.on_message(now, sender(incarnation, number), heartbeat());
        metrics.count_rejected(result.expect_err("the message is stale"));
    }
    let lease = Message::Leases(LeaseMessage::Release { request_id: 1 });
    let result = components.on_message(now, sender(2, 2), lease);
    assert_eq!(result, Err(RejectedMessage::ComponentDisabled));
    metrics.count_rejected(RejectedMessage::ComponentDisabled);
    assert_eq!(metrics.counts(), [("component_disabled", 1), ("stale", 2)]);
}
