//! Plays for tests: so many at a time, and again where the rig says nothing of the program.
#![allow(dead_code, reason = "each test of this folder uses a part")]

use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex};

use granitelb_testbed::audit::AuditResult;
use granitelb_testbed::experiment::Experiment;
use granitelb_testbed::run_result::{self, RunResult};

/// So many at a time leave each of them cores enough. With three on six cores one answer came 4 ms past its time; that the
/// number was the cause is not shown.
const AT_A_TIME: usize = 2;
/// A rig that is later than this, in milliseconds, says nothing of the program.
const LATE: f64 = 40.0;
/// Nor does one whose stand-ins stood still for so long. Seen on a busy machine: all stand still for 0.4 s, and what is
/// due then is late whoever answers.
const STALLED: f64 = 100.0;
/// It is played again so often.
const AGAIN: usize = 3;

static PLAYING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

pub struct Turn;

impl Turn {
    pub fn wait() -> Turn {
        let playing = PLAYING.0.lock().expect("no holder panics");
        *PLAYING.1.wait_while(playing, |n| *n >= AT_A_TIME).expect("no holder panics") += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *PLAYING.0.lock().expect("no holder panics") -= 1;
        PLAYING.1.notify_one();
    }
}

/// An experiment of the repository.
pub fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../testbed/experiments").join(name).with_extension("toml")
}

/// Plays an experiment until the rig was on time.
pub fn play(experiment: &Experiment, seed: u64, program: &Path) -> RunResult {
    play_strictly(experiment, seed, program, STALLED)
}

/// The same, with stand-ins that may stand still for so many milliseconds. A machine too busy to start a fleet in time
/// says nothing either.
pub fn play_strictly(experiment: &Experiment, seed: u64, program: &Path, stalled: f64) -> RunResult {
    let on_time =
        |v: &AuditResult| v.figures.harness_late_ms <= LATE && v.figures.harness_stall_ms <= stalled;
    let _turn = Turn::wait();
    let mut again = 0;
    loop {
        let played = run_result::play(experiment, seed, program);
        if again == AGAIN || played.as_ref().is_ok_and(|p| on_time(&p.verdict)) {
            return played.expect("a run");
        }
        again += 1;
    }
}
