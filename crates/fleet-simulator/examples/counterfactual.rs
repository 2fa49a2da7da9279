//! Compares counterfactual estimates with the true values of synthetic traces, and prints simulated figures.
//!
//! cargo run --release -p granitelb-fleet-simulator --example counterfactual -- FIRST_SEED TRACES [SCENARIO]

use granitelb_coordination::component::Event;
use granitelb_coordination::counterfactual::{
    Comparison, ComparisonScale, Dataset, Estimate, MAX_CANDIDATES, OutcomeMeasure, SelectionPolicy, Settings,
};
use granitelb_fleet_simulator::counterfactual::{
    Replay, SCENARIOS, Scenario, SimulatedRequest, Trace, TraceConfig, replay,
};

/// True effects smaller than this count as zero when signs are compared.
const MIN_CLEAR_EFFECT: f64 = 0.005;

const POLICIES: [SelectionPolicy; 5] = [
    SelectionPolicy::FirstCandidate,
    SelectionPolicy::UniformRandom,
    SelectionPolicy::Observed,
    SelectionPolicy::SecondWhenBusy(1),
    SelectionPolicy::SecondWhenBusy(2),
];

/// The number of estimated intervals, how many of them contain the true value, and the sums of their widths
/// and of the distances of their middles from the true value.
#[derive(Default)]
struct Coverage {
    estimated: usize,
    covered: usize,
    unsupported: usize,
    width: f64,
    error: f64,
}

impl Coverage {
    fn add(&mut self, estimate: Option<&Estimate>, truth: f64) {
        match estimate {
            Some(estimate) => self.add_interval(estimate.low, estimate.high, truth),
            None => self.unsupported += 1,
        }
    }

    fn add_interval(&mut self, low: f64, high: f64, truth: f64) {
        self.estimated += 1;
        self.covered += usize::from((low..=high).contains(&truth));
        self.width += high - low;
        self.error += (low + high) / 2.0 - truth;
    }

    fn figures(&self) -> String {
        let count = self.estimated.max(1) as f64;
        let covered = 100.0 * self.covered as f64 / count;
        let width = self.width / count;
        let error = self.error / count;
        format!("{covered:.1}% of {} | {width:.3} | {error:+.4}", self.estimated)
    }
}

/// Counts of caches that the planner named worse or better.
#[derive(Default)]
struct Named {
    traces_with_any: usize,
    rightly: usize,
    with_wrong_sign: usize,
    /// The number of traces in which cache 0 was named worse. If a cache is slow, it is cache 0.
    first_worse: usize,
}

impl Named {
    fn add(&mut self, cache: u64, comparison: Comparison, truth: f64) {
        let is_right = match comparison {
            Comparison::Worse => truth > 0.0,
            Comparison::Better => truth < 0.0,
            Comparison::AsGood | Comparison::NoSupport => return,
        };
        if is_right {
            self.rightly += 1;
        } else {
            self.with_wrong_sign += 1;
        }
        self.first_worse += usize::from(cache == 0 && comparison == Comparison::Worse);
    }
}

/// The figures of one scenario.
#[derive(Default)]
struct ScenarioReport {
    waited: Coverage,
    in_time: Coverage,
    naive: Coverage,
    naive_wrong_signs: usize,
    time_ratios: Coverage,
    named_by_effect: Named,
    named_by_time_ratio: Named,
    messages: usize,
    bytes: usize,
    largest_message: usize,
}

impl ScenarioReport {
    fn add(&mut self, trace: &Trace, replay: &Replay, dataset: &Dataset, settings: &Settings) {
        self.messages += replay.messages;
        self.bytes += replay.bytes;
        self.largest_message = self.largest_message.max(replay.largest_message);
        self.add_time_ratios(trace, replay, settings);
        for cache in 0..trace.config.caches {
            self.add_effects(trace, replay, dataset, cache);
        }
        let is_named = |event: &&Event| matches!(event.name, "hindsight_worse" | "hindsight_better");
        let is_by_time_ratio = |event: &&Event| event.message.contains(" times the time ");
        let named: Vec<&Event> = replay.planner_events.iter().filter(is_named).collect();
        self.named_by_time_ratio.traces_with_any += usize::from(named.iter().any(is_by_time_ratio));
        self.named_by_effect.traces_with_any +=
            usize::from(named.iter().any(|event| !is_by_time_ratio(event)));
    }

    fn add_time_ratios(&mut self, trace: &Trace, replay: &Replay, settings: &Settings) {
        let assignment = replay.planner.randomized_assignment(0);
        let min_effect = settings.min_effect(ComparisonScale::TimeRatio);
        for cache in 0..trace.config.caches {
            let truth = trace.true_log_time_ratio(cache);
            let comparison = assignment.compare_cache(cache, min_effect).ok();
            self.time_ratios.add(comparison.as_ref().map(|comparison| &comparison.estimate), truth);
            let comparison = replay.planner.comparison(cache, 0, ComparisonScale::TimeRatio);
            self.named_by_time_ratio.add(cache, comparison, truth);
        }
    }

    fn add_effects(&mut self, trace: &Trace, replay: &Replay, dataset: &Dataset, cache: u64) {
        let waited = dataset.compare_cache(cache, OutcomeMeasure::WaitedShare).ok();
        let waited_truth = true_effect(trace, cache, waited.as_ref(), OutcomeMeasure::WaitedShare);
        self.waited.add(waited.as_ref(), waited_truth);
        if waited.is_some() {
            self.add_naive(trace, cache, waited_truth);
        }
        let in_time = dataset.compare_cache(cache, OutcomeMeasure::InTime).ok();
        let in_time_truth = true_effect(trace, cache, in_time.as_ref(), OutcomeMeasure::InTime);
        self.in_time.add(in_time.as_ref(), in_time_truth);
        let comparison = replay.planner.comparison(cache, 0, ComparisonScale::WaitedShare);
        self.named_by_effect.add(cache, comparison, waited_truth);
    }

    fn add_naive(&mut self, trace: &Trace, cache: u64, truth: f64) {
        // In the confounded scenario, plain means are wrong for the quick caches, which are every third
        // cache.
        if trace.config.scenario == Scenario::Confounded && !cache.is_multiple_of(3) {
            return;
        }
        let naive = trace.naive_difference(cache);
        self.naive.add_interval(naive.mean - naive.half_width, naive.mean + naive.half_width, truth);
        let is_clear = truth.abs() > MIN_CLEAR_EFFECT && naive.mean.abs() > naive.half_width;
        let has_wrong_sign = is_clear && (naive.mean > 0.0) != (truth > 0.0);
        self.naive_wrong_signs += usize::from(has_wrong_sign);
    }

    fn print_row(&self, scenario: Scenario) {
        println!(
            "| {scenario:?} | {} | {} | {} | {} | {} |",
            self.waited.figures(),
            self.in_time.figures(),
            self.waited.unsupported,
            self.naive.figures(),
            self.naive_wrong_signs
        );
    }

    fn print_named(&self, scenario: Scenario, traces: u64) {
        let by_ratio = &self.named_by_time_ratio;
        println!(
            "{scenario:?}, ratio of times by randomized assignment: {}, no support {}; {} traces with a cache ever \
             named; at the end {} rightly, {} with the wrong sign; cache 0 worse: {}",
            self.time_ratios.figures(),
            self.time_ratios.unsupported,
            by_ratio.traces_with_any,
            by_ratio.rightly,
            by_ratio.with_wrong_sign,
            by_ratio.first_worse
        );
        let by_effect = &self.named_by_effect;
        println!(
            "{scenario:?}: {} of {traces} traces with a cache ever named worse or better; named at the end: {} \
             rightly, {} with the wrong sign; cache 0 worse: {}; messages {}, mean {} bytes, largest {}",
            by_effect.traces_with_any,
            by_effect.rightly,
            by_effect.with_wrong_sign,
            by_effect.first_worse,
            self.messages,
            self.bytes / self.messages.max(1),
            self.largest_message
        );
    }
}

/// Returns the true effect over the strata of an estimate; 0 without an estimate.
fn true_effect(trace: &Trace, cache: u64, estimate: Option<&Estimate>, measure: OutcomeMeasure) -> f64 {
    estimate.map_or(0.0, |estimate| trace.true_effect(cache, &estimate.strata, measure))
}

/// Returns the probabilities with which a policy sends a request to each position.
fn probabilities(policy: SelectionPolicy, request: &SimulatedRequest) -> [f64; MAX_CANDIDATES] {
    let only = |position: usize| std::array::from_fn(|other| f64::from(u8::from(other == position)));
    match policy {
        SelectionPolicy::FirstCandidate => only(0),
        SelectionPolicy::UniformRandom => [1.0 / MAX_CANDIDATES as f64; MAX_CANDIDATES],
        SelectionPolicy::SecondWhenBusy(in_flight)
            if request.position == 0 && request.in_flight[0] >= u16::from(in_flight) =>
        {
            only(1)
        }
        SelectionPolicy::Observed | SelectionPolicy::SecondWhenBusy(_) => only(request.position),
    }
}

fn add_policies(policies: &mut [Coverage], trace: &Trace, dataset: &Dataset) {
    for (policy, coverage) in POLICIES.iter().zip(policies) {
        let truth =
            trace.true_policy_value(OutcomeMeasure::InTime, |request| probabilities(*policy, request));
        let estimate = dataset.policy_value(*policy, OutcomeMeasure::InTime).ok();
        coverage.add(estimate.as_ref(), truth);
    }
}

fn print_header() {
    println!(
        "| trace | interval holds the truth, waited | width | off | in time | width | off | no support | naive mean holds | width | off | naive of the wrong sign |"
    );
    println!("{}|", "| --- ".repeat(12));
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: u64| {
        args.get(index).and_then(|arg| arg.parse::<u64>().ok()).unwrap_or(default)
    };
    let first_seed = number(0, 1);
    let traces = number(1, 10);
    let is_requested = |scenario: &Scenario| args.get(2).is_none_or(|arg| *arg == format!("{scenario:?}"));
    let settings = Settings::default();
    let mut policies: Vec<Coverage> = POLICIES.iter().map(|_| Coverage::default()).collect();
    let mut reports = Vec::new();
    print_header();
    for scenario in SCENARIOS.into_iter().filter(is_requested) {
        let mut report = ScenarioReport::default();
        for seed in first_seed..first_seed + traces {
            let trace = Trace::new(TraceConfig { scenario, seed, ..TraceConfig::default() });
            let replay = replay(&trace, &settings);
            let dataset = replay.planner.dataset(0);
            report.add(&trace, &replay, &dataset, &settings);
            add_policies(&mut policies, &trace, &dataset);
        }
        report.print_row(scenario);
        reports.push((scenario, report));
    }
    println!();
    for (scenario, report) in &reports {
        report.print_named(*scenario, traces);
    }
    println!();
    for (policy, coverage) in POLICIES.iter().zip(&policies) {
        println!("{policy:?}: truth held {}, no support {}", coverage.figures(), coverage.unsupported);
    }
}
