//! The rules that hold for each run.
//!
//! Each check looks for violations of one rule in the event log. Violations are grouped by kind: all are
//! counted, and the first few of each kind are reported as examples.

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

/// Tolerance of all time limits of the rules for clock differences and loopback latency, in milliseconds.
pub(super) const TOLERANCE_MS: f64 = 50.0;
/// How long after its notification a node may still send new attempts to a draining or removed cache, in
/// milliseconds.
pub(super) const DRAIN_GRACE_MS: f64 = 300.0;
/// The most violations of one kind that are reported as examples.
const MAX_EXAMPLES: usize = 5;
/// The latency that a throttled link may add to an attempt, in milliseconds.
const THROTTLE_DELAY_MS: f64 = 1000.0;

/// A rule that each run has to keep. The serialized names are those of the first report format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each request gets exactly one final response, made for this request and in time, and nothing is sent
    /// upstream for the request afterwards.
    #[serde(rename = "OneAnswer")]
    SingleResponse,
    /// No deduplicated or non-idempotent effect is executed twice, and no effect for a rate-limited request.
    #[serde(rename = "NoEffectTwice")]
    AtMostOnce,
    /// No new attempt is sent to a draining or removed cache after the grace period.
    #[serde(rename = "Drains")]
    Draining,
    /// Neither a cache that is warming up nor the origin is overloaded.
    #[serde(rename = "Cold")]
    Overload,
    /// Each version has one shard map, splits advance one phase at a time, and no cache takes part in two
    /// splits.
    #[serde(rename = "Growth")]
    ShardGrowth,
}

/// The violations of one kind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The kind of violation, by which violations are grouped.
    pub kind: &'static str,
    /// The number of violations of this kind.
    pub count: usize,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
}

/// Collects violations by kind, in the order in which their kinds were first found.
#[derive(Default)]
pub(super) struct Findings(Vec<RuleViolation>);

impl Findings {
    /// Adds one violation, described by `example`.
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

    /// The violations found, one entry per kind.
    pub fn into_violations(self) -> Vec<RuleViolation> {
        self.0
    }
}

/// Checks all rules except [`Rule::ShardGrowth`].
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

/// The latency that injected link faults may add to an attempt, in milliseconds.
pub(super) fn link_delay_ms(experiment: &Experiment) -> f64 {
    let delay_ms = |fault: &Fault| match fault.kind {
        FaultKind::LinkDelay => 2.0 * fault.ms.unwrap_or(0.0),
        FaultKind::LinkThrottle => THROTTLE_DELAY_MS,
        _ => 0.0,
    };
    experiment.faults().iter().map(delay_ms).sum()
}
