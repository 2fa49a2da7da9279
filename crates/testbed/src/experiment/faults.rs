//! The faults of an experiment's timeline.

use serde::Deserialize;

use super::Experiment;
use crate::shard_map_reference::SplitPhase;

/// What breaks. Each says which of the fault's keys it heeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `caches` take calls and answer none.
    Hang,
    /// `caches` take `factor` times as long.
    Slow,
    /// `caches` refuse connections and lose theirs; they come back cold, under their names.
    Crash,
    /// `caches` are told to be draining, and gone at the end.
    Drain,
    /// `caches` are told to be gone, and refuse from the end on.
    Remove,
    /// `caches` go, and new ones under new names stand at their addresses at once.
    Replace,
    /// `caches` lose their connections, those under calls too; within `for_s` again and again.
    Reset,
    /// What knocks at `caches` hears nothing: a connection comes up when its knock is repeated after the end, or never.
    KnockLate,
    /// All copies at `caches` are void, at all caches if none is named.
    Void,
    /// `count` cold caches are added.
    Grow,
    /// The origin takes `factor` times as long.
    OriginSlow,
    /// The origin answers nothing.
    OriginStop,
    /// Discovery keeps connections and says nothing.
    DiscoverySilent,
    /// Discovery goes on with the list as it was.
    DiscoveryStale,
    /// Discovery refuses; if `renumber`, it counts revisions anew when it is back.
    DiscoveryDown,
    /// Discovery moves to another address; nodes are told by their configuration and SIGHUP.
    DiscoveryMove,
    /// The watches that are open fall silent for good; new ones are answered.
    WatchesSilent,
    /// The watches that are open are reset.
    WatchesReset,
    /// `nodes` are killed outright, and started again at the end with the list they had.
    NodeKill,
    /// `nodes` are frozen.
    NodeFreeze,
    /// `nodes` are restarted in order.
    NodeRestart,
    /// `nodes` are given `settings` over those that they have, all at once, by their configuration and SIGHUP; if
    /// `fresh`, by stopping in order and starting anew.
    NodeSettings,
    /// The links between `nodes` and `caches` are silent `toward` one side.
    LinkSilent,
    /// They are late by `ms`, `toward` one side or both.
    LinkDelay,
    /// They pass `kbytes_per_s`.
    LinkThrottle,
    /// They reset after `bytes` toward the node on each connection.
    LinkReset,
    /// A `share` of the answers of `caches` is spoilt as `how` says; the origin's where no cache is named.
    Spoil,
    /// A `share` of the clients that wait for an answer of `nodes` leave, all at once.
    ClientsLeave,
    /// `count` bad clients come to each of `nodes`.
    BadClients,
    /// `count` nodes are up from then on: others start, or stop in order, each in its turn within `for_s`.
    Resize,
    /// `planners` are killed outright, and started again at the end with what `store` says.
    PlannerKill,
    /// `planners` are frozen.
    PlannerFreeze,
    /// `planners` are stopped in order and started again at the end, with what `store` says.
    PlannerRestart,
    /// In place of `planners` stands one that signs as they do and tells the `lie`.
    PlannerLies,
    /// A `share` of the letters between `planners` and `nodes` is lost, `toward` one side or both.
    LettersLost,
    /// A `share` comes twice, the second time by `ms` later.
    LettersDoubled,
    /// A `share` is late by half of `ms` to half as much again, and so overtaken by others.
    LettersLate,
    /// A `share` has one bit changed.
    LettersSpoilt,
    /// No letter passes between `planners` and `nodes` on the one hand and all other members on the other.
    LettersCut,
}

impl FaultKind {
    pub fn befalls_letters(self) -> bool {
        use FaultKind::*;
        matches!(self, LettersLost | LettersDoubled | LettersLate | LettersSpoilt | LettersCut)
    }

    pub fn befalls_planners(self) -> bool {
        use FaultKind::*;
        self.befalls_letters() || matches!(self, PlannerKill | PlannerFreeze | PlannerRestart | PlannerLies)
    }
}

/// What a planner that starts again finds of what it kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Store {
    #[default]
    Kept,
    Empty,
    /// Cut off half-way, with noise after.
    Torn,
}

/// What a planner that lies says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lie {
    /// Grants everyone the whole of whatever is asked for.
    Grants,
    /// Says of every cache that it fails.
    Verdicts,
    /// Says of every cache that it is slower than others.
    Standings,
}

/// Which way a link is meant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Toward {
    #[default]
    Both,
    Caches,
    Nodes,
    Planners,
}

/// How an answer is spoilt. Its call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spoil {
    /// Bytes that are no HTTP.
    Noise,
    /// A body that stops half-way, and a close.
    Cut,
    /// A length that is more than ever comes.
    Length,
    /// A reset in place of it.
    Reset,
    /// A status of failure.
    Error,
    /// The answer, and the same once more by `ms` later.
    Second,
    /// The answer, and by `ms` later, on the resting connection, half a line.
    HalfLine,
    /// No length, half a body and a reset.
    NoLength,
    /// A body that goes on for ever.
    Endless,
}

/// One fault of the timeline.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
    /// Not before a node is told of a split at this step.
    #[serde(default)]
    pub at_step: Option<SplitPhase>,
    #[serde(default)]
    pub for_s: f64,
    /// Caches by the place they were listed in, from 0.
    #[serde(default)]
    pub caches: Vec<usize>,
    /// Caches by zone, besides.
    #[serde(default)]
    pub zone: Option<String>,
    /// Nodes by number, from 0; all if none is named.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// Planners by number, from 0; all if none is named.
    #[serde(default)]
    pub planners: Vec<usize>,
    #[serde(default)]
    pub store: Store,
    #[serde(default)]
    pub lie: Option<Lie>,
    /// Between the beginnings at one cache or node and the next, where several are named.
    #[serde(default)]
    pub stagger_s: f64,
    #[serde(default)]
    pub factor: Option<f64>,
    #[serde(default)]
    pub count: usize,
    #[serde(default)]
    pub toward: Toward,
    #[serde(default)]
    pub ms: Option<f64>,
    #[serde(default)]
    pub kbytes_per_s: Option<f64>,
    #[serde(default)]
    pub bytes: Option<u64>,
    #[serde(default)]
    pub share: Option<f64>,
    #[serde(default)]
    pub how: Option<Spoil>,
    #[serde(default)]
    pub renumber: bool,
    /// As the nodes' own configuration words them; tables are merged key by key.
    #[serde(default)]
    pub settings: toml::Table,
    #[serde(default)]
    pub fresh: bool,
}

impl Fault {
    /// When all of it is over, in seconds from the start.
    pub fn end_s(&self) -> f64 {
        let parts = self.caches.len().max(self.nodes.len());
        self.at_s + self.for_s + self.stagger_s * parts.saturating_sub(1) as f64
    }

    /// The caches that it names, by place and by zone.
    pub fn named(&self, of: &Experiment) -> Vec<usize> {
        let zones = &of.world.zones;
        let in_zone = |c: &usize| self.zone.as_ref().is_some_and(|z| zones[c % zones.len()] == *z);
        let mut named = self.caches.clone();
        named.extend((0..of.world.caches).filter(in_zone));
        named
    }

    pub fn check(&self, of: &Experiment) -> Result<(), (&'static str, String)> {
        use FaultKind::*;
        let missing = |key| Err((key, format!("{:?} needs it", self.kind)));
        if !(self.at_s >= 0.0 && self.for_s >= 0.0 && self.stagger_s >= 0.0) {
            return Err(("at_s", "no time may be negative".into()));
        }
        if self.end_s() > of.seconds {
            return Err(("at_s", format!("it ends at {} s, the run at {} s", self.end_s(), of.seconds)));
        }
        if let Some(cache) = self.caches.iter().find(|c| **c >= of.seats()) {
            return Err(("caches", format!("there is no cache {cache}, they are counted from 0")));
        }
        if let Some(node) = self.nodes.iter().find(|n| **n >= of.world.nodes) {
            return Err(("nodes", format!("there is no node {node}, they are counted from 0")));
        }
        if let Some(planner) = self.planners.iter().find(|p| **p >= of.planners()) {
            return Err(("planners", format!("there is no planner {planner}, they are counted from 0")));
        }
        if self.kind.befalls_planners() && of.planners() == 0 {
            return Err(("kind", "there is no planner: set fleet.planners".into()));
        }
        if self.kind == Resize && !(1..=of.world.nodes).contains(&self.count) {
            return Err(("count", format!("from 1 to the world's {} nodes", of.world.nodes)));
        }
        if let Some(zone) = self.zone.as_ref().filter(|z| !of.world.zones.contains(z)) {
            return Err(("zone", format!("there is no zone {zone}")));
        }
        let on_caches =
            matches!(self.kind, Hang | Slow | Crash | Drain | Remove | Replace | Reset | KnockLate);
        if on_caches && self.named(of).is_empty() {
            return missing("caches");
        }
        match self.kind {
            Slow | OriginSlow if self.factor.is_none_or(|f| f.is_nan() || f < 1.0) => missing("factor"),
            Grow | BadClients if self.count == 0 => missing("count"),
            LettersLost | LettersSpoilt if self.share.is_none() => missing("share"),
            LettersDoubled | LettersLate if self.ms.is_none() => missing("ms"),
            LettersCut if self.planners.is_empty() && self.nodes.is_empty() => missing("planners"),
            PlannerLies if self.lie.is_none() => missing("lie"),
            LinkDelay if self.ms.is_none() => missing("ms"),
            LinkThrottle if self.kbytes_per_s.is_none_or(|k| k.is_nan() || k <= 0.0) => {
                missing("kbytes_per_s")
            }
            LinkReset if self.bytes.is_none() => missing("bytes"),
            NodeSettings if self.settings.is_empty() => missing("settings"),
            ClientsLeave if self.share.is_none() => missing("share"),
            Spoil if self.how.is_none() => missing("how"),
            Spoil if self.share.is_none_or(|s| !(0.0..=1.0).contains(&s)) => missing("share"),
            _ => Ok(()),
        }
    }
}
