//! The Paxos proposer of a planner: one proposal for the next version of the shard map.

use std::collections::{BTreeMap, BTreeSet};

use super::message::{AcceptedProposal, Ballot};
use crate::member::PlannerId;
use crate::shard_growth::shard_map::{ShardMapVersion, VersionedShardMap};

/// A proposal in progress.
///
/// Invariant: acceptors are asked to accept the map with the highest ballot that any acceptor of the
/// promising majority had accepted. The proposer's own map is used only if none of them had accepted a map.
#[derive(Clone, Debug)]
pub(super) struct Proposal {
    ballot: Ballot,
    own_map: VersionedShardMap,
    promises: BTreeMap<PlannerId, Option<AcceptedProposal>>,
    /// The map that acceptors are asked to accept; set once a majority has promised.
    requested_map: Option<VersionedShardMap>,
    accepted_by: BTreeSet<PlannerId>,
}

impl Proposal {
    pub(super) fn new(ballot: Ballot, own_map: VersionedShardMap) -> Proposal {
        Proposal {
            ballot,
            own_map,
            promises: BTreeMap::new(),
            requested_map: None,
            accepted_by: BTreeSet::new(),
        }
    }

    pub(super) fn ballot(&self) -> Ballot {
        self.ballot
    }

    pub(super) fn version(&self) -> ShardMapVersion {
        self.own_map.version
    }

    /// Whether a reply with this version and ballot is a reply to this proposal.
    pub(super) fn matches(&self, version: ShardMapVersion, ballot: Ballot) -> bool {
        self.version() == version && self.ballot == ballot
    }

    /// Records a promise. Returns the map to be accepted if this promise completes a majority.
    pub(super) fn on_promise(
        &mut self,
        from: PlannerId,
        accepted: Option<AcceptedProposal>,
        majority: usize,
    ) -> Option<VersionedShardMap> {
        if self.requested_map.is_some() {
            return None;
        }
        self.promises.insert(from, accepted);
        if self.promises.len() < majority {
            return None;
        }
        let highest = self.promises.values().flatten().max_by_key(|accepted| accepted.ballot);
        let requested = highest.map_or(&self.own_map, |accepted| &accepted.shard_map).clone();
        self.requested_map = Some(requested.clone());
        Some(requested)
    }

    /// Records that an acceptor accepted the proposal. Returns the accepted map once a majority has accepted
    /// it.
    pub(super) fn on_accepted(&mut self, from: PlannerId, majority: usize) -> Option<VersionedShardMap> {
        let requested = self.requested_map.clone()?;
        self.accepted_by.insert(from);
        (self.accepted_by.len() >= majority).then_some(requested)
    }

    pub(super) fn entries(&self) -> usize {
        self.promises.len() + self.accepted_by.len()
    }
}
