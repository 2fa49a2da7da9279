//! Messages between members, over a network that loses, delays and corrupts them.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use granitelb_coordination::endpoint_health::{HealthMessage, HealthStatus};
use granitelb_coordination::message::{self, Message};
use granitelb_coordination::{Member, Sender};
use rand::RngExt;

use super::member::OutgoingMessage;
use super::{CLOCK_TICK, EventKind, MemberIndex, Simulation};

/// The shortest delay of a message, in milliseconds.
const MIN_DELAY_MS: u64 = 1;
/// The exclusive upper bound of a message's delay, in milliseconds.
const MAX_DELAY_MS: u64 = 20;
/// The number of failed attempts that a byzantine forwarder reports for each cache.
const BYZANTINE_FAILURES: f64 = 1000.0;
const BITS_PER_BYTE: usize = 8;

impl Simulation<'_> {
    /// Handles a message that arrives at a member. Suspended and killed members receive nothing.
    pub(super) fn on_message_arrived(&mut self, to: MemberIndex, sealed: &[u8]) {
        let Ok((sender, message)) = message::open(sealed, &self.secrets) else {
            self.result.rejected_messages += 1;
            return;
        };
        if self.suspended_until(to).is_some() || !self.is_alive(to) {
            return;
        }
        match to {
            MemberIndex::Planner(planner) => {
                self.planners[planner].on_message(self.now, sender, message);
            }
            MemberIndex::Forwarder(forwarder) => self.on_forwarder_message(forwarder, sender, message),
        }
        self.poll_member(to);
    }

    fn on_forwarder_message(&mut self, forwarder: usize, sender: Sender, message: Message) {
        let state = &mut self.forwarders[forwarder];
        if state.member.on_message(self.now, sender, message) {
            let update = state.member.health.control_plane_update(self.now);
            state.balancer.on_control_plane_update(self.now, &update);
            self.poll_balancer(forwarder);
        }
    }

    /// Sends all messages of a member and schedules its next poll.
    pub(super) fn poll_member(&mut self, member: MemberIndex) {
        if !self.is_alive(member) || self.now >= self.end() {
            return;
        }
        if let Some(until) = self.suspended_until(member) {
            self.schedule(until - self.now, EventKind::MemberPoll { member });
            return;
        }
        while let Some(mut outgoing) = self.poll_message(member) {
            if self.is_byzantine(member) {
                self.falsify(&mut outgoing.message);
            }
            self.send(&outgoing);
        }
        let wake = match member {
            MemberIndex::Planner(planner) => self.planners[planner].reschedule(self.now),
            MemberIndex::Forwarder(forwarder) => self.forwarders[forwarder].member.reschedule(self.now),
        };
        if let Some(wake) = wake {
            let wait = (wake - self.now).max(CLOCK_TICK);
            self.schedule(wait, EventKind::MemberPoll { member });
        }
    }

    fn poll_message(&mut self, member: MemberIndex) -> Option<OutgoingMessage> {
        match member {
            MemberIndex::Planner(planner) => self.planners[planner].poll_message(self.now),
            MemberIndex::Forwarder(forwarder) => self.forwarders[forwarder].member.poll_message(self.now),
        }
    }

    /// Sends a message, which arrives after a delay or is lost. Loss and delay are drawn for each message.
    fn send(&mut self, outgoing: &OutgoingMessage) {
        let is_lost = self.network_rng.random::<f64>() < self.scenario.loss;
        let delay = Span::from_millis(self.network_rng.random_range(MIN_DELAY_MS..MAX_DELAY_MS));
        let Ok(mut sealed) = message::seal(outgoing.sender, &outgoing.message, &self.secrets) else { return };
        if is_lost {
            return;
        }
        self.result.messages += 1;
        let corruption = self.scenario.corruption;
        if corruption > 0.0 && self.network_rng.random::<f64>() < corruption {
            let bit = self.network_rng.random_range(0..sealed.len() * BITS_PER_BYTE);
            sealed[bit / BITS_PER_BYTE] ^= 1 << (bit % BITS_PER_BYTE);
        }
        self.result.message_bytes += sealed.len();
        let to = match outgoing.to {
            Member::Planner(id) => MemberIndex::Planner(id.0.into()),
            Member::Forwarder(id) => MemberIndex::Forwarder(id.0 as usize),
        };
        self.schedule(delay, EventKind::MessageArrived { to, sealed });
    }

    fn is_byzantine(&self, member: MemberIndex) -> bool {
        let is_first = matches!(member, MemberIndex::Planner(0) | MemberIndex::Forwarder(0));
        self.scenario.has_byzantine_members && is_first
    }

    /// Changes a health report or update so that it states that all caches fail.
    fn falsify(&self, message: &mut Message) {
        match message {
            Message::EndpointHealth(HealthMessage::Report(report)) => {
                for endpoint in &mut report.endpoints {
                    endpoint.answered = 0.0;
                    endpoint.failed = BYZANTINE_FAILURES;
                }
            }
            Message::EndpointHealth(HealthMessage::Update(update)) => {
                let failing = HealthStatus::Failing { ago: Span::ZERO };
                let caches = 0..self.scenario.caches as u64;
                update.statuses = caches.map(|cache| (EndpointId(cache), failing)).collect();
            }
            _ => {}
        }
    }
}
