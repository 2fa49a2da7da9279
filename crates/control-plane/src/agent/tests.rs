//! The courier as a thread beside a desk, with a planner that this test speaks for.

use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use granitelb_coordination::PlannerId;
use granitelb_coordination::membership;
use granitelb_coordination::message::Message;
use granitelb_coordination::observation::ObservedEndpoint;

use granitelb_balancer::calls::{AttemptOutcome, AttemptResult, ControlPlaneUpdate, Request};
use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};

use super::*;
use crate::config_error::ConfigSource;
use crate::fleet_config::LeasesForm;

const PATIENCE: Duration = Duration::from_secs(8);

fn planner() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.set_read_timeout(Some(Duration::from_millis(50))).expect("a socket");
    socket
}

fn operator(planner: &UdpSocket, secret: &str) -> FleetConfig {
    let letters = planner.local_addr().expect("an address");
    let text = format!(
        "secret = \"{secret}\"\nforwarders = 2\n[hindsight]\n[[planner]]\nnumber = 1\nletters = \"{letters}\"\n"
    );
    FleetConfig::read(&ConfigSource { file: PathBuf::from("operator.toml"), text }).expect("a sound file")
}

/// The sender of the next letter that opens by these secrets and satisfies.
fn heard(planner: &UdpSocket, of: &FleetConfig, satisfies: impl Fn(&Sender) -> bool) -> Sender {
    let until = Instant::now() + PATIENCE;
    let mut bytes = [0; 2048];
    loop {
        assert!(Instant::now() < until, "no such letter");
        let Ok(read) = planner.recv(&mut bytes) else { continue };
        if let Ok((sender, _)) = message::open(&bytes[..read], &of.secrets)
            && satisfies(&sender)
        {
            return sender;
        }
    }
}

#[test]
fn one_that_dies_is_made_anew_under_a_greater_life_and_files_are_taken_up_while_it_runs() {
    let (first, second) = (planner(), planner());
    let before = operator(&first, "000102030405060708090a0b0c0d0e0f");
    let after = operator(&second, "0f0e0d0c0b0a09080706050403020100");
    let courier = Agent::new(before.clone(), "n", Ipv4Addr::LOCALHOST);
    let renewal = courier.renewal();
    let start = Instant::now();
    // The clock is asked a few times a round: the fault falls into the middle of its life, once.
    let asked = Arc::new(AtomicU64::new(0));
    let count = asked.clone();
    let clock = move || {
        assert!(count.fetch_add(1, Ordering::Relaxed) != 100, "a fault of the test's own");
        Time(1_000_000 + start.elapsed().as_micros() as u64)
    };
    let mut desk = courier.start(clock).expect("a thread");
    let one = heard(&first, &before, |_| true);
    assert_eq!(one.member, Member::Forwarder(ForwarderId::of_name("n")));
    let two = heard(&first, &before, |sender| sender.incarnation > one.incarnation);
    assert!(asked.load(Ordering::Relaxed) > 100 && two.number > one.number);
    // Other secrets and addresses: the same life, so that what was granted to it stands.
    renewal.renew(after.clone());
    assert_eq!(heard(&second, &after, |_| true).incarnation, two.incarnation);
    // The loop goes on all the while, and the courier ends with it.
    desk.note(Time(0), RawObservation::EndpointsChanged(Vec::new()));
    desk.end_turn();
    let ends = Instant::now();
    desk.close();
    assert!(ends.elapsed() < Duration::from_millis(60), "{:?}", ends.elapsed());
}

#[test]
fn notes_become_sights_also_where_some_were_lost() {
    let mut accounts = Accounts::default();
    let (cache, request_class, budget) = (EndpointId(4), RequestClassId(0), Span::from_millis(500));
    let asked = Request { request_class, key: Key(9), budget, work: None, write: false };
    let send = |accounts: &mut Accounts, n| {
        let (request, number, candidates) = (RequestId(n), AttemptNumber(0), [Some(cache), None, None]);
        let sent = SentAttempt { request, number, cache, call: n, asked, bytes: 0, slo: budget, candidates };
        assert!(accounts.sight(RawObservation::AttemptSent(sent)).is_some());
    };
    let end = |accounts: &mut Accounts, n| {
        let (number, outcome, latency) = (AttemptNumber(0), AttemptOutcome::CacheMiss, Span::ZERO);
        let end = AttemptResult { number, cache, outcome, latency, answered: false };
        match accounts.sight(RawObservation::AttemptFinished { request: RequestId(n), end, bytes: 3 }) {
            Some(Observation::AttemptFinished(ended)) => {
                Some((ended.call, ended.out_then, ended.candidates, ended.bytes))
            }
            _ => None,
        }
    };
    send(&mut accounts, 1);
    send(&mut accounts, 2);
    assert_eq!(end(&mut accounts, 2), Some((2, 1, vec![cache], 3)));
    assert_eq!(end(&mut accounts, 3), None, "its beginning was lost");
    // The ends of these were: what is kept has a bound, and the count of those out goes by it.
    (10..60_000).for_each(|n| send(&mut accounts, n));
    assert_eq!(end(&mut accounts, 1), None);
    assert!(end(&mut accounts, 59_999).is_some_and(|e| e.1 <= 16_384));
}

#[test]
fn leases_that_are_turned_off_bind_no_more() {
    let now = Time(5_000_000);
    let (off, origin) = (operator(&planner(), "000102030405060708090a0b0c0d0e0f"), EndpointId(9));
    let leases =
        LeasesForm { origin_per_s: 10.0, cold_work: 0.5, reserve: 0.5, standing: 0.0, lasts_ms: 1000 };
    let on = FleetConfig { leases: Some(leases), ..off.clone() };
    let mut sides = Sides::new(&on, ForwarderId(3), Incarnation(1), now);
    let warm_after = Span::from_millis(1000);
    let server =
        ObservedEndpoint { cache: origin, is_origin: true, zone: 0, size: 1.0, started: None, warm_after };
    sides.seen(now, &Observation::EndpointsChanged(vec![server]));
    let most =
        |advice: ControlPlaneUpdate| advice.leases.iter().map(|(id, l)| (*id, l.at(now))).collect::<Vec<_>>();
    assert_eq!(most(sides.advice(now)), [(origin, 2.5)]);
    sides.renew(&off, Incarnation(2), now);
    for _ in 0..2 {
        assert!(most(sides.advice(now))[0].1 > 1e6, "still bound");
    }
    sides.renew(&on, Incarnation(3), now);
    sides.seen(now, &Observation::EndpointsChanged(vec![server]));
    assert_eq!(most(sides.advice(now)), [(origin, 2.5)]);
}

#[test]
fn letters_that_are_no_planners_or_came_before_are_passed_over_and_counted() {
    let now = Time(5_000_000);
    let operator = operator(&planner(), "000102030405060708090a0b0c0d0e0f");
    let mut sides = Sides::new(&operator, ForwarderId(3), Incarnation(1), now);
    let sender = |incarnation, number| Sender {
        member: Member::Planner(PlannerId(1)),
        incarnation: Incarnation(incarnation),
        number,
    };
    let beat = || Message::Membership(membership::MembershipMessage::Beat);
    assert_eq!(sides.on_message(now, sender(2, 1), beat()), Ok(()));
    let mut tally = Tally::default();
    for (incarnation, number) in [(2, 1), (1, 9)] {
        tally
            .refused(sides.on_message(now, sender(incarnation, number), beat()).expect_err("it came before"));
    }
    let lease = Message::Leases(granitelb_coordination::leases::LeaseMessage::Release { request_id: 1 });
    assert_eq!(sides.on_message(now, sender(2, 2), lease), Err(Refused::Off));
    tally.refused(Refused::Off);
    assert_eq!(tally.counts(), [("faculty_off", 1), ("stale", 2)]);
}
