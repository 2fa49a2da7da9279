//! Consensus of the planners on the shard map: single-decree Paxos for each version, by ballots, with a
//! majority of the *configured* planners.
//!
//! Each planner is proposer, acceptor and learner. The planner that considers itself the leader makes
//! proposals; two planners that both do so delay a decision, but cannot cause conflicting ones. A proposer
//! asks all acceptors for a promise (`Prepare`, `Promise`), then asks them to accept a shard map (`Accept`,
//! `Accepted`), and sends the map to all learners once a majority has accepted it (`Decided`).
//!
//! Invariant: at most one shard map is decided for each version. A map is decided once a majority has
//! persisted its acceptance under one ballot. Before a proposer asks for acceptance, a majority has persisted
//! promises to accept no lower ballot. The proposer then continues with the map of the highest ballot that
//! any acceptor of this majority had accepted. Any two majorities have a planner in common, so a decided map
//! is always found.
//!
//! The invariant requires that promises survive a restart, so no message is sent before the state that it
//! reports is persisted ([`Consensus::poll_message`] returns none until [`Consensus::poll_snapshot`] was
//! called). A planner that starts without persisted state has lost its promises. It sends all other planners
//! a recovery request and does not vote until all of them have responded. A planner that receives a recovery
//! request abandons its own proposal in progress, so that lost votes no longer count, and responds with the
//! ballot that it promised and the proposal that it accepted. The recovering planner accepts no ballot below
//! the highest of these ballots, since its own lost promise was made to one of these planners. It replaces
//! its lost accepted proposal by the one with the highest ballot among the responses. Recovery is impossible
//! if the disks of two planners are lost at once, or the disk of the only planner.
//!
//! Versions form one chain: a planner votes only on the version after the last one that it knows to be
//! decided. Before a proposer asks for promises, it sends the decided map that its proposal is based on, so
//! that a majority persists this map too.

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

/// The maximum number of messages queued for sending. Further messages are dropped; the protocol tolerates
/// the loss of messages.
const MAX_OUTBOUND_MESSAGES: usize = 256;

/// The proposer, acceptor and learner of one planner.
#[derive(Clone, Debug)]
pub struct Consensus {
    me: PlannerId,
    incarnation: Incarnation,
    planners: BTreeSet<PlannerId>,
    majority: usize,
    acceptor: Acceptor,
    /// The recovery in progress; none unless the planner has lost its acceptor state.
    recovery: Option<Recovery>,
    proposal: Option<Proposal>,
    outbound: VecDeque<(PlannerId, ConsensusMessage)>,
    highest_round_seen: u64,
}

impl Consensus {
    /// Starts the consensus at planner `me`. `planners` are all configured planners, and `persisted` is the
    /// acceptor state from the planner's disk; without one, the planner first recovers its state from the
    /// others.
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

    /// Replaces the number of votes that decide, for tests which show that fewer votes than a majority are
    /// unsafe.
    pub fn with_majority(self, majority: usize) -> Consensus {
        Consensus { majority, ..self }
    }

    /// The last decided shard map that this planner has learned.
    pub fn decided(&self) -> &VersionedShardMap {
        &self.acceptor.state.decided
    }

    /// Whether the planner votes; false while it recovers its acceptor state.
    pub fn is_voting(&self) -> bool {
        self.recovery.is_none()
    }

    /// The acceptor's state, which the caller has to persist.
    pub fn acceptor_state(&self) -> &AcceptorState {
        &self.acceptor.state
    }

    /// Proposes a shard map of the version after the last decided one. A call with the same map repeats the
    /// proposal, in case messages were lost. If an acceptor accepted another map of this version before, the
    /// other map may be decided.
    ///
    /// Does nothing while the planner recovers its state, or if the map has another version.
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

    /// Sends another planner the last decision or, while this planner recovers its state, a recovery request.
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

    /// Handles a message from another planner.
    ///
    /// # Errors
    /// [`GrowthError::UnexpectedSender`] if the sender is not a configured planner;
    /// [`GrowthError::InvalidValue`] if no correct planner sends the message. The message has no effect then.
    pub fn on_message(&mut self, from: PlannerId, message: ConsensusMessage) -> Result<(), GrowthError> {
        if !self.planners.contains(&from) {
            return Err(GrowthError::UnexpectedSender);
        }
        message.check(from)?;
        self.handle(from, message);
        Ok(())
    }

    /// The next message to send and its receiver; none while the state that the message reports is not
    /// persisted.
    pub fn poll_message(&mut self) -> Option<(PlannerId, ConsensusMessage)> {
        if self.needs_snapshot() { None } else { self.outbound.pop_front() }
    }

    /// Whether the state has to be persisted before messages are sent.
    pub fn needs_snapshot(&self) -> bool {
        self.acceptor.needs_snapshot
    }

    /// The acceptor's state to persist, if the state has changed since the last call.
    ///
    /// None before a recovery is complete: if an incomplete state was persisted, the planner would vote after
    /// a restart as if it had not lost its votes.
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
            let reply = self.acceptor.prepare(version, ballot);
            self.send(from, reply);
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
            let reply = self.acceptor.accept(ballot, shard_map);
            self.send(from, reply);
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
        // The next proposal of this planner gets a ballot above the promised one. The leader decides when to
        // propose.
        self.observe_round(promised);
        let is_superseded =
            |proposal: &mut Proposal| proposal.version() == version && proposal.ballot() < promised;
        self.proposal.take_if(is_superseded);
    }

    fn on_recovery_request(&mut self, from: PlannerId, incarnation: u64) {
        // The sender has lost its votes, so the votes that the proposal in progress received no longer count.
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

    /// Whether the acceptor may vote on this version. If the version is decided already, the last decision is
    /// sent to the sender.
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

    /// Handles a message to this planner itself at once. Queues a message to another planner until the state
    /// is persisted.
    fn send(&mut self, to: PlannerId, message: ConsensusMessage) {
        if to == self.me {
            // If this planner's own message is invalid, it is ignored, as the other planners ignore it.
            let _ = self.on_message(to, message);
        } else if self.outbound.len() < MAX_OUTBOUND_MESSAGES {
            self.outbound.push_back((to, message));
        }
    }
}
