//! A token bucket of bytes that bounds what a forwarder sends.

use granitelb_balancer::time::Time;

/// A token bucket whose tokens are bytes.
pub(super) struct ByteBudget {
    /// The bytes that may be sent now.
    available: f64,
    refilled_at: Time,
}

impl ByteBudget {
    /// Creates an empty bucket.
    pub fn new(now: Time) -> ByteBudget {
        ByteBudget { available: 0.0, refilled_at: now }
    }

    /// Adds the bytes for the time since the last refill, up to `capacity` bytes.
    pub fn refill(&mut self, now: Time, bytes_per_second: f64, capacity: f64) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.available = (self.available + bytes_per_second * elapsed).min(capacity);
        self.refilled_at = now;
    }

    /// Takes the bytes if they are available. Returns whether they were taken.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let bytes = bytes as f64;
        if bytes > self.available {
            return false;
        }
        self.available -= bytes;
        true
    }
}
