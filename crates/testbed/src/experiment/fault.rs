//! One fault of an experiment's timeline, its parameters and their checks.

use serde::Deserialize;

use super::{Experiment, FaultKind, InvalidReason, InvalidValue};
use crate::shard_map_reference::SplitPhase;

/// The stored state that a planner finds when it starts again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCondition {
    /// All that was stored.
    #[default]
    #[serde(rename = "kept")]
    Intact,
    /// None.
    Empty,
    /// Truncated in the middle, followed by random bytes.
    Torn,
}

/// What a Byzantine planner claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FalseClaim {
    /// Grants each member the whole limit of everything that it requests.
    #[serde(rename = "grants")]
    GrantEverything,
    /// Claims that every cache fails.
    #[serde(rename = "verdicts")]
    CachesFail,
    /// Claims that every cache is slower than others.
    #[serde(rename = "standings")]
    CachesSlow,
}

/// The direction in which a link is affected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkDirection {
    /// Both directions.
    #[default]
    Both,
    /// Toward the caches.
    Caches,
    /// Toward the nodes.
    Nodes,
    /// Toward the planners.
    Planners,
}

/// How a response is corrupted. The request has been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseCorruption {
    /// Bytes that are not HTTP.
    Noise,
    /// Half of the body, then the connection is closed.
    #[serde(rename = "cut")]
    TruncatedBody,
    /// A `Content-Length` that is larger than what is sent.
    #[serde(rename = "length")]
    ExcessiveLength,
    /// A reset instead of the response.
    Reset,
    /// An error status.
    #[serde(rename = "error")]
    ErrorStatus,
    /// The response, and the same again `ms` later.
    #[serde(rename = "second")]
    Duplicate,
    /// The response, and half a status line `ms` later, on the idle connection.
    #[serde(rename = "half_line")]
    PartialStatusLine,
    /// No `Content-Length`, half of the body and a reset.
    #[serde(rename = "no_length")]
    MissingLength,
    /// A body that never ends.
    Endless,
}

/// One fault of the timeline. Which parameters a fault uses depends on its [`FaultKind`]; times are in seconds from the start
/// of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What the fault does.
    pub kind: FaultKind,
    /// When it starts.
    pub at_s: f64,
    /// If set, it does not start before a node is notified of a split at this step.
    #[serde(default)]
    pub at_step: Option<SplitPhase>,
    /// How long it lasts, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Caches by their initial position in the endpoint list, from 0.
    #[serde(default)]
    pub caches: Vec<usize>,
    /// A zone whose caches are affected as well.
    #[serde(default)]
    pub zone: Option<String>,
    /// Nodes by index, from 0; empty for all.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// Planners by index, from 0; empty for all.
    #[serde(default)]
    pub planners: Vec<usize>,
    /// The stored state that a planner finds when it starts again.
    #[serde(default)]
    pub store: StoreCondition,
    /// What a Byzantine planner claims.
    #[serde(rename = "lie", default)]
    pub false_claim: Option<FalseClaim>,
    /// Between the start at one cache or node and at the next, in seconds, where several are named.
    #[serde(default)]
    pub stagger_s: f64,
    /// The multiple of a duration.
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
    /// Throughput of a link, in kilobytes per second.
    #[serde(default)]
    pub kbytes_per_s: Option<f64>,
    /// Bytes after which a connection is reset.
    #[serde(default)]
    pub bytes: Option<u64>,
    /// The fraction of messages, responses or clients that is affected.
    #[serde(default)]
    pub share: Option<f64>,
    /// How responses are corrupted.
    #[serde(rename = "how", default)]
    pub corruption: Option<ResponseCorruption>,
    /// Whether discovery's revisions restart when it returns.
    #[serde(rename = "renumber", default)]
    pub restart_revisions: bool,
    /// Settings in the keys of the nodes' configuration; tables are merged key by key.
    #[serde(default)]
    pub settings: toml::Table,
    /// Whether nodes are restarted to apply settings.
    #[serde(rename = "fresh", default)]
    pub restart_nodes: bool,
}

impl Fault {
    /// When the fault has ended at all its targets, in seconds from the start of the run.
    pub fn end_s(&self) -> f64 {
        let targets = self.caches.len().max(self.nodes.len());
        self.at_s + self.for_s + self.stagger_s * targets.saturating_sub(1) as f64
    }

    /// The caches that the fault names, first by position and then by zone.
    pub fn target_caches(&self, experiment: &Experiment) -> Vec<usize> {
        let mut targets = self.caches.clone();
        if let Some(zone) = &self.zone {
            let zones = &experiment.environment.zones;
            let in_zone = |cache: &usize| zones[cache % zones.len()] == *zone;
            targets.extend((0..experiment.environment.caches).filter(in_zone));
        }
        targets
    }

    /// Checks the fault against the rest of its experiment. Keys in the error are relative to the fault's table.
    pub(super) fn check(&self, experiment: &Experiment) -> Result<(), InvalidValue> {
        self.check_times(experiment)?;
        self.check_targets(experiment)?;
        match self.missing_parameter() {
            Some(key) => Err(InvalidValue::new(key, InvalidReason::Required(self.kind))),
            None => Ok(()),
        }
    }

    fn check_times(&self, experiment: &Experiment) -> Result<(), InvalidValue> {
        // Written so that a NaN is invalid, too.
        if !(self.at_s >= 0.0 && self.for_s >= 0.0 && self.stagger_s >= 0.0) {
            return Err(InvalidValue::rule("at_s", "no time may be negative"));
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
            return Err(InvalidValue::rule("kind", "there is no planner: set fleet.planners"));
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

    /// The key of a parameter that this kind of fault requires, if it is absent or unusable.
    fn missing_parameter(&self) -> Option<&'static str> {
        use FaultKind::*;
        match self.kind {
            Slow | OriginSlow if self.factor.is_none_or(|f| f.is_nan() || f < 1.0) => Some("factor"),
            AddCaches | MalformedClients if self.count == 0 => Some("count"),
            MessagesLost | MessagesCorrupted if self.share.is_none() => Some("share"),
            MessagesDuplicated | MessagesDelayed if self.ms.is_none() => Some("ms"),
            MessagesBlocked if self.planners.is_empty() && self.nodes.is_empty() => Some("planners"),
            PlannerByzantine if self.false_claim.is_none() => Some("lie"),
            LinkDelay if self.ms.is_none() => Some("ms"),
            LinkThrottle if self.kbytes_per_s.is_none_or(|k| k.is_nan() || k <= 0.0) => Some("kbytes_per_s"),
            LinkReset if self.bytes.is_none() => Some("bytes"),
            NodeSettings if self.settings.is_empty() => Some("settings"),
            ClientsLeave if self.share.is_none() => Some("share"),
            CorruptResponses if self.corruption.is_none() => Some("how"),
            CorruptResponses if self.share.is_none_or(|s| !(0.0..=1.0).contains(&s)) => Some("share"),
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
