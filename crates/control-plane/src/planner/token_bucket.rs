//! A token bucket, which bounds both a rate and a burst.

use granitelb_balancer::time::Time;

/// A bucket that refills continuously and holds at most the tokens of one second.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket that refills at `rate_per_s` tokens a second.
    pub(super) fn full(now: Time, rate_per_s: f64) -> TokenBucket {
        TokenBucket { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    /// Takes one token, and returns whether there was one.
    pub(super) fn try_take(&mut self, now: Time) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.rate_per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The time of the last call of [`TokenBucket::try_take`], or of the creation.
    pub(super) fn last_used_at(&self) -> Time {
        self.refilled_at
    }
}
