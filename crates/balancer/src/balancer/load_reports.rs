//! Load reports of endpoints, and the usage figures that follow from them.

use crate::endpoint::LoadReport;
use crate::ids::EndpointId;
use crate::settings::Settings;
use crate::time::{Span, Time};

use super::endpoint_list::{Endpoint, EndpointList};

/// How long usage is remembered: a few learning steps, many requests.
pub(super) const USAGE_TIME_CONSTANT: Span = Span::from_millis(3000);

/// An endpoint's last load report.
#[derive(Clone, Copy)]
pub(super) struct ReceivedLoadReport {
    pub received_at: Time,
    pub report: LoadReport,
}

impl ReceivedLoadReport {
    /// The queueing time in seconds, where the report shows it: by Little's law the requests held over the rate are
    /// the time that a request spends there. An outdated report shows nothing, or it would make a queue look like
    /// long work.
    pub fn queueing_seconds(&self, now: Time) -> Option<f64> {
        if now - self.received_at > USAGE_TIME_CONSTANT {
            return None;
        }
        let rate = self.report.requests_per_s.filter(|rate| *rate > 0.0)?;
        Some(self.report.requests_held? / rate - self.report.service_time?.as_secs_f64())
    }
}

/// A reported figure per unit of size, and how much it still counts.
struct WeightedMetric {
    value: f64,
    weight: f64,
}

/// The sums of what endpoints report to hold.
struct RequestsHeldTotals {
    weighted_sum: f64,
    weight: f64,
}

impl RequestsHeldTotals {
    /// The weighted mean. There is none without a report, nor where all of them are so old that their weights have
    /// underflowed to zero: then the reports show nothing.
    fn mean(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.weighted_sum / self.weight)
    }
}

/// The usage of an endpoint.
pub(super) struct EndpointUsage {
    pub endpoint: EndpointId,
    pub usage: f64,
}

/// Computes the usage of all serving caches at one moment: the requests they report to hold, per unit of size. The
/// weight of an old report shifts to the mean of all endpoints. Where no endpoint reports what it holds, or none
/// has for so long that nothing of it counts, usage is the node's own attempts in flight there.
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
        match (totals.mean(), self.held(endpoint)) {
            (Some(mean), Some(held)) => mean * (1.0 - held.weight) + held.value * held.weight,
            (Some(mean), None) => mean,
            (None, _) => self.own_usage(endpoint),
        }
    }

    /// The node's own attempts in flight. Requests that only wait are no load in flight; the node's part of them
    /// adds to its own.
    fn own_usage(&self, endpoint: &Endpoint) -> f64 {
        let own = endpoint.own_load.read(self.now) / endpoint.size(self.settings);
        let waiting = match self.waiting(endpoint) {
            Some(waiting) => waiting.value * waiting.weight / self.settings.nodes,
            None => 0.0,
        };
        own + waiting
    }

    /// Sums up what serving caches report to hold.
    fn requests_held_totals(&self, endpoints: &EndpointList) -> RequestsHeldTotals {
        let mut totals = RequestsHeldTotals { weighted_sum: 0.0, weight: 0.0 };
        for endpoint in endpoints.iter().filter(|endpoint| endpoint.is_serving()) {
            if let Some(held) = self.held(endpoint) {
                totals.weighted_sum += held.value * held.weight;
                totals.weight += held.weight;
            }
        }
        totals
    }

    fn held(&self, endpoint: &Endpoint) -> Option<WeightedMetric> {
        self.weighted(endpoint, |report| report.requests_held)
    }

    fn waiting(&self, endpoint: &Endpoint) -> Option<WeightedMetric> {
        self.weighted(endpoint, |report| report.requests_queued)
    }

    fn weighted(
        &self,
        endpoint: &Endpoint,
        figure: fn(&LoadReport) -> Option<f64>,
    ) -> Option<WeightedMetric> {
        let last = endpoint.last_load_report?;
        let age = (self.now - last.received_at).as_secs_f64();
        let value = figure(&last.report)? / endpoint.size(self.settings);
        Some(WeightedMetric { value, weight: (-age / USAGE_TIME_CONSTANT.as_secs_f64()).exp() })
    }
}

#[cfg(test)]
mod tests;
