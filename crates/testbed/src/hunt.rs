//! Searches for combinations of faults that break a rule.
//!
//! Each seed gives a random [`Timeline`] of overlapping faults. The timeline is run on a fleet, and the
//! audit's rules and the sum of leases are checked. A timeline that breaks a rule or exceeds the sum of
//! leases is shrunk: faults are removed as long as a violation of the same kind remains.

mod timeline;

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::audit::AuditResult;
use crate::experiment::ExperimentError;
use crate::run_result::{self, RunError, RunOutcome};

pub use timeline::Timeline;

/// The greatest lateness of the testbed in sending requests, in milliseconds, at which a run is judged.
const MAX_LATENESS_MS: f64 = 40.0;
/// The longest stall of the testbed, in milliseconds, at which a run is judged.
const MAX_STALL_MS: f64 = 100.0;
/// The most repetitions of a run that is not judged.
const MAX_RERUNS: usize = 2;

/// The options of a search for timelines that break a rule.
#[derive(Clone, Debug)]
pub struct HuntOptions {
    /// The first seed.
    pub first_seed: u64,
    /// The number of seeds.
    pub seed_count: u64,
    /// The duration of each run, in seconds.
    pub seconds: f64,
    /// How many runs are done at once.
    pub jobs: usize,
    /// The most runs for shrinking one timeline.
    pub max_shrink_runs: usize,
    /// The folder that shrunk timelines are written to; `None` to write none.
    pub out: Option<PathBuf>,
}

/// Why a timeline was not judged.
#[derive(Debug)]
pub enum HuntError {
    /// The timeline is not a valid experiment.
    Experiment(ExperimentError),
    /// The experiment could not be run.
    Run(RunError),
    /// The testbed itself was late or stalled in each run, because the machine is too busy.
    TestbedLate,
}

impl fmt::Display for HuntError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HuntError::Experiment(error) => write!(f, "the timeline is not a valid experiment: {error}"),
            HuntError::Run(error) => write!(f, "{error}"),
            HuntError::TestbedLate => f.write_str(
                "the testbed was late or stalled in each run: the machine is too busy, so run fewer jobs",
            ),
        }
    }
}

impl std::error::Error for HuntError {}

/// The violations of a run, one line each: broken rules by kind, and an exceeded sum of leases.
pub fn violations(audit_result: &AuditResult) -> Vec<String> {
    let mut violations = Vec::new();
    for violation in &audit_result.violations {
        let examples = violation.examples.join("; ");
        violations.push(format!("{} ({} times): {examples}", violation.kind, violation.count));
    }
    for unmet in audit_result.unmet_expectations.iter().filter(|unmet| unmet.expectation == "leases") {
        violations.push(format!("leases: {:.3} of the capacity", unmet.measured));
    }
    violations
}

/// Runs a timeline and audits the run. Repeats a run in which the testbed itself was late or stalled.
///
/// # Errors
/// The timeline could not be run, or the testbed was late or stalled in each run.
pub fn run_timeline(timeline: &Timeline, node: &Path) -> Result<AuditResult, HuntError> {
    let experiment = timeline.experiment().map_err(HuntError::Experiment)?;
    for _ in 0..=MAX_RERUNS {
        let result = run_result::run_experiment(&experiment, timeline.seed, node).map_err(HuntError::Run)?;
        let figures = &result.audit_result.figures;
        if figures.harness_late_ms <= MAX_LATENESS_MS && figures.harness_stall_ms <= MAX_STALL_MS {
            return Ok(result.audit_result);
        }
    }
    Err(HuntError::TestbedLate)
}

/// Removes each fault without which a violation of the same kind remains, the last fault first, in at most
/// `max_runs` runs.
fn shrink(mut timeline: Timeline, kind: &str, node: &Path, max_runs: usize) -> Timeline {
    let mut runs = 0;
    let mut index = timeline.faults.len();
    while index > 0 && runs < max_runs {
        index -= 1;
        runs += 1;
        let reduced = timeline.without(index);
        let Ok(audit_result) = run_timeline(&reduced, node) else { continue };
        if violations(&audit_result).iter().any(|violation| violation.starts_with(kind)) {
            timeline = reduced;
        }
    }
    timeline
}

/// Runs the timelines of all seeds, prints the violations of each, and returns the worst outcome.
pub fn run(options: &HuntOptions, node: &Path) -> RunOutcome {
    let next_index = AtomicU64::new(0);
    let worst_outcome = Mutex::new(RunOutcome::Passed);
    std::thread::scope(|threads| {
        for _ in 0..options.jobs.max(1) {
            threads.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    if index >= options.seed_count {
                        return;
                    }
                    let outcome = run_seed(options, options.first_seed + index, node);
                    let mut worst = worst_outcome.lock().expect("no holder of the lock panics");
                    *worst = (*worst).max(outcome);
                }
            });
        }
    });
    worst_outcome.into_inner().expect("no holder of the lock panics")
}

/// Runs the timeline of one seed, and shrinks the timeline if it has a violation.
fn run_seed(options: &HuntOptions, seed: u64, node: &Path) -> RunOutcome {
    let timeline = Timeline::draw(seed, options.seconds);
    let audit_result = match run_timeline(&timeline, node) {
        Ok(audit_result) => audit_result,
        Err(error) => {
            println!("seed {seed}: the timeline was not judged: {error}");
            return RunOutcome::NotRun;
        }
    };
    let violations = violations(&audit_result);
    print_summary(&timeline, &audit_result, &violations);
    let Some(first) = violations.first() else { return RunOutcome::Passed };
    let kind = violation_kind(first);
    let shrunk = shrink(timeline, kind, node, options.max_shrink_runs);
    println!(
        "seed {seed}: shrunk to {} faults that still cause: {kind}\n{}",
        shrunk.faults.len(),
        shrunk.text()
    );
    if let Some(folder) = &options.out {
        let file = folder.join(format!("hunt-{seed}.toml"));
        if let Err(error) = write_timeline(&shrunk, folder, &file) {
            println!("seed {seed}: the timeline can't be written to {}: {error}", file.display());
            return RunOutcome::NotRun;
        }
    }
    RunOutcome::Failed
}

fn print_summary(timeline: &Timeline, audit_result: &AuditResult, violations: &[String]) {
    let figures = &audit_result.figures;
    println!(
        "seed {}: {}; {} faults, service {:.4}, leases {:.3}, testbed late {:.1} ms",
        timeline.seed,
        if violations.is_empty() { "held" } else { "BROKE" },
        timeline.faults.len(),
        figures.service,
        figures.fleet.leased_ratio,
        figures.harness_late_ms
    );
    for violation in violations {
        println!("    {violation}");
    }
}

/// The part of a violation's text that does not depend on the run.
fn violation_kind(violation: &str) -> &str {
    violation.split([':', '(']).next().unwrap_or_default().trim()
}

fn write_timeline(timeline: &Timeline, folder: &Path, file: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(file, timeline.text())
}
