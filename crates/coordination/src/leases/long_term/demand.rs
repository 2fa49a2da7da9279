//! The estimate of a forwarder's long-term demand.

use granitelb_balancer::time::Time;

/// The time constant of the exponential mean of the demand, in seconds.
const MEAN_SECONDS: f64 = 10.0;

/// Estimates a forwarder's long-term demand, in thousandths of a fetch a second, from the fetches that it
/// sent and those that it rejected.
#[derive(Clone, Debug)]
pub struct LongTermDemandEstimator {
    rate: f64,
    usage_since_update: f64,
    updated_at: Time,
}

impl LongTermDemandEstimator {
    /// Creates an estimator. Before any usage is recorded, the demand is an even share of the capacity, in
    /// thousandths of a fetch a second.
    pub fn new(now: Time, even_share: f64) -> LongTermDemandEstimator {
        LongTermDemandEstimator { rate: even_share, usage_since_update: 0.0, updated_at: now }
    }

    /// Adds fetches that were sent or rejected, in thousandths of a fetch.
    pub fn record_usage(&mut self, amount: f64) {
        self.usage_since_update += amount;
    }

    /// Returns the current demand, in thousandths of a fetch a second.
    pub fn estimate(&mut self, now: Time) -> u32 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        if elapsed > 0.0 {
            let weight = 1.0 - (-elapsed / MEAN_SECONDS).exp();
            self.rate += weight * (self.usage_since_update / elapsed - self.rate);
            self.usage_since_update = 0.0;
            self.updated_at = now;
        }
        self.rate as u32
    }
}
