//! One run, played and judged.

use std::path::Path;

use crate::audit::{self, AuditResult};
use crate::event_log::EventLog;
use crate::experiment::Experiment;
use crate::schedule::Schedule;
use crate::world::{self, Front, Run};

/// The rig is on time if it begins 99.9% of its calls within this, in milliseconds.
pub const ON_TIME_MS: f64 = 2.0;

/// One experiment played with one seed.
pub struct RunResult {
    pub verdict: AuditResult,
    pub event_log: EventLog,
}

/// Plays an experiment with a seed and judges it.
///
/// # Errors
/// Whatever kept it from being played.
pub fn play(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, String> {
    let schedule = Schedule::draw(experiment, seed);
    play_schedule(experiment, &schedule, seed, node)
}

/// The same, with calls that are drawn or recorded already.
///
/// # Errors
/// Whatever kept it from being played.
pub fn play_schedule(
    experiment: &Experiment,
    schedule: &Schedule,
    seed: u64,
    node: &Path,
) -> Result<RunResult, String> {
    let folder = world::scratch(&experiment.name, seed);
    let event_log =
        world::play(&Run { experiment, schedule, seed, front: Front::Nodes(node), folder: &folder })?;
    let undisturbed = match experiment.expect.loss {
        Some(_) => Some(undisturbed(experiment, schedule, seed, node)?),
        None => None,
    };
    let verdict = audit::audit_against(experiment, schedule, &event_log, undisturbed);
    if verdict.holds() {
        // What nodes logged is kept only where something is to be looked into.
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(RunResult { verdict, event_log })
}

/// The service on the same calls with nothing befalling planners and letters.
fn undisturbed(experiment: &Experiment, schedule: &Schedule, seed: u64, node: &Path) -> Result<f64, String> {
    let experiment = &experiment.without_planners_faults();
    let folder = world::scratch(&experiment.name, seed);
    let event_log =
        world::play(&Run { experiment, schedule, seed, front: Front::Nodes(node), folder: &folder })?;
    let _ = std::fs::remove_dir_all(&folder);
    Ok(audit::audit(experiment, schedule, &event_log).figures.service)
}
