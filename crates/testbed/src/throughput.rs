//! Measures the throughput of one node on one core: the highest rate at which the node adds less than a
//! millisecond to the latency at p99.
//!
//! Each rate is run with the node, with a bare relay of bytes, whose cost is the lower bound of any proxy's
//! cost, and without a proxy between clients and server. The added latency is the difference from the run
//! without a proxy.

mod curve;
mod relay;

use std::fmt;
use std::path::Path;

use hdrhistogram::Histogram;

use crate::environment::{self, Frontend, Run};
use crate::event_log::{ClientAttempt, ClientAttemptEnd, EventLog};
use crate::experiment::{Experiment, ExperimentError};
use crate::run_result::{ON_TIME_MS, RunError};
use crate::schedule::Schedule;

pub use curve::{ComparedPoint, Curve, Point};
pub use relay::{RelayError, relay};

/// The rates that are measured, in requests per second, in rising order up to the first rate that is too
/// high.
const RATES: [f64; 12] = [
    1000.0, 2000.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0, 10_000.0, 12_000.0, 15_000.0, 20_000.0, 25_000.0,
];
/// Seconds at the start of each run that are not counted, because connections are opened in them.
const WARMUP_S: f64 = 0.5;
/// The most runs of one rate, after which the rate counts as too high. A rate is repeated so that a single
/// stall of the machine does not decide the result.
const MAX_RUNS: usize = 3;
/// The longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The precision of recorded latencies, in decimal digits.
const LATENCY_DIGITS: u8 = 3;

/// The curves of the node and of the bare relay.
#[derive(Debug)]
pub struct Curves {
    /// The node's curve.
    pub node: Curve,
    /// The relay's curve.
    pub relay: Curve,
}

/// Why the throughput could not be measured.
#[derive(Debug)]
pub enum ThroughputError {
    /// The throughput experiment is not valid for the given duration.
    Experiment(ExperimentError),
    /// The experiment could not be run.
    Run(RunError),
}

impl fmt::Display for ThroughputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ThroughputError::Experiment(error) => {
                write!(f, "the throughput experiment is not valid for the given duration: {error}")
            }
            ThroughputError::Run(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ThroughputError {}

/// An experiment of reads that all hit, on caches without a service time.
fn experiment(rate: f64, seconds: f64) -> Result<Experiment, ThroughputError> {
    let text = format!(
        "name = \"throughput\"\nabout = \"reads that hit, as fast as they go\"\nseconds = {seconds}\n\
         [world]\nnodes = 1\ncaches = 3\nsockets = 2048\n[world.cache]\ncores = 64\nqueue = 100000\n\
         hit_ms = 0.0\nconnect_ms = 0.0\nconnections = 4096\n\
         [load]\nrate = {rate}\nkeys = 3000\nzipf = 0.6\nclients.retries = 0\nclients.once = 0.0\n\
         [[product]]\nname = \"summary\"\neffect = \"idempotent\"\nslo_ms = 400\ntimeout_ms = 1000\n"
    );
    Experiment::read(Path::new("throughput"), &text).map_err(ThroughputError::Experiment)
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Measures one run at one rate.
fn measure(event_log: &EventLog, rate: f64) -> Point {
    let is_fulfilled = |attempt: &ClientAttempt| matches!(attempt.end, ClientAttemptEnd::Fulfilled { .. });
    let mut latencies_us = latency_histogram();
    let mut counted: usize = 0;
    let mut fulfilled: usize = 0;
    for attempt in event_log.client_attempts.iter().filter(|attempt| attempt.due.seconds() >= WARMUP_S) {
        counted += 1;
        if is_fulfilled(attempt) {
            fulfilled += 1;
            latencies_us.saturating_record((attempt.ended.ms_since(attempt.sent) * 1000.0) as u64);
        }
    }
    let mut lateness_us = latency_histogram();
    for late_us in &event_log.lateness_us {
        lateness_us.saturating_record(*late_us);
    }
    let cpu_s = event_log.usage.last().map_or(0.0, |usage| usage.cpu_s);
    Point {
        rate,
        p50_ms: quantile_ms(&latencies_us, 0.5),
        p99_ms: quantile_ms(&latencies_us, 0.99),
        cpu_us_per_request: cpu_s * 1e6 / event_log.client_attempts.len().max(1) as f64,
        fulfilled: fulfilled as f64 / counted.max(1) as f64,
        testbed_late_ms: quantile_ms(&lateness_us, 0.999),
    }
}

/// The duration in seconds and the seed of each run.
#[derive(Clone, Copy)]
struct RunParameters {
    seconds: f64,
    seed: u64,
}

/// Runs one rate with the proxy `front` and measures the run.
fn run_point(frontend: Frontend<'_>, rate: f64, parameters: RunParameters) -> Result<Point, ThroughputError> {
    let RunParameters { seconds, seed } = parameters;
    let experiment = experiment(rate, seconds)?;
    let schedule = Schedule::draw(&experiment, seed);
    let folder = environment::scratch_directory("throughput", seed);
    let run = Run { experiment: &experiment, schedule: &schedule, seed, frontend, folder: &folder };
    let event_log = environment::execute(&run).map_err(|cause| ThroughputError::Run(RunError { cause }))?;
    // The folder is temporary: a failure to remove it does not affect the measurement.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(measure(&event_log, rate))
}

/// The first run in which the testbed was on time; without a proxy, the run with the lowest latency at p99 of
/// several such runs. `None` where the testbed was late in all runs.
fn run_on_time(
    frontend: Frontend<'_>,
    rate: f64,
    parameters: RunParameters,
) -> Result<Option<Point>, ThroughputError> {
    let mut best: Option<Point> = None;
    for _ in 0..MAX_RUNS {
        let point = run_point(frontend, rate, parameters)?;
        if point.testbed_late_ms > ON_TIME_MS {
            continue;
        }
        if best.is_none_or(|best| point.p99_ms < best.p99_ms) {
            best = Some(point);
        }
        // The added latency is the difference from the fastest run without a proxy, so that a single stall of
        // the machine affects neither side of the difference.
        if !matches!(frontend, Frontend::None) {
            break;
        }
    }
    Ok(best)
}

/// The run of a proxy that adds the least latency of several runs, which end with the first run that keeps to
/// the limit. `None` where the testbed was late in all runs.
fn compare_at_rate(
    frontend: Frontend<'_>,
    baseline: &Point,
    parameters: RunParameters,
) -> Result<Option<ComparedPoint>, ThroughputError> {
    let mut best: Option<ComparedPoint> = None;
    for _ in 0..MAX_RUNS {
        let Some(point) = run_on_time(frontend, baseline.rate, parameters)? else { break };
        let compared = ComparedPoint {
            point,
            added_p50_ms: point.p50_ms - baseline.p50_ms,
            added_p99_ms: point.p99_ms - baseline.p99_ms,
        };
        if best.is_none_or(|best| compared.added_p99_ms < best.added_p99_ms) {
            best = Some(compared);
        }
        if compared.adds_little() {
            break;
        }
    }
    Ok(best)
}

/// The curve of one proxy while the curve is being measured.
struct CurveInProgress<'a> {
    proxy: Frontend<'a>,
    curve: Curve,
    /// Whether a rate was too high, so that no higher rates are run.
    is_complete: bool,
}

impl<'a> CurveInProgress<'a> {
    fn new(proxy: Frontend<'a>, name: &'static str) -> CurveInProgress<'a> {
        CurveInProgress { proxy, curve: Curve { front: name, points: Vec::new() }, is_complete: false }
    }

    /// Adds the point of one rate to the curve, unless a lower rate was too high.
    fn run_rate(&mut self, baseline: &Point, parameters: RunParameters) -> Result<(), ThroughputError> {
        if self.is_complete {
            return Ok(());
        }
        let best = compare_at_rate(self.proxy, baseline, parameters)?;
        self.is_complete = !best.is_some_and(|best| best.is_fast_enough());
        self.curve.points.extend(best);
        Ok(())
    }
}

/// Measures the program `node` and the bare relay at rising rates, in runs of `seconds`. `testbed` is the
/// path of this program, which also runs the relay.
///
/// # Errors
/// A run could not be done.
pub fn curves(node: &Path, testbed: &Path, seconds: f64, seed: u64) -> Result<Curves, ThroughputError> {
    let parameters = RunParameters { seconds, seed };
    let mut node_curve = CurveInProgress::new(Frontend::Nodes(node), "granitelb");
    let mut relay_curve = CurveInProgress::new(Frontend::Relays(testbed), "bare relay");
    for rate in RATES {
        // At a rate that the testbed itself can't send in time, the latency would be that of the testbed.
        let Some(baseline) = run_on_time(Frontend::None, rate, parameters)? else { break };
        node_curve.run_rate(&baseline, parameters)?;
        relay_curve.run_rate(&baseline, parameters)?;
    }
    Ok(Curves { node: node_curve.curve, relay: relay_curve.curve })
}
