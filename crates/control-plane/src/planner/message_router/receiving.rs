//! The receiving side of the message router: reads datagrams, admits them, and delivers their messages to
//! components.

use std::io;
use std::net::SocketAddr;

use granitelb_coordination::component::Component;
use granitelb_coordination::membership::{Acceptance, MembershipError};
use granitelb_coordination::message::{self, MAX_DATAGRAM_BYTES, Message};
use granitelb_coordination::{Member, Sender};

use super::{BATCH_SIZE, MembershipCheck, MessageRouter};
use crate::planner::mailbox::{MailboxFull, ReceivedMessage};
use crate::planner::metrics::SocketOperation;

impl MessageRouter {
    /// Reads the datagrams in the socket without waiting, up to a batch or until a message has to wait for
    /// its mailbox.
    pub(super) fn read_socket(&mut self) {
        // One byte more than the longest message, so that a longer datagram is recognized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..BATCH_SIZE {
            if self.blocked_message.is_some() {
                return;
            }
            match self.socket.try_recv_from(&mut buffer) {
                Ok((length, from)) => self.on_datagram(&buffer[..length], from),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // A receiver's closed port is reported as an error of this socket, which can still be read.
                Err(error) => self.metrics.count_socket_error(SocketOperation::Receive, &error),
            }
        }
    }

    fn on_datagram(&mut self, bytes: &[u8], from: SocketAddr) {
        self.metrics.count_received();
        let Some(received) = self.authenticate(bytes, from) else { return };
        if !self.admit_sender(received.sender, from) {
            return;
        }
        if let Message::Membership(message) = received.message {
            let now = self.clock.now();
            if let Err(error) = self.members.on_message(now, received.sender, message) {
                self.metrics.count_membership_error(error);
            }
            return;
        }
        self.deliver(received);
    }

    /// Decodes a datagram; `None` if it exceeds a rate limit, has no valid signature, or is of an unlisted
    /// planner.
    fn authenticate(&mut self, bytes: &[u8], from: SocketAddr) -> Option<ReceivedMessage> {
        let now = self.clock.now();
        if let Err(error) = self.ingress_limiter.admit_address(now, from) {
            self.metrics.count_rejected(error.name(), &error);
            return None;
        }
        let fleet_config = self.fleet_config();
        let (sender, message) = match message::open(bytes, &fleet_config.secrets) {
            Ok(opened) => opened,
            Err(error) => {
                self.metrics.count_rejected(error.name(), &error);
                return None;
            }
        };
        if let Err(error) = self.ingress_limiter.admit_member(now, sender.member) {
            self.metrics.count_rejected(error.name(), &error);
            return None;
        }
        if let Member::Planner(id) = sender.member
            && !fleet_config.planners.contains_key(&id)
        {
            self.metrics.count_unlisted_planner(id);
            return None;
        }
        Some(ReceivedMessage { sender, message })
    }

    /// Lets membership check the sender and its sequence number, and returns whether the message is to be
    /// processed.
    fn admit_sender(&mut self, sender: Sender, from: SocketAddr) -> bool {
        let now = self.clock.now();
        let admission = self.members.accept(now, sender);
        // A member that was declared failed is notified of that, for which its address is needed.
        if matches!(admission, Ok(_) | Err(MembershipError::DeclaredFailed)) {
            self.record_address(sender.member, from);
        }
        let is_new_member = match admission {
            Ok(acceptance) => acceptance == Acceptance::Joined,
            Err(error) => {
                if error == MembershipError::StaleIncarnation {
                    self.notify_superseded(sender, from);
                }
                self.metrics.count_membership_error(error);
                return false;
            }
        };
        self.ingress_limiter.on_message(now, from);
        if is_new_member {
            // The new member is published before its messages are delivered.
            self.advance(MembershipCheck::Immediate);
        }
        true
    }

    /// Records the address from which a forwarder sends. The addresses of planners are configured.
    fn record_address(&mut self, member: Member, from: SocketAddr) {
        if let (Member::Forwarder(id), SocketAddr::V4(address)) = (member, from) {
            self.forwarder_addresses.insert(id, address);
        }
    }

    /// Notifies the sender of an older incarnation that the member has a newer incarnation.
    fn notify_superseded(&mut self, sender: Sender, from: SocketAddr) {
        let now = self.clock.now();
        if let Some(message) = self.members.superseded_notice(now, sender) {
            self.send_to_address(from, &Message::Membership(message));
        }
    }

    /// Puts a message into its component's mailbox, or keeps it as the blocked message if the mailbox is
    /// full.
    fn deliver(&mut self, received: ReceivedMessage) {
        let kind = received.message.kind();
        let is_enabled = self.fleet_config().enables(kind);
        let Some(component) = self.components.get(&kind).filter(|_| is_enabled) else {
            self.metrics.count_disabled_component(kind);
            return;
        };
        if let Err(MailboxFull(received)) = component.mailbox.push(received) {
            self.metrics.count_mailbox_full(kind);
            self.blocked_message = Some(*received);
        }
    }

    /// Tries again to deliver the blocked message.
    pub(super) fn deliver_blocked_message(&mut self) {
        if let Some(received) = self.blocked_message.take() {
            self.deliver(received);
        }
    }
}
