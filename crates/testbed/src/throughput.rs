//! How fast one node is: the highest rate on one core at which it adds less than a millisecond at p99, beside a
//! bare relay of bytes, the least that any proxy pays, and no front at all.

use std::net::SocketAddr;
use std::path::Path;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::event_log::{ClientAttemptEnd, EventLog};
use crate::experiment::Experiment;
use crate::run_result::ON_TIME_MS;
use crate::schedule::Schedule;
use crate::world::{self, Front, Run};

/// Rates that are tried, in calls a second, until one is too much.
const RATES: [f64; 12] = [
    1000.0, 2000.0, 3000.0, 4000.0, 5000.0, 6000.0, 8000.0, 10_000.0, 12_000.0, 15_000.0, 20_000.0, 25_000.0,
];
/// What may be added at p99, in milliseconds.
const ADDED_MS: f64 = 1.0;
/// The first part of each run is not counted: connections are made in it.
const LEARNS_S: f64 = 0.5;
/// A rate is tried again before it counts as too much: one stall of the machine is none of the front's.
const TRIES: usize = 3;

/// One front at one rate.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    pub rate: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub cpu_us_a_call: f64,
    pub fulfilled: f64,
    pub rig_late_ms: f64,
}

/// A front at rising rates, beside none.
#[derive(Debug, Serialize)]
pub struct Curve {
    pub front: &'static str,
    /// Each with what it adds at p50 and p99, in milliseconds.
    pub points: Vec<(Point, f64, f64)>,
}

fn world(rate: f64, seconds: f64) -> Result<Experiment, String> {
    let text = format!(
        "name = \"throughput\"\nabout = \"reads that hit, as fast as they go\"\nseconds = {seconds}\n\
         [world]\nnodes = 1\ncaches = 3\nsockets = 2048\n[world.cache]\ncores = 64\nqueue = 100000\n\
         hit_ms = 0.0\nconnect_ms = 0.0\nconnections = 4096\n\
         [load]\nrate = {rate}\nkeys = 3000\nzipf = 0.6\nclients.retries = 0\nclients.once = 0.0\n\
         [[product]]\nname = \"summary\"\neffect = \"idempotent\"\nslo_ms = 400\ntimeout_ms = 1000\n"
    );
    Experiment::read(Path::new("throughput"), &text).map_err(|t| t.to_string())
}

fn measure(event_log: &EventLog, rate: f64) -> Point {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
    let counted: Vec<_> = event_log.client_attempts.iter().filter(|t| t.due.seconds() >= LEARNS_S).collect();
    let fulfilled: Vec<_> =
        counted.iter().filter(|t| matches!(t.end, ClientAttemptEnd::Fulfilled { .. })).copied().collect();
    for t in &fulfilled {
        latencies.saturating_record((t.ended.ms_since(t.sent) * 1000.0) as u64);
    }
    let mut late = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("sound bounds");
    event_log.lateness_us.iter().for_each(|us| late.saturating_record(*us));
    let cpu = event_log.usage.last().map_or(0.0, |u| u.cpu_s);
    Point {
        rate,
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1000.0,
        cpu_us_a_call: cpu * 1e6 / event_log.client_attempts.len().max(1) as f64,
        fulfilled: fulfilled.len() as f64 / counted.len().max(1) as f64,
        rig_late_ms: late.value_at_quantile(0.999) as f64 / 1000.0,
    }
}

fn point(front: Front<'_>, rate: f64, seconds: f64, seed: u64) -> Result<Point, String> {
    let experiment = world(rate, seconds)?;
    let schedule = Schedule::draw(&experiment, seed);
    let folder = world::scratch("throughput", seed);
    let run = Run { experiment: &experiment, schedule: &schedule, seed, front, folder: &folder };
    let event_log = world::play(&run)?;
    let _ = std::fs::remove_dir_all(&folder);
    Ok(measure(&event_log, rate))
}

/// The best of a few runs for which the rig was on time; none where it was late in all.
fn on_time(front: Front<'_>, rate: f64, seconds: f64, seed: u64) -> Result<Option<Point>, String> {
    let mut best: Option<Point> = None;
    for _ in 0..TRIES {
        let point = point(front, rate, seconds, seed)?;
        if point.rig_late_ms > ON_TIME_MS {
            continue;
        }
        if best.is_none_or(|b| point.p99_ms < b.p99_ms) {
            best = Some(point);
        }
        // The least that is added is told from the least without: one stall of the machine must not be either's.
        if !matches!(front, Front::None) {
            break;
        }
    }
    Ok(best)
}

/// Plays both fronts beside none at rising rates.
///
/// # Errors
/// Where a run can't be played.
pub fn curves(node: &Path, lab: &Path, seconds: f64, seed: u64) -> Result<[Curve; 2], String> {
    let mut curves =
        [Curve { front: "granitelb", points: Vec::new() }, Curve { front: "bare relay", points: Vec::new() }];
    let mut over = [false; 2];
    for rate in RATES {
        // Beyond what the rig can ask in time nothing is measured but the rig.
        let Some(bare) = on_time(Front::None, rate, seconds, seed)? else { break };
        for (n, front) in [Front::Nodes(node), Front::Relays(lab)].into_iter().enumerate() {
            if over[n] {
                continue;
            }
            let mut best: Option<(Point, f64, f64)> = None;
            for _ in 0..TRIES {
                let Some(with) = on_time(front, rate, seconds, seed)? else { break };
                let (p50, p99) = (with.p50_ms - bare.p50_ms, with.p99_ms - bare.p99_ms);
                if best.is_none_or(|b| p99 < b.2) {
                    best = Some((with, p50, p99));
                }
                if p99 < ADDED_MS {
                    break;
                }
            }
            over[n] = best.is_none_or(|b| b.2 >= ADDED_MS || b.0.fulfilled < 0.999);
            curves[n].points.extend(best);
        }
    }
    Ok(curves)
}

impl Curve {
    /// The highest rate at which less than a millisecond was added, and its place.
    pub fn highest(&self) -> Option<usize> {
        self.points.iter().rposition(|(p, _, p99)| *p99 < ADDED_MS && p.fulfilled >= 0.999)
    }

    /// What was added at the rate nearest to half of the highest.
    pub fn at_half(&self) -> Option<&(Point, f64, f64)> {
        let half = self.points.get(self.highest()?)?.0.rate / 2.0;
        let far = |p: &(Point, f64, f64)| (p.0.rate - half).abs();
        self.points.iter().min_by(|a, b| far(a).total_cmp(&far(b)))
    }
}

impl std::fmt::Display for Curve {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}:", self.front)?;
        for (p, p50, p99) in &self.points {
            writeln!(
                f,
                "    {:>6.0}/s  adds {p50:.3} ms p50, {p99:.3} ms p99; {:.1} us of a core a call; \
                 {:.2}% fulfilled; rig late {:.2} ms",
                p.rate,
                p.cpu_us_a_call,
                p.fulfilled * 100.0,
                p.rig_late_ms
            )?;
        }
        match self.highest().map(|n| self.points[n].0.rate).zip(self.at_half()) {
            Some((rate, (half, p50, p99))) => write!(
                f,
                "    under {ADDED_MS} ms at p99 up to {rate:.0}/s; at {:.0}/s adds {p50:.3} ms p50, {p99:.3} ms p99",
                half.rate
            ),
            None => write!(f, "    at no rate under {ADDED_MS} ms at p99"),
        }
    }
}

/// The bare relay: passes bytes between whoever connects and one address, on one thread.
///
/// # Errors
/// Where it can't listen.
pub fn relay(listen: SocketAddr, to: SocketAddr) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| e.to_string())?.block_on(async move {
        let listener = TcpListener::bind(listen).await.map_err(|e| format!("{listen}: {e}"))?;
        while let Ok((mut near, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(mut far) = TcpStream::connect(to).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            });
        }
        Ok(())
    })
}
