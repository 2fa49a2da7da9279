//! The process's own time: set by the Unix clock at the start, then it only goes forward, also while the process or its
//! machine stands still. Whoever goes on after a pause must find that time has passed.

use granitelb_balancer::time::Time;
use rustix::time::{ClockId, clock_gettime};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix clock at the start, and the monotonic one.
    unix: u64,
    start: u64,
    /// What passes here while a second passes: one, but in trials.
    rate: f64,
}

impl Clock {
    pub fn start() -> Clock {
        Clock::for_trial(1.0, 0)
    }

    /// One that goes at another rate, and was set by a Unix clock that is ahead of this machine's.
    pub fn for_trial(rate: f64, ahead_ms: i64) -> Clock {
        let unix = std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_micros() as u64;
        Clock { unix: unix.saturating_add_signed(ahead_ms.saturating_mul(1000)), start: monotonic(), rate }
    }

    pub fn now(&self) -> Time {
        let passed = monotonic() - self.start;
        // By whole microseconds where nothing is amiss: nobody's figures hang on a float's.
        let passed = if self.rate == 1.0 { passed } else { (passed as f64 * self.rate) as u64 };
        Time(self.unix + passed)
    }
}

fn monotonic() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
