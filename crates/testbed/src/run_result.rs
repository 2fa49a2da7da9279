//! One run: executes an experiment with one seed and audits the event log.
use std::fmt;
use std::path::Path;

use crate::audit::{self, AuditResult};
use crate::environment::{self, EnvironmentError, Frontend, Run};
use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::Schedule;

/// The largest delay of the testbed itself, in milliseconds: the testbed is on time if it sends 99.9% of the
/// requests within this time after they are due.
pub const ON_TIME_MS: f64 = 2.0;

/// The event log of a run and the result of the audit.
pub struct RunResult {
    /// The figures that the audit measured and the violations that it found.
    pub audit_result: AuditResult,
    /// All records of the servers and the clients.
    pub event_log: EventLog,
}

/// The outcome of a run, or of the worst of several runs. Ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// No rule was violated and all expectations were met.
    Passed,
    /// A rule was violated or an expectation was not met.
    Failed,
    /// The experiment could not be run, or the testbed sent requests too late for a judgement.
    NotRun,
}

impl RunOutcome {
    /// The outcome of a run that was audited.
    pub fn of(audit_result: &AuditResult) -> RunOutcome {
        if audit_result.holds() { RunOutcome::Passed } else { RunOutcome::Failed }
    }
}

/// The error of an experiment that could not be run, for instance because a process or a server did not start
/// or the scratch folder could not be written.
#[derive(Debug)]
pub struct RunError {
    /// The cause.
    pub cause: EnvironmentError,
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.cause)
    }
}

impl std::error::Error for RunError {}

/// Runs an experiment with a seed and audits the run. `node` is the path of the program under test.
///
/// # Errors
/// The experiment could not be run.
pub fn run_experiment(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, RunError> {
    let schedule = Schedule::draw(experiment, seed);
    run_schedule(experiment, &schedule, seed, node)
}

/// Runs an experiment with a given schedule, drawn or recorded, and audits the run; see [`run_experiment`].
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
        // The nodes' logs in the scratch folder are only needed to examine a failure.
        remove_scratch_folder(experiment, seed);
    }
    Ok(RunResult { audit_result, event_log })
}

/// The service of a run with the same requests and without faults of planners and of control-plane messages.
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

/// Removes a run's scratch folder. A failure is ignored, because the folder is temporary.
fn remove_scratch_folder(experiment: &Experiment, seed: u64) {
    let _ = std::fs::remove_dir_all(environment::scratch_directory(&experiment.name, seed));
}
