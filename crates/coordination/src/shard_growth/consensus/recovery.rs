//! Recovers the votes of a planner that has lost its acceptor state, from the acceptor states of all other
//! planners.

use std::collections::BTreeMap;

use super::message::{AcceptedProposal, Ballot};
use crate::member::PlannerId;
use crate::shard_growth::shard_map::ShardMapVersion;

/// The acceptor state of another planner.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// The last version that the peer knows to be decided.
    pub(super) decided: ShardMapVersion,
    /// The highest ballot that the peer promised for the version after `decided`.
    pub(super) promised: Ballot,
    /// The last proposal that the peer accepted for the version after `decided`.
    pub(super) accepted: Option<AcceptedProposal>,
}

/// The votes that a recovering planner takes over from its peers.
#[derive(Debug)]
pub(super) struct RecoveredVotes {
    pub(super) promised: Ballot,
    pub(super) accepted: Option<AcceptedProposal>,
}

/// The recovery responses that a recovering planner has received.
#[derive(Clone, Debug, Default)]
pub(super) struct Recovery {
    peers: BTreeMap<PlannerId, PeerState>,
}

impl Recovery {
    pub(super) fn on_response(&mut self, from: PlannerId, peer: PeerState) {
        self.peers.insert(from, peer);
    }

    /// The votes to take over; none before all `peer_count` other planners have responded and the planner has
    /// learned the last decision that any of them knows.
    ///
    /// The planner also takes over the proposal that its peers accepted last, which its earlier incarnation
    /// may have accepted. Without this, the later loss of another planner's disk could lose a decision that
    /// only these two planners had accepted.
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
