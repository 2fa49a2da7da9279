//! The kinds of faults that an experiment can inject.

use std::fmt;

use serde::Deserialize;

/// What a fault does. In these descriptions, words in code style are the keys of [`Fault`](super::Fault) in the file that a
/// kind uses, beside its times. "The end" is the end of `for_s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `caches` accept requests and answer none.
    Hang,
    /// `caches` take `factor` times as long.
    Slow,
    /// `caches` refuse connections and lose the open ones; at the end they return cold, under the same names.
    Crash,
    /// `caches` are listed as draining, and as gone at the end.
    Drain,
    /// `caches` are listed as gone, and refuse connections from the end on.
    Remove,
    /// `caches` are gone, and at once new ones under new names have their addresses.
    Replace,
    /// `caches` lose their connections, also those with requests in flight; repeatedly until the end.
    Reset,
    /// New connections to `caches` get no response: a connection is established when its handshake is retransmitted after
    /// the end, or never.
    #[serde(rename = "knock_late")]
    ConnectDelayed,
    /// `caches` lose all values; all caches if none is named.
    #[serde(rename = "void")]
    FlushCaches,
    /// `count` cold caches are added.
    #[serde(rename = "grow")]
    AddCaches,
    /// The origin takes `factor` times as long.
    OriginSlow,
    /// The origin answers nothing.
    OriginStop,
    /// Discovery keeps its connections open and sends nothing.
    DiscoverySilent,
    /// Discovery goes on with an endpoint list that no longer changes.
    DiscoveryStale,
    /// Discovery refuses connections; with `renumber`, its revisions restart when it returns.
    DiscoveryDown,
    /// Discovery moves to another address; nodes learn it from their configuration and SIGHUP.
    DiscoveryMove,
    /// Open watches are silent for good; new ones are answered.
    WatchesSilent,
    /// Open watches are reset.
    WatchesReset,
    /// `nodes` are killed, and started again at the end with the endpoint list that they had.
    NodeKill,
    /// `nodes` are suspended.
    NodeFreeze,
    /// `nodes` are restarted gracefully.
    NodeRestart,
    /// `nodes` get `settings` on top of those that they have, all at once, by their configuration and SIGHUP; with `fresh`,
    /// by a graceful restart.
    NodeSettings,
    /// The links between `nodes` and `caches` drop everything `toward` one side.
    LinkSilent,
    /// The links between `nodes` and `caches` are delayed by `ms`, `toward` one side or both.
    LinkDelay,
    /// The links between `nodes` and `caches` pass `kbytes_per_s`.
    LinkThrottle,
    /// The links between `nodes` and `caches` reset each connection after `bytes` toward the node.
    LinkReset,
    /// A `share` of the responses of `caches` is corrupted in the way set by `how`; of the origin if no cache is named.
    #[serde(rename = "spoil")]
    CorruptResponses,
    /// A `share` of the clients that wait for `nodes` disconnect, all at once.
    ClientsLeave,
    /// `count` malformed clients connect to each of `nodes`.
    #[serde(rename = "bad_clients")]
    MalformedClients,
    /// From now on `count` nodes run: others start, or stop gracefully, one after the other until the end.
    Resize,
    /// `planners` are killed, and started again at the end with the state set by `store`.
    PlannerKill,
    /// `planners` are suspended.
    PlannerFreeze,
    /// `planners` are stopped gracefully and started again at the end, with the state set by `store`.
    PlannerRestart,
    /// `planners` are replaced by one that has the shared secret and makes the false claim `lie`.
    #[serde(rename = "planner_lies")]
    PlannerByzantine,
    /// A `share` of the messages between `planners` and `nodes` is lost, `toward` one side or both.
    #[serde(rename = "letters_lost")]
    MessagesLost,
    /// A `share` of these messages is delivered twice, the second time `ms` later.
    #[serde(rename = "letters_doubled")]
    MessagesDuplicated,
    /// A `share` of these messages is delayed by 0.5 to 1.5 times `ms`, and so reordered.
    #[serde(rename = "letters_late")]
    MessagesDelayed,
    /// A `share` of these messages has one bit flipped.
    #[serde(rename = "letters_spoilt")]
    MessagesCorrupted,
    /// `planners` and `nodes` are partitioned from all other members.
    #[serde(rename = "letters_cut")]
    MessagesBlocked,
}

impl FaultKind {
    /// Whether the fault affects messages between members of the control plane.
    pub fn affects_messages(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            MessagesLost | MessagesDuplicated | MessagesDelayed | MessagesCorrupted | MessagesBlocked
        )
    }

    /// Whether the fault affects planners or messages of the control plane.
    pub fn affects_planners(self) -> bool {
        use FaultKind::*;
        self.affects_messages()
            || matches!(self, PlannerKill | PlannerFreeze | PlannerRestart | PlannerByzantine)
    }

    /// Whether the fault has to name caches.
    pub(super) fn requires_caches(self) -> bool {
        use FaultKind::*;
        matches!(self, Hang | Slow | Crash | Drain | Remove | Replace | Reset | ConnectDelayed)
    }
}

impl fmt::Display for FaultKind {
    /// Writes the name that event logs, reports and error messages use, which is part of the recorded format.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::ConnectDelayed => f.write_str("KnockLate"),
            FaultKind::FlushCaches => f.write_str("Void"),
            FaultKind::AddCaches => f.write_str("Grow"),
            FaultKind::CorruptResponses => f.write_str("Spoil"),
            FaultKind::MalformedClients => f.write_str("BadClients"),
            FaultKind::PlannerByzantine => f.write_str("PlannerLies"),
            FaultKind::MessagesLost => f.write_str("LettersLost"),
            FaultKind::MessagesDuplicated => f.write_str("LettersDoubled"),
            FaultKind::MessagesDelayed => f.write_str("LettersLate"),
            FaultKind::MessagesCorrupted => f.write_str("LettersSpoilt"),
            FaultKind::MessagesBlocked => f.write_str("LettersCut"),
            unchanged => write!(f, "{unchanged:?}"),
        }
    }
}
