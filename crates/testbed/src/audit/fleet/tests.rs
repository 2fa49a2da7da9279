use super::*;
use crate::message_reference::{Demand, Sender, Signer};

const SECRET: &[u8] = b"a secret of sixteen or more";

fn letter(from: Member, to: Member, at: i64, message: &LeaseMessage) -> RelayedMessage {
    let sender = Sender { member: Signer::Planner(1), incarnation: 1, sequence: at as u64 };
    let bytes = message_reference::encode(SECRET, MessageKind::Leases, sender, message).expect("a letter");
    let (taken, passed) = (Timestamp(at), vec![Timestamp(at)]);
    RelayedMessage { from, to, taken, passed, changed: false, bytes }
}

/// Two nodes get 60 of 100 from a planner, each for 2 s, the second one so long after the first.
fn over_whole(second_after: i64) -> f64 {
    let need = Demand { resource: Resource::Origin, amount: 1, request_in_use: 0, claimants: 1, held: 0 };
    let ask = LeaseMessage::Request { request: 1, demands: vec![need] };
    let grant =
        LeaseMessage::Grant { request: 1, granted: vec![(Resource::Origin, 60_000)], duration: 2_000_000 };
    let planner = Member::Planner(0);
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    for (node, at) in [(0, 0), (1, second_after)] {
        let node = Member::Node(node);
        event_log.letters.push(letter(node, planner, at, &ask));
        event_log.letters.push(letter(planner, node, at + 500, &grant));
    }
    let form = LeasesForm { origin_per_s: 100.0, reserve: 0.2, ..LeasesForm::default() };
    Leases::read(&event_log).over_whole(&form, 2)
}

#[test]
fn a_fall_when_planners_are_back_is_a_step() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 20\n[fleet]\nplanners = 1\n\
        [[fault]]\nkind = \"planner_kill\"\nat_s = 4\nfor_s = 6\n";
    let experiment = Experiment::read(std::path::Path::new("x.toml"), text).expect("a sound experiment");
    let seconds = |low: f64| -> Vec<Second> {
        let served = |n: usize| if (11..13).contains(&n) { low } else { 10.0 };
        (0..20).map(|n| Second { asked: 10.0, served: served(n), ..Second::default() }).collect()
    };
    assert!((step(&experiment, &seconds(7.0)) - 0.3).abs() < 1e-9);
    assert!(step(&experiment, &seconds(10.0)) < 1e-9);
}

#[test]
fn a_cache_that_is_named_is_held_against_those_that_are_slow() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 9\n\
        [[fault]]\nkind = \"slow\"\nat_s = 1\nfor_s = 6\nfactor = 3\ncaches = [1]\n";
    let experiment = Experiment::read(std::path::Path::new("x.toml"), text).expect("a sound experiment");
    let said = |name: &str, standing| {
        let cache = message_reference::endpoint_number(name);
        message_reference::ComparisonReport {
            cache,
            request_class: 0,
            comparison: standing,
            effect: 0.1,
            low: 0.0,
            high: 0.2,
        }
    };
    let all = [("a", Comparison::AsGood), ("b", Comparison::Worse), ("c", Comparison::Worse)];
    let message = CounterfactualMessage::Comparisons(all.iter().map(|(n, s)| said(n, *s)).collect());
    let sender = Sender { member: Signer::Planner(1), incarnation: 1, sequence: 1 };
    let bytes =
        message_reference::encode(SECRET, MessageKind::Counterfactual, sender, &message).expect("a letter");
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    let (from, to, taken) = (Member::Planner(0), Member::Node(0), Timestamp(5));
    event_log.letters.push(RelayedMessage { from, to, taken, passed: vec![taken], changed: false, bytes });
    for (seat, name) in ["a", "b", "c"].into_iter().enumerate() {
        let server = crate::event_log::ServerInfo { name: name.into(), seat: Some(seat), started: None };
        event_log.servers.push(server);
    }
    assert_eq!(named(&experiment, &event_log), (1, 1));
}

/// A node has a lease and a standing part of one planner, and then a lesser standing part.
#[test]
fn a_standing_part_counts_beside_a_lease_until_the_next_one() {
    let (node, planner) = (Member::Node(0), Member::Planner(0));
    let need = Demand { resource: Resource::Origin, amount: 1, request_in_use: 0, claimants: 1, held: 0 };
    let ask_standing = |ask| LeaseMessage::RequestAllocation {
        request: ask,
        demand: 1,
        request_in_use: 0,
        until: 1,
        held: 0,
    };
    let standing = |ask, amount| LeaseMessage::Allocation { request: ask, amount, duration: 20_000_000 };
    let most = |second: u32| {
        let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
        let grant = LeaseMessage::Grant {
            request: 1,
            granted: vec![(Resource::Origin, 40_000)],
            duration: 2_000_000,
        };
        let lasting = [ask_standing(1), standing(1, 50_000), ask_standing(2), standing(2, second)];
        let all =
            lasting.into_iter().chain([LeaseMessage::Request { request: 1, demands: vec![need] }, grant]);
        for (n, message) in all.enumerate() {
            let (from, to) = if n % 2 == 0 { (node, planner) } else { (planner, node) };
            event_log.letters.push(letter(from, to, n as i64, &message));
        }
        let form = LeasesForm { origin_per_s: 100.0, reserve: 0.2, ..LeasesForm::default() };
        Leases::read(&event_log).over_whole(&form, 2)
    };
    assert!((most(50_000) - 1.1).abs() < 1e-9 && (most(30_000) - 0.9).abs() < 1e-9);
}

#[test]
fn leases_add_up_while_they_live_from_their_asks_on() {
    assert!((over_whole(1_999_000) - 1.4).abs() < 1e-9);
    assert!((over_whole(2_000_000) - 0.8).abs() < 1e-9);
}
