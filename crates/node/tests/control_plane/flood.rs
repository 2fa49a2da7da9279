//! Floods of datagrams at the control plane: their kinds, and a sender with a given rate of datagrams.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, leases, membership};

use super::fleet::SECRET;

/// How long the sender sleeps between bursts.
const BURST_INTERVAL: Duration = Duration::from_micros(500);

/// The kind of datagrams that a flood consists of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FloodKind {
    /// Datagrams that begin like a message and have no valid signature.
    Unsigned,
    /// The same messages of members, repeated.
    Replayed,
    /// New messages of one member, each with a lease request.
    Valid,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 3] = [FloodKind::Unsigned, FloodKind::Replayed, FloodKind::Valid];
}

/// The identity of a sender that is no node of the fleet.
pub const UNKNOWN_FORWARDER: ForwarderId = ForwarderId(0xf100d);

fn sealed_message(member: Member, incarnation: u64, number: u64) -> Vec<u8> {
    let secrets = Secrets::single(Secret::new(&hex(SECRET)).expect("a secret"));
    let message = match (member, number) {
        (Member::Forwarder(_), 1..) => {
            let resource = leases::Resource::Origin;
            let demand =
                leases::Demand { resource, amount: 1, request_in_use: 0, requesters: 1, already_held: 0 };
            Message::Leases(leases::LeaseMessage::Request { request_id: number, demands: vec![demand] })
        }
        _ => Message::Membership(membership::MembershipMessage::Heartbeat),
    };
    message::seal(
        Sender { member, incarnation: Incarnation(incarnation), sequence: number },
        &message,
        &secrets,
    )
    .expect("a message")
}

fn hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("digits")).collect()
}

/// The datagrams that one sender of a flood sends in turn; for `Valid`, `count` of them.
pub fn datagrams(kind: FloodKind, count: u64) -> Vec<Vec<u8>> {
    let unknown = Member::Forwarder(UNKNOWN_FORWARDER);
    match kind {
        FloodKind::Unsigned => {
            // The datagram has a message's maximum length, so that fewer datagrams fill a socket's buffer.
            let mut datagram = sealed_message(unknown, 1, 0);
            datagram.resize(message::MAX_DATAGRAM_BYTES, 0);
            vec![datagram]
        }
        FloodKind::Replayed => {
            let of_planner = sealed_message(Member::Planner(PlannerId(1)), 1, 0);
            vec![of_planner, sealed_message(unknown, 1, 0)]
        }
        FloodKind::Valid => (1..=count).map(|number| sealed_message(unknown, 1, number)).collect(),
    }
}

/// Sends `per_s` datagrams a second to each target for `duration`, starting over after the last datagram.
/// Returns the number of datagrams sent to each target.
pub fn flood(datagrams: &[Vec<u8>], targets: &[SocketAddr], per_s: u64, duration: Duration) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < duration {
        let due = (start.elapsed().as_secs_f64() * per_s as f64) as u64;
        while sent < due {
            let datagram = &datagrams[sent as usize % datagrams.len()];
            for target in targets {
                // Sending fails where the target is gone, which does not matter here.
                let _ = socket.send_to(datagram, target);
            }
            sent += 1;
        }
        std::thread::sleep(BURST_INTERVAL);
    }
    sent
}
