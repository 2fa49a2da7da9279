//! The messages of the consensus, and what makes one valid. The order of variants and fields is the wire format.

use serde::{Deserialize, Serialize};

use crate::member::PlannerId;
use crate::shard_growth::message::GrowthError;
use crate::shard_growth::shard_map::{ShardMapVersion, VersionedShardMap};

/// Rounds and versions from here on are invalid: a made-up one near the end of the range would leave none above it.
const NUMBER_LIMIT: u64 = 1 << 48;

/// The number of an attempt to decide a version: a higher ballot supersedes lower ones.
///
/// No two planners have the same ballot, nor two incarnations of one planner, which may have lost what it persisted of
/// its earlier attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The proposer's round; compared first.
    pub round: u64,
    /// The proposer.
    pub planner: u8,
    /// The proposer's incarnation.
    pub incarnation: u64,
}

/// A shard map that an acceptor has accepted, and under which ballot.
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
    /// Phase 1, from a proposer: promise to accept no lower ballot for this version.
    Prepare {
        /// The version to decide.
        version: ShardMapVersion,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1, from an acceptor: the promise, with what it accepted before.
    Promise {
        /// The version to decide.
        version: ShardMapVersion,
        /// The ballot that was promised.
        ballot: Ballot,
        /// What the acceptor accepted last for this version.
        accepted: Option<AcceptedProposal>,
    },
    /// Phase 2, from a proposer: accept this shard map, whose version it is.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed shard map.
        shard_map: VersionedShardMap,
    },
    /// Phase 2, from an acceptor: the shard map was accepted under this ballot.
    Accepted {
        /// The version to decide.
        version: ShardMapVersion,
        /// The ballot.
        ballot: Ballot,
    },
    /// From an acceptor: a higher ballot was promised.
    Rejected {
        /// The version to decide.
        version: ShardMapVersion,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// To a learner: a majority has accepted this shard map.
    Decided {
        /// The decided shard map.
        shard_map: VersionedShardMap,
    },
    /// From a planner that has lost its acceptor state: asks for the state of the others.
    RecoveryRequest {
        /// The incarnation of the sender. Responses to an earlier incarnation are void.
        incarnation: u64,
    },
    /// The response to a recovery request. The decided shard map itself is sent in a message of its own.
    RecoveryResponse {
        /// The incarnation that asked.
        to_incarnation: u64,
        /// The version that the sender knows to be decided.
        decided: ShardMapVersion,
        /// The ballot that the sender promised for the version after that.
        promised: Ballot,
        /// What the sender accepted for the version after that.
        accepted: Option<AcceptedProposal>,
    },
}

impl ConsensusMessage {
    /// Checks values that no correct planner sends.
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
    ballot.round < NUMBER_LIMIT
}

fn is_valid_version(version: ShardMapVersion) -> bool {
    version.0 < NUMBER_LIMIT
}

fn is_valid_map(shard_map: &VersionedShardMap) -> bool {
    is_valid_version(shard_map.version) && shard_map.is_valid()
}

/// Whether what was accepted, if anything, can have been accepted for this version.
fn is_valid_accepted(accepted: &Option<AcceptedProposal>, version: u64) -> bool {
    let Some(accepted) = accepted else { return true };
    is_valid_ballot(&accepted.ballot)
        && accepted.shard_map.version.0 == version
        && accepted.shard_map.is_valid()
}
