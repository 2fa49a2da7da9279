//! The figures measured at each rate, and the curve of a proxy over rising rates.

use std::fmt;

use serde::{Serialize, Serializer};

/// The added latency at p99, in milliseconds, that a proxy has to stay under.
const MAX_ADDED_MS: f64 = 1.0;
/// The smallest fraction of requests that have to be fulfilled.
const MIN_FULFILLED: f64 = 0.999;

/// The figures of one rate with one proxy, or without a proxy.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Requests per second.
    pub rate: f64,
    /// The median latency, in milliseconds.
    pub p50_ms: f64,
    /// The latency at p99, in milliseconds.
    pub p99_ms: f64,
    /// CPU time of the proxy per client attempt, in microseconds.
    #[serde(rename = "cpu_us_a_call")]
    pub cpu_us_per_request: f64,
    /// The fraction of requests that were fulfilled.
    pub fulfilled: f64,
    /// The 99.9th percentile of how late the testbed sent requests, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub testbed_late_ms: f64,
}

/// A proxy's [`Point`] and the latency that the proxy adds, serialized as an array of the three fields.
#[derive(Clone, Copy, Debug)]
pub struct ComparedPoint {
    /// The figures measured with the proxy.
    pub point: Point,
    /// The latency that the proxy adds at the median, in milliseconds.
    pub added_p50_ms: f64,
    /// The latency that the proxy adds at p99, in milliseconds.
    pub added_p99_ms: f64,
}

impl Serialize for ComparedPoint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.point, self.added_p50_ms, self.added_p99_ms).serialize(serializer)
    }
}

impl ComparedPoint {
    /// Whether the added latency at p99 is under the limit.
    pub(super) fn adds_little(&self) -> bool {
        self.added_p99_ms < MAX_ADDED_MS
    }

    /// Whether the proxy keeps up with this rate: the added latency is under the limit and enough requests
    /// are fulfilled.
    pub(super) fn is_fast_enough(&self) -> bool {
        self.adds_little() && self.point.fulfilled >= MIN_FULFILLED
    }
}

/// The figures of one proxy at rising rates.
#[derive(Debug, Serialize)]
pub struct Curve {
    /// The name of the proxy.
    pub front: &'static str,
    /// The figures of each rate, ordered by rate.
    pub points: Vec<ComparedPoint>,
}

impl Curve {
    /// The point of the highest rate that the proxy keeps up with; `None` where there is no such rate.
    pub fn highest(&self) -> Option<&ComparedPoint> {
        self.points.iter().rfind(|compared| compared.is_fast_enough())
    }

    /// The point whose rate is nearest to half of the highest rate that the proxy keeps up with.
    pub fn at_half(&self) -> Option<&ComparedPoint> {
        let half_rate = self.highest()?.point.rate / 2.0;
        let distance = |compared: &ComparedPoint| (compared.point.rate - half_rate).abs();
        self.points.iter().min_by(|a, b| distance(a).total_cmp(&distance(b)))
    }
}

impl fmt::Display for Curve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}:", self.front)?;
        for ComparedPoint { point, added_p50_ms, added_p99_ms } in &self.points {
            writeln!(
                f,
                "    {:>6.0}/s  adds {added_p50_ms:.3} ms p50, {added_p99_ms:.3} ms p99; {:.1} us of CPU time per request; \
                 {:.2}% fulfilled; testbed late {:.2} ms",
                point.rate,
                point.cpu_us_per_request,
                point.fulfilled * 100.0,
                point.testbed_late_ms
            )?;
        }
        match (self.highest(), self.at_half()) {
            (Some(highest), Some(half)) => write!(
                f,
                "    adds under {MAX_ADDED_MS} ms at p99 up to {:.0}/s; at {:.0}/s adds {:.3} ms p50, {:.3} ms p99",
                highest.point.rate, half.point.rate, half.added_p50_ms, half.added_p99_ms
            ),
            _ => write!(
                f,
                "    no measured rate with under {MAX_ADDED_MS} ms added at p99 and enough requests fulfilled"
            ),
        }
    }
}
