//! The clock of a process. The clock is set to the Unix time at the start, and then only goes forward. It
//! also advances while the process or its machine is suspended, so that a process that resumes finds that
//! time has passed.

use granitelb_balancer::time::Time;
use rustix::time::{ClockId, clock_gettime};

const MICROS_PER_S: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1000;
const MICROS_PER_MS: i64 = 1000;
const NORMAL_RATE: f64 = 1.0;

/// A clock of Unix time that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at the start, in microseconds.
    unix_start_us: u64,
    /// The monotonic time at the start, in microseconds.
    monotonic_start_us: u64,
    /// The rate of this clock relative to the machine's; 1 except under fault injection.
    rate: f64,
}

impl Clock {
    /// Starts a clock at the Unix time of this machine.
    pub fn start() -> Clock {
        Clock::with_faults(NORMAL_RATE, 0)
    }

    /// Starts a clock that advances at `rate` relative to the machine's clock, from a Unix time that is
    /// `ahead_ms` milliseconds ahead of the machine's.
    pub fn with_faults(rate: f64, ahead_ms: i64) -> Clock {
        let unix_us = std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_micros() as u64;
        Clock {
            unix_start_us: unix_us.saturating_add_signed(ahead_ms.saturating_mul(MICROS_PER_MS)),
            monotonic_start_us: monotonic_us(),
            rate,
        }
    }

    /// The current Unix time by this clock.
    pub fn now(&self) -> Time {
        let elapsed_us = monotonic_us() - self.monotonic_start_us;
        // The normal rate involves no floating-point rounding.
        let elapsed_us =
            if self.rate == NORMAL_RATE { elapsed_us } else { (elapsed_us as f64 * self.rate) as u64 };
        Time(self.unix_start_us + elapsed_us)
    }
}

/// The time since the machine's boot in microseconds, by a clock that also advances while the machine is
/// suspended.
fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * MICROS_PER_S + now.tv_nsec as u64 / NANOS_PER_MICRO
}
