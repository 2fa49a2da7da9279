//! The failure detector of a member: which other members are alive.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::error::MembershipError;
use super::heartbeat_schedule::HeartbeatSchedule;
use super::own_incarnation::OwnIncarnation;
use super::peer::PeerState;
use super::{MAX_FORWARDERS, MAX_PLANNERS, MembershipMessage};
use crate::component::{Component, Event, FAILURE_TIMEOUT, HEARTBEAT_INTERVAL};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};

/// A gap of at least this length between two calls of the host counts as time in which this member was
/// stalled.
const STALL_THRESHOLD: Span = Span::from_millis(1000);
/// The interval at which peers are checked for silence.
const SCAN_INTERVAL: Span = Span::from_millis(100);
/// The delay of the next heartbeat after another message to the same member, in heartbeat intervals. It is
/// longer than one interval: a member that answers reports, which arrive once an interval, would otherwise
/// send a heartbeat just before each answer.
const DELAY_AFTER_MESSAGE: f64 = 1.25;
/// The multiplier of the hash that spreads first heartbeats over an interval (2^64 divided by the golden
/// ratio).
const SPREAD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// The maximum number of events that wait to be polled. Further events are dropped, except warnings.
const MAX_EVENTS: usize = 64;
const MICROS_PER_MILLI: u64 = 1000;

/// How accepting a message changed the set of members that are alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The sender was alive already.
    AlreadyAlive,
    /// The sender is new, or has returned after it was considered failed.
    Joined,
}

/// Tracks which members are alive, and whether this member must continue under a new incarnation.
pub struct Membership {
    me: Member,
    incarnation: OwnIncarnation,
    /// The configured planners other than this member.
    planners: BTreeSet<PlannerId>,
    peers: BTreeMap<Member, PeerState>,
    heartbeats: HeartbeatSchedule,
    /// The members that are still to be notified that they were considered failed, with the incarnation
    /// concerned.
    failure_notices: BTreeMap<Member, Incarnation>,
    /// The time of the host's last call.
    last_call: Time,
    /// The set of live members that the host was last given.
    reported_alive: Vec<Member>,
    last_scan: Time,
    /// Whether the set of live members must be recomputed before the scan interval ends.
    needs_scan: bool,
    events: VecDeque<Event>,
}

/// The delay of the first heartbeat to a member. It spreads first heartbeats over an interval, and is always
/// the same for the same member.
fn heartbeat_offset(member: Member) -> Span {
    let id = match member {
        Member::Planner(id) => u64::from(id.0),
        Member::Forwarder(id) => id.0,
    };
    Span(id.wrapping_mul(SPREAD_MULTIPLIER) % HEARTBEAT_INTERVAL.0)
}

impl Membership {
    /// Creates the failure detector of the member `me`, which knows no peers yet.
    pub fn new(me: Member, incarnation: Incarnation, now: Time) -> Membership {
        Membership {
            me,
            incarnation: OwnIncarnation::new(incarnation),
            planners: BTreeSet::new(),
            peers: BTreeMap::new(),
            heartbeats: HeartbeatSchedule::default(),
            failure_notices: BTreeMap::new(),
            last_call: now,
            reported_alive: Vec::new(),
            last_scan: now,
            needs_scan: false,
            events: VecDeque::new(),
        }
    }

    /// Sets the configured planners. They receive heartbeats even if they are not alive.
    pub fn set_planners(&mut self, now: Time, planners: impl IntoIterator<Item = PlannerId>) {
        let planners: BTreeSet<_> = planners
            .into_iter()
            .filter(|id| usize::from(id.0) < MAX_PLANNERS && Member::Planner(*id) != self.me)
            .collect();
        for id in self.planners.difference(&planners) {
            self.heartbeats.remove(Member::Planner(*id));
        }
        for id in &planners {
            let member = Member::Planner(*id);
            if !self.heartbeats.contains(member) {
                self.heartbeats.set(member, now);
            }
        }
        self.planners = planners;
    }

    /// Decides by the sender of a message whether the message is to be handled.
    ///
    /// # Errors
    /// Returns the reason if the message must be ignored.
    pub fn accept(&mut self, now: Time, from: Sender) -> Result<Acceptance, MembershipError> {
        self.advance(now);
        if from.member == self.me {
            return Err(MembershipError::OwnName);
        }
        let Some(peer) = self.peers.get_mut(&from.member) else {
            return self.accept_new(now, from);
        };
        let was_alive = peer.is_alive(now);
        let accepted = peer.accept(now, from);
        if was_alive && !peer.is_alive(now) {
            self.needs_scan = true;
        }
        if peer.is_declared_failed() && matches!(self.me, Member::Planner(_)) {
            self.failure_notices.insert(from.member, from.incarnation);
        }
        accepted?;
        if was_alive {
            return Ok(Acceptance::AlreadyAlive);
        }
        self.on_joined(now, from.member, "is back");
        Ok(Acceptance::Joined)
    }

    fn accept_new(&mut self, now: Time, from: Sender) -> Result<Acceptance, MembershipError> {
        self.make_room(now, from.member)?;
        self.peers.insert(from.member, PeerState::new(now, from));
        self.on_joined(now, from.member, "has joined");
        Ok(Acceptance::Joined)
    }

    fn on_joined(&mut self, now: Time, member: Member, change: &str) {
        self.needs_scan = true;
        self.push_event("member_joined", format!("{member} {change}"));
        self.start_heartbeats(now, member);
    }

    /// Returns the notice to send in reply to a message that was ignored because of its incarnation, if a
    /// notice is due. The notice must be sent to the address that the message came from, since the other
    /// process with the same identity has another address.
    pub fn superseded_notice(&mut self, now: Time, from: Sender) -> Option<MembershipMessage> {
        let Member::Planner(_) = self.me else { return None };
        let peer = self.peers.get_mut(&from.member)?;
        let other_ended = !peer.is_alive(now);
        let by = peer.take_superseded_notice(now, from.incarnation)?;
        match from.member {
            Member::Forwarder(_) if !other_ended => None,
            Member::Planner(_) | Member::Forwarder(_) => {
                Some(MembershipMessage::Superseded { incarnation: from.incarnation, by })
            }
        }
    }

    /// The lowest incarnation under which this member may continue after its current one.
    pub fn min_next_incarnation(&self) -> Incarnation {
        self.incarnation.min_next()
    }

    /// The other members that are alive, in order.
    pub fn alive(&self, now: Time) -> Vec<Member> {
        // The next input accounts for a stall of this member. Until then the stall is not counted as silence
        // of others.
        let now = if now - self.last_call >= STALL_THRESHOLD { self.last_call } else { now };
        self.peers.iter().filter(|(_, peer)| peer.is_alive(now)).map(|(member, _)| *member).collect()
    }

    /// Returns the other members that are alive, if they have changed since the last time that they were
    /// returned.
    pub fn poll_change(&mut self, now: Time) -> Option<Vec<Member>> {
        self.advance(now);
        // Hosts poll after each message, and a scan of thousands of peers costs more than handling the
        // message.
        if !self.needs_scan && now - self.last_scan < SCAN_INTERVAL {
            return None;
        }
        self.last_scan = now;
        self.needs_scan = false;
        let alive = self.alive(now);
        if alive == self.reported_alive {
            return None;
        }
        let before = std::mem::replace(&mut self.reported_alive, alive.clone());
        for member in before {
            if alive.binary_search(&member).is_err() {
                let silence_ms = FAILURE_TIMEOUT.0 / MICROS_PER_MILLI;
                self.push_event(
                    "member_failed",
                    format!("{member} has been silent for {silence_ms} ms and is considered failed"),
                );
            }
        }
        Some(alive)
    }

    /// Records that a message of any kind was sent to a member, in place of a heartbeat.
    pub fn on_message_sent(&mut self, now: Time, to: Member) {
        if self.heartbeats.contains(to) {
            self.heartbeats.set(to, now + HEARTBEAT_INTERVAL.scaled(DELAY_AFTER_MESSAGE));
        }
    }

    /// Whether this member must continue under a greater incarnation, because it was stalled, considered
    /// failed or superseded. The host must then create the member's components anew.
    pub fn needs_new_incarnation(&self) -> bool {
        self.incarnation.needs_renewal()
    }

    /// Continues under a new incarnation, and keeps the state of other members.
    pub fn renew(&mut self, incarnation: Incarnation) {
        self.incarnation.renew(incarnation);
    }

    /// The incarnation of this member.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.current()
    }

    /// Advances the time. If this member was stalled, that time is not counted as silence of others.
    fn advance(&mut self, now: Time) {
        let gap = now - self.last_call;
        if gap >= STALL_THRESHOLD {
            for peer in self.peers.values_mut() {
                peer.extend_deadline(gap);
            }
        }
        if gap >= FAILURE_TIMEOUT && !self.incarnation.needs_renewal() {
            let stall_ms = gap.0 / MICROS_PER_MILLI;
            let text = format!(
                "this member was stalled for {stall_ms} ms and continues under a new incarnation; if this repeats, \
                 check its machine for overload and suspension"
            );
            self.incarnation.invalidate();
            self.push_warning("process_stalled", text);
        }
        self.last_call = self.last_call.max(now);
    }

    /// Ensures that there is room for one more member of this kind: if necessary, evicts the member that
    /// failed longest ago.
    fn make_room(&mut self, now: Time, member: Member) -> Result<(), MembershipError> {
        let first_forwarder = Member::Forwarder(ForwarderId(0));
        let planners = self.peers.range(..first_forwarder);
        let planner_count = planners.clone().count();
        let (same_kind, count, capacity) = match member {
            Member::Planner(_) => (planners, planner_count, MAX_PLANNERS),
            Member::Forwarder(_) => {
                let forwarder_count = self.peers.len() - planner_count;
                (self.peers.range(first_forwarder..), forwarder_count, MAX_FORWARDERS)
            }
        };
        if count < capacity {
            return Ok(());
        }
        let failed = same_kind.filter(|(_, peer)| !peer.is_alive(now));
        let oldest = failed.min_by_key(|(member, peer)| (peer.last_heard(), **member));
        let oldest = oldest.map(|(member, _)| *member).ok_or(MembershipError::CapacityExceeded)?;
        self.peers.remove(&oldest);
        self.failure_notices.remove(&oldest);
        self.incarnation.remove_declaration(oldest);
        Ok(())
    }

    /// Starts heartbeats to a member that has joined. Forwarders send no heartbeats to other forwarders.
    fn start_heartbeats(&mut self, now: Time, member: Member) {
        let both_forwarders = matches!((self.me, member), (Member::Forwarder(_), Member::Forwarder(_)));
        if !both_forwarders && !self.heartbeats.contains(member) {
            self.heartbeats.set(member, now + heartbeat_offset(member));
        }
    }

    fn push_event(&mut self, name: &'static str, message: String) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(Event { name, message, is_warning: false });
        }
    }

    fn push_warning(&mut self, name: &'static str, message: String) {
        self.events.push_back(Event { name, message, is_warning: true });
    }

    fn on_declared_failed(&mut self, now: Time, by: Member, incarnation: Incarnation) {
        if self.incarnation.is_valid(incarnation) && self.accepts_failure_declaration(now, by) {
            self.incarnation.invalidate();
            let text = format!(
                "{by} considered this member failed, so this member continues under a new incarnation; if this repeats, \
                 check the network between the two"
            );
            self.push_warning("member_rejoined", text);
        }
    }

    /// Records that a planner has declared this member failed. Returns whether this member must accept the
    /// declaration. For a forwarder one planner is enough, because a new incarnation costs a forwarder
    /// little. A planner accepts it once more than half of the other planners that are alive have declared
    /// it.
    fn accepts_failure_declaration(&mut self, now: Time, by: Member) -> bool {
        if let Member::Forwarder(_) = self.me {
            return true;
        }
        let alive = self.alive(now);
        let planners = alive.iter().filter(|member| matches!(member, Member::Planner(_))).count();
        self.incarnation.record_failure_declaration(now, by, planners)
    }

    fn on_superseded(&mut self, now: Time, from: Member, incarnation: Incarnation, by: Incarnation) {
        if self.incarnation.on_superseded(now, incarnation, by) {
            let text = format!(
                "{from} knows a greater incarnation under this member's name, so this member continues under a new \
                 one. If this repeats, two processes have one name or number: stop one of them"
            );
            self.push_warning("incarnation_superseded", text);
        }
    }

    fn receives_heartbeats(&self, now: Time, member: Member) -> bool {
        let is_configured = matches!(member, Member::Planner(id) if self.planners.contains(&id));
        is_configured || self.peers.get(&member).is_some_and(|peer| peer.is_alive(now))
    }
}

impl Component for Membership {
    type Message = MembershipMessage;
    type Error = MembershipError;

    fn on_message(
        &mut self,
        now: Time,
        from: Sender,
        message: MembershipMessage,
    ) -> Result<(), MembershipError> {
        self.advance(now);
        let is_planner = matches!(from.member, Member::Planner(_));
        match message {
            MembershipMessage::Heartbeat => {}
            MembershipMessage::DeclaredFailed { .. } | MembershipMessage::Superseded { .. }
                if !is_planner =>
            {
                return Err(MembershipError::UnauthorizedSender);
            }
            MembershipMessage::DeclaredFailed { incarnation } => {
                self.on_declared_failed(now, from.member, incarnation);
            }
            MembershipMessage::Superseded { incarnation, by } => {
                self.on_superseded(now, from.member, incarnation, by);
            }
        }
        Ok(())
    }

    /// Does nothing, because this component is the source of membership changes.
    fn on_membership_change(&mut self, _: Time, _: &[Member]) {}

    fn poll_message(&mut self, now: Time) -> Option<(Member, MembershipMessage)> {
        self.advance(now);
        if let Some((member, incarnation)) = self.failure_notices.pop_first() {
            return Some((member, MembershipMessage::DeclaredFailed { incarnation }));
        }
        while let Some(member) = self.heartbeats.first_due(now) {
            if self.receives_heartbeats(now, member) {
                self.heartbeats.set(member, now + HEARTBEAT_INTERVAL);
                return Some((member, MembershipMessage::Heartbeat));
            }
            self.heartbeats.remove(member);
        }
        None
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        // The host polls often enough to find silent members soon, and before the gap between its calls
        // counts as a stall.
        let next_scan = now + Span(HEARTBEAT_INTERVAL.0 / 2);
        let next_heartbeat = self.heartbeats.next_time();
        Some(next_heartbeat.map_or(next_scan, |at| at.min(next_scan)))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        self.peers.len()
            + self.heartbeats.len()
            + self.failure_notices.len()
            + self.incarnation.entries()
            + self.events.len()
    }
}
