//! Tests of endpoint health: planners aggregate reports, and forwarders merge the planners' updates.

use std::iter;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{AttemptOutcome, ControlPlaneUpdate};
use granitelb_coordination::component::Component;
use granitelb_coordination::endpoint_health::{
    ForwarderComponent, Fragment, HealthError, HealthMessage, MAX_ENDPOINTS, PlannerComponent,
};
use granitelb_coordination::observation::Observation;
use granitelb_coordination::{
    EndpointCounts, ForwarderId, HealthAggregator, HealthReport, HealthReporter, HealthStatus, HealthUpdate,
    Incarnation, Member, PlannerId, Sender, Settings, UpdateMerger, Version,
};
use test_case::test_case;

const ENDPOINT: EndpointId = EndpointId(7);
const PLANNER: PlannerId = PlannerId(0);
const OTHER_PLANNER: PlannerId = PlannerId(1);
/// The maximum number of endpoints in one fragment.
const FRAGMENT_LENGTH: usize = 46;

fn ms(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn sender(member: Member, sequence: u64) -> Sender {
    Sender { member, incarnation: Incarnation(1), sequence }
}

fn report(sequence: u64, answered: f64, failed: f64) -> HealthReport {
    let endpoints = vec![EndpointCounts { endpoint: ENDPOINT, answered, failed, in_flight: 1.0 }];
    HealthReport { sequence, fragment: Fragment::SINGLE, endpoints }
}

fn update(version: u64, status: HealthStatus) -> HealthUpdate {
    let statuses = vec![(ENDPOINT, status)];
    HealthUpdate { version: Version(version), fragment: Fragment::SINGLE, forwarders: 9, statuses }
}

fn failing(ms: u64) -> HealthStatus {
    HealthStatus::Failing { ago: Span::from_millis(ms) }
}

fn recovered(ms: u64) -> HealthStatus {
    HealthStatus::Recovered { ago: Span::from_millis(ms) }
}

fn aggregator() -> HealthAggregator {
    HealthAggregator::new(Settings::default(), ms(0))
}

fn receive(
    aggregator: &mut HealthAggregator,
    at: Time,
    forwarder: u64,
    report: &HealthReport,
) -> Result<(), HealthError> {
    aggregator.on_report(at, ForwarderId(forwarder), Incarnation(1), report)
}

/// Returns the status of [`ENDPOINT`] in the next update.
fn next_status(aggregator: &mut HealthAggregator, at: Time) -> Option<HealthStatus> {
    let update = aggregator.poll_update(at).expect("an update is due");
    let named = update.fragments[0].statuses.iter().find(|(endpoint, _)| *endpoint == ENDPOINT);
    named.map(|(_, status)| *status)
}

#[test]
fn failures_reported_by_two_forwarders_make_an_endpoint_failing() {
    let mut aggregator = aggregator();
    receive(&mut aggregator, ms(0), 1, &report(1, 1.0, 0.0)).expect("accepted");
    receive(&mut aggregator, ms(0), 2, &report(1, 1.0, 0.0)).expect("accepted");
    assert_eq!(next_status(&mut aggregator, ms(0)), None);
    receive(&mut aggregator, ms(500), 1, &report(2, 0.0, 4.0)).expect("accepted");
    // Failures reported by one forwarder are not enough, because that forwarder may itself be cut off.
    assert_eq!(next_status(&mut aggregator, ms(500)), None);
    receive(&mut aggregator, ms(600), 2, &report(2, 0.0, 4.0)).expect("accepted");
    assert_eq!(next_status(&mut aggregator, ms(600)), Some(failing(0)));
    // Two answers show that the endpoint has recovered. The status expires a few seconds later.
    receive(&mut aggregator, ms(2500), 1, &report(3, 2.0, 0.0)).expect("accepted");
    assert_eq!(next_status(&mut aggregator, ms(2500)), Some(recovered(0)));
    receive(&mut aggregator, ms(6000), 1, &report(4, 0.0, 0.0)).expect("accepted");
    assert_eq!(next_status(&mut aggregator, ms(6000)), None);
}

#[test]
fn updates_follow_reports_and_are_rate_limited() {
    let mut aggregator = aggregator();
    assert!(aggregator.poll_update(ms(0)).is_none());
    receive(&mut aggregator, ms(0), 1, &report(1, 0.0, 0.0)).expect("accepted");
    assert_eq!(next_status(&mut aggregator, ms(0)), None);
    // At most one update is sent within the interval, and none without a report since the last update.
    receive(&mut aggregator, ms(100), 1, &report(2, 0.0, 0.0)).expect("accepted");
    assert!(aggregator.poll_update(ms(100)).is_none());
    assert!(aggregator.poll_update(ms(250)).is_some());
    assert!(aggregator.poll_update(ms(900)).is_none());
}

#[test_case(report(2, -1.0, 0.0), HealthError::InvalidFigure; "negative")]
#[test_case(report(2, 0.0, f64::NAN), HealthError::InvalidFigure; "not a number")]
#[test_case(report(2, 0.0, 1e300), HealthError::InvalidFigure; "too large")]
#[test_case(report(1, 0.0, 1.0), HealthError::Stale; "duplicate")]
fn rejected_reports_change_nothing(rejected: HealthReport, error: HealthError) {
    let mut aggregator = aggregator();
    receive(&mut aggregator, ms(0), 1, &report(1, 1.0, 0.0)).expect("accepted");
    assert_eq!(receive(&mut aggregator, ms(10), 1, &rejected), Err(error));
    assert!((aggregator.in_flight(ENDPOINT) - 1.0).abs() < 1e-9);
}

#[test]
fn aggregator_is_bounded_and_evicts_silent_forwarders() {
    let settings = Settings { max_forwarders: 3, max_endpoints: 1, ..Settings::default() };
    let mut aggregator = HealthAggregator::new(settings, ms(0));
    for forwarder in 0..3 {
        receive(&mut aggregator, ms(0), forwarder, &report(1, 0.0, 0.0)).expect("there is room");
    }
    let fourth = receive(&mut aggregator, ms(0), 3, &report(1, 0.0, 0.0));
    assert_eq!(fourth, Err(HealthError::CapacityExceeded));
    let mut two_endpoints = report(2, 0.0, 0.0);
    two_endpoints.endpoints.push(EndpointCounts { endpoint: EndpointId(8), ..two_endpoints.endpoints[0] });
    let second = receive(&mut aggregator, ms(0), 1, &two_endpoints);
    assert_eq!(second, Err(HealthError::CapacityExceeded));
    assert_eq!(aggregator.entries(), 3 + 1 + 3);
    assert!((aggregator.in_flight(ENDPOINT) - 3.0).abs() < 1e-9);
    // A new incarnation numbers its reports from 1 again, and the attempts in flight of the previous one are
    // subtracted.
    for (at, sequence) in [(ms(9000), 1), (ms(11_000), 2)] {
        let accepted = aggregator.on_report(at, ForwarderId(1), Incarnation(2), &report(sequence, 0.0, 0.0));
        accepted.expect("a new incarnation");
    }
    let in_flight = aggregator.in_flight(ENDPOINT);
    assert!((in_flight - 1.0).abs() < 1e-9, "{in_flight}");
    assert_eq!(aggregator.entries(), 4);
}

#[test]
fn the_planner_with_the_latest_evidence_decides() {
    let mut merger = UpdateMerger::new();
    let first = Incarnation(1);
    let second = Incarnation(2);
    assert_eq!(merger.on_update(ms(1000), PLANNER, first, update(1, failing(300))), Ok(()));
    assert_eq!(merger.on_update(ms(1000), OTHER_PLANNER, first, update(1, recovered(100))), Ok(()));
    assert_eq!(merger.control_plane_update(ms(1000)).answering, vec![(ENDPOINT, ms(900))]);
    assert!(merger.control_plane_update(ms(1000)).failing.is_empty());
    assert_eq!(merger.on_update(ms(1200), PLANNER, first, update(2, failing(0))), Ok(()));
    assert_eq!(merger.control_plane_update(ms(1200)).failing, vec![(ENDPOINT, ms(1200))]);
    // Older updates and updates of an earlier incarnation change nothing. The versions of a new incarnation
    // start from 1 again.
    let stale = Err(HealthError::Stale);
    assert_eq!(merger.on_update(ms(1300), PLANNER, first, update(1, recovered(0))), stale);
    assert_eq!(merger.on_update(ms(1300), PLANNER, second, update(1, failing(0))), Ok(()));
    assert_eq!(merger.on_update(ms(1300), PLANNER, first, update(9, recovered(0))), stale);
    // The statuses of a planner that is silent for 2 s are no longer valid.
    assert_eq!(merger.control_plane_update(ms(3400)), ControlPlaneUpdate::default());
}

#[test]
fn reports_count_each_finished_attempt_once() {
    let mut reporter = HealthReporter::new();
    let finished = [
        (AttemptOutcome::Fulfilled, 20),
        (AttemptOutcome::TimedOut, 900),
        // A forwarder that may cancel silent attempts cancels every attempt at a hung endpoint.
        (AttemptOutcome::Cancelled, 310),
        (AttemptOutcome::Cancelled, 200),
        (AttemptOutcome::TimedOut, 100),
        (AttemptOutcome::NotSent, 0),
    ];
    for (outcome, latency_ms) in finished {
        reporter.on_attempt_sent(ENDPOINT);
        let latency = Span::from_millis(latency_ms);
        reporter.on_attempt_finished(ENDPOINT, outcome, latency, Span::from_millis(600));
    }
    reporter.on_attempt_sent(ENDPOINT);
    let [first, second] = [reporter.next_report(), reporter.next_report()].map(|mut all| all.remove(0));
    let counts =
        |answered, failed| vec![EndpointCounts { endpoint: ENDPOINT, answered, failed, in_flight: 1.0 }];
    assert_eq!(first.endpoints, counts(1.0, 2.0));
    assert_eq!(second.endpoints, counts(0.0, 0.0));
    assert!(second.sequence > first.sequence);
}

#[test]
fn updates_are_sent_in_the_order_in_which_they_are_due() {
    let mut aggregator = aggregator();
    receive(&mut aggregator, ms(0), 2, &report(1, 1.0, 0.0)).expect("accepted");
    receive(&mut aggregator, ms(10), 1, &report(1, 1.0, 0.0)).expect("accepted");
    let updates = iter::from_fn(|| aggregator.poll_update(ms(10)));
    let recipients: Vec<_> = updates.map(|update| update.to.0).collect();
    assert_eq!(recipients, [2, 1]);
    // An evicted forwarder receives no update.
    receive(&mut aggregator, ms(20), 2, &report(2, 1.0, 0.0)).expect("accepted");
    assert!(aggregator.poll_update(ms(20_000)).is_none());
}

#[test]
fn a_few_forwarders_probe_a_failing_endpoint_and_all_others_avoid_it() {
    let mut aggregator = aggregator();
    aggregator.on_membership_change((0..20).map(ForwarderId).collect(), 0);
    for forwarder in 0..20 {
        receive(&mut aggregator, ms(0), forwarder, &report(1, 0.0, 4.0)).expect("accepted");
    }
    let mut merger = UpdateMerger::new();
    let mut probing = 0;
    while let Some(update) = aggregator.poll_update(ms(0)) {
        let status = update.fragments[0].statuses[0].1;
        probing += usize::from(matches!(status, HealthStatus::Probe { .. }));
        merger.on_update(ms(0), PLANNER, Incarnation(1), update.fragments[0].clone()).expect("accepted");
        let is_avoided = !merger.control_plane_update(ms(0)).failing.is_empty();
        assert_eq!(!is_avoided, merger.assigned_probes(ms(0)) == [ENDPOINT]);
    }
    // Hardly any attempts were observed before the failure, so an eighth of the forwarders is assigned
    // initially.
    assert_eq!(probing, 3);
    // The assignment remains valid when another planner assigns no probes.
    let probe = update(1, HealthStatus::Probe { ago: Span::ZERO });
    merger.on_update(ms(0), PLANNER, Incarnation(2), probe).expect("accepted");
    merger.on_update(ms(1), OTHER_PLANNER, Incarnation(1), update(1, failing(0))).expect("accepted");
    assert!(merger.control_plane_update(ms(1)).failing.is_empty());
}

fn forwarder_component(id: u64) -> ForwarderComponent {
    ForwarderComponent::new(Settings::default(), ForwarderId(id), Incarnation(1), ms(0))
}

/// Creates a forwarder with attempts in flight at more endpoints than it may report.
fn forwarder_with_many_endpoints(id: u64) -> ForwarderComponent {
    let mut forwarder = forwarder_component(id);
    forwarder.on_membership_change(ms(0), &[Member::Planner(PLANNER)]);
    for endpoint in 0..MAX_ENDPOINTS as u64 + 50 {
        // These identifiers have the greatest encoded length.
        let cache = EndpointId(endpoint << 50 | endpoint);
        for _ in 0..4 {
            let sent = Observation::AttemptSent { cache, is_origin: false, write: false };
            forwarder.on_observation(ms(0), &sent);
        }
    }
    forwarder
}

#[test]
fn fragments_of_a_report_are_accepted_once_in_any_order() {
    let mut planner = PlannerComponent::new(Settings::default(), PLANNER, Incarnation(1), ms(0));
    let mut forwarder = forwarder_with_many_endpoints(5);
    let from_forwarder = |sequence| sender(Member::Forwarder(ForwarderId(5)), sequence);
    let mut fragments: Vec<_> = iter::from_fn(|| forwarder.poll_message(ms(600))).collect();
    assert_eq!(fragments.len(), MAX_ENDPOINTS.div_ceil(FRAGMENT_LENGTH));
    fragments.reverse();
    for (to, fragment) in &fragments {
        assert_eq!(*to, Member::Planner(PLANNER));
        let bytes = postcard::to_stdvec(fragment).expect("encoded");
        assert!(bytes.len() < 1100, "{}", bytes.len());
        planner.on_message(ms(600), from_forwarder(1), fragment.clone()).expect("new");
        let duplicate = planner.on_message(ms(600), from_forwarder(1), fragment.clone());
        assert_eq!(duplicate, Err(HealthError::Stale));
    }
    let (_, update) = planner.poll_message(ms(600)).expect("an update");
    assert!(matches!(update, HealthMessage::Update(_)));
    let unauthorized = planner.on_message(ms(600), from_forwarder(9), update);
    assert_eq!(unauthorized, Err(HealthError::UnauthorizedSender));
}

#[test]
fn the_previous_update_is_valid_until_the_latest_is_complete() {
    let mut forwarder = forwarder_with_many_endpoints(6);
    let update = |version, fragment, endpoint| {
        let statuses = vec![(EndpointId(endpoint), failing(0))];
        HealthMessage::Update(HealthUpdate { version: Version(version), fragment, forwarders: 9, statuses })
    };
    let mut receive = |at, update| {
        forwarder.on_message(at, sender(Member::Planner(PLANNER), 1), update)?;
        Ok(forwarder.control_plane_update(at).failing.len())
    };
    let first = Fragment { index: 0, count: 2 };
    let second = Fragment { index: 1, count: 2 };
    let impossible = Fragment { index: 7, count: 7 };
    assert_eq!(receive(ms(700), update(4, Fragment::SINGLE, 1)), Ok(1));
    assert_eq!(receive(ms(710), update(5, second, 2)), Ok(2));
    assert_eq!(receive(ms(711), update(5, second, 2)), Err(HealthError::Stale));
    assert_eq!(receive(ms(712), update(4, Fragment::SINGLE, 3)), Err(HealthError::Stale));
    assert_eq!(receive(ms(720), update(5, first, 4)), Ok(2));
    assert_eq!(receive(ms(730), update(6, impossible, 4)), Err(HealthError::InvalidFragment));
}
