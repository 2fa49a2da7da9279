//! Runs experiments for tests: limits the number of concurrent runs, and repeats a run if the testbed itself
//! was late.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::run_result::{self, RunResult};

/// The most concurrent runs, so that each run has enough cores. With three runs on six cores, one response
/// came 4 ms after its deadline; whether the number of runs was the cause is not shown.
const MAX_CONCURRENT_RUNS: usize = 2;
/// Lateness of the testbed, in milliseconds, above which a run is not judged.
const MAX_LATENESS_MS: f64 = 40.0;
/// Stall of the emulated servers, in milliseconds, above which a run is not judged. On a busy machine, all
/// servers have stalled together for 0.4 s; responses that are due during a stall are late whichever server
/// sends them.
const MAX_STALL_MS: f64 = 100.0;
/// The most repetitions of a run that is not judged.
const MAX_RERUNS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// Permit for one run, returned on drop.
pub struct RunPermit;

impl RunPermit {
    /// Waits until fewer than [`MAX_CONCURRENT_RUNS`] are going on, and takes a permit.
    pub fn acquire() -> RunPermit {
        let running = RUNNING.lock().expect("no holder of the lock panics");
        let is_full = |running: &mut usize| *running >= MAX_CONCURRENT_RUNS;
        let mut running = RUN_ENDED.wait_while(running, is_full).expect("no holder of the lock panics");
        *running += 1;
        RunPermit
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder of the lock panics") -= 1;
        RUN_ENDED.notify_one();
    }
}

/// Path of the file of an experiment of the repository.
pub fn experiment_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/experiments").join(name).with_extension("toml")
}

/// Runs an experiment and returns the first result for which the testbed was on time, or the result after
/// [`MAX_RERUNS`] repetitions.
pub fn run_experiment(experiment: &Experiment, seed: u64, program: &Path) -> RunResult {
    run_experiment_strictly(experiment, seed, program, MAX_STALL_MS)
}

/// Like [`run_experiment`], with `max_stall_ms` in place of [`MAX_STALL_MS`]. A run that could not be started
/// is repeated as well, because a busy machine may be too slow to start a fleet in time.
pub fn run_experiment_strictly(
    experiment: &Experiment,
    seed: u64,
    program: &Path,
    max_stall_ms: f64,
) -> RunResult {
    let is_on_time = |audit_result: &AuditResult| {
        let figures = &audit_result.figures;
        figures.harness_late_ms <= MAX_LATENESS_MS && figures.harness_stall_ms <= max_stall_ms
    };
    let _permit = RunPermit::acquire();
    let mut reruns = 0;
    loop {
        let result = run_result::run_experiment(experiment, seed, program);
        if reruns == MAX_RERUNS || result.as_ref().is_ok_and(|result| is_on_time(&result.audit_result)) {
            return result.expect("the experiment can be run");
        }
        reruns += 1;
    }
}
