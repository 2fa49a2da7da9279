//! The node's one clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use granitelb_balancer::time::{Span, Time};

/// Unix time at the start, and monotonic time since: what others date by Unix time can be compared with it,
/// and it never jumps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Time,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Time(unix.as_micros() as u64), since: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.start + Span(self.since.elapsed().as_micros() as u64)
    }
}
