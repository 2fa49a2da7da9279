//! Load reports: the meaning of their numbers, by the column names in the settings.

use granitelb_balancer::LoadReport;
use granitelb_balancer::time::Span;

const MILLIS_PER_SECOND: f64 = 1e3;

/// The meaning of a number in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Number of requests at the endpoint, in service or queued.
    Outstanding,
    /// Number of requests in the endpoint's queue.
    Queued,
    /// Recent service time of a request, in milliseconds.
    ServiceTimeMs,
    /// Requests that the endpoint completes per second.
    ThroughputPerSecond,
    /// A number that the balancer does not use.
    Other,
}

impl LoadColumn {
    /// The column that the settings call `name`.
    pub fn from_name(name: &str) -> LoadColumn {
        match name {
            "outstanding" => LoadColumn::Outstanding,
            "backlog" => LoadColumn::Queued,
            "recent_ms" => LoadColumn::ServiceTimeMs,
            "throughput" => LoadColumn::ThroughputPerSecond,
            _ => LoadColumn::Other,
        }
    }
}

/// Builds a load report from its numbers. Numbers that are negative or not finite are ignored.
pub fn load_report(values: impl IntoIterator<Item = (LoadColumn, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, value) in values {
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        match column {
            LoadColumn::Outstanding => report.requests_held = Some(value),
            LoadColumn::Queued => report.requests_queued = Some(value),
            LoadColumn::ServiceTimeMs => {
                report.service_time = Some(Span::from_secs_f64(value / MILLIS_PER_SECOND));
            }
            LoadColumn::ThroughputPerSecond => report.requests_per_s = Some(value),
            LoadColumn::Other => {}
        }
    }
    report
}
