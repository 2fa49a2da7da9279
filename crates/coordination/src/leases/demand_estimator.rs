//! Estimates how much of a resource a forwarder needs: its recent usage plus a margin, and more if it used
//! nearly all that it was permitted.

use granitelb_balancer::time::Time;

/// The number of averages of usage, each over its own window.
const WINDOWS: usize = 2;
/// The time constants of the averages, in seconds. Attempts arrive at random, so usage is averaged over a
/// short and a long window, and the greater average is used.
const WINDOW_SECONDS: [f64; WINDOWS] = [1.0, 4.0];
/// A forwarder whose usage is at least this share of its permitted amount is saturated: it would probably use
/// more.
const SATURATION_THRESHOLD: f64 = 0.75;
/// A saturated forwarder requests this multiple of its permitted amount.
const SATURATED_GROWTH: f64 = 2.5;
/// A saturated forwarder requests at most this multiple of its usage, plus an even share. Without the limit
/// its requests would keep growing until its earlier usage has left the averaging window.
const SATURATED_USAGE_LIMIT: f64 = 3.0;
/// The multiple of its usage that a forwarder requests when it is not saturated.
const USAGE_HEADROOM: f64 = 1.2;
/// The part of an even share that is added to the request of a forwarder that is not saturated, because its
/// arrivals fluctuate widely when they are few.
const UNEVENNESS_MARGIN: f64 = 0.25;
/// The multiple of its usage that a forwarder requests where usage includes rejected attempts. The excess
/// covers random arrivals.
const REPORTED_HEADROOM: f64 = 1.1;
/// Where usage includes rejected attempts, this multiple of the short average's standard deviation is
/// subtracted from that average.
const REPORTED_DEVIATIONS: f64 = 0.4;
/// The part of an even share that is added where usage includes rejected attempts. A larger part gave light
/// forwarders capacity that they did not use, and took it from the heaviest forwarders.
const REPORTED_UNEVENNESS_MARGIN: f64 = 0.1;
/// A demand that is no longer used falls by this part of the difference with each estimate.
const DECREASE_FACTOR: f64 = 0.5;
/// Changes up to this part of the last reported demand are not reported: after each change the planner counts
/// both the former and the new amount for a while.
const REPORT_THRESHOLD: f64 = 0.15;
/// Usage below this many amounts a second counts as zero.
const MIN_USAGE: f64 = 1.0;

/// Which attempts the usage that is added to a [`DemandEstimator`] includes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UsageReporting {
    /// Only attempts that were sent. Demand beyond the permitted amount is found by requesting more step by
    /// step.
    SentOnly,
    /// Attempts that were sent and those that were rejected for lack of capacity.
    IncludesRejected {
        /// The amount of one attempt, in the resource's amounts.
        amount_per_attempt: f64,
    },
}

/// Estimates a forwarder's demand for one resource from its usage.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    /// The mean usage over each window, in amounts a second.
    usage: [f64; WINDOWS],
    /// The mean of the permitted amount over each window, in amounts a second.
    permitted: [f64; WINDOWS],
    usage_since_update: f64,
    updated_at: Time,
    reported_demand: f64,
    reporting: UsageReporting,
}

impl DemandEstimator {
    /// Creates an estimator without usage.
    pub fn new(now: Time, reporting: UsageReporting) -> DemandEstimator {
        DemandEstimator {
            usage: [0.0; WINDOWS],
            permitted: [0.0; WINDOWS],
            usage_since_update: 0.0,
            updated_at: now,
            reported_demand: 0.0,
            reporting,
        }
    }

    /// Adds usage, in the resource's amounts.
    pub fn record_usage(&mut self, amount: f64) {
        self.usage_since_update += amount;
    }

    /// Returns the current demand. The forwarder may use `permitted` now, and `even_share` is an even
    /// division of the capacity among all forwarders. All three are in the resource's amounts.
    pub fn estimate(&mut self, now: Time, permitted: f64, even_share: f64) -> f64 {
        let elapsed = (now - self.updated_at).as_secs_f64();
        if elapsed <= 0.0 {
            return self.reported_demand;
        }
        self.update_means(elapsed, permitted);
        self.usage_since_update = 0.0;
        self.updated_at = now;
        let demand = match self.reporting {
            UsageReporting::IncludesRejected { amount_per_attempt } => {
                self.reported_total_demand(amount_per_attempt, even_share)
            }
            UsageReporting::SentOnly if self.is_saturated() => self.saturated_demand(permitted, even_share),
            UsageReporting::SentOnly => self.unsaturated_demand(even_share),
        };
        if (demand - self.reported_demand).abs() > REPORT_THRESHOLD * self.reported_demand {
            self.reported_demand = demand;
        }
        self.reported_demand
    }

    fn update_means(&mut self, elapsed: f64, permitted: f64) {
        let usage = self.usage_since_update / elapsed;
        for (window, seconds) in WINDOW_SECONDS.into_iter().enumerate() {
            let weight = 1.0 - (-elapsed / seconds).exp();
            self.usage[window] += weight * (usage - self.usage[window]);
            self.permitted[window] += weight * (permitted - self.permitted[window]);
        }
    }

    fn greatest_usage(&self) -> f64 {
        let [short, long] = self.usage;
        short.max(long)
    }

    fn is_saturated(&self) -> bool {
        self.usage
            .iter()
            .zip(self.permitted)
            .any(|(usage, permitted)| *usage > 0.0 && *usage >= SATURATION_THRESHOLD * permitted)
    }

    fn reported_total_demand(&self, amount_per_attempt: f64, even_share: f64) -> f64 {
        let [short, long] = self.usage;
        let deviation = (short * amount_per_attempt / (2.0 * WINDOW_SECONDS[0])).sqrt();
        let usage = long.max(short - REPORTED_DEVIATIONS * deviation);
        if usage < MIN_USAGE {
            return 0.0;
        }
        usage * REPORTED_HEADROOM + even_share * REPORTED_UNEVENNESS_MARGIN
    }

    /// The demand of a saturated forwarder. It grows from the permitted amount and not from the requested
    /// one: a demand that is not granted would otherwise grow without end.
    fn saturated_demand(&self, permitted: f64, even_share: f64) -> f64 {
        let limit = self.greatest_usage() * SATURATED_USAGE_LIMIT + even_share;
        (permitted * SATURATED_GROWTH).min(limit).max(even_share)
    }

    fn unsaturated_demand(&self, even_share: f64) -> f64 {
        let usage = self.greatest_usage();
        if usage < MIN_USAGE {
            return 0.0;
        }
        let target = usage * USAGE_HEADROOM + even_share * UNEVENNESS_MARGIN;
        (self.reported_demand + DECREASE_FACTOR * (target - self.reported_demand)).max(target)
    }
}
