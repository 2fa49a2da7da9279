//! The clock of the node.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use granitelb_balancer::time::{Span, Time};

/// A clock that reads Unix time once at the start, and then advances with the system's monotonic clock.
///
/// The clock never jumps, and its times are comparable with Unix timestamps from other machines.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Time,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: Time(since_epoch.as_micros() as u64), started_at: Instant::now() }
    }

    /// The current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Time {
        self.unix_start + Span(self.started_at.elapsed().as_micros() as u64)
    }
}
