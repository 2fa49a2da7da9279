//! The network between zones: latency and partitions.

use granitelb_balancer::time::{Span, Time};
use rand::{Rng, RngExt};

use crate::faults::FaultKind;
use crate::scenario::Scenario;

/// The smallest one-way latency, as a share of the mean latency. Latencies are drawn from a uniform
/// distribution.
const MIN_LATENCY_FACTOR: f64 = 0.85;
/// The width of the interval from which the ratio of a latency to its mean is drawn.
const LATENCY_FACTOR_RANGE: f64 = 0.3;
/// The number of microseconds in a second; [`Time`] is in microseconds.
pub const MICROS_PER_SECOND: f64 = 1e6;
/// The zone that [`FaultKind::ZoneCut`] partitions from the others.
const PARTITIONED_ZONE: usize = 0;

/// The network between zones, and the faults that are active at a time. The network has no state of its own.
pub struct Network<'a> {
    /// The scenario with latencies and faults.
    pub scenario: &'a Scenario,
    /// The start of the day, after the warm-up.
    pub day_start: Time,
}

impl Network<'_> {
    /// Returns the kinds of the faults that are active now.
    pub fn active_faults(&self, now: Time) -> impl Iterator<Item = FaultKind> {
        let at = now.0 as f64 / MICROS_PER_SECOND - self.day_start.0 as f64 / MICROS_PER_SECOND;
        self.scenario.faults.iter().filter(move |fault| fault.is_active(at)).map(|fault| fault.kind)
    }

    /// Returns whether a partition separates the two zones now.
    pub fn is_partitioned(&self, now: Time, a: usize, b: usize) -> bool {
        let crosses_partition = a != b && (a == PARTITIONED_ZONE || b == PARTITIONED_ZONE);
        crosses_partition && self.active_faults(now).any(|kind| kind == FaultKind::ZoneCut)
    }

    /// Returns a randomly drawn one-way latency between two zones.
    pub fn draw_latency(&self, rng: &mut impl Rng, a: usize, b: usize) -> Span {
        let mean = if a == b { self.scenario.intra_zone_latency } else { self.scenario.inter_zone_latency };
        mean.scaled(MIN_LATENCY_FACTOR + LATENCY_FACTOR_RANGE * rng.random::<f64>())
    }
}
