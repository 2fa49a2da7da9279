//! How a planner that has lost its acceptor state finds out what it may have promised and accepted.

use std::collections::BTreeMap;

use super::message::{AcceptedProposal, Ballot};
use crate::member::PlannerId;
use crate::shard_growth::shard_map::ShardMapVersion;

/// The state of another planner's acceptor.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// The version that the peer knows to be decided.
    pub(super) decided: ShardMapVersion,
    /// What it promised for the version after that.
    pub(super) promised: Ballot,
    /// What it accepted for the version after that.
    pub(super) accepted: Option<AcceptedProposal>,
}

/// The votes that a recovering planner takes over.
#[derive(Debug)]
pub(super) struct RecoveredVotes {
    pub(super) promised: Ballot,
    pub(super) accepted: Option<AcceptedProposal>,
}

/// The responses that a recovering planner has received.
#[derive(Clone, Debug, Default)]
pub(super) struct Recovery {
    peers: BTreeMap<PlannerId, PeerState>,
}

impl Recovery {
    pub(super) fn on_response(&mut self, from: PlannerId, peer: PeerState) {
        self.peers.insert(from, peer);
    }

    /// The votes to take over, once all `peer_count` other planners have responded and the last decision that any of
    /// them knows was learned.
    ///
    /// The planner stands in for its earlier incarnation as far as another planner knows what that accepted. Without
    /// this, the loss of a second disk could lose a decision that was known to these two planners alone.
    pub(super) fn votes(&self, peer_count: usize, decided: ShardMapVersion) -> Option<RecoveredVotes> {
        if self.peers.len() < peer_count || self.peers.values().any(|peer| peer.decided > decided) {
            return None;
        }
        let current: Vec<_> = self.peers.values().filter(|peer| peer.decided == decided).collect();
        let promised = current.iter().map(|peer| peer.promised).max().unwrap_or_default();
        let accepted =
            current.iter().filter_map(|peer| peer.accepted.clone()).max_by_key(|accepted| accepted.ballot);
        Some(RecoveredVotes { promised, accepted })
    }

    pub(super) fn entries(&self) -> usize {
        self.peers.len()
    }
}
