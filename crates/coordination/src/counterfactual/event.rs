//! Events for the log: their names, which alerts and tests match, and their messages.

use super::estimate::{Estimate, NoSupport};
use super::message::{Comparison, ComparisonReport, ComparisonScale};
use super::policy_value::SelectionPolicy;
use crate::component::Event;
use crate::member::Member;

/// The event that a planner logs for a comparison.
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

/// The event that a forwarder logs for a comparison that a planner reported.
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
        "{:+.1}% of the SLO in waiting time, 95% confidence interval {:+.1}% to {:+.1}%",
        100.0 * report.estimate,
        100.0 * report.low,
        100.0 * report.high
    );
    match report.comparison {
        Comparison::NoSupport => {
            format!(
                "{subject}: too few requests were sampled to compare it with its requests' other candidates"
            )
        }
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
        "its requests take {:.2} times the time of other caches' requests, 95% confidence interval {:.2} to {:.2}",
        report.estimate, report.low, report.high
    );
    match report.comparison {
        Comparison::NoSupport => {
            format!(
                "{subject}: too few keys have it as first candidate to compare its times with other caches"
            )
        }
        Comparison::AsGood => format!("{subject} is about as fast as other caches ({figures})"),
        Comparison::Worse => format!("{subject} is slower than other caches: {figures}"),
        Comparison::Better => format!("{subject} is faster than other caches: {figures}"),
    }
}

/// A selection policy with the estimated share of first attempts that it would have fulfilled within the SLO.
pub(super) struct PolicyValue {
    pub policy: SelectionPolicy,
    pub in_time: Result<Estimate, NoSupport>,
}

/// The event that a planner logs for the values of selection policies.
pub(super) fn policy_values_event(request_class: u16, values: &[PolicyValue]) -> Event {
    let described: Vec<String> = values.iter().map(describe_policy_value).collect();
    let described = described.join(", ");
    let message =
        format!("request class {request_class}, share of first attempts fulfilled in time:  {described}");
    Event { name: "hindsight_values", message, is_warning: false }
}

fn describe_policy_value(value: &PolicyValue) -> String {
    let policy = match value.policy {
        SelectionPolicy::FirstCandidate => "first candidate".to_owned(),
        SelectionPolicy::UniformRandom => "random one of three candidates".to_owned(),
        SelectionPolicy::Observed => "observed selection".to_owned(),
        SelectionPolicy::SecondWhenBusy(in_flight) => {
            format!("second candidate if {in_flight} or more attempts are in flight to the first")
        }
    };
    match &value.in_time {
        Ok(estimate) => {
            let [mean, low, high] = [estimate.mean, estimate.low, estimate.high].map(|share| 100.0 * share);
            format!("{policy} {mean:.1}% (95% confidence interval {low:.1}% to {high:.1}%)")
        }
        Err(NoSupport) => format!("{policy} not estimated (too few requests sampled)"),
    }
}
