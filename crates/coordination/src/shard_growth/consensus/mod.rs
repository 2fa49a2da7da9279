//! How planners agree on the shard map: single-decree Paxos for each version, by ballots, with a majority of the
//! *configured* planners.
//!
//! Each planner is proposer, acceptor and learner. The planner that takes itself for the leader proposes; that two do
//! costs time alone. A proposer asks all acceptors for a promise (`Prepare`, `Promise`), then asks them to accept a shard
//! map (`Accept`, `Accepted`), and tells all learners once a majority has accepted it (`Decided`).
//!
//! Invariant: no two shard maps of one version are ever decided. A map is decided once a majority has persisted its
//! acceptance under one ballot. A proposer first hears from a majority, each of which has persisted a promise to accept
//! no lower ballot, and continues with the map of the highest ballot that any of them had accepted. Any two majorities
//! share a planner.
//!
//! This rests on promises that outlast a restart: no message leaves before the state that it speaks of is persisted
//! ([`Consensus::poll_message`] returns none until [`Consensus::poll_snapshot`] was called). A planner that starts without
//! persisted state has forgotten its promises. It votes on nothing until all others have told it their state. Each that
//! is asked abandons the proposal that it has, so that no forgotten vote counts any more, and names the ballot that it
//! promised, below which the recovering planner then accepts nothing: its own forgotten promise was to one of them. It
//! takes over what they accepted, in place of what it forgot. The loss of two disks at once is beyond this, and so is
//! the loss of the disk of the only planner.
//!
//! Versions form one chain: a planner votes on the version after the last one that it knows to be decided, and on no
//! other. A proposer sends the map that its proposal is based on before it asks for promises, so that a majority also
//! persists that one.

mod acceptor;
mod message;
mod proposer;
mod recovery;

use std::collections::{BTreeSet, VecDeque};

pub use acceptor::AcceptorState;
pub use message::{AcceptedProposal, Ballot, ConsensusMessage};

use acceptor::Acceptor;
use proposer::Proposal;
use recovery::{PeerState, RecoveredVotes, Recovery};

use super::message::GrowthError;
use super::shard_map::{ShardMapVersion, VersionedShardMap};
use crate::member::{Incarnation, PlannerId};

/// The number of messages that wait to be sent; further ones are dropped, as the network might.
const MAX_OUTBOUND: usize = 256;

/// One planner's part in the consensus.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: PlannerId,
    incarnation: Incarnation,
    planners: BTreeSet<PlannerId>,
    majority: usize,
    acceptor: Acceptor,
    /// Set while the planner has lost its acceptor state.
    recovery: Option<Recovery>,
    proposal: Option<Proposal>,
    outbound: VecDeque<(PlannerId, ConsensusMessage)>,
    highest_round_seen: u64,
}

impl Consensus {
    /// Starts the consensus at planner `me`, where `planners` are all that are configured, and `persisted` is the state
    /// that it found on its disk.
    pub fn new(
        me: PlannerId,
        incarnation: Incarnation,
        planners: BTreeSet<PlannerId>,
        persisted: Option<AcceptorState>,
    ) -> Consensus {
        let majority = planners.len() / 2 + 1;
        let recovery = if persisted.is_none() { Some(Recovery::default()) } else { None };
        let state = persisted.unwrap_or_default();
        let mut consensus = Consensus {
            me,
            incarnation,
            majority,
            recovery,
            proposal: None,
            outbound: VecDeque::new(),
            highest_round_seen: state.promised.round,
            acceptor: Acceptor::new(state),
            planners,
        };
        consensus.try_to_recover();
        consensus
    }

    /// Replaces the size of a majority, for tests that show why it has to be one.
    pub fn with_majority(self, majority: usize) -> Consensus {
        Consensus { majority, ..self }
    }

    /// The shard map that was decided last.
    pub fn decided(&self) -> &VersionedShardMap {
        &self.acceptor.state.decided
    }

    /// Whether the planner takes part in votes. It does not while it recovers its acceptor state.
    pub fn is_voting(&self) -> bool {
        self.recovery.is_none()
    }

    /// The acceptor's state, which has to be persisted.
    pub fn acceptor_state(&self) -> &AcceptorState {
        &self.acceptor.state
    }

    /// Proposes the version after the decided one; also again, after messages may have been lost. If another map of this
    /// version was accepted before, that one may be decided instead.
    ///
    /// Nothing happens while the planner recovers, or if the map has another version.
    pub fn propose(&mut self, shard_map: VersionedShardMap) {
        if !self.is_voting() || !self.acceptor.is_next_version(shard_map.version) {
            return;
        }
        self.highest_round_seen += 1;
        let ballot =
            Ballot { round: self.highest_round_seen, planner: self.me.0, incarnation: self.incarnation.0 };
        let version = shard_map.version;
        self.proposal = Some(Proposal::new(ballot, shard_map));
        self.send_to_all(&ConsensusMessage::Decided { shard_map: self.decided().clone() });
        self.send_to_all(&ConsensusMessage::Prepare { version, ballot });
    }

    /// Sends a planner the last decision, or, while this one recovers, a request for its state.
    pub fn synchronize(&mut self, planner: PlannerId) {
        if planner == self.me {
            return;
        }
        if self.is_voting() {
            self.send_decided(planner);
        } else {
            let incarnation = self.incarnation.0;
            self.send(planner, ConsensusMessage::RecoveryRequest { incarnation });
        }
    }

    /// Takes a message from another planner.
    ///
    /// # Errors
    /// [`GrowthError::UnexpectedSender`] if the sender is not a configured planner; [`GrowthError::InvalidValue`] if no
    /// correct planner sends the message. Nothing of it counts then.
    pub fn on_message(&mut self, from: PlannerId, message: ConsensusMessage) -> Result<(), GrowthError> {
        if !self.planners.contains(&from) {
            return Err(GrowthError::UnexpectedSender);
        }
        message.check(from)?;
        self.handle(from, message);
        Ok(())
    }

    /// The next message to send, and to whom; none while the state it rests on is not persisted.
    pub fn poll_message(&mut self) -> Option<(PlannerId, ConsensusMessage)> {
        if self.needs_snapshot() { None } else { self.outbound.pop_front() }
    }

    /// Whether messages wait for the state to be persisted.
    pub fn needs_snapshot(&self) -> bool {
        self.acceptor.needs_snapshot
    }

    /// The state to persist, if it has changed since the last call.
    ///
    /// There is none before a recovery is complete: after a restart, the planner would pass for one that remembers its
    /// votes.
    pub fn poll_snapshot(&mut self) -> Option<&AcceptorState> {
        let needs_snapshot = std::mem::take(&mut self.acceptor.needs_snapshot);
        needs_snapshot.then_some(&self.acceptor.state)
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        let recovery = self.recovery.as_ref().map_or(0, Recovery::entries);
        let proposal = self.proposal.as_ref().map_or(0, Proposal::entries);
        self.outbound.len() + recovery + proposal
    }

    fn handle(&mut self, from: PlannerId, message: ConsensusMessage) {
        match message {
            ConsensusMessage::Prepare { version, ballot } => self.on_prepare(from, version, ballot),
            ConsensusMessage::Promise { version, ballot, accepted } => {
                self.on_promise(from, version, ballot, accepted);
            }
            ConsensusMessage::Accept { ballot, shard_map } => self.on_accept(from, ballot, shard_map),
            ConsensusMessage::Accepted { version, ballot } => self.on_accepted(from, version, ballot),
            ConsensusMessage::Rejected { version, promised } => self.on_rejected(version, promised),
            ConsensusMessage::Decided { shard_map } => {
                self.learn(shard_map);
                self.try_to_recover();
            }
            ConsensusMessage::RecoveryRequest { incarnation } => self.on_recovery_request(from, incarnation),
            ConsensusMessage::RecoveryResponse { to_incarnation, decided, promised, accepted } => {
                if to_incarnation == self.incarnation.0 {
                    self.on_recovery_response(from, PeerState { decided, promised, accepted });
                }
            }
        }
    }

    fn on_prepare(&mut self, from: PlannerId, version: ShardMapVersion, ballot: Ballot) {
        self.observe_round(ballot);
        if self.may_vote_on(from, version) {
            let answer = self.acceptor.prepare(version, ballot);
            self.send(from, answer);
        }
    }

    fn on_promise(
        &mut self,
        from: PlannerId,
        version: ShardMapVersion,
        ballot: Ballot,
        accepted: Option<AcceptedProposal>,
    ) {
        let majority = self.majority;
        let Some(proposal) = self.proposal_matching(version, ballot) else { return };
        if let Some(shard_map) = proposal.on_promise(from, accepted, majority) {
            self.send_to_all(&ConsensusMessage::Accept { ballot, shard_map });
        }
    }

    fn on_accept(&mut self, from: PlannerId, ballot: Ballot, shard_map: VersionedShardMap) {
        self.observe_round(ballot);
        if self.may_vote_on(from, shard_map.version) {
            let answer = self.acceptor.accept(ballot, shard_map);
            self.send(from, answer);
        }
    }

    fn on_accepted(&mut self, from: PlannerId, version: ShardMapVersion, ballot: Ballot) {
        let majority = self.majority;
        let Some(proposal) = self.proposal_matching(version, ballot) else { return };
        let Some(shard_map) = proposal.on_accepted(from, majority) else { return };
        self.learn(shard_map.clone());
        let others: Vec<_> = self.planners.iter().copied().filter(|planner| *planner != self.me).collect();
        for other in others {
            self.send(other, ConsensusMessage::Decided { shard_map: shard_map.clone() });
        }
    }

    fn on_rejected(&mut self, version: ShardMapVersion, promised: Ballot) {
        // The next proposal is above the promised ballot; the leader decides when to make it.
        self.observe_round(promised);
        let is_superseded =
            |proposal: &mut Proposal| proposal.version() == version && proposal.ballot() < promised;
        self.proposal.take_if(is_superseded);
    }

    fn on_recovery_request(&mut self, from: PlannerId, incarnation: u64) {
        // The sender has forgotten its votes, so those that this proposal has do not count any more.
        self.proposal = None;
        self.send_decided(from);
        let AcceptorState { decided, promised, accepted } = self.acceptor.state.clone();
        let response = ConsensusMessage::RecoveryResponse {
            to_incarnation: incarnation,
            decided: decided.version,
            promised,
            accepted,
        };
        self.send(from, response);
    }

    fn on_recovery_response(&mut self, from: PlannerId, peer: PeerState) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_response(from, peer);
            self.try_to_recover();
        }
    }

    fn try_to_recover(&mut self) {
        let peer_count = self.planners.len().saturating_sub(1);
        let Some(recovery) = &self.recovery else { return };
        let Some(votes) = recovery.votes(peer_count, self.acceptor.decided_version()) else { return };
        let RecoveredVotes { promised, accepted } = votes;
        self.recovery = None;
        self.acceptor.restore(promised, accepted);
        self.observe_round(promised);
    }

    /// Whether the acceptor may vote on this version. If it knows the version to be decided, it tells the sender.
    fn may_vote_on(&mut self, from: PlannerId, version: ShardMapVersion) -> bool {
        if self.recovery.is_some() {
            return false;
        }
        if version <= self.acceptor.decided_version() {
            self.send_decided(from);
            return false;
        }
        self.acceptor.is_next_version(version)
    }

    fn learn(&mut self, decided: VersionedShardMap) {
        if decided.version <= self.acceptor.decided_version() {
            return;
        }
        self.proposal.take_if(|proposal| proposal.version() <= decided.version);
        self.acceptor.learn(decided);
        self.acceptor.needs_snapshot = self.recovery.is_none();
    }

    fn proposal_matching(&mut self, version: ShardMapVersion, ballot: Ballot) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| proposal.matches(version, ballot))
    }

    fn observe_round(&mut self, ballot: Ballot) {
        self.highest_round_seen = self.highest_round_seen.max(ballot.round);
    }

    fn send_decided(&mut self, to: PlannerId) {
        let shard_map = self.decided().clone();
        self.send(to, ConsensusMessage::Decided { shard_map });
    }

    fn send_to_all(&mut self, message: &ConsensusMessage) {
        let planners: Vec<_> = self.planners.iter().copied().collect();
        for planner in planners {
            self.send(planner, message.clone());
        }
    }

    /// Handles a message to this planner at once; one to another planner waits until the state is persisted.
    fn send(&mut self, to: PlannerId, message: ConsensusMessage) {
        if to == self.me {
            // An invalid message of its own is ignored, as any other planner ignores it.
            let _ = self.on_message(to, message);
        } else if self.outbound.len() < MAX_OUTBOUND {
            self.outbound.push_back((to, message));
        }
    }
}
