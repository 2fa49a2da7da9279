//! The kinds of faults that an experiment can inject.

use std::fmt;

use serde::Deserialize;

/// The effect of a fault. In the descriptions of the kinds, words in code style are the keys of
/// [`Fault`](super::Fault) that the kind uses in addition to the times. "The end" is the end of the fault,
/// `for_s` after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `caches` accept requests and never respond.
    Hang,
    /// `caches` take `factor` times as long to serve a request.
    Slow,
    /// `caches` refuse connections and close the open ones; at the end the caches return cold, under the same
    /// names.
    Crash,
    /// `caches` are listed as draining until the end, when they are removed from the endpoint list.
    Drain,
    /// `caches` are removed from the endpoint list, and refuse connections from the end on.
    Remove,
    /// `caches` are replaced at once by new caches that have the same addresses and new names.
    Replace,
    /// `caches` close all connections, including those with requests in flight, repeatedly until the end.
    Reset,
    /// New connections to `caches` get no response: a connection is established only if its handshake is
    /// retransmitted after the end.
    #[serde(rename = "knock_late")]
    ConnectDelayed,
    /// `caches`, or all caches if none is named, lose all values.
    #[serde(rename = "void")]
    FlushCaches,
    /// `count` cold caches are added.
    #[serde(rename = "grow")]
    AddCaches,
    /// The origin takes `factor` times as long to serve a request.
    OriginSlow,
    /// The origin does not respond.
    OriginStop,
    /// Discovery keeps its connections open and sends nothing.
    DiscoverySilent,
    /// Discovery continues to serve an endpoint list that no longer changes.
    DiscoveryStale,
    /// Discovery refuses connections; with `renumber`, its revisions restart when it returns.
    DiscoveryDown,
    /// Discovery moves to another address; nodes get the new address by a changed configuration file and
    /// SIGHUP.
    DiscoveryMove,
    /// Open watches never send anything again; new watches work.
    WatchesSilent,
    /// Open watches are reset.
    WatchesReset,
    /// `nodes` are killed, and started again at the end with the endpoint list that they had before.
    NodeKill,
    /// `nodes` are suspended until the end.
    NodeFreeze,
    /// `nodes` are restarted gracefully.
    NodeRestart,
    /// `nodes` get `settings` in addition to their present settings, all nodes at once: by a changed
    /// configuration file and SIGHUP, or with `fresh` by a graceful restart.
    NodeSettings,
    /// The links between `nodes` and `caches` drop all bytes `toward` one side.
    LinkSilent,
    /// The links between `nodes` and `caches` are delayed by `ms`, `toward` one side or both.
    LinkDelay,
    /// The links between `nodes` and `caches` are throttled to `kbytes_per_s`.
    LinkThrottle,
    /// The links between `nodes` and `caches` reset each connection after `bytes` bytes to the node.
    LinkReset,
    /// A `share` of the responses of `caches`, or of the origin if no cache is named, is corrupted as set by
    /// `how`.
    #[serde(rename = "spoil")]
    CorruptResponses,
    /// A `share` of the clients that wait for responses of `nodes` disconnects, all at once.
    ClientsLeave,
    /// `count` malformed clients connect to each of `nodes`.
    #[serde(rename = "bad_clients")]
    MalformedClients,
    /// The number of running nodes changes to `count`: nodes start, or stop gracefully, one after the other
    /// until the end.
    Resize,
    /// `planners` are killed, and started again at the end with the state set by `store`.
    PlannerKill,
    /// `planners` are suspended until the end.
    PlannerFreeze,
    /// `planners` are stopped gracefully and started again at the end, with the state set by `store`.
    PlannerRestart,
    /// `planners` are replaced by Byzantine planners that have the shared secret and make the false claim
    /// `lie`.
    #[serde(rename = "planner_lies")]
    PlannerByzantine,
    /// A `share` of the messages between `planners` and `nodes` is lost, `toward` one side or both.
    #[serde(rename = "letters_lost")]
    MessagesLost,
    /// A `share` of the messages between `planners` and `nodes` is delivered twice, the second time `ms`
    /// later.
    #[serde(rename = "letters_doubled")]
    MessagesDuplicated,
    /// A `share` of the messages between `planners` and `nodes` is delayed by 0.5 to 1.5 times `ms`, which
    /// reorders messages.
    #[serde(rename = "letters_late")]
    MessagesDelayed,
    /// A `share` of the messages between `planners` and `nodes` has one bit flipped.
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

    /// Whether a fault of this kind has to name caches or a zone.
    pub(super) fn requires_caches(self) -> bool {
        use FaultKind::*;
        matches!(self, Hang | Slow | Crash | Drain | Remove | Replace | Reset | ConnectDelayed)
    }
}

impl fmt::Display for FaultKind {
    /// Writes the name that event logs, reports and error messages use. The name is part of the format of
    /// event logs.
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
