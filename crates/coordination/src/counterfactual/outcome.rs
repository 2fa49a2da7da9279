//! The outcome measures of requests, and their pseudo-values from the Kaplan-Meier curves of groups of
//! similar requests.

use std::collections::BTreeMap;

use super::kaplan_meier::{CensoredTime, PseudoValue, pseudo_values};
use super::sampled_request::{SampledRequest, ServiceOutcome};
use crate::member::ForwarderId;

/// The fewest resolved times of a curve, keys of a cache, or choices of a candidate that support an estimate.
pub(super) const MIN_SUPPORT: usize = 5;

/// The pseudo-value of a failed request: it is known at once to get no response, so it counts as waiting for
/// all of the SLO, and it is never censored.
const FAILED: PseudoValue = PseudoValue { waited: 1.0, in_time: 0.0 };

/// The outcome of a request that is estimated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeMeasure {
    /// The share of the SLO that a request waits; 1 for a request that is not answered within the SLO.
    WaitedShare,
    /// Whether a request is fulfilled within the SLO: 1 or 0.
    InTime,
}

impl OutcomeMeasure {
    /// The measure of a request with this pseudo-value.
    pub(super) fn of(self, value: &PseudoValue) -> f64 {
        match self {
            OutcomeMeasure::WaitedShare => value.waited,
            OutcomeMeasure::InTime => value.in_time,
        }
    }
}

/// A sampled request with the forwarder that reported it and the time bucket in which it ended.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRequest<'a> {
    /// The report.
    pub request: &'a SampledRequest,
    /// The forwarder that served the request.
    pub forwarder: ForwarderId,
    /// The number of the time bucket in which the request ended.
    pub time_bucket: u64,
}

/// Returns the pseudo-values of failed requests and of the requests whose group has enough resolved times, by
/// the request's index.
///
/// `scale` converts a duration in tenths of a millisecond into the unit of the curve; it has to be
/// increasing.
pub(super) fn pseudo_values_by_group<G: Ord>(
    requests: &[ReportedRequest<'_>],
    group_of: impl Fn(&SampledRequest) -> G,
    scale: impl Fn(u32) -> f64,
) -> BTreeMap<usize, PseudoValue> {
    let mut groups: BTreeMap<G, Vec<usize>> = BTreeMap::new();
    for (index, reported) in requests.iter().enumerate() {
        groups.entry(group_of(reported.request)).or_default().push(index);
    }
    let horizon = scale(greatest_slo(requests));
    let mut values = BTreeMap::new();
    for members in groups.into_values() {
        let (failed, waited): (Vec<usize>, Vec<usize>) =
            members.into_iter().partition(|index| requests[*index].request.outcome == ServiceOutcome::Failed);
        values.extend(failed.into_iter().map(|index| (index, FAILED)));
        let times: Vec<CensoredTime> =
            waited.iter().map(|index| censored_time(requests[*index].request, &scale)).collect();
        if let Some(group_values) = pseudo_values(&times, horizon, MIN_SUPPORT) {
            values.extend(waited.into_iter().zip(group_values));
        }
    }
    values
}

/// Returns the greatest SLO of the requests, in tenths of a millisecond. A request class has one SLO; if it
/// changes, all requests of the class are measured against the greatest.
pub(super) fn greatest_slo(requests: &[ReportedRequest<'_>]) -> u32 {
    requests.iter().map(|reported| reported.request.slo).max().unwrap_or(0)
}

fn censored_time(request: &SampledRequest, scale: impl Fn(u32) -> f64) -> CensoredTime {
    CensoredTime {
        duration: scale(request.duration),
        is_observed: request.outcome != ServiceOutcome::Censored,
    }
}
