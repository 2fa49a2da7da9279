//! Plays experiments, says what came of each, and writes reports.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use indicatif::{ProgressBar, ProgressStyle};

use crate::experiment::Experiment;
use crate::run_result::play;
use crate::{report, world};

/// A run for which the rig was late is played again so often.
const AGAIN: usize = 2;

/// How a command ended: all bars held, one fell short, or it could not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ended {
    Held,
    FellShort,
    CouldNotRun,
}

/// How experiments are played.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: Option<u64>,
    pub repeat: usize,
    pub node: Option<PathBuf>,
    pub report: Option<PathBuf>,
    pub event_log: bool,
    pub jobs: usize,
    /// A rig that began its calls later than this, in milliseconds, says nothing.
    pub late_ms: f64,
}

/// Plays all experiments with all their seeds.
///
/// # Errors
/// Where a report can't be written.
pub fn run(options: &Options, node: &Path, experiments: &[Experiment]) -> Result<Ended, String> {
    let seeds = |e: &Experiment| options.seed.map_or_else(|| e.seeds.clone(), |s| vec![s]);
    let todo: Vec<(&Experiment, u64, usize)> = experiments
        .iter()
        .flat_map(|e| seeds(e).into_iter().map(move |s| (e, s)))
        .flat_map(|(e, s)| (0..options.repeat.max(1)).map(move |n| (e, s, n)))
        .collect();
    let bar = ProgressBar::new(todo.len() as u64);
    bar.set_style(
        ProgressStyle::with_template("{pos}/{len} {wide_bar} {elapsed}").expect("a sound template"),
    );
    let next = AtomicUsize::new(0);
    let ended = Mutex::new(Ended::Held);
    let worst = |e: Ended| {
        let mut ended = ended.lock().expect("no holder panics");
        *ended = (*ended).max(e);
    };
    std::thread::scope(|threads| {
        for _ in 0..options.jobs.max(1) {
            threads.spawn(|| {
                while let Some((experiment, seed, n)) = todo.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let (line, ended) = one(options, node, experiment, *seed, *n);
                    worst(ended);
                    bar.suspend(|| println!("{line}"));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let ended = *ended.lock().expect("no holder panics");
    Ok(ended)
}

fn one(options: &Options, node: &Path, experiment: &Experiment, seed: u64, n: usize) -> (String, Ended) {
    let name = format!("{} seed {seed}", experiment.name);
    let mut played = play(experiment, seed, node);
    for _ in 0..AGAIN {
        // A rig that was late has not asked what it was to ask: that is judged of nobody.
        if played.as_ref().is_ok_and(|p| p.verdict.figures.harness_late_ms > options.late_ms) {
            played = play(experiment, seed, node);
        }
    }
    let played = match played {
        Ok(played) => played,
        Err(trouble) => return (format!("{name}: could not run: {trouble}"), Ended::CouldNotRun),
    };
    let mut text = report::summary(&name, &played.verdict);
    if let Some(folder) = &options.report {
        let file = folder.join(format!("{}-{seed}-{n}", experiment.name));
        let mut written = report::write(&file, experiment, seed, &played);
        if written.is_ok() && options.event_log {
            written = report::write_event_log(&file, &played);
        }
        if let Err(trouble) = written {
            return (format!("{name}: {trouble}"), Ended::CouldNotRun);
        }
    }
    let late = played.verdict.figures.harness_late_ms;
    if late > options.late_ms {
        text += &format!("\n    the rig was late: {late:.1} ms at 99.9%, {} ms is on time", options.late_ms);
        return (text, Ended::CouldNotRun);
    }
    if !played.verdict.holds() {
        let folder = world::scratch(&experiment.name, seed);
        text += &format!("\n    what the nodes logged: {}", folder.display());
    }
    (text, if played.verdict.holds() { Ended::Held } else { Ended::FellShort })
}
