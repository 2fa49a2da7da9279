//! Load reports: what their figures mean, by the columns that the settings name.

use granitelb_balancer::LoadReport;
use granitelb_balancer::time::Span;

const MILLIS_PER_SECOND: f64 = 1e3;

/// The meaning of a figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// Requests that the endpoint holds, queued ones included.
    Held,
    /// Requests in its queue.
    Waiting,
    /// The recent service time of a request in milliseconds.
    ServiceMs,
    /// Requests that it serves in a second.
    PerSecond,
    /// A figure that the balancer does not use.
    Other,
}

impl Column {
    /// The column of this name in the settings.
    pub fn of_name(name: &str) -> Column {
        match name {
            "outstanding" => Column::Held,
            "backlog" => Column::Waiting,
            "recent_ms" => Column::ServiceMs,
            "throughput" => Column::PerSecond,
            _ => Column::Other,
        }
    }
}

/// Makes a load report from its figures. Figures that are negative or not finite count as not reported.
pub fn report(figures: impl IntoIterator<Item = (Column, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, figure) in figures {
        if !figure.is_finite() || figure < 0.0 {
            continue;
        }
        match column {
            Column::Held => report.requests_held = Some(figure),
            Column::Waiting => report.requests_queued = Some(figure),
            Column::ServiceMs => report.service_time = Some(Span::from_secs_f64(figure / MILLIS_PER_SECOND)),
            Column::PerSecond => report.requests_per_s = Some(figure),
            Column::Other => {}
        }
    }
    report
}
