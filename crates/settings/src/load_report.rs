//! Load reports: what their figures mean, by the columns that the settings name.

use granitelb_balancer::LoadReport;
use granitelb_balancer::time::Span;

const MILLIS_PER_SECOND: f64 = 1e3;

/// The meaning of a figure in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Requests that the endpoint holds, queued ones included.
    Outstanding,
    /// Requests in its queue.
    Queued,
    /// The recent service time of a request in milliseconds.
    ServiceTimeMs,
    /// Requests that it serves in a second.
    ThroughputPerSecond,
    /// A figure that the balancer does not use.
    Other,
}

impl LoadColumn {
    /// The column of this name in the settings.
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

/// Makes a load report from its figures. Figures that are negative or not finite count as not reported.
pub fn load_report(figures: impl IntoIterator<Item = (LoadColumn, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (column, figure) in figures {
        if !figure.is_finite() || figure < 0.0 {
            continue;
        }
        match column {
            LoadColumn::Outstanding => report.held = Some(figure),
            LoadColumn::Queued => report.waiting = Some(figure),
            LoadColumn::ServiceTimeMs => {
                report.service = Some(Span::from_secs_f64(figure / MILLIS_PER_SECOND));
            }
            LoadColumn::ThroughputPerSecond => report.per_s = Some(figure),
            LoadColumn::Other => {}
        }
    }
    report
}
