//! What came of a run, for people and programs.

mod page;
mod plots;

use std::path::Path;

use serde_json::json;

use crate::audit::AuditResult;
use crate::experiment::Experiment;
use crate::run_result::RunResult;

/// A line, and one more for each thing that did not hold.
pub fn summary(name: &str, verdict: &AuditResult) -> String {
    let f = &verdict.figures;
    let word = if verdict.holds() { "held" } else { "FELL SHORT" };
    let recovery = match (f.recoveries.is_empty(), f.longest_recovery()) {
        (true, _) => "-".into(),
        (false, Some(s)) => format!("{s:.1} s"),
        (false, None) => "never".into(),
    };
    let mut text = format!(
        "{name}: {word}; service {:.4}, {} calls, {} rate-limited, {} errored, {} lost, p50 {:.1} ms, p99 {:.1} ms, \
         back after {recovery}, max/mean {:.2}, origin {:.2}, {:.0} us a call",
        f.service,
        f.calls,
        f.rate_limited,
        f.errored,
        f.lost,
        f.p50_ms,
        f.p99_ms,
        f.max_over_mean,
        f.origin_fetches,
        f.cpu_us_a_call
    );
    if f.leaving.left > 0 {
        let l = f.leaving;
        text += &format!(
            "\n    clients left {} tries, {} before a first attempt, {} sent on late for them",
            l.left, l.waited, l.sent_late
        );
    }
    if f.fleet.letters > 0 {
        let fleet = &f.fleet;
        text += &format!(
            "\n    together: {} letters ({} lost, {} changed), {:.0} bytes/s, {} grants, leases {:.3} of the whole, \
             origin {:.3}, cold {:.3}; {:.2} trials/s at a sick cache; fairness {:.4}, step {:.4}, loss {}",
            fleet.letters,
            fleet.letters_lost,
            fleet.letters_changed,
            fleet.bytes_per_s,
            fleet.grants,
            fleet.leases,
            fleet.origin_over_whole,
            fleet.cold_over_whole,
            fleet.sick_trials,
            fleet.fairness,
            fleet.step,
            fleet.loss.map_or("-".into(), |l| format!("{l:.4}")),
        );
    }
    if let Some(growth) = &f.growth {
        text += &format!("\n    growth: {growth}");
    }
    for breach in &verdict.breaches {
        text += &format!("\n    rule {:?} broken: {} ({} times)", breach.rule, breach.kind, breach.count);
        text += &format!(": {}", breach.examples.join("; "));
    }
    for short in &verdict.shortfalls {
        text += &format!("\n    {}: {:.3}, asked {:.3}", short.bar, short.measured, short.asked);
    }
    text
}

/// Writes a run's report beside `file`, with endings of its own.
///
/// # Errors
/// Names the file that can't be written.
pub fn write(
    file: &Path,
    experiment: &Experiment,
    seed: u64,
    played: &RunResult,
    whole_book: bool,
) -> Result<(), String> {
    let told = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).map_err(|e| told(folder, e))?;
    }
    let report = json!({
        "experiment": experiment.name, "about": experiment.about, "seed": seed, "verdict": played.audit_result,
        "events": played.event_log.events, "holds": played.audit_result.holds(),
    });
    let path = file.with_extension("json");
    std::fs::write(&path, format!("{report:#}")).map_err(|e| told(&path, e))?;
    if whole_book {
        let path = file.with_extension("book.json");
        std::fs::write(&path, json!(played.event_log).to_string()).map_err(|e| told(&path, e))?;
    }
    let page = page::page(experiment, seed, &played.audit_result, &played.event_log.events)?;
    let path = file.with_extension("html");
    std::fs::write(&path, page).map_err(|e| told(&path, e))
}
