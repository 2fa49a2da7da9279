use std::path::Path;

use super::detections::Detections;
use super::leases::LeaseHistory;
use super::service_drop;
use crate::audit::Second;
use crate::event_log::{EventLog, Member, RelayedMessage, ServerInfo, Timestamp};
use crate::experiment::{Experiment, LeasesConfig};
use crate::message_reference::{
    Comparison, ComparisonReport, CounterfactualMessage, Demand, LeaseMessage, MessageKind, Resource, Sender,
    Signer, encode, endpoint_number,
};

const SECRET: &[u8] = b"a secret of sixteen or more";

fn message(from: Member, to: Member, at: i64, lease: &LeaseMessage) -> RelayedMessage {
    let sender = Sender { member: Signer::Planner(1), incarnation: 1, sequence: at as u64 };
    let bytes = encode(SECRET, MessageKind::Leases, sender, lease).expect("the message can be encoded");
    let received_at = Timestamp(at);
    RelayedMessage { from, to, received_at, forwarded_at: vec![received_at], corrupted: false, bytes }
}

/// The leased ratio where a planner grants 60 of 100 to each of two nodes for 2 s, to the second node this
/// many microseconds after the first.
fn leased_ratio(second_after: i64) -> f64 {
    let demand = Demand { resource: Resource::Origin, amount: 1, request_in_use: 0, claimants: 1, held: 0 };
    let request = LeaseMessage::Request { request: 1, demands: vec![demand] };
    let grant =
        LeaseMessage::Grant { request: 1, granted: vec![(Resource::Origin, 60_000)], duration: 2_000_000 };
    let planner = Member::Planner(0);
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    for (node, at) in [(0, 0), (1, second_after)] {
        let node = Member::Node(node);
        event_log.messages.push(message(node, planner, at, &request));
        event_log.messages.push(message(planner, node, at + 500, &grant));
    }
    let config = LeasesConfig { origin_per_s: 100.0, reserve: 0.2, ..LeasesConfig::default() };
    LeaseHistory::read(&event_log).max_leased_ratio(&config, 2)
}

#[test]
fn a_drop_of_service_when_planners_return_is_measured() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 20\n[fleet]\nplanners = 1\n\
        [[fault]]\nkind = \"planner_kill\"\nat_s = 4\nfor_s = 6\n";
    let experiment = Experiment::read(Path::new("x.toml"), text).expect("a valid experiment");
    let seconds = |lowest_served: f64| -> Vec<Second> {
        let served = |n: usize| if (11..13).contains(&n) { lowest_served } else { 10.0 };
        (0..20).map(|n| Second { requested: 10.0, served: served(n), ..Second::default() }).collect()
    };
    assert!((service_drop(&experiment, &seconds(7.0)) - 0.3).abs() < 1e-9);
    assert!(service_drop(&experiment, &seconds(10.0)) < 1e-9);
}

#[test]
fn reported_caches_are_compared_with_the_slow_ones() {
    let text = "name = \"x\"\nabout = \"y\"\nseconds = 9\n\
        [[fault]]\nkind = \"slow\"\nat_s = 1\nfor_s = 6\nfactor = 3\ncaches = [1]\n";
    let experiment = Experiment::read(Path::new("x.toml"), text).expect("a valid experiment");
    let report = |name: &str, comparison| {
        let cache = endpoint_number(name);
        ComparisonReport { cache, request_class: 0, comparison, effect: 0.1, low: 0.0, high: 0.2 }
    };
    let all = [("a", Comparison::AsGood), ("b", Comparison::Worse), ("c", Comparison::Worse)];
    let message = CounterfactualMessage::Comparisons(all.iter().map(|(n, s)| report(n, *s)).collect());
    let sender = Sender { member: Signer::Planner(1), incarnation: 1, sequence: 1 };
    let bytes =
        encode(SECRET, MessageKind::Counterfactual, sender, &message).expect("the message can be encoded");
    let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
    let from = Member::Planner(0);
    let to = Member::Node(0);
    event_log.messages.push(RelayedMessage {
        from,
        to,
        received_at: Timestamp(5),
        forwarded_at: vec![Timestamp(5)],
        corrupted: false,
        bytes,
    });
    for (slot, name) in ["a", "b", "c"].into_iter().enumerate() {
        let server = ServerInfo { name: name.into(), slot: Some(slot), started: None };
        event_log.servers.push(server);
    }
    assert_eq!(Detections::read(&experiment, &event_log), Detections { slow: 1, not_slow: 1 });
}

/// A node receives two allocations of one planner, then a lease. The second allocation replaces the first
/// one, and the lease counts beside the second.
#[test]
fn an_allocation_counts_beside_a_lease_until_it_is_replaced() {
    let (node, planner) = (Member::Node(0), Member::Planner(0));
    let demand = Demand { resource: Resource::Origin, amount: 1, request_in_use: 0, claimants: 1, held: 0 };
    let request_allocation = |request| LeaseMessage::RequestAllocation {
        request,
        demand: 1,
        request_in_use: 0,
        until: 1,
        held: 0,
    };
    let allocation = |request, amount| LeaseMessage::Allocation { request, amount, duration: 20_000_000 };
    let max_ratio = |second: u32| {
        let mut event_log = EventLog { secret: SECRET.into(), ..EventLog::default() };
        let grant = LeaseMessage::Grant {
            request: 1,
            granted: vec![(Resource::Origin, 40_000)],
            duration: 2_000_000,
        };
        let allocations =
            [request_allocation(1), allocation(1, 50_000), request_allocation(2), allocation(2, second)];
        let all = allocations
            .into_iter()
            .chain([LeaseMessage::Request { request: 1, demands: vec![demand] }, grant]);
        for (n, lease) in all.enumerate() {
            let (from, to) = if n % 2 == 0 { (node, planner) } else { (planner, node) };
            event_log.messages.push(message(from, to, n as i64, &lease));
        }
        let config = LeasesConfig { origin_per_s: 100.0, reserve: 0.2, ..LeasesConfig::default() };
        LeaseHistory::read(&event_log).max_leased_ratio(&config, 2)
    };
    assert!((max_ratio(50_000) - 1.1).abs() < 1e-9 && (max_ratio(30_000) - 0.9).abs() < 1e-9);
}

#[test]
fn leases_add_up_from_their_requests_until_they_expire() {
    assert!((leased_ratio(1_999_000) - 1.4).abs() < 1e-9);
    assert!((leased_ratio(2_000_000) - 0.8).abs() < 1e-9);
}
