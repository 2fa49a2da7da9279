//! Writes the reports of a run: a summary as text, a JSON file, an HTML page, and the event log.

mod page;
mod plots;

use std::fmt;
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::audit::{AuditResult, Figures};
use crate::experiment::Experiment;
use crate::run_result::RunResult;

pub use plots::PlotError;

/// Why a report could not be written.
#[derive(Debug)]
pub enum ReportError {
    /// A file or folder of the report can't be written.
    Write {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A plot of the HTML page can't be drawn.
    Plot(PlotError),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::Write { path, error } => {
                write!(f, "the report can't be written to {}: {error}", path.display())
            }
            ReportError::Plot(error) => write!(f, "a plot of the report page can't be drawn: {error}"),
        }
    }
}

impl std::error::Error for ReportError {}

impl From<PlotError> for ReportError {
    fn from(error: PlotError) -> ReportError {
        ReportError::Plot(error)
    }
}

/// The summary of a run as text: one line of figures, further lines for disconnects, the fleet and shard
/// growth, and one line for each violation and unmet expectation.
pub fn summary(name: &str, result: &AuditResult) -> String {
    let figures = &result.figures;
    let mut text = format!("{name}: {}", overview(result));
    if figures.disconnects.disconnected > 0 {
        let disconnects = &figures.disconnects;
        text += &format!(
            "\n    clients disconnected in {} attempts, {} of them before anything was sent upstream; {} sent late",
            disconnects.disconnected, disconnects.waiting, disconnects.sent_late
        );
    }
    if figures.fleet.messages > 0 {
        text += &format!("\n    {}", fleet_overview(figures));
    }
    if let Some(growth) = &figures.shard_growth {
        text += &format!("\n    shard growth: {growth}");
    }
    for violation in &result.violations {
        text += &format!(
            "\n    rule {:?} broken: {} ({} times): {}",
            violation.rule,
            violation.kind,
            violation.count,
            violation.examples.join("; ")
        );
    }
    for unmet in &result.unmet_expectations {
        text += &format!("\n    {}: {:.3}, expected {:.3}", unmet.expectation, unmet.measured, unmet.bound);
    }
    text
}

/// The outcome and the main figures of a run, on one line.
fn overview(result: &AuditResult) -> String {
    let figures = &result.figures;
    let outcome = if result.holds() { "passed" } else { "FAILED" };
    let recovery = match figures.longest_recovery() {
        _ if figures.recoveries.is_empty() => "-".into(),
        Some(seconds) => format!("{seconds:.1} s"),
        None => "never".into(),
    };
    format!(
        "{outcome}; service {:.4}, {} requests, {} rate-limited, {} errored, {} lost, p50 {:.1} ms, p99 {:.1} ms, \
         recovery {recovery}, maximum over mean load {:.2}, origin load {:.2} of capacity, {:.0} us CPU per attempt",
        figures.service,
        figures.requests,
        figures.rate_limited,
        figures.errored,
        figures.lost,
        figures.p50_ms,
        figures.p99_ms,
        figures.max_over_mean,
        figures.origin_fetches,
        figures.cpu_us_per_attempt
    )
}

/// The figures of the fleet, on one line.
fn fleet_overview(figures: &Figures) -> String {
    let fleet = &figures.fleet;
    let loss = match fleet.service_loss {
        Some(loss) => format!("{loss:.4}"),
        None => "-".into(),
    };
    format!(
        "fleet: {} messages ({} lost, {} corrupted), {:.0} bytes/s, {} grants, leases {:.3} of capacity, origin {:.3}, \
         warming caches {:.3}; {:.2} attempts/s at a hung cache; fairness {:.4}, service drop {:.4}, loss {loss}",
        fleet.messages,
        fleet.messages_lost,
        fleet.messages_corrupted,
        fleet.bytes_per_s,
        fleet.grants,
        fleet.leased_ratio,
        fleet.origin_over_capacity,
        fleet.warming_over_capacity,
        fleet.hung_cache_attempts_per_s,
        fleet.fairness,
        fleet.service_drop,
    )
}

/// Writes a run's report as JSON and as an HTML page, to `file` with the extensions `json` and `html`.
///
/// # Errors
/// A file or folder can't be written, or a plot can't be drawn.
pub fn write(file: &Path, experiment: &Experiment, seed: u64, result: &RunResult) -> Result<(), ReportError> {
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).map_err(|error| ReportError::Write { path: folder.into(), error })?;
    }
    let report = json!({
        "experiment": experiment.name,
        "about": experiment.about,
        "seed": seed,
        "verdict": result.audit_result,
        "events": result.event_log.events,
        "holds": result.audit_result.holds(),
    });
    write_file(file.with_extension("json"), &format!("{report:#}"))?;
    let page = page::render(experiment, seed, &result.audit_result, &result.event_log.events)?;
    write_file(file.with_extension("html"), &page)
}

/// Writes the event log of a run beside the report, to `file` with the extension `book.json`.
///
/// # Errors
/// The file can't be written.
pub fn write_event_log(file: &Path, result: &RunResult) -> Result<(), ReportError> {
    write_file(file.with_extension("book.json"), &json!(result.event_log).to_string())
}

fn write_file(path: PathBuf, text: &str) -> Result<(), ReportError> {
    std::fs::write(&path, text).map_err(|error| ReportError::Write { path, error })
}
