//! Tests of leases and long-term allocations between one forwarder and one planner.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::component::Component;
use granitelb_coordination::leases::{
    Demand, ForwarderComponent, Holdings, LeaseError, LeaseMessage, MAX_DEMANDS_PER_MESSAGE,
    PlannerComponent, Resource, ResourceAmount, Settings,
};
use granitelb_coordination::observation::{Observation, ObservedEndpoint};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender};

const PLANNER: PlannerId = PlannerId(1);
const FORWARDER: ForwarderId = ForwarderId(3);
/// The maximum encoded size of a message, in bytes. It is less than an envelope can hold.
const MAX_ENCODED_BYTES: usize = 1100;
/// One fetch a second, in amounts of [`Resource::Origin`].
const FETCH_PER_SECOND: u32 = 1000;

fn forwarder_sender(id: u64) -> Sender {
    Sender { member: Member::Forwarder(ForwarderId(id)), incarnation: Incarnation(1), sequence: 0 }
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(ms)
}

fn origin() -> ObservedEndpoint {
    ObservedEndpoint {
        cache: EndpointId(1),
        is_origin: true,
        zone: 0,
        size: 1.0,
        started: None,
        warm_after: Span::ZERO,
    }
}

/// Creates a forwarder that knows one planner and no endpoints.
fn forwarder(settings: Settings, incarnation: Incarnation) -> ForwarderComponent {
    let mut forwarder = ForwarderComponent::new(settings, FORWARDER, incarnation, at(0));
    forwarder.on_membership_change(at(0), &[Member::Planner(PLANNER)]);
    forwarder
}

/// Returns the total amount of the last request for leases that the forwarder sends now, or `None` if it
/// sends none.
fn poll_requested_amount(forwarder: &mut ForwarderComponent, now: Time) -> Option<u32> {
    let mut requested = None;
    while let Some((_, message)) = forwarder.poll_message(now) {
        if let LeaseMessage::Request { demands, .. } = message {
            requested = Some(demands.iter().map(|demand| demand.amount).sum());
        }
    }
    requested
}

/// Passes a message to the planner, and returns the amount that the planner grants in answer; 0 if it does
/// not answer.
fn granted_amount(
    planner: &mut PlannerComponent,
    now: Time,
    from: u64,
    message: LeaseMessage,
) -> Result<u32, LeaseError> {
    planner.on_message(now, forwarder_sender(from), message)?;
    match planner.poll_message(now) {
        Some((_, LeaseMessage::Grant { granted, .. })) => Ok(granted[0].amount),
        _ => Ok(0),
    }
}

#[test]
fn largest_request_fits_into_an_envelope() {
    let demand = |n| Demand {
        resource: Resource::WarmingCache(EndpointId(u64::MAX - n)),
        amount: u32::MAX,
        request_in_use: u64::MAX,
        requesters: u32::MAX,
        already_held: u32::MAX,
    };
    let request = LeaseMessage::Request {
        request_id: u64::MAX,
        demands: (0..MAX_DEMANDS_PER_MESSAGE as u64).map(demand).collect(),
    };
    assert!(postcard::to_allocvec(&request).unwrap().len() <= MAX_ENCODED_BYTES);
}

#[test]
fn released_leases_are_available_at_once_and_repeated_requests_are_refused() {
    let mut planner = PlannerComponent::new(Settings::default(), PLANNER, Incarnation(1), Time(0));
    let mut first = Holdings::default();
    let mut second = Holdings::default();
    let whole_capacity = [ResourceAmount { resource: Resource::Origin, amount: 100_000 }];
    let request = first.request(at(0), PLANNER, &whole_capacity).remove(0);
    // The capacity is 100 fetches a second. 25 of these are guaranteed, in shares of 83 thousandths of a
    // fetch a second.
    assert_eq!(granted_amount(&mut planner, at(1), 1, request.clone()), Ok(75_100));
    assert_eq!(granted_amount(&mut planner, at(2), 1, request), Err(LeaseError::Outdated));
    let request = second.request(at(3), PLANNER, &whole_capacity).remove(0);
    assert_eq!(granted_amount(&mut planner, at(3), 2, request), Ok(0));
    for (_, message) in first.release_all() {
        assert_eq!(granted_amount(&mut planner, at(4), 1, message), Ok(0));
    }
    let request = second.request(at(200), PLANNER, &whole_capacity).remove(0);
    assert_eq!(granted_amount(&mut planner, at(200), 2, request), Ok(75_100));
}

/// Guards against a demand that is estimated from sent fetches alone. With a guaranteed share of 0.08 fetches
/// a second a forwarder sends one fetch in twelve seconds, so a demand of 9 a second was requested as 0.1.
#[test]
fn rejected_reads_count_as_demand() {
    let mut forwarder = forwarder(Settings::default(), Incarnation(1));
    forwarder.on_observation(at(0), &Observation::EndpointsChanged(vec![origin()]));
    let mut requested = 0;
    for ms in (0..4000).step_by(100) {
        if ms >= 1000 {
            forwarder.on_observation(at(ms), &Observation::FetchDenied);
        }
        if let Some(amount) = poll_requested_amount(&mut forwarder, at(ms)) {
            requested = amount;
        }
    }
    let expected = 9 * FETCH_PER_SECOND..30 * FETCH_PER_SECOND;
    assert!(expected.contains(&requested), "{requested} thousandths of a fetch a second");
}

/// Guards against requests with a large margin, which gave light forwarders capacity that they did not use
/// and took it from the heaviest forwarders: at 300 nodes, a demand of 2 fetches a second was requested as
/// 4.7.
#[test]
fn requested_amount_is_usage_plus_a_small_margin() {
    let settings = Settings { origin_capacity: 2_000_000, guaranteed_per_mille: 0, ..Settings::default() };
    let mut forwarder = forwarder(settings, Incarnation(1));
    let mut requested = 0;
    for ms in (0..20_000).step_by(500) {
        let fetch = Observation::AttemptSent { cache: EndpointId(1), is_origin: true, write: false };
        forwarder.on_observation(at(ms), &fetch);
        if let Some(amount) = poll_requested_amount(&mut forwarder, at(ms)) {
            requested = amount;
        }
    }
    assert!((2_200..3_400).contains(&requested), "{requested} thousandths of a fetch a second");
}

/// Guards against a guaranteed share of zero. In thousandths, the share was rounded to zero at 300 nodes, so
/// that without a planner no warming cache server received a request.
#[test]
fn guaranteed_share_of_a_warming_cache_is_not_rounded_to_zero() {
    let settings = Settings { warming_cache_capacity: 500_000, forwarder_count: 300, ..Settings::default() };
    assert_eq!(settings.guaranteed_share(Resource::WarmingCache(EndpointId(1))), 416);
}

/// The first long-term request of an incarnation revokes the allocation of an earlier incarnation at the
/// planner. The balancer may use that allocation until it is notified, so it must be notified first.
#[test]
fn new_incarnation_requests_long_term_allocations_only_after_notifying_its_balancer() {
    let settings = Settings { long_term_per_mille: 500, ..Settings::default() };
    let mut forwarder = forwarder(settings, Incarnation(2));
    let count_requests = |forwarder: &mut ForwarderComponent, ms| {
        std::iter::from_fn(|| forwarder.poll_message(at(ms)))
            .filter(|(_, message)| matches!(message, LeaseMessage::RequestLongTerm(_)))
            .count()
    };
    // Without endpoints the notification is empty, so the balancer still uses the earlier lease.
    forwarder.current_leases(at(0));
    assert_eq!(count_requests(&mut forwarder, 600), 0);
    forwarder.on_observation(at(600), &Observation::EndpointsChanged(vec![origin()]));
    assert_eq!(count_requests(&mut forwarder, 1200), 0);
    forwarder.current_leases(at(1200));
    assert_eq!(count_requests(&mut forwarder, 1800), 1);
}

/// Guards against an allocation that expires during a restarted planner's wait. A forwarder without other
/// lease messages did not learn the planner's new incarnation, so the planner did not grant the amount again.
#[test]
fn restarted_planner_grants_again_what_a_forwarder_reports() {
    let settings = Settings { long_term_per_mille: 500, ..Settings::default() };
    let mut forwarder = forwarder(settings.clone(), Incarnation(1));
    forwarder.on_observation(at(0), &Observation::EndpointsChanged(vec![origin()]));
    let mut incarnation = Incarnation(1);
    let mut planner = PlannerComponent::new(settings.clone(), PLANNER, incarnation, Time(0));
    let mut limits = Vec::new();
    for ms in (0..29_000).step_by(100) {
        if ms == 10_000 {
            incarnation = Incarnation(2);
            planner = PlannerComponent::new(settings.clone(), PLANNER, incarnation, at(ms));
        }
        forwarder.current_leases(at(ms));
        while let Some((_, message)) = forwarder.poll_message(at(ms)) {
            if matches!(message, LeaseMessage::RequestLongTerm(_)) {
                planner.on_message(at(ms), forwarder_sender(FORWARDER.0), message).unwrap();
            }
        }
        while let Some((_, message)) = planner.poll_message(at(ms)) {
            let sender = Sender { member: Member::Planner(PLANNER), incarnation, sequence: 0 };
            forwarder.on_message(at(ms), sender, message).unwrap();
        }
        limits.push(forwarder.current_leases(at(ms))[0].1.quota);
    }
    // Without a new grant the limit would fall from the 25th second on, until the allocation expires in the
    // 30th.
    let [established, before_restart, last] = [limits[60], limits[99], limits[289]];
    assert!(established > 0.2 && last >= before_restart, "{established} {before_restart} {last}");
}
