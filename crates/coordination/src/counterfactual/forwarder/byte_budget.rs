//! A token bucket of bytes that bounds what a forwarder sends.

use granitelb_balancer::time::Time;

/// Bytes that may be sent now.
pub(super) struct ByteBudget {
    available: f64,
    refilled_at: Time,
}

impl ByteBudget {
    /// An empty bucket.
    pub fn new(now: Time) -> ByteBudget {
        ByteBudget { available: 0.0, refilled_at: now }
    }

    /// Adds what the time since the last refill gives, up to the capacity.
    pub fn refill(&mut self, now: Time, bytes_per_second: f64, capacity: f64) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.available = (self.available + bytes_per_second * elapsed).min(capacity);
        self.refilled_at = now;
    }

    /// Takes the bytes if they are there, and returns whether they were.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        let bytes = bytes as f64;
        if bytes > self.available {
            return false;
        }
        self.available -= bytes;
        true
    }
}
