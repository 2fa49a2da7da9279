//! One run: an experiment is executed with one seed and audited.
use std::fmt;
use std::path::Path;

use crate::audit::{self, AuditResult};
use crate::environment::{self, EnvironmentError, Frontend, Run};
use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

/// The testbed itself is on time if it sends 99.9% of its requests within this many milliseconds of their due time.
pub const ON_TIME_MS: f64 = 2.0;

/// The record of a run and what the audit found.
pub struct RunResult {
    /// What the audit measured and found.
    pub audit_result: AuditResult,
    /// Everything that servers and clients recorded.
    pub event_log: EventLog,
}

/// How a run, or the worst of several runs, ended. Ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// All rules held and all expectations were met.
    Passed,
    /// A rule was broken or an expectation was not met.
    Failed,
    /// The experiment could not be run, or the testbed was too late to judge it.
    NotRun,
}

impl RunOutcome {
    /// The outcome of a run that was audited.
    pub fn of(audit_result: &AuditResult) -> RunOutcome {
        if audit_result.holds() { RunOutcome::Passed } else { RunOutcome::Failed }
    }
}

/// An experiment could not be run: a process or a server did not start, or the scratch folder could not be written.
#[derive(Debug)]
pub struct RunError {
    /// What failed.
    pub cause: EnvironmentError,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.cause)
    }
}

impl std::error::Error for RunError {}

/// Runs an experiment with a seed and audits it. `node` is the program under test.
///
/// # Errors
/// The experiment could not be run.
pub fn run_experiment(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, RunError> {
    let schedule = Schedule::draw(experiment, seed);
    run_schedule(experiment, &schedule, seed, node)
}

/// As [`run_experiment`], with requests that are drawn or recorded already.
///
/// # Errors
/// The experiment could not be run.
pub fn run_schedule(
    experiment: &Experiment,
    schedule: &Schedule,
    seed: u64,
    node: &Path,
) -> Result<RunResult, RunError> {
    let event_log = execute_run(experiment, schedule, seed, node)?;
    let baseline_service = match experiment.expectations.service_loss {
        Some(_) => Some(baseline_service(experiment, schedule, seed, node)?),
        None => None,
    };
    let audit_result = audit::audit_against(experiment, schedule, &event_log, baseline_service);
    if audit_result.holds() {
        // The nodes' logs are only needed to examine a failure.
        remove_scratch_folder(experiment, seed);
    }
    Ok(RunResult { audit_result, event_log })
}

/// The service with the same requests and without faults of planners and of control-plane messages.
fn baseline_service(
    experiment: &Experiment,
    schedule: &Schedule,
    seed: u64,
    node: &Path,
) -> Result<f64, RunError> {
    let baseline = experiment.without_control_plane_faults();
    let event_log = execute_run(&baseline, schedule, seed, node)?;
    remove_scratch_folder(&baseline, seed);
    Ok(audit::audit(&baseline, schedule, &event_log).figures.service)
}

fn execute_run(
    experiment: &Experiment,
    schedule: &Schedule,
    seed: u64,
    node: &Path,
) -> Result<EventLog, RunError> {
    let folder = environment::scratch_directory(&experiment.name, seed);
    let run = Run { experiment, schedule, seed, frontend: Frontend::Nodes(node), folder: &folder };
    environment::execute(&run).map_err(|cause| RunError { cause })
}

/// Removes a run's scratch folder. A failure is ignored: the folder is a temporary one.
fn remove_scratch_folder(experiment: &Experiment, seed: u64) {
    let _ = std::fs::remove_dir_all(environment::scratch_directory(&experiment.name, seed));
}
