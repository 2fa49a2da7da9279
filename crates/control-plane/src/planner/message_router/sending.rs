//! The sending side of the message router: numbers, seals and sends messages.

use std::net::SocketAddr;

use granitelb_coordination::message::{self, Message};
use granitelb_coordination::{Member, Sender};
use tokio::sync::mpsc;

use super::{BATCH_SIZE, MessageRouter};
use crate::planner::component_task::OutgoingMessage;
use crate::planner::metrics::SocketOperation;

impl MessageRouter {
    /// Sends a message and the messages that wait behind it in the queue, up to a batch.
    pub(super) fn send_batch(&mut self, first: OutgoingMessage, queue: &mut mpsc::Receiver<OutgoingMessage>) {
        self.send_outgoing(first);
        for _ in 1..BATCH_SIZE {
            let Ok(outgoing) = queue.try_recv() else { return };
            self.send_outgoing(outgoing);
        }
    }

    /// Sends all messages that still wait in the queue.
    pub(super) fn send_remaining(&mut self, queue: &mut mpsc::Receiver<OutgoingMessage>) {
        while let Ok(outgoing) = queue.try_recv() {
            self.send_outgoing(outgoing);
        }
    }

    /// Sends a component's message, unless the message is void because it was created in an earlier
    /// incarnation.
    fn send_outgoing(&mut self, outgoing: OutgoingMessage) {
        if outgoing.incarnation == self.incarnation {
            self.send(outgoing.to, &outgoing.message);
        }
    }

    /// Sends a message to a member, if the member's address is known.
    pub(super) fn send(&mut self, to: Member, message: &Message) {
        let address = match to {
            Member::Planner(id) => self.fleet_config().planners.get(&id).copied(),
            Member::Forwarder(id) => self.forwarder_addresses.get(&id).copied(),
        };
        let Some(address) = address else {
            self.metrics.count_unknown_address();
            return;
        };
        if self.send_to_address(SocketAddr::V4(address), message) {
            self.members.on_message_sent(self.clock.now(), to);
        }
    }

    /// Sends a message to an address, and returns whether the socket accepted the message.
    pub(super) fn send_to_address(&mut self, address: SocketAddr, message: &Message) -> bool {
        let fleet_config = self.fleet_config();
        self.last_number += 1;
        let sender = Sender {
            member: Member::Planner(self.me),
            incarnation: self.incarnation,
            sequence: self.last_number,
        };
        let bytes = match message::seal(sender, message, &fleet_config.secrets) {
            Ok(bytes) => bytes,
            Err(error) => {
                self.metrics.count_rejected(error.name(), &error);
                return false;
            }
        };
        match self.socket.try_send_to(&bytes, address) {
            Ok(_) => {
                self.metrics.count_sent();
                true
            }
            Err(error) => {
                self.metrics.count_socket_error(SocketOperation::Send, &error);
                false
            }
        }
    }
}
