//! What is estimated of a request, and its value from the Kaplan-Meier curves of alike requests.

use std::collections::BTreeMap;

use super::kaplan_meier::{CensoredTime, PseudoValue, pseudo_values};
use super::sampled_request::{SampledRequest, ServiceOutcome};
use crate::member::ForwarderId;

/// The fewest resolved times of a curve, keys of a cache, and choices of a candidate that support a figure.
pub(super) const MIN_SUPPORT: usize = 5;

/// It is known at once that a failed request gets no response: it waits all of the SLO, and nothing of it is censored.
const FAILED: PseudoValue = PseudoValue { waited: 1.0, in_time: 0.0 };

/// The figure that is estimated of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeMeasure {
    /// The share of the SLO that a request waits; one that is not answered within it waits all of it.
    WaitedShare,
    /// Whether a request is fulfilled within the SLO.
    InTime,
}

impl OutcomeMeasure {
    pub(super) fn of(self, value: &PseudoValue) -> f64 {
        match self {
            OutcomeMeasure::WaitedShare => value.waited,
            OutcomeMeasure::InTime => value.in_time,
        }
    }
}

/// A sampled request with who reported it and when it ended.
#[derive(Clone, Copy, Debug)]
pub struct ReportedRequest<'a> {
    /// The report.
    pub request: &'a SampledRequest,
    /// The forwarder that served the request.
    pub forwarder: ForwarderId,
    /// The number of the time bucket in which the request ended.
    pub time_bucket: u64,
}

/// The pseudo-values of the requests whose group has enough resolved times, by the request's index.
///
/// `scale` turns a duration in tenths of a millisecond into the unit of the curve and has to grow with it.
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
        if let Some(of_group) = pseudo_values(&times, horizon, MIN_SUPPORT) {
            values.extend(waited.into_iter().zip(of_group));
        }
    }
    values
}

/// A request class has one SLO; if it changes, the greatest is what all its requests can be judged by.
pub(super) fn greatest_slo(requests: &[ReportedRequest<'_>]) -> u32 {
    requests.iter().map(|reported| reported.request.slo).max().unwrap_or(0)
}

fn censored_time(request: &SampledRequest, scale: impl Fn(u32) -> f64) -> CensoredTime {
    CensoredTime {
        duration: scale(request.duration),
        is_observed: request.outcome != ServiceOutcome::Censored,
    }
}
