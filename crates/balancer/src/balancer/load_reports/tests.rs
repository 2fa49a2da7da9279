use super::{ReceivedLoadReport, UsageEstimator};
use crate::balancer::endpoint_list::EndpointList;
use crate::balancer::test_support::{at, endpoints, settings};
use crate::endpoint::LoadReport;
use crate::ids::EndpointId;
use crate::settings::Effect;
use crate::time::Span;
use test_case::test_case;

fn report_at_zero(report: LoadReport) -> ReceivedLoadReport {
    ReceivedLoadReport { received_at: at(0), report }
}

fn set_report(list: &mut EndpointList, endpoint: u64, report: LoadReport) {
    let endpoint = list.get_mut(EndpointId(endpoint)).expect("listed");
    endpoint.last_load_report = Some(report_at_zero(report));
}

/// The usages of all caches `ms` milliseconds after the start, as one of `nodes` nodes estimates them.
fn usages(list: &EndpointList, ms: u64, nodes: f64) -> Vec<f64> {
    let mut settings = settings(Effect::Idempotent);
    settings.nodes = nodes;
    let usages = UsageEstimator { now: at(ms), settings: &settings }.usages(list);
    usages.into_iter().map(|usage| usage.usage).collect()
}

#[test]
fn queueing_time_is_computed_by_littles_law_while_the_report_is_recent() {
    let full = LoadReport {
        requests_held: Some(12.0),
        requests_per_s: Some(20.0),
        service_time: Some(Span::from_millis(200)),
        requests_queued: None,
    };
    let queueing = report_at_zero(full).queueing_seconds(at(3000)).expect("a full report");
    assert!((queueing - 0.4).abs() < 1e-9, "{queueing}");
    assert_eq!(report_at_zero(full).queueing_seconds(at(3001)), None, "outdated");
    for partial in [
        LoadReport { requests_held: None, ..full },
        LoadReport { requests_per_s: Some(0.0), ..full },
        LoadReport { service_time: None, ..full },
    ] {
        assert_eq!(report_at_zero(partial).queueing_seconds(at(0)), None);
    }
}

#[test]
fn usage_is_the_reported_number_of_requests_held() {
    let mut list = endpoints(3, &settings(Effect::Idempotent));
    set_report(&mut list, 0, LoadReport { requests_held: Some(9.0), ..LoadReport::default() });
    set_report(&mut list, 1, LoadReport { requests_held: Some(3.0), ..LoadReport::default() });
    assert_eq!(usages(&list, 0, 1.0), [9.0, 3.0, 6.0], "a cache without a report has the mean usage");
}

#[test]
fn usage_by_old_reports_approaches_the_mean() {
    let mut list = endpoints(2, &settings(Effect::Idempotent));
    set_report(&mut list, 0, LoadReport { requests_held: Some(10.0), ..LoadReport::default() });
    set_report(&mut list, 1, LoadReport { requests_held: Some(0.0), ..LoadReport::default() });
    let [high, low] = usages(&list, 9000, 1.0)[..] else { panic!("two caches") };
    assert!(high < 5.5 && low > 4.5 && high > low, "{high} {low}");
}

#[test]
fn without_reports_of_requests_held_usage_is_own_load_and_a_part_of_reported_queues() {
    let mut list = endpoints(2, &settings(Effect::Idempotent));
    list.get_mut(EndpointId(0)).expect("listed").own_load.change_by(at(0), 2.0);
    set_report(&mut list, 1, LoadReport { requests_queued: Some(40.0), ..LoadReport::default() });
    let [own, queue] = usages(&list, 0, 10.0)[..] else { panic!("two caches") };
    assert_eq!((own, queue), (0.0, 4.0), "own load is an average over time");
    let [own, _] = usages(&list, 60_000, 10.0)[..] else { panic!("two caches") };
    assert!((own - 2.0).abs() < 1e-6, "{own}");
}

/// Guards against a usage that is not a number after all caches have stopped sending reports. The weights of
/// all reports underflow to zero after about 37 minutes (745 times the time constant of 3 s), and the mean of
/// the requests held was 0/0 from then on: every push became neutral, and the node's own load no longer
/// changed any weight.
#[test_case(2_200; "before the weights underflow")]
#[test_case(2_300; "after the weights have underflowed")]
#[test_case(86_400; "a day later")]
fn usage_stays_finite_however_old_the_reports_are(seconds: u64) {
    let mut list = endpoints(2, &settings(Effect::Idempotent));
    set_report(&mut list, 0, LoadReport { requests_held: Some(10.0), ..LoadReport::default() });
    set_report(&mut list, 1, LoadReport { requests_held: Some(0.0), ..LoadReport::default() });
    list.get_mut(EndpointId(1)).expect("listed").own_load.change_by(at(0), 2.0);
    let usages = usages(&list, seconds * 1000, 1.0);
    assert!(usages.iter().all(|usage| usage.is_finite()), "{usages:?}");
}

#[test]
fn usage_is_own_load_once_the_weights_of_all_reports_are_zero() {
    let mut list = endpoints(2, &settings(Effect::Idempotent));
    set_report(&mut list, 0, LoadReport { requests_held: Some(10.0), ..LoadReport::default() });
    list.get_mut(EndpointId(1)).expect("listed").own_load.change_by(at(0), 2.0);
    let [idle, loaded] = usages(&list, 3_600_000, 1.0)[..] else { panic!("two caches") };
    assert_eq!((idle, loaded), (0.0, 2.0));
}
