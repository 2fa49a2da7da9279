//! Runs experiments for tests: a limited number at once, and again where the testbed itself was late.
#![allow(dead_code, reason = "each test of this folder uses a part")]

use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::run_result::{self, RunResult};

/// The most runs at once, so that each has enough cores. With three on six cores one answer came 4 ms after its deadline; it is
/// not shown that the number was the cause.
const MAX_CONCURRENT_RUNS: usize = 2;
/// A run for which the testbed was later than this, in milliseconds, is not judged.
const MAX_LATENESS_MS: f64 = 40.0;
/// A run whose emulated servers stalled for longer than this, in milliseconds, is not judged. Seen on a busy
/// machine: all of them stall for 0.4 s, and what is due then is late whoever answers.
const MAX_STALL_MS: f64 = 100.0;
/// How often a run that is not judged is repeated.
const MAX_RERUNS: usize = 3;

static RUNNING: Mutex<usize> = Mutex::new(0);
static RUN_ENDED: Condvar = Condvar::new();

/// Permits one run, until it is dropped.
pub struct RunPermit;

impl RunPermit {
    /// Waits until another run may start.
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

/// The file of an experiment of the repository.
pub fn experiment_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/experiments").join(name).with_extension("toml")
}

/// Runs an experiment until the testbed was on time.
pub fn run_experiment(experiment: &Experiment, seed: u64, program: &Path) -> RunResult {
    run_experiment_strictly(experiment, seed, program, MAX_STALL_MS)
}

/// As [`run_experiment`], where emulated servers may stall for at most `max_stall_ms`. A run that could not be done is repeated as well: a
/// busy machine may be too slow to start a fleet in time.
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
