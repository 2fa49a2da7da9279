//! A fault of an experiment's timeline, its parameters and their checks.

use serde::Deserialize;

use super::{Experiment, FaultKind, InvalidReason, InvalidValue};
use crate::shard_map_reference::SplitPhase;

/// The stored state that a planner finds when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCondition {
    /// The complete state that the planner stored.
    #[default]
    #[serde(rename = "kept")]
    Intact,
    /// No stored state.
    Empty,
    /// The stored state truncated in the middle and followed by random bytes.
    Torn,
}

/// The false claim of a Byzantine planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FalseClaim {
    /// Grants each member the whole of every limit that the member requests a lease of.
    #[serde(rename = "grants")]
    GrantEverything,
    /// Claims that every cache fails.
    #[serde(rename = "verdicts")]
    CachesFail,
    /// Claims that every cache is slower than others.
    #[serde(rename = "standings")]
    CachesSlow,
}

/// The direction of a link that a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkDirection {
    /// Both directions.
    #[default]
    Both,
    /// From the nodes to the caches.
    Caches,
    /// To the nodes.
    Nodes,
    /// To the planners.
    Planners,
}

/// How a response is corrupted. The server has executed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseCorruption {
    /// Bytes that are not HTTP.
    Noise,
    /// Half of the body, after which the connection is closed.
    #[serde(rename = "cut")]
    TruncatedBody,
    /// A `Content-Length` that is larger than the body sent.
    #[serde(rename = "length")]
    ExcessiveLength,
    /// A reset instead of the response.
    Reset,
    /// An error status.
    #[serde(rename = "error")]
    ErrorStatus,
    /// The response, and the same response again `ms` later.
    #[serde(rename = "second")]
    Duplicate,
    /// The response, and `ms` later half a status line on the connection, which is then idle.
    #[serde(rename = "half_line")]
    PartialStatusLine,
    /// A response without `Content-Length`: half of the body, then a reset.
    #[serde(rename = "no_length")]
    MissingLength,
    /// A body that never ends.
    Endless,
}

/// One fault of the timeline. The fault's [`FaultKind`] determines which parameters are used. Start times are
/// in seconds from the start of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What the fault does.
    pub kind: FaultKind,
    /// When the fault starts, in seconds from the start of the run.
    pub at_s: f64,
    /// The split phase to wait for: if set, the fault starts when a planner sends a node a shard map with a
    /// split in this phase, at `at_s` at the earliest.
    #[serde(default)]
    pub at_step: Option<SplitPhase>,
    /// How long the fault lasts, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Affected caches by their initial position in the endpoint list, from 0.
    #[serde(default)]
    pub caches: Vec<usize>,
    /// A zone whose caches are affected in addition to `caches`.
    #[serde(default)]
    pub zone: Option<String>,
    /// Affected nodes by index, from 0; empty for all nodes.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// Affected planners by index, from 0; empty for all planners.
    #[serde(default)]
    pub planners: Vec<usize>,
    /// The stored state that a planner finds when it starts again.
    #[serde(default)]
    pub store: StoreCondition,
    /// The false claim that a Byzantine planner makes.
    #[serde(rename = "lie", default)]
    pub false_claim: Option<FalseClaim>,
    /// The delay, in seconds, from the fault's start at one of the named caches or nodes to its start at the
    /// next.
    #[serde(default)]
    pub stagger_s: f64,
    /// The factor by which service times are multiplied.
    #[serde(default)]
    pub factor: Option<f64>,
    /// A number of caches, nodes or clients.
    #[serde(default)]
    pub count: usize,
    /// The direction of affected links.
    #[serde(rename = "toward", default)]
    pub direction: LinkDirection,
    /// A delay in milliseconds.
    #[serde(default)]
    pub ms: Option<f64>,
    /// The throughput of a link, in kilobytes per second.
    #[serde(default)]
    pub kbytes_per_s: Option<f64>,
    /// The number of bytes after which a connection is reset.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// The affected fraction of messages, responses or clients.
    #[serde(default)]
    pub share: Option<f64>,
    /// How responses are corrupted.
    #[serde(rename = "how", default)]
    pub corruption: Option<ResponseCorruption>,
    /// Whether discovery numbers its revisions from the start again when it returns.
    #[serde(rename = "renumber", default)]
    pub restart_revisions: bool,
    /// New node settings, in the keys of the nodes' configuration; tables are merged key by key.
    #[serde(default)]
    pub settings: toml::Table,
    /// Whether nodes are restarted to apply the settings.
    #[serde(rename = "fresh", default)]
    pub restart_nodes: bool,
}

impl Fault {
    /// When the fault has ended at all its targets, in seconds from the start of the run.
    pub fn end_s(&self) -> f64 {
        let targets = self.caches.len().max(self.nodes.len());
        self.at_s + self.for_s + self.stagger_s * targets.saturating_sub(1) as f64
    }

    /// The affected caches: first those named by position, then those in the zone.
    pub fn target_caches(&self, experiment: &Experiment) -> Vec<usize> {
        let mut targets = self.caches.clone();
        if let Some(zone) = &self.zone {
            let zones = &experiment.environment.zones;
            let in_zone = |cache: &usize| zones[cache % zones.len()] == *zone;
            targets.extend((0..experiment.environment.caches).filter(in_zone));
        }
        targets
    }

    /// Checks the fault against the rest of its experiment. The key in an error is relative to the fault's
    /// table.
    pub(super) fn check(&self, experiment: &Experiment) -> Result<(), InvalidValue> {
        self.check_times(experiment)?;
        self.check_targets(experiment)?;
        match self.missing_parameter() {
            Some(key) => Err(InvalidValue::new(key, InvalidReason::Required(self.kind))),
            None => Ok(()),
        }
    }

    fn check_times(&self, experiment: &Experiment) -> Result<(), InvalidValue> {
        // The negated comparisons also reject NaN.
        if !(self.at_s >= 0.0 && self.for_s >= 0.0 && self.stagger_s >= 0.0) {
            return Err(InvalidValue::rule("at_s", "at_s, for_s and stagger_s must be 0 or more"));
        }
        if self.end_s() > experiment.seconds {
            let reason = InvalidReason::EndsAfterRun { end_s: self.end_s(), run_s: experiment.seconds };
            return Err(InvalidValue::new("at_s", reason));
        }
        Ok(())
    }

    fn check_targets(&self, experiment: &Experiment) -> Result<(), InvalidValue> {
        check_indices("caches", "cache", &self.caches, experiment.max_caches())?;
        check_indices("nodes", "node", &self.nodes, experiment.environment.nodes)?;
        check_indices("planners", "planner", &self.planners, experiment.planners())?;
        if self.kind.affects_planners() && experiment.planners() == 0 {
            return Err(InvalidValue::rule(
                "kind",
                "a fault of this kind requires planners; set fleet.planners",
            ));
        }
        let max = experiment.environment.nodes;
        if self.kind == FaultKind::Resize && !(1..=max).contains(&self.count) {
            return Err(InvalidValue::new("count", InvalidReason::NodeCount { max }));
        }
        if let Some(zone) = &self.zone
            && !experiment.environment.zones.contains(zone)
        {
            return Err(InvalidValue::new("zone", InvalidReason::NoSuchZone(zone.clone())));
        }
        if self.kind.requires_caches() && self.target_caches(experiment).is_empty() {
            return Err(InvalidValue::new("caches", InvalidReason::Required(self.kind)));
        }
        Ok(())
    }

    /// The key of a parameter that this kind of fault requires and that is absent or invalid; `None` if there
    /// is no such parameter.
    fn missing_parameter(&self) -> Option<&'static str> {
        use FaultKind::*;
        match self.kind {
            Slow | OriginSlow if self.factor.is_none_or(|factor| factor.is_nan() || factor < 1.0) => {
                Some("factor")
            }
            AddCaches | MalformedClients if self.count == 0 => Some("count"),
            MessagesLost | MessagesCorrupted if self.share.is_none() => Some("share"),
            MessagesDuplicated | MessagesDelayed if self.ms.is_none() => Some("ms"),
            MessagesBlocked if self.planners.is_empty() && self.nodes.is_empty() => Some("planners"),
            PlannerByzantine if self.false_claim.is_none() => Some("lie"),
            LinkDelay if self.ms.is_none() => Some("ms"),
            LinkThrottle if self.kbytes_per_s.is_none_or(|rate| rate.is_nan() || rate <= 0.0) => {
                Some("kbytes_per_s")
            }
            LinkReset if self.bytes.is_none() => Some("bytes"),
            NodeSettings if self.settings.is_empty() => Some("settings"),
            ClientsLeave if self.share.is_none() => Some("share"),
            CorruptResponses if self.corruption.is_none() => Some("how"),
            CorruptResponses if self.share.is_none_or(|share| !(0.0..=1.0).contains(&share)) => Some("share"),
            _ => None,
        }
    }
}

fn check_indices(
    key: &str,
    member: &'static str,
    indices: &[usize],
    count: usize,
) -> Result<(), InvalidValue> {
    match indices.iter().find(|index| **index >= count) {
        Some(&index) => Err(InvalidValue::new(key, InvalidReason::NoSuchMember { member, index })),
        None => Ok(()),
    }
}
