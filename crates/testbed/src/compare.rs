//! Runs the same schedules with two builds of the program under test and measures the difference.

use std::fmt;
use std::path::Path;

use serde::Serialize;

use crate::audit::AuditResult;
use crate::experiment::Experiment;
use crate::run_result::{ON_TIME_MS, RunError, RunResult, run_experiment};
use crate::stats::{Interval, PairedBlock, Ratio, difference_of_ratios};

/// The length of a block in seconds, which is resampled as a whole: a fault's effect spans more than one
/// second.
const BLOCK_SECONDS: usize = 2;
/// The number of late runs after which the testbed counts as too slow.
const MAX_RUNS: usize = 3;
/// The time after a fault's end that still counts as affected by the fault, in seconds.
const AFTER_EFFECT_S: f64 = 5.0;
/// The seed of the bootstrap.
const BOOTSTRAP_SEED: u64 = 1;

/// The reason why builds could not be compared.
#[derive(Debug)]
pub enum CompareError {
    /// A run failed to execute.
    Run(RunError),
    /// The testbed sent requests too late in each of the repeated runs.
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
                "{experiment} seed {seed}: the testbed sent requests late in {MAX_RUNS} runs; the machine is too busy"
            ),
        }
    }
}

impl std::error::Error for CompareError {}

/// The result of a comparison. Arrays hold the baseline's figure and the candidate's figure, in this order.
#[derive(Debug, Serialize)]
pub struct Comparison {
    /// The experiment's name.
    pub experiment: String,
    /// The number of pairs of runs.
    pub pairs: usize,
    /// The mean service of each build.
    pub service: [f64; 2],
    /// The candidate's service minus the baseline's; `None` without blocks.
    pub difference: Option<Interval>,
    /// The candidate's service minus the baseline's, from the start of the first fault until shortly after
    /// the end of the last fault; `None` without faults.
    #[serde(rename = "in_trouble")]
    pub difference_during_faults: Option<Interval>,
    /// Each build's share of errored and lost attempts.
    pub failed: [f64; 2],
    /// Each build's longest recovery, in seconds; `None` if the service did not recover from some fault.
    pub recovery_s: [Option<f64>; 2],
    /// Each build's number of rule violations, over all pairs.
    #[serde(rename = "breaches")]
    pub violations: [usize; 2],
    /// Each build's processor time per client attempt, in microseconds.
    #[serde(rename = "cpu_us_a_call")]
    pub cpu_us_per_attempt: [f64; 2],
}

/// The results of one seed with both builds.
struct Pair {
    baseline: AuditResult,
    candidate: AuditResult,
}

/// Runs each seed of an experiment `repeat` times with both builds and compares them. `builds` are the
/// baseline and the candidate.
///
/// # Errors
/// [`CompareError::Run`] if a run can't be executed; [`CompareError::TestbedLate`] if the testbed is late in
/// all repeated runs.
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
            // The order alternates, so that a drift of the machine's speed favors neither build.
            let pair = if pairs.len() % 2 == 0 {
                let baseline = run_until_on_time(experiment, *seed, baseline)?.audit_result;
                let candidate = run_until_on_time(experiment, *seed, candidate)?.audit_result;
                Pair { baseline, candidate }
            } else {
                let candidate = run_until_on_time(experiment, *seed, candidate)?.audit_result;
                let baseline = run_until_on_time(experiment, *seed, baseline)?.audit_result;
                Pair { baseline, candidate }
            };
            pairs.push(pair);
        }
    }
    Ok(summarize(experiment, &pairs))
}

fn run_until_on_time(experiment: &Experiment, seed: u64, node: &Path) -> Result<RunResult, CompareError> {
    for _ in 0..MAX_RUNS {
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
    let to_s = faults.iter().map(|fault| fault.end_s() + AFTER_EFFECT_S).fold(0.0, f64::max);
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

/// The blocks of all pairs for whose first second `is_selected` is true.
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
        let [baseline_service, candidate_service] = self.service;
        let [baseline_failed, candidate_failed] = self.failed;
        let [baseline_recovery, candidate_recovery] = self.recovery_s.map(format_recovery);
        let [baseline_violations, candidate_violations] = self.violations;
        let [baseline_cpu, candidate_cpu] = self.cpu_us_per_attempt;
        let difference = format_interval(self.difference);
        let during_faults = format_interval(self.difference_during_faults);
        writeln!(f, "{}, {} pairs: A, B, and B minus A with its 95% interval", self.experiment, self.pairs)?;
        writeln!(f, "    service        {baseline_service:.4}  {candidate_service:.4}  {difference}")?;
        writeln!(f, "    during faults                  {during_faults}")?;
        writeln!(f, "    errored, lost  {baseline_failed:.4}  {candidate_failed:.4}")?;
        writeln!(f, "    recovery       {baseline_recovery}  {candidate_recovery}")?;
        writeln!(f, "    violations     {baseline_violations}  {candidate_violations}")?;
        write!(f, "    CPU/attempt    {baseline_cpu:.0} us  {candidate_cpu:.0} us")
    }
}
