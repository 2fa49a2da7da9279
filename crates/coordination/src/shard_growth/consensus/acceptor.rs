//! The Paxos acceptor of a planner: its last promise, its last accepted proposal, and the last decision it
//! has learned.

use serde::{Deserialize, Serialize};

use super::message::{AcceptedProposal, Ballot, ConsensusMessage};
use crate::shard_growth::shard_map::{ShardMapVersion, VersionedShardMap};

/// The acceptor's state, which is kept across restarts. The order of fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The shard map that was decided last.
    pub decided: VersionedShardMap,
    /// The highest ballot that was promised for the version after `decided`.
    pub promised: Ballot,
    /// The last accepted proposal for the version after `decided`.
    pub accepted: Option<AcceptedProposal>,
}

/// The acceptor's state, and whether the state has changed since it was last persisted.
///
/// Invariant: each change of `promised` or `accepted` sets `needs_snapshot`, and no message is sent while
/// `needs_snapshot` is set.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    pub(super) state: AcceptorState,
    pub(super) needs_snapshot: bool,
}

impl Acceptor {
    pub(super) fn new(state: AcceptorState) -> Acceptor {
        Acceptor { state, needs_snapshot: false }
    }

    pub(super) fn decided_version(&self) -> ShardMapVersion {
        self.state.decided.version
    }

    /// Whether the acceptor votes on `version`: only on the version after the last decision.
    pub(super) fn is_next_version(&self, version: ShardMapVersion) -> bool {
        version.0 == self.decided_version().0 + 1
    }

    /// Promises `ballot` unless a higher ballot was promised, and returns the reply to the proposer.
    pub(super) fn prepare(&mut self, version: ShardMapVersion, ballot: Ballot) -> ConsensusMessage {
        if ballot < self.state.promised {
            return ConsensusMessage::Rejected { version, promised: self.state.promised };
        }
        self.state.promised = ballot;
        self.needs_snapshot = true;
        ConsensusMessage::Promise { version, ballot, accepted: self.state.accepted.clone() }
    }

    /// Accepts a shard map unless a higher ballot was promised, and returns the reply to the proposer.
    pub(super) fn accept(&mut self, ballot: Ballot, shard_map: VersionedShardMap) -> ConsensusMessage {
        let version = shard_map.version;
        if ballot < self.state.promised {
            return ConsensusMessage::Rejected { version, promised: self.state.promised };
        }
        self.state.promised = ballot;
        self.state.accepted = Some(AcceptedProposal { ballot, shard_map });
        self.needs_snapshot = true;
        ConsensusMessage::Accepted { version, ballot }
    }

    /// Records a decision. Votes on the decided version and on earlier versions are dropped.
    pub(super) fn learn(&mut self, decided: VersionedShardMap) {
        self.state = AcceptorState { decided, ..AcceptorState::default() };
    }

    /// Replaces the planner's own votes, which were lost, by votes recovered from other planners.
    pub(super) fn restore(&mut self, promised: Ballot, accepted: Option<AcceptedProposal>) {
        self.state.promised = promised;
        self.state.accepted = accepted;
        self.needs_snapshot = true;
    }
}
