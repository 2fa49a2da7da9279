//! The acceptor: what a planner has promised and accepted, and the last decision that it has learned.

use serde::{Deserialize, Serialize};

use super::message::{AcceptedProposal, Ballot, ConsensusMessage};
use crate::shard_growth::shard_map::{ShardMapVersion, VersionedShardMap};

/// The state that outlasts a restart. The order of fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AcceptorState {
    /// The shard map that was decided last.
    pub decided: VersionedShardMap,
    /// The highest ballot that was promised for the version after that.
    pub promised: Ballot,
    /// What was accepted last for the version after that.
    pub accepted: Option<AcceptedProposal>,
}

/// The acceptor's state, and whether it has changed since it was persisted last.
///
/// Invariant: whatever changes `promised` or `accepted` sets `needs_snapshot`, and no message leaves while it is set.
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

    /// Whether `version` is the one that is voted on: the one after the last decision.
    pub(super) fn is_next_version(&self, version: ShardMapVersion) -> bool {
        version.0 == self.decided_version().0 + 1
    }

    /// Promises `ballot` unless a higher one was promised, and returns the answer to the proposer.
    pub(super) fn prepare(&mut self, version: ShardMapVersion, ballot: Ballot) -> ConsensusMessage {
        if ballot < self.state.promised {
            return ConsensusMessage::Rejected { version, promised: self.state.promised };
        }
        self.state.promised = ballot;
        self.needs_snapshot = true;
        ConsensusMessage::Promise { version, ballot, accepted: self.state.accepted.clone() }
    }

    /// Accepts a shard map unless a higher ballot was promised, and returns the answer to the proposer.
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

    /// Takes a decision. Votes on its version or an earlier one are dropped.
    pub(super) fn learn(&mut self, decided: VersionedShardMap) {
        self.state = AcceptorState { decided, ..AcceptorState::default() };
    }

    /// Takes over the votes of others in place of its own, which it has lost.
    pub(super) fn restore(&mut self, promised: Ballot, accepted: Option<AcceptedProposal>) {
        self.state.promised = promised;
        self.state.accepted = accepted;
        self.needs_snapshot = true;
    }
}
