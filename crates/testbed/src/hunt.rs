//! A search for combinations of faults that break a rule.
//!
//! Each seed gives a random [`Timeline`] of overlapping faults. It is run on a fleet, and the audit's rules and the sum of
//! leases are checked. A timeline that breaks one is shrunk: faults are removed as long as the same rule breaks without them.
mod timeline;

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::audit::AuditResult;
use crate::experiment::ExperimentError;
use crate::run_result::{self, RunError, RunOutcome};

pub use timeline::Timeline;

/// A run for which the testbed itself was later than this many milliseconds is not judged.
const MAX_LATENESS_MS: f64 = 40.0;
/// A run for which the testbed itself stalled for longer than this many milliseconds is not judged.
const MAX_STALL_MS: f64 = 100.0;
/// How often a run that is not judged is repeated.
const MAX_RERUNS: usize = 2;

/// The parameters of a search.
#[derive(Clone, Debug)]
pub struct Hunt {
    /// The first seed.
    pub from: u64,
    /// The number of seeds.
    pub count: u64,
    /// The duration of each run, in seconds.
    pub seconds: f64,
    /// How many runs are done at once.
    pub jobs: usize,
    /// The most runs for shrinking one timeline.
    pub shrinks: usize,
    /// The folder for shrunk timelines that break a rule; if absent, none are written.
    pub out: Option<PathBuf>,
}

/// A timeline was not judged.
#[derive(Debug)]
pub enum HuntError {
    /// The timeline is not a valid experiment.
    Experiment(ExperimentError),
    /// The experiment could not be run.
    Run(RunError),
    /// The testbed itself was late or stalled in each run; the machine is too busy.
    TestbedLate,
}

impl fmt::Display for HuntError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HuntError::Experiment(error) => write!(f, "{error}"),
            HuntError::Run(error) => write!(f, "{error}"),
            HuntError::TestbedLate => f.write_str("the rig was late each time"),
        }
    }
}

impl std::error::Error for HuntError {}

/// What a run broke, one line each: the kinds of breaches, and the sum of leases.
pub fn violations(audit_result: &AuditResult) -> Vec<String> {
    let mut violations = Vec::new();
    for violation in &audit_result.violations {
        let examples = violation.examples.join("; ");
        violations.push(format!("{} ({} times): {examples}", violation.kind, violation.count));
    }
    for unmet in audit_result.unmet_expectations.iter().filter(|unmet| unmet.expectation == "leases") {
        violations.push(format!("leases: {:.3} of the whole", unmet.measured));
    }
    violations
}

/// Runs a timeline, and again while the testbed itself was late.
///
/// # Errors
/// The timeline could not be run, or the testbed was late each time.
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

/// Removes faults one by one, the last one first, as long as a violation of the same kind remains.
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

/// Runs the timelines of all seeds, prints what each broke, and gives the worst outcome.
pub fn run(hunt: &Hunt, node: &Path) -> RunOutcome {
    let next_index = AtomicU64::new(0);
    let worst_outcome = Mutex::new(RunOutcome::Passed);
    std::thread::scope(|threads| {
        for _ in 0..hunt.jobs.max(1) {
            threads.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    if index >= hunt.count {
                        return;
                    }
                    let outcome = run_seed(hunt, hunt.from + index, node);
                    let mut worst = worst_outcome.lock().expect("no holder of the lock panics");
                    *worst = (*worst).max(outcome);
                }
            });
        }
    });
    worst_outcome.into_inner().expect("no holder of the lock panics")
}

fn run_seed(hunt: &Hunt, seed: u64, node: &Path) -> RunOutcome {
    let timeline = Timeline::draw(seed, hunt.seconds);
    let audit_result = match run_timeline(&timeline, node) {
        Ok(audit_result) => audit_result,
        Err(error) => {
            println!("seed {seed}: could not run: {error}");
            return RunOutcome::NotRun;
        }
    };
    let violations = violations(&audit_result);
    print_summary(&timeline, &audit_result, &violations);
    let Some(first) = violations.first() else { return RunOutcome::Passed };
    let kind = violation_kind(first);
    let shrunk = shrink(timeline, kind, node, hunt.shrinks);
    println!("seed {seed}: {} faults are enough for: {kind}\n{}", shrunk.faults.len(), shrunk.text());
    if let Some(folder) = &hunt.out {
        let file = folder.join(format!("hunt-{seed}.toml"));
        if let Err(error) = write_timeline(&shrunk, folder, &file) {
            println!("{}: {error}", file.display());
            return RunOutcome::NotRun;
        }
    }
    RunOutcome::Failed
}

fn print_summary(timeline: &Timeline, audit_result: &AuditResult, violations: &[String]) {
    let figures = &audit_result.figures;
    println!(
        "seed {}: {}; {} faults, service {:.4}, leases {:.3}, rig late {:.1} ms",
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
