//! Plays the same schedules on two builds, in turn, and says in what they differ.

use std::path::Path;

use serde::Serialize;

use crate::audit::AuditResult;
use crate::experiment::Experiment;
use crate::run_result::{ON_TIME_MS, RunResult, run_experiment};
use crate::stats::{Interval, difference_of_ratios};

/// Seconds that are drawn together: a fault's effect spans more than one.
const BLOCK: usize = 2;
/// A pair in which the rig was late is played again so often.
const AGAIN: usize = 3;

/// What a comparison came to, the second build less the first.
#[derive(Debug, Serialize)]
pub struct Comparison {
    pub experiment: String,
    pub pairs: usize,
    /// Service of each, over all pairs.
    pub service: [f64; 2],
    pub difference: Option<Interval>,
    /// The same over the seconds from the first fault's beginning to 5 s past the last one's end.
    pub in_trouble: Option<Interval>,
    /// Errored and lost tries over all, of each.
    pub failed: [f64; 2],
    /// The longest recovery of each; none where one was not back.
    pub recovery_s: [Option<f64>; 2],
    /// Broken rules of each, over all pairs.
    pub breaches: [usize; 2],
    pub cpu_us_a_call: [f64; 2],
}

/// Plays every seed of an experiment `repeat` times on both.
///
/// # Errors
/// Where a run can't be played, or the rig is late time and again.
pub fn compare(
    experiment: &Experiment,
    seeds: &[u64],
    repeat: usize,
    nodes: [&Path; 2],
) -> Result<Comparison, String> {
    let mut pairs: Vec<[AuditResult; 2]> = Vec::new();
    for (n, seed) in seeds.iter().flat_map(|s| std::iter::repeat_n(*s, repeat.max(1))).enumerate() {
        // Which goes first changes, lest a drift of the machine's favour one.
        let (first, second) = (n % 2, 1 - n % 2);
        let a = on_time(experiment, seed, nodes[first])?.audit_result;
        let b = on_time(experiment, seed, nodes[second])?.audit_result;
        pairs.push(if first == 0 { [a, b] } else { [b, a] });
    }
    Ok(summed(experiment, &pairs))
}

fn on_time(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, String> {
    for _ in 0..AGAIN {
        let played = run_experiment(experiment, seed, node).map_err(|e| e.to_string())?;
        if played.audit_result.figures.rig_late_ms <= ON_TIME_MS {
            return Ok(played);
        }
    }
    Err(format!("{} seed {seed}: the rig was late {AGAIN} times: this machine is too busy", experiment.name))
}

fn summed(experiment: &Experiment, pairs: &[[AuditResult; 2]]) -> Comparison {
    let faults = experiment.faults();
    let from = faults.iter().map(|f| f.at_s).fold(f64::INFINITY, f64::min);
    let to = faults.iter().map(|f| f.end_s() + 5.0).fold(0.0, f64::max);
    let blocks = |within: &dyn Fn(f64) -> bool| -> Vec<[(f64, f64); 2]> {
        let mut blocks = Vec::new();
        for pair in pairs {
            let count = pair[0].figures.seconds.len();
            for start in (0..count).step_by(BLOCK).filter(|s| within(*s as f64)) {
                blocks.push([0, 1].map(|side: usize| {
                    let part = pair[side].figures.seconds.iter().skip(start).take(BLOCK);
                    part.fold((0.0, 0.0), |sum, s| (sum.0 + s.served, sum.1 + s.asked))
                }));
            }
        }
        blocks
    };
    let of = |figure: &dyn Fn(&AuditResult) -> f64| {
        [0, 1].map(|s: usize| pairs.iter().map(|p| figure(&p[s])).sum())
    };
    let mean =
        |figure: &dyn Fn(&AuditResult) -> f64| of(figure).map(|sum: f64| sum / pairs.len().max(1) as f64);
    let recovery = |side: usize| {
        pairs.iter().try_fold(0.0, |most: f64, p| Some(most.max(p[side].figures.longest_recovery()?)))
    };
    let failed =
        |v: &AuditResult| (v.figures.errored + v.figures.lost) as f64 / v.figures.tries.max(1) as f64;
    Comparison {
        experiment: experiment.name.clone(),
        pairs: pairs.len(),
        service: mean(&|v| v.figures.service),
        difference: difference_of_ratios(&blocks(&|_| true), 1),
        in_trouble: difference_of_ratios(&blocks(&|s| s >= from.floor() && s < to), 1),
        failed: mean(&failed),
        recovery_s: [recovery(0), recovery(1)],
        breaches: of(&|v| v.breaches.iter().map(|b| b.count).sum::<usize>() as f64).map(|n| n as usize),
        cpu_us_a_call: mean(&|v| v.figures.cpu_us_a_call),
    }
}

impl std::fmt::Display for Comparison {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Comparison { experiment, pairs, service: [a, b], failed, breaches, cpu_us_a_call: cpu, .. } =
            self;
        let interval = |i: &Option<Interval>| match i {
            Some(i) => format!("{:+.4} ({:+.4} to {:+.4})", i.mean, i.low, i.high),
            None => "-".into(),
        };
        let back = |s: Option<f64>| s.map_or("never".into(), |s| format!("{s:.1} s"));
        let [back_a, back_b] = self.recovery_s.map(back);
        writeln!(f, "{experiment}, {pairs} pairs: A, B, and B less A with the interval of 95 in 100")?;
        writeln!(f, "    service       {a:.4}  {b:.4}  {}", interval(&self.difference))?;
        writeln!(f, "    in trouble                    {}", interval(&self.in_trouble))?;
        writeln!(f, "    errored, lost {:.4}  {:.4}", failed[0], failed[1])?;
        writeln!(f, "    back after    {back_a}  {back_b}")?;
        writeln!(f, "    rules broken  {}  {}", breaches[0], breaches[1])?;
        write!(f, "    core a call   {:.0} us  {:.0} us", cpu[0], cpu[1])
    }
}
