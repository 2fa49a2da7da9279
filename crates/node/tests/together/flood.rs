//! Somebody who sends letters as fast as it can: what kinds there are, and how many.

use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use granitelb_coordination::message::{self, Message, Secret, Secrets};
use granitelb_coordination::{ForwarderId, Incarnation, Member, PlannerId, Sender, leases, membership};

use super::fleet::SECRET;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Looks like a letter, and is signed by nobody.
    Unsigned,
    /// One letter of a member's, over and over.
    Replayed,
    /// A member's own, each of them new: asks for leases.
    Valid,
}

impl Kind {
    pub const ALL: [Kind; 3] = [Kind::Unsigned, Kind::Replayed, Kind::Valid];
}

/// A name that no node has.
pub const WILD: ForwarderId = ForwarderId(0xf100d);

fn sealed(member: Member, incarnation: u64, number: u64) -> Vec<u8> {
    let secrets = Secrets::one(Secret::new(&hex(SECRET)).expect("a secret"));
    let letter = match (member, number) {
        (Member::Forwarder(_), 1..) => {
            let resource = leases::Resource::Origin;
            let need =
                leases::Demand { resource, amount: 1, request_in_use: 0, requesters: 1, already_held: 0 };
            Message::Leases(leases::LeaseMessage::Request { request_id: number, demands: vec![need] })
        }
        _ => Message::Membership(membership::MembershipMessage::Beat),
    };
    message::seal(Sender { member, incarnation: Incarnation(incarnation), number }, &letter, &secrets)
        .expect("a letter")
}

fn hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("digits")).collect()
}

/// What one flooder sends, one after the other.
pub fn datagrams(kind: Kind, count: u64) -> Vec<Vec<u8>> {
    let wild = Member::Forwarder(WILD);
    match kind {
        Kind::Unsigned => {
            // As long as a letter may be: the fewer of them fill a socket.
            let mut one = sealed(wild, 1, 0);
            one.resize(message::MOST_BYTES, 0);
            vec![one]
        }
        Kind::Replayed => vec![sealed(Member::Planner(PlannerId(1)), 1, 0), sealed(wild, 1, 0)],
        Kind::Valid => (1..=count).map(|n| sealed(wild, 1, n)).collect(),
    }
}

/// Sends `per_s` of these to each address for so long, one after the other from the first again; how many went out.
pub fn flood(letters: &[Vec<u8>], to: &[SocketAddr], per_s: u64, lasts: Duration) -> u64 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let (began, mut sent) = (Instant::now(), 0);
    while began.elapsed() < lasts {
        let due = (began.elapsed().as_secs_f64() * per_s as f64) as u64;
        while sent < due {
            let letter = &letters[sent as usize % letters.len()];
            for to in to {
                // One that is gone is no trouble to who floods it.
                let _ = socket.send_to(letter, to);
            }
            sent += 1;
        }
        std::thread::sleep(Duration::from_micros(500));
    }
    sent
}
