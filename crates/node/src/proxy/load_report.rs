//! Load reports that endpoints attach to their responses.

use granitelb_balancer::LoadReport;
use granitelb_settings::LoadColumn;

/// Parses a load report in ORCA's text form, such as `TEXT named_metrics.backlog=3, rps_fractional=20`.
///
/// A metric has the name of a column of the settings; metrics with other names are skipped. Returns `None`
/// where the text has another form or contains no known metric.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let metrics = text.trim().strip_prefix("TEXT ")?;
    let mut values = Vec::new();
    for metric in metrics.split(',') {
        let (name, value) = metric.trim().split_once('=')?;
        let column = match name.strip_prefix("named_metrics.").unwrap_or(name) {
            "rps_fractional" => LoadColumn::ThroughputPerSecond,
            name => LoadColumn::from_name(name),
        };
        let value = value.trim().parse::<f64>().ok()?;
        values.push((column, value));
    }
    let report = granitelb_settings::load_report(values);
    (report != LoadReport::default()).then_some(report)
}
