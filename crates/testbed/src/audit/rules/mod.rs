//! The rules that hold for each run.
//!
//! Each check looks for violations of one rule in the event log. Violations of one kind are gathered: the first few are
//! reported one by one, and all are counted.

mod draining;
mod effects;
mod index;
mod overload;
mod responses;

use serde::Serialize;

use crate::event_log::EventLog;
use crate::experiment::{Experiment, Fault, FaultKind};
use index::RunIndex;

pub(super) use draining::drains;

/// What clocks and the loopback interface may add to any time limit of a rule, in milliseconds.
pub(super) const TOLERANCE_MS: f64 = 50.0;
/// New attempts at a draining or removed cache are allowed for this long after the node was notified, in milliseconds.
pub(super) const DRAIN_GRACE_MS: f64 = 300.0;
/// Violations of one kind that are reported one by one.
const MAX_EXAMPLES: usize = 5;
/// What a throttled link may add to an attempt's way, in milliseconds.
const THROTTLE_DELAY_MS: f64 = 1000.0;

/// A rule. Reports keep the former names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each request gets exactly one final response in time, made for it, and nothing is sent upstream for it after.
    #[serde(rename = "OneAnswer")]
    SingleResponse,
    /// No effect is executed twice, and none for a request that was rate-limited.
    #[serde(rename = "NoEffectTwice")]
    AtMostOnce,
    /// Nothing new is sent to a draining or removed cache after the grace period.
    #[serde(rename = "Drains")]
    Draining,
    /// No cache that warms up is overloaded, nor the origin.
    #[serde(rename = "Cold")]
    Overload,
    /// One shard map for each version, one phase at a time, and no two splits on one cache.
    #[serde(rename = "Growth")]
    ShardGrowth,
}

/// The violations of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The kind of violation, the same for all alike.
    pub kind: &'static str,
    /// How many there were.
    pub count: usize,
    /// The first few.
    pub examples: Vec<String>,
}

/// Violations while they are gathered, in the order in which their kinds were first found.
#[derive(Default)]
pub(super) struct Findings(Vec<RuleViolation>);

impl Findings {
    /// Adds one violation.
    pub fn add(&mut self, rule: Rule, kind: &'static str, example: String) {
        let known = self.0.iter().position(|violation| violation.kind == kind);
        let index = known.unwrap_or_else(|| {
            self.0.push(RuleViolation { rule, kind, count: 0, examples: Vec::new() });
            self.0.len() - 1
        });
        let violation = &mut self.0[index];
        violation.count += 1;
        if violation.examples.len() < MAX_EXAMPLES {
            violation.examples.push(example);
        }
    }

    /// The gathered violations.
    pub fn into_violations(self) -> Vec<RuleViolation> {
        self.0
    }
}

/// Checks all rules but the one about shard growth.
pub(super) fn check(experiment: &Experiment, event_log: &EventLog) -> Vec<RuleViolation> {
    let index = RunIndex::new(experiment, event_log);
    let mut findings = Findings::default();
    responses::check_responses(&index, &mut findings);
    responses::check_after_response(&index, &mut findings);
    effects::check_effects(&index, &mut findings);
    effects::check_hedging(&index, &mut findings);
    draining::check(&index, &mut findings);
    overload::check(&index, &mut findings);
    findings.into_violations()
}

/// What injected link faults may add to an attempt's way, in milliseconds.
pub(super) fn link_delay_ms(experiment: &Experiment) -> f64 {
    let delay_ms = |fault: &Fault| match fault.kind {
        FaultKind::LinkDelay => 2.0 * fault.ms.unwrap_or(0.0),
        FaultKind::LinkThrottle => THROTTLE_DELAY_MS,
        _ => 0.0,
    };
    experiment.faults().iter().map(delay_ms).sum()
}
