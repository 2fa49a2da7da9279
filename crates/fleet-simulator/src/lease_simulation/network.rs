//! Polling of members, and a network that loses, duplicates, delays and reorders their messages.

use granitelb_balancer::time::Span;
use granitelb_coordination::leases::LeaseMessage;
use granitelb_coordination::{Incarnation, Member, Sender};
use rand::RngExt;

use super::process::ProcessComponent;
use super::{EventKind, Simulation};

/// The shortest delay of a message, in microseconds.
const MIN_DELAY: u64 = 200;
/// The exclusive upper bound of the delay of most messages, in microseconds.
const MAX_DELAY: u64 = 5_000;
/// The exclusive upper bound of the delay of a late message, in microseconds.
const MAX_LATE_DELAY: u64 = 3_000_000;

pub(super) struct InFlightMessage {
    to: Member,
    from: Sender,
    message: LeaseMessage,
}

impl Simulation<'_> {
    /// Notifies a member's balancer, sends the member's messages and schedules its next timeout.
    pub(super) fn poll(&mut self, member: Member) {
        let now = self.now;
        let process = self.process(member);
        let clock = process.clock(now);
        let clock_rate = process.clock_rate;
        let incarnation = process.incarnation;
        let Some(component) = &mut process.component else { return };
        if let ProcessComponent::Forwarder(forwarder) = component {
            process.lease = forwarder.current_leases(clock).first().map(|(_, lease)| *lease);
        }
        let mut outgoing = Vec::new();
        while let Some(message) = component.poll_message(clock) {
            outgoing.push(message);
        }
        let timeout = component.poll_timeout(clock);
        let entries = component.entries();
        self.result.max_entries = self.result.max_entries.max(entries);
        if let Some(at) = timeout {
            let after = Span(((at - clock).0 as f64 / clock_rate) as u64 + 1);
            self.schedule_wake(member, after);
        }
        for (to, message) in outgoing {
            let from = Sender { member, incarnation: Incarnation(incarnation), sequence: 0 };
            self.send(to, from, message);
        }
    }

    /// Schedules a member's timeout, unless an earlier timeout of the member is scheduled.
    fn schedule_wake(&mut self, member: Member, after: Span) {
        let now = self.now;
        let process = self.process(member);
        let incarnation = process.incarnation;
        if process.wake_at.is_none_or(|scheduled| scheduled <= now || now + after < scheduled) {
            process.wake_at = Some(now + after);
            self.schedule(after, EventKind::Wake { member, incarnation });
        }
    }

    fn send(&mut self, to: Member, from: Sender, message: LeaseMessage) {
        let bytes = postcard::to_allocvec(&message).map_or(0, |encoded| encoded.len());
        self.result.messages += 1;
        self.result.bytes += bytes;
        self.result.largest_message = self.result.largest_message.max(bytes);
        let probability = self.scenario.message_loss;
        let is_duplicated = self.rng.random::<f64>() < probability;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random::<f64>() < probability {
                continue;
            }
            let is_late = self.rng.random::<f64>() < probability;
            let max_delay = if is_late { MAX_LATE_DELAY } else { MAX_DELAY };
            let delay = Span(self.rng.random_range(MIN_DELAY..max_delay));
            let index = self.messages.len();
            self.messages.push(Some(InFlightMessage { to, from, message: message.clone() }));
            self.schedule(delay, EventKind::Deliver { message: index });
        }
    }

    /// Delivers a message, unless its sender or its receiver is disconnected.
    pub(super) fn deliver(&mut self, index: usize) {
        let Some(in_flight) = self.messages[index].take() else { return };
        let now = self.now;
        if self.is_disconnected(in_flight.to) || self.is_disconnected(in_flight.from.member) {
            return;
        }
        let to = in_flight.to;
        let process = self.process(to);
        if process.suspended_until > now {
            // The message waits in the socket until the suspended process resumes.
            let after = process.suspended_until - now;
            self.messages[index] = Some(in_flight);
            self.schedule(after, EventKind::Deliver { message: index });
            return;
        }
        let clock = process.clock(now);
        let Some(component) = &mut process.component else { return };
        component.on_message(clock, in_flight.from, in_flight.message);
        self.poll(to);
    }

    fn is_disconnected(&self, member: Member) -> bool {
        self.members[&member].disconnected_until > self.now
    }
}
