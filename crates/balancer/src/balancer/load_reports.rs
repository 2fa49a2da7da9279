//! Load reports of endpoints, and the endpoints' usage as estimated from them.

use crate::endpoint::LoadReport;
use crate::ids::EndpointId;
use crate::settings::Settings;
use crate::time::{Span, Time};

use super::endpoint_list::{Endpoint, EndpointList};

/// The time constant by which usage and load reports decay: a few learning steps, and many requests.
pub(super) const USAGE_TIME_CONSTANT: Span = Span::from_millis(3000);

/// An endpoint's last load report, with the time at which it was received.
#[derive(Clone, Copy)]
pub(super) struct ReceivedLoadReport {
    pub received_at: Time,
    pub report: LoadReport,
}

impl ReceivedLoadReport {
    /// The endpoint's queueing time in seconds, if the report has the metrics for it and is recent. By
    /// Little's law, the number of requests held divided by the rate is the time that a request spends at the
    /// endpoint. An outdated report is ignored, since a report of no queueing from before a queue would make
    /// the queue look like long work.
    pub fn queueing_seconds(&self, now: Time) -> Option<f64> {
        if now - self.received_at > USAGE_TIME_CONSTANT {
            return None;
        }
        let rate = self.report.requests_per_s.filter(|rate| *rate > 0.0)?;
        Some(self.report.requests_held? / rate - self.report.service_time?.as_secs_f64())
    }
}

/// A reported metric per unit of size, with a weight from 1 to 0 by the age of the report.
struct WeightedMetric {
    value: f64,
    weight: f64,
}

/// The sums over endpoints from which the mean of the reported requests held is computed.
struct RequestsHeldTotals {
    weighted_sum: f64,
    weight: f64,
}

impl RequestsHeldTotals {
    /// The weighted mean of the requests held per unit of size. `None` if there is no report, or if all
    /// reports are so old that their weights have underflowed to zero.
    fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.weighted_sum / self.weight)
    }
}

/// The usage of an endpoint, in requests held or in flight per unit of size.
pub(super) struct EndpointUsage {
    pub endpoint: EndpointId,
    pub usage: f64,
}

/// Estimates the usage of all serving caches at one moment: the requests that a cache reports to hold, per
/// unit of size. As a report ages, the estimate approaches the mean of all caches. If no cache has reported
/// the requests that it holds, or all reports are so old that their weights are zero, a cache's usage is the
/// number of the node's own attempts in flight there, per unit of size.
pub(super) struct UsageEstimator<'a> {
    pub now: Time,
    pub settings: &'a Settings,
}

impl UsageEstimator<'_> {
    pub fn usages(&self, endpoints: &EndpointList) -> Vec<EndpointUsage> {
        let totals = self.requests_held_totals(endpoints);
        let serving = endpoints.iter().filter(|endpoint| endpoint.is_serving());
        serving
            .map(|endpoint| EndpointUsage { endpoint: endpoint.id(), usage: self.usage(endpoint, &totals) })
            .collect()
    }

    fn usage(&self, endpoint: &Endpoint, totals: &RequestsHeldTotals) -> f64 {
        match (totals.mean(), self.requests_held(endpoint)) {
            (Some(mean), Some(held)) => mean * (1.0 - held.weight) + held.value * held.weight,
            (Some(mean), None) => mean,
            (None, _) => self.own_usage(endpoint),
        }
    }

    /// The node's own attempts in flight at an endpoint, plus the node's part of the requests that the
    /// endpoint reports as queued, per unit of size. Queued requests are added since they are no load in
    /// flight.
    fn own_usage(&self, endpoint: &Endpoint) -> f64 {
        let own = endpoint.own_load.read(self.now) / endpoint.size(self.settings);
        let queued = match self.requests_queued(endpoint) {
            Some(queued) => queued.value * queued.weight / self.settings.nodes,
            None => 0.0,
        };
        own + queued
    }

    /// Sums up the requests that serving caches report to hold.
    fn requests_held_totals(&self, endpoints: &EndpointList) -> RequestsHeldTotals {
        let mut totals = RequestsHeldTotals { weighted_sum: 0.0, weight: 0.0 };
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.is_serving()) {
            if let Some(held) = self.requests_held(endpoint) {
                totals.weighted_sum += held.value * held.weight;
                totals.weight += held.weight;
            }
        }
        totals
    }

    fn requests_held(&self, endpoint: &Endpoint) -> Option<WeightedMetric> {
        self.weighted_metric(endpoint, |report| report.requests_held)
    }

    fn requests_queued(&self, endpoint: &Endpoint) -> Option<WeightedMetric> {
        self.weighted_metric(endpoint, |report| report.requests_queued)
    }

    /// A metric of the endpoint's last load report, if the report has the metric.
    fn weighted_metric(
        &self,
        endpoint: &Endpoint,
        metric: fn(&LoadReport) -> Option<f64>,
    ) -> Option<WeightedMetric> {
        let last = endpoint.last_load_report?;
        let age = (self.now - last.received_at).as_secs_f64();
        let value = metric(&last.report)? / endpoint.size(self.settings);
        Some(WeightedMetric { value, weight: (-age / USAGE_TIME_CONSTANT.as_secs_f64()).exp() })
    }
}

#[cfg(test)]
mod tests;
