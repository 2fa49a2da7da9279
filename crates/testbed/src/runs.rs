//! Runs experiments side by side, prints a summary of each, and writes reports.
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use indicatif::{ProgressBar, ProgressStyle};

use crate::experiment::Experiment;
use crate::report::ReportError;
use crate::run_result::{RunError, RunOutcome, RunResult, run_experiment};
use crate::{environment, report};

/// How often a run is repeated because the testbed itself was late.
const MAX_LATE_RERUNS: usize = 2;

/// How experiments are run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed to use in place of the experiment's own ones.
    pub seed: Option<u64>,
    /// How often each seed is run.
    pub repeat: usize,
    /// The program under test; if absent, it is looked for beside this program.
    pub node: Option<PathBuf>,
    /// The folder for reports; if absent, none are written.
    pub report: Option<PathBuf>,
    /// Whether reports contain the event log.
    pub event_log: bool,
    /// How many experiments run at once.
    pub jobs: usize,
    /// A run for which the testbed was later than this many milliseconds is not judged.
    pub late_ms: f64,
}

impl Options {
    /// Writes a run's report, and its event log if the options ask for it.
    ///
    /// # Errors
    /// The report or the event log could not be written.
    pub fn write_report(
        &self,
        file: &Path,
        experiment: &Experiment,
        seed: u64,
        result: &RunResult,
    ) -> Result<(), ReportError> {
        report::write(file, experiment, seed, result)?;
        if self.event_log {
            report::write_event_log(file, result)?;
        }
        Ok(())
    }

    /// The seeds to run an experiment with.
    pub fn seeds(&self, experiment: &Experiment) -> Vec<u64> {
        match self.seed {
            Some(seed) => vec![seed],
            None => experiment.seeds.clone(),
        }
    }
}

/// One run that is to be done.
struct PlannedRun<'a> {
    experiment: &'a Experiment,
    seed: u64,
    repetition: usize,
}

/// What to print of a run, and how it ended.
struct RunSummary {
    text: String,
    outcome: RunOutcome,
}

impl RunSummary {
    fn not_run(text: String) -> RunSummary {
        RunSummary { text, outcome: RunOutcome::NotRun }
    }
}

/// Runs all experiments with all their seeds and gives the worst outcome.
pub fn run(options: &Options, node: &Path, experiments: &[Experiment]) -> RunOutcome {
    let planned_runs = planned_runs(options, experiments);
    let progress = progress_bar(planned_runs.len());
    let next_index = AtomicUsize::new(0);
    let worst_outcome = Mutex::new(RunOutcome::Passed);
    std::thread::scope(|threads| {
        for _ in 0..options.jobs.max(1) {
            threads.spawn(|| {
                while let Some(planned) = planned_runs.get(next_index.fetch_add(1, Ordering::Relaxed)) {
                    let summary = run_one(options, node, planned);
                    let mut worst = worst_outcome.lock().expect("no holder of the lock panics");
                    *worst = (*worst).max(summary.outcome);
                    drop(worst);
                    progress.suspend(|| println!("{}", summary.text));
                    progress.inc(1);
                }
            });
        }
    });
    progress.finish_and_clear();
    worst_outcome.into_inner().expect("no holder of the lock panics")
}

fn planned_runs<'a>(options: &Options, experiments: &'a [Experiment]) -> Vec<PlannedRun<'a>> {
    let mut planned = Vec::new();
    for experiment in experiments {
        for seed in options.seeds(experiment) {
            for repetition in 0..options.repeat.max(1) {
                planned.push(PlannedRun { experiment, seed, repetition });
            }
        }
    }
    planned
}

fn progress_bar(runs: usize) -> ProgressBar {
    let style = ProgressStyle::with_template("{pos}/{len} {wide_bar} {elapsed}");
    let bar = ProgressBar::new(runs as u64);
    bar.set_style(style.expect("the template is valid"));
    bar
}

fn run_one(options: &Options, node: &Path, planned: &PlannedRun<'_>) -> RunSummary {
    let PlannedRun { experiment, seed, repetition } = *planned;
    let name = format!("{} seed {seed}", experiment.name);
    let result = match run_until_on_time(options, node, experiment, seed) {
        Ok(result) => result,
        Err(error) => return RunSummary::not_run(format!("{name}: could not run: {error}")),
    };
    let mut text = report::summary(&name, &result.audit_result);
    if let Some(folder) = &options.report {
        let file = folder.join(format!("{}-{seed}-{repetition}", experiment.name));
        if let Err(error) = options.write_report(&file, experiment, seed, &result) {
            return RunSummary::not_run(format!("{name}: {error}"));
        }
    }
    let late_ms = result.audit_result.figures.harness_late_ms;
    if late_ms > options.late_ms {
        text +=
            &format!("\n    the rig was late: {late_ms:.1} ms at 99.9%, {} ms is on time", options.late_ms);
        return RunSummary::not_run(text);
    }
    let outcome = RunOutcome::of(&result.audit_result);
    if outcome == RunOutcome::Failed {
        let folder = environment::scratch_directory(&experiment.name, seed);
        text += &format!("\n    what the nodes logged: {}", folder.display());
    }
    RunSummary { text, outcome }
}

/// Runs an experiment, and again while the testbed itself was late: it then did not send the requests as scheduled, which is
/// no one's fault. After the last rerun the result may still be a late one.
fn run_until_on_time(
    options: &Options,
    node: &Path,
    experiment: &Experiment,
    seed: u64,
) -> Result<RunResult, RunError> {
    let mut result = run_experiment(experiment, seed, node)?;
    for _ in 0..MAX_LATE_RERUNS {
        if result.audit_result.figures.harness_late_ms <= options.late_ms {
            break;
        }
        result = run_experiment(experiment, seed, node)?;
    }
    Ok(result)
}
