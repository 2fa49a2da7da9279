//! The report page of a run: one HTML file without references to other files.

use std::fmt::Write as _;

use super::plots::{self, PlotError};
use crate::audit::{AuditResult, Figures};
use crate::event_log::TimedEvent;
use crate::experiment::Experiment;

const STYLE: &str = "body{font:15px sans-serif;max-width:980px;margin:2em auto;padding:0 1em}\
    td,th{padding:.15em .8em;text-align:left;border-bottom:1px solid #ddd}.bad{color:#b00}";

/// The text with the special characters of HTML escaped.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// The HTML of a run's report page.
///
/// # Errors
/// A plot can't be drawn.
pub(super) fn render(
    experiment: &Experiment,
    seed: u64,
    result: &AuditResult,
    events: &[TimedEvent],
) -> Result<String, PlotError> {
    let mut page = String::new();
    // Writing to a string can't fail, so the results of `write!` are ignored in this module.
    write_head(&mut page, experiment, seed, result);
    write_problems(&mut page, result);
    write_figures(&mut page, &result.figures);
    for plot in plots::all(experiment, &result.figures)? {
        page += &plot;
    }
    write_recoveries(&mut page, &result.figures);
    write_events(&mut page, events);
    page += "</html>\n";
    Ok(page)
}

fn write_head(page: &mut String, experiment: &Experiment, seed: u64, result: &AuditResult) {
    let name = escape(&experiment.name);
    let about = escape(&experiment.about);
    let outcome = if result.holds() { "passed" } else { "failed" };
    let _ = write!(
        page,
        "<!doctype html><html lang=en><meta charset=utf-8><title>{name}, seed {seed}</title><style>{STYLE}</style>\
         <h1>{name}, seed {seed}: {outcome}</h1><p>{about}</p>"
    );
}

fn write_problems(page: &mut String, result: &AuditResult) {
    for violation in &result.violations {
        let examples = escape(&violation.examples.join("; "));
        let _ = write!(
            page,
            "<p class=bad>rule {:?} broken: {} ({} times): {examples}</p>",
            violation.rule, violation.kind, violation.count
        );
    }
    for unmet in &result.unmet_expectations {
        let _ = write!(
            page,
            "<p class=bad>{}: {:.3}, expected {:.3}</p>",
            unmet.expectation, unmet.measured, unmet.bound
        );
    }
}

fn write_figures(page: &mut String, figures: &Figures) {
    let ends =
        format!("{}, {}, {}, {}", figures.fulfilled, figures.rate_limited, figures.errored, figures.lost);
    let rows = [
        ("requests, attempts", format!("{}, {}", figures.requests, figures.attempts)),
        ("service", format!("{:.4}", figures.service)),
        ("fulfilled, rate-limited, errored, lost attempts", ends),
        ("latency p50, p99", format!("{:.1} ms, {:.1} ms", figures.p50_ms, figures.p99_ms)),
        ("maximum over mean load of the steady caches", format!("{:.2}", figures.max_over_mean)),
        ("reads at the origin in the busiest second over capacity", format!("{:.2}", figures.origin_fetches)),
        (
            "last new attempt after the notification of a drain",
            format!("{:.0} ms, {} drains", figures.drain_stop_ms, figures.drains),
        ),
        ("stale reads", figures.stale_reads.to_string()),
        (
            "maximum memory, descriptors of a node",
            format!("{:.1} MB, {}", figures.memory_mb, figures.descriptors),
        ),
        ("CPU time per attempt", format!("{:.0} \u{b5}s", figures.cpu_us_per_attempt)),
        ("lateness of the testbed, 99.9th percentile", format!("{:.2} ms", figures.harness_late_ms)),
    ];
    *page += "<table>";
    for (title, value) in rows {
        let _ = write!(page, "<tr><td>{title}<td>{value}");
    }
    *page += "</table>";
}

fn write_recoveries(page: &mut String, figures: &Figures) {
    *page += "<h2>Faults</h2><table><tr><th>fault<th>ended at<th>service recovered after";
    for recovery in &figures.recoveries {
        let after = match recovery.after_s {
            Some(seconds) => format!("{seconds:.1} s"),
            None => "not by the end".into(),
        };
        let _ = write!(page, "<tr><td>{}<td>{:.1} s<td>{after}", recovery.fault, recovery.ended_s);
    }
    *page += "</table>";
}

fn write_events(page: &mut String, events: &[TimedEvent]) {
    *page += "<h2>Events</h2><table>";
    for timed in events {
        let event = escape(&format!("{:?}", timed.event));
        let _ = write!(page, "<tr><td>{:.3} s<td>{event}", timed.at.seconds());
    }
    *page += "</table>";
}
