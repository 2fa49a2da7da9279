//! The messages of the consensus and their validation. The order of variants and fields is the wire format.

use serde::{Deserialize, Serialize};

use crate::member::PlannerId;
use crate::shard_growth::message::GrowthError;
use crate::shard_growth::shard_map::{ShardMapVersion, VersionedShardMap};

/// The lowest invalid round and version. A forged number near the end of the range would leave no higher
/// number for later proposals.
const ROUND_AND_VERSION_LIMIT: u64 = 1 << 48;

/// The number of a proposal. A proposal with a higher ballot supersedes proposals with lower ballots.
///
/// Ballots of different planners differ, and so do ballots of different incarnations of one planner, since a
/// later incarnation may have lost the persisted ballots of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The proposer's round. Ballots are compared by round first.
    pub round: u64,
    /// The number of the proposing planner.
    pub planner: u8,
    /// The proposer's incarnation.
    pub incarnation: u64,
}

/// A shard map that an acceptor has accepted, and the ballot of that proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The ballot.
    pub ballot: Ballot,
    /// The shard map.
    pub shard_map: VersionedShardMap,
}

/// A message between planners about the next version of the shard map.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Phase 1, from a proposer: asks for a promise to accept no lower ballot for this version.
    Prepare {
        /// The version to decide.
        version: ShardMapVersion,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1, from an acceptor: the promise, with the proposal that the acceptor accepted before.
    Promise {
        /// The version to decide.
        version: ShardMapVersion,
        /// The ballot that was promised.
        ballot: Ballot,
        /// The last proposal that the acceptor accepted for this version; none if there is none.
        accepted: Option<AcceptedProposal>,
    },
    /// Phase 2, from a proposer: asks to accept a shard map. The version to decide is that of the shard map.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed shard map.
        shard_map: VersionedShardMap,
    },
    /// Phase 2, from an acceptor: the proposal with this ballot was accepted.
    Accepted {
        /// The version to decide.
        version: ShardMapVersion,
        /// The ballot of the accepted proposal.
        ballot: Ballot,
    },
    /// From an acceptor: the proposal was rejected, since a higher ballot was promised.
    Rejected {
        /// The version to decide.
        version: ShardMapVersion,
        /// The higher ballot that was promised.
        promised: Ballot,
    },
    /// To a learner: a majority has accepted this shard map.
    Decided {
        /// The decided shard map.
        shard_map: VersionedShardMap,
    },
    /// From a planner that has lost its acceptor state: asks another planner for its acceptor state.
    RecoveryRequest {
        /// The incarnation of the sender. Responses to an earlier incarnation are ignored.
        incarnation: u64,
    },
    /// The response to a recovery request. The decided shard map is sent in a separate `Decided` message.
    RecoveryResponse {
        /// The incarnation that sent the request.
        to_incarnation: u64,
        /// The version that the sender knows to be decided.
        decided: ShardMapVersion,
        /// The highest ballot that the sender promised for the version after `decided`.
        promised: Ballot,
        /// The last proposal that the sender accepted for the version after `decided`.
        accepted: Option<AcceptedProposal>,
    },
}

impl ConsensusMessage {
    /// Returns [`GrowthError::InvalidValue`] if the message has values that no correct planner sends.
    pub(super) fn check(&self, from: PlannerId) -> Result<(), GrowthError> {
        if self.is_valid(from) { Ok(()) } else { Err(GrowthError::InvalidValue) }
    }

    fn is_valid(&self, from: PlannerId) -> bool {
        match self {
            ConsensusMessage::Prepare { version, ballot } => {
                is_valid_ballot(ballot) && is_valid_version(*version) && ballot.planner == from.0
            }
            ConsensusMessage::Accept { ballot, shard_map } => {
                is_valid_ballot(ballot) && is_valid_map(shard_map) && ballot.planner == from.0
            }
            ConsensusMessage::Promise { version, ballot, accepted } => {
                is_valid_ballot(ballot)
                    && is_valid_version(*version)
                    && is_valid_accepted(accepted, version.0)
            }
            ConsensusMessage::Accepted { version, ballot } => {
                is_valid_ballot(ballot) && is_valid_version(*version)
            }
            ConsensusMessage::Rejected { version, promised } => {
                is_valid_ballot(promised) && is_valid_version(*version)
            }
            ConsensusMessage::Decided { shard_map } => is_valid_map(shard_map),
            ConsensusMessage::RecoveryRequest { .. } => true,
            ConsensusMessage::RecoveryResponse { decided, promised, accepted, .. } => {
                is_valid_version(*decided)
                    && is_valid_ballot(promised)
                    && is_valid_accepted(accepted, decided.0 + 1)
            }
        }
    }
}

fn is_valid_ballot(ballot: &Ballot) -> bool {
    ballot.round < ROUND_AND_VERSION_LIMIT
}

fn is_valid_version(version: ShardMapVersion) -> bool {
    version.0 < ROUND_AND_VERSION_LIMIT
}

fn is_valid_map(shard_map: &VersionedShardMap) -> bool {
    is_valid_version(shard_map.version) && shard_map.is_valid()
}

/// Whether the accepted proposal, if any, is a valid one for this version.
fn is_valid_accepted(accepted: &Option<AcceptedProposal>, version: u64) -> bool {
    let Some(accepted) = accepted else { return true };
    is_valid_ballot(&accepted.ballot)
        && accepted.shard_map.version.0 == version
        && accepted.shard_map.is_valid()
}
