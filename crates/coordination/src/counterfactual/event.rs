//! Lines for the log: their event names, which alerts and tests match, and their sentences.

use super::estimate::{Estimate, NoSupport};
use super::message::{Comparison, ComparisonReport, ComparisonScale};
use super::policy_value::SelectionPolicy;
use crate::component::Event;
use crate::member::Member;

/// A planner's event for a comparison.
pub(super) fn comparison_event(report: &ComparisonReport, scale: ComparisonScale) -> Event {
    let (name, is_warning) = match report.comparison {
        Comparison::NoSupport => ("hindsight_no_support", false),
        Comparison::AsGood => ("hindsight_as_good", false),
        Comparison::Worse => ("hindsight_worse", true),
        Comparison::Better => ("hindsight_better", false),
    };
    let message = match scale {
        ComparisonScale::WaitedShare => describe_waited_share(report),
        ComparisonScale::TimeRatio => describe_time_ratio(report),
    };
    Event { name, message, is_warning }
}

/// A forwarder's event for a comparison that a planner reported.
pub(super) fn reported_comparison_event(
    planner: Member,
    report: &ComparisonReport,
    scale: ComparisonScale,
) -> Event {
    let event = comparison_event(report, scale);
    Event { message: format!("{planner} reports: {}", event.message), ..event }
}

fn subject(report: &ComparisonReport) -> String {
    format!("cache {:016x} for request class {}", report.cache, report.request_class)
}

fn describe_waited_share(report: &ComparisonReport) -> String {
    let subject = subject(report);
    let figures = format!(
        "{:+.1}% of the SLO waited, 95% interval {:+.1} to {:+.1}",
        100.0 * report.estimate,
        100.0 * report.low,
        100.0 * report.high
    );
    match report.comparison {
        Comparison::NoSupport => format!("{subject}: no node's choice gives evidence"),
        Comparison::AsGood => {
            format!("{subject} is as good as its requests' other candidates ({figures})")
        }
        Comparison::Worse => format!("{subject} is worse than its requests' other candidates: {figures}"),
        Comparison::Better => format!("{subject} is better than its requests' other candidates: {figures}"),
    }
}

fn describe_time_ratio(report: &ComparisonReport) -> String {
    let subject = subject(report);
    let figures = format!(
        "{:.2} times the time of other caches' requests, 95% interval {:.2} to {:.2}",
        report.estimate, report.low, report.high
    );
    match report.comparison {
        Comparison::NoSupport => {
            format!("{subject}: too few keys are assigned to it to compare its times with others'")
        }
        Comparison::AsGood => format!("{subject} is about as quick as others ({figures})"),
        Comparison::Worse => format!("{subject} is slower than others: {figures}"),
        Comparison::Better => format!("{subject} is quicker than others: {figures}"),
    }
}

/// A policy with its estimated value, the share of requests in time.
pub(super) struct PolicyValue {
    pub policy: SelectionPolicy,
    pub in_time: Result<Estimate, NoSupport>,
}

/// A planner's event for the values of policies.
pub(super) fn policy_values_event(request_class: u16, values: &[PolicyValue]) -> Event {
    let described: Vec<String> = values.iter().map(describe_policy_value).collect();
    let message =
        format!("request class {request_class}, first attempts fulfilled in time: {}", described.join(", "));
    Event { name: "hindsight_values", message, is_warning: false }
}

fn describe_policy_value(value: &PolicyValue) -> String {
    let policy = match value.policy {
        SelectionPolicy::FirstCandidate => "first candidate".to_owned(),
        SelectionPolicy::UniformRandom => "random candidate of three".to_owned(),
        SelectionPolicy::Observed => "as observed".to_owned(),
        SelectionPolicy::SecondWhenBusy(in_flight) => {
            format!("second candidate at {in_flight} in flight to the first")
        }
    };
    match &value.in_time {
        Ok(estimate) => {
            let [mean, low, high] = [estimate.mean, estimate.low, estimate.high].map(|share| 100.0 * share);
            format!("{policy} {mean:.1}% ({low:.1} to {high:.1})")
        }
        Err(NoSupport) => format!("{policy}: no support"),
    }
}
