//! Plays the same schedules on two builds and measures the difference.

use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::audit::AuditResult;
use crate::experiment::Experiment;
use crate::run_result::{ON_TIME_MS, RunError, RunResult, run_experiment};
use crate::stats::{Interval, PairedBlock, Ratio, difference_of_ratios};

/// Seconds that are resampled together: a fault's effect spans more than one.
const BLOCK_SECONDS: usize = 2;
/// How often a run is played before the testbed counts as too slow.
const MAX_PLAYS: usize = 3;
/// Seconds after the last fault that still count as affected by faults.
const AFTERMATH_S: f64 = 5.0;
/// The seed of the bootstrap.
const BOOTSTRAP_SEED: u64 = 1;

/// Why builds could not be compared.
#[derive(Debug)]
pub enum CompareError {
    /// A run failed to execute.
    Run(RunError),
    /// The testbed began requests too late, each time that a run was played.
    TestbedLate {
        /// The experiment's name.
        experiment: String,
        /// The run's seed.
        seed: u64,
    },
}

impl fmt::Display for CompareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CompareError::Run(error) => write!(f, "{error}"),
            CompareError::TestbedLate { experiment, seed } => write!(
                f,
                "{experiment} seed {seed}: the testbed was late {MAX_PLAYS} times: this machine is too busy"
            ),
        }
    }
}

impl std::error::Error for CompareError {}

/// The result of a comparison: pairs are the baseline's and the candidate's figures, in this order.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The experiment's name.
    pub experiment: String,
    /// How many pairs of runs were played.
    pub pairs: usize,
    /// The mean service of each build.
    pub service: [f64; 2],
    /// The candidate's service less the baseline's.
    pub difference: Option<Interval>,
    /// The same from the beginning of the first fault until shortly after the last one's end.
    #[serde(rename = "in_trouble")]
    pub difference_during_faults: Option<Interval>,
    /// The share of errored and lost attempts of each.
    pub failed: [f64; 2],
    /// The longest recovery of each; `None` where one did not come about.
    pub recovery_s: [Option<f64>; 2],
    /// Violations of rules by each, over all pairs.
    #[serde(rename = "breaches")]
    pub violations: [usize; 2],
    /// Microseconds of a core for each client attempt.
    #[serde(rename = "cpu_us_a_call")]
    pub cpu_us_per_attempt: [f64; 2],
}

/// The results of one seed on both builds.
struct Pair {
    baseline: AuditResult,
    candidate: AuditResult,
}

/// Plays each seed of an experiment `repeat` times on both builds, the baseline's first.
///
/// # Errors
/// Where a run can't be played, or the testbed is late time and again.
pub fn compare(
    experiment: &Experiment,
    seeds: &[u64],
    repeat: usize,
    builds: [&Path; 2],
) -> Result<Comparison, CompareError> {
    let [baseline, candidate] = builds;
    let mut pairs = Vec::new();
    for seed in seeds {
        for _ in 0..repeat.max(1) {
            // The order alternates, so that a drift of the machine favours neither build.
            let pair = if pairs.len() % 2 == 0 {
                let baseline = play_on_time(experiment, *seed, baseline)?.audit_result;
                let candidate = play_on_time(experiment, *seed, candidate)?.audit_result;
                Pair { baseline, candidate }
            } else {
                let candidate = play_on_time(experiment, *seed, candidate)?.audit_result;
                let baseline = play_on_time(experiment, *seed, baseline)?.audit_result;
                Pair { baseline, candidate }
            };
            pairs.push(pair);
        }
    }
    Ok(summarize(experiment, &pairs))
}

fn play_on_time(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, CompareError> {
    for _ in 0..MAX_PLAYS {
        let result = run_experiment(experiment, seed, node).map_err(CompareError::Run)?;
        if result.audit_result.figures.harness_late_ms <= ON_TIME_MS {
            return Ok(result);
        }
    }
    Err(CompareError::TestbedLate { experiment: experiment.name.clone(), seed })
}

fn summarize(experiment: &Experiment, pairs: &[Pair]) -> Comparison {
    let faults = experiment.faults();
    let from_s = faults.iter().map(|fault| fault.at_s).fold(f64::INFINITY, f64::min).floor();
    let to_s = faults.iter().map(|fault| fault.end_s() + AFTERMATH_S).fold(0.0, f64::max);
    let all_blocks = paired_blocks(pairs, |_| true);
    let fault_blocks = paired_blocks(pairs, |second| second >= from_s && second < to_s);
    Comparison {
        experiment: experiment.name.clone(),
        pairs: pairs.len(),
        service: means(pairs, |result| result.figures.service),
        difference: difference_of_ratios(&all_blocks, BOOTSTRAP_SEED),
        difference_during_faults: difference_of_ratios(&fault_blocks, BOOTSTRAP_SEED),
        failed: means(pairs, failed_share),
        recovery_s: [
            longest_recovery(pairs.iter().map(|pair| &pair.baseline)),
            longest_recovery(pairs.iter().map(|pair| &pair.candidate)),
        ],
        violations: [
            pairs.iter().map(|pair| violation_count(&pair.baseline)).sum(),
            pairs.iter().map(|pair| violation_count(&pair.candidate)).sum(),
        ],
        cpu_us_per_attempt: means(pairs, |result| result.figures.cpu_us_per_attempt),
    }
}

/// The blocks of all pairs whose first second is selected.
fn paired_blocks(pairs: &[Pair], is_selected: impl Fn(f64) -> bool) -> Vec<PairedBlock> {
    let mut blocks = Vec::new();
    for pair in pairs {
        for start in (0..pair.baseline.figures.seconds.len()).step_by(BLOCK_SECONDS) {
            if is_selected(start as f64) {
                blocks.push(PairedBlock {
                    baseline: service_in_block(&pair.baseline, start),
                    candidate: service_in_block(&pair.candidate, start),
                });
            }
        }
    }
    blocks
}

fn service_in_block(result: &AuditResult, start: usize) -> Ratio {
    let mut service = Ratio::default();
    for second in result.figures.seconds.iter().skip(start).take(BLOCK_SECONDS) {
        service.add(Ratio { numerator: second.served, denominator: second.requested });
    }
    service
}

fn means(pairs: &[Pair], figure: impl Fn(&AuditResult) -> f64) -> [f64; 2] {
    let count = pairs.len().max(1) as f64;
    let baseline: f64 = pairs.iter().map(|pair| figure(&pair.baseline)).sum();
    let candidate: f64 = pairs.iter().map(|pair| figure(&pair.candidate)).sum();
    [baseline / count, candidate / count]
}

fn failed_share(result: &AuditResult) -> f64 {
    let figures = &result.figures;
    (figures.errored + figures.lost) as f64 / figures.attempts.max(1) as f64
}

fn longest_recovery<'a>(results: impl Iterator<Item = &'a AuditResult>) -> Option<f64> {
    let mut longest = 0.0_f64;
    for result in results {
        longest = longest.max(result.figures.longest_recovery()?);
    }
    Some(longest)
}

fn violation_count(result: &AuditResult) -> usize {
    result.violations.iter().map(|violation| violation.count).sum()
}

fn format_interval(interval: Option<Interval>) -> String {
    match interval {
        Some(Interval { mean, low, high }) => format!("{mean:+.4} ({low:+.4} to {high:+.4})"),
        None => "-".into(),
    }
}

fn format_recovery(seconds: Option<f64>) -> String {
    match seconds {
        Some(seconds) => format!("{seconds:.1} s"),
        None => "never".into(),
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [service_a, service_b] = self.service;
        let [failed_a, failed_b] = self.failed;
        let [recovery_a, recovery_b] = self.recovery_s.map(format_recovery);
        let [violations_a, violations_b] = self.violations;
        let [cpu_a, cpu_b] = self.cpu_us_per_attempt;
        let difference = format_interval(self.difference);
        let during_faults = format_interval(self.difference_during_faults);
        writeln!(f, "{}, {} pairs: A, B, and B less A with its 95% interval", self.experiment, self.pairs)?;
        writeln!(f, "    service        {service_a:.4}  {service_b:.4}  {difference}")?;
        writeln!(f, "    during faults                  {during_faults}")?;
        writeln!(f, "    errored, lost  {failed_a:.4}  {failed_b:.4}")?;
        writeln!(f, "    recovery       {recovery_a}  {recovery_b}")?;
        writeln!(f, "    violations     {violations_a}  {violations_b}")?;
        write!(f, "    CPU an attempt {cpu_a:.0} us  {cpu_b:.0} us")
    }
}
