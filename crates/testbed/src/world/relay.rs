//! The way of letters: each member sees the others at addresses of the relay, which passes letters on, and loses,
//! doubles, delays, changes or cuts them by a seed. It writes down what it took and when it passed it.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use crate::event_log::{EventLogWriter, Member, RelayedMessage};
use crate::experiment::{Fault, FaultKind, Toward};
use crate::schedule::mixed;

/// No datagram is longer.
const LONGEST: usize = 65_536;
/// Letters that are on their way at a time; more are lost, as in any network.
const ON_THE_WAY: usize = 20_000;

/// A way in one direction: the member that is faced, and the one that the relay stands for there.
type Way = (Member, Member);

pub struct Relay {
    sockets: BTreeMap<Way, Arc<UdpSocket>>,
    addresses: BTreeMap<Way, SocketAddr>,
    /// Where a faced member was last heard from; planners stay where they are.
    homes: Mutex<BTreeMap<Way, SocketAddr>>,
    troubles: Mutex<Vec<(usize, Arc<Fault>)>>,
    chance: Mutex<BTreeMap<Way, ChaCha8Rng>>,
    on_the_way: tokio::sync::Semaphore,
    event_log: EventLogWriter,
}

impl Relay {
    /// Binds a socket for each way. `planners` says where each planner listens, `place` at which address a member is
    /// faced by another.
    ///
    /// # Errors
    /// The system's, where an address can't be bound.
    pub async fn open(
        nodes: usize,
        planners: &[SocketAddr],
        place: impl Fn(Member, Member) -> IpAddr,
        seed: u64,
        event_log: EventLogWriter,
    ) -> std::io::Result<Arc<Relay>> {
        let planner_numbers = || (0..planners.len()).map(Member::Planner);
        let mut ways: Vec<Way> = Vec::new();
        for planner in planner_numbers() {
            ways.extend((0..nodes).map(Member::Node).flat_map(|n| [(n, planner), (planner, n)]));
            ways.extend(planner_numbers().filter(|p| *p != planner).map(|p| (planner, p)));
        }
        let (mut sockets, mut addresses) = (BTreeMap::new(), BTreeMap::new());
        let (mut homes, mut chance) = (BTreeMap::new(), BTreeMap::new());
        for (n, way) in ways.into_iter().enumerate() {
            let socket = UdpSocket::bind((place(way.0, way.1), 0)).await?;
            addresses.insert(way, socket.local_addr()?);
            sockets.insert(way, Arc::new(socket));
            chance.insert(way, ChaCha8Rng::seed_from_u64(mixed(seed, n as u64)));
            if let Member::Planner(p) = way.0 {
                homes.insert(way, planners[p]);
            }
        }
        let relay = Arc::new(Relay {
            sockets,
            addresses,
            homes: Mutex::new(homes),
            troubles: Mutex::default(),
            chance: Mutex::new(chance),
            on_the_way: tokio::sync::Semaphore::new(ON_THE_WAY),
            event_log,
        });
        for way in relay.sockets.keys() {
            tokio::spawn(relay.clone().attend(*way));
        }
        Ok(relay)
    }

    /// Where `member` finds `other`.
    pub fn address(&self, member: Member, other: Member) -> Option<SocketAddr> {
        self.addresses.get(&(member, other)).copied()
    }

    /// A fault of letters begins or ends; `id` tells it from others of its kind.
    pub fn trouble(&self, id: usize, fault: &Fault, begins: bool) {
        let mut troubles = self.troubles.lock().expect("no holder panics");
        troubles.retain(|(known, _)| *known != id);
        if begins {
            troubles.push((id, Arc::new(fault.clone())));
        }
    }

    async fn attend(self: Arc<Self>, way: Way) {
        let socket = self.sockets[&way].clone();
        let mut bytes = vec![0; LONGEST];
        loop {
            // An error here is of a letter that could not be passed on before.
            let Ok((count, source)) = socket.recv_from(&mut bytes).await else { continue };
            if let Member::Node(_) = way.0 {
                self.homes.lock().expect("no holder panics").insert(way, source);
            }
            self.clone().carry(way, bytes[..count].to_vec());
        }
    }

    /// What a letter meets: copies with the time that each takes, and whether a bit of it changed.
    fn fate(&self, way: Way, bytes: &mut [u8]) -> (Vec<Duration>, bool) {
        let troubles = self.troubles.lock().expect("no holder panics").clone();
        let mut chances = self.chance.lock().expect("no holder panics");
        let chance = chances.get_mut(&way).expect("each way has its own");
        let (mut copies, mut changed) = (vec![Duration::ZERO], false);
        for (_, fault) in troubles.iter().filter(|(_, f)| meets(f, way)) {
            let hit = chance.random::<f64>() < fault.share.unwrap_or(1.0);
            let ms = fault.ms.unwrap_or(0.0) * (0.5 + chance.random::<f64>());
            let late = Duration::from_secs_f64(ms / 1000.0);
            match fault.kind {
                _ if !hit => {}
                FaultKind::LettersLost | FaultKind::LettersCut => copies.clear(),
                FaultKind::LettersDoubled => copies.push(late),
                FaultKind::LettersLate => copies.iter_mut().for_each(|c| *c += late),
                FaultKind::LettersSpoilt if !bytes.is_empty() => {
                    changed = true;
                    let bit = chance.random_range(0..bytes.len() * 8);
                    bytes[bit / 8] ^= 1 << (bit % 8);
                }
                _ => {}
            }
        }
        (copies, changed)
    }

    fn carry(self: Arc<Self>, way: Way, mut bytes: Vec<u8>) {
        let taken = self.event_log.now();
        let (copies, changed) = self.fate(way, &mut bytes);
        let (from, to) = way;
        let record = RelayedMessage {
            from,
            to,
            received_at: taken,
            forwarded_at: Vec::new(),
            corrupted: changed,
            bytes: bytes.clone(),
        };
        let number = self.event_log.write(|b| {
            b.messages.push(record);
            b.messages.len() - 1
        });
        for late in copies {
            if late.is_zero() {
                self.pass(way, number, &bytes);
                continue;
            }
            let (relay, bytes) = (self.clone(), bytes.clone());
            tokio::spawn(async move {
                let Ok(_place) = relay.on_the_way.try_acquire() else { return };
                tokio::time::sleep(late).await;
                relay.pass(way, number, &bytes);
            });
        }
    }

    fn pass(&self, (from, to): Way, number: usize, bytes: &[u8]) {
        let home = self.homes.lock().expect("no holder panics").get(&(to, from)).copied();
        let Some(home) = home else { return };
        let now = self.event_log.now();
        if self.sockets[&(to, from)].try_send_to(bytes, home).is_ok() {
            self.event_log
                .write(|b| b.messages.get_mut(number).into_iter().for_each(|l| l.forwarded_at.push(now)));
        }
    }
}

/// Whether a fault meets letters on a way.
fn meets(fault: &Fault, (from, to): Way) -> bool {
    let named = |member: Member| match member {
        Member::Node(n) => fault.nodes.contains(&n),
        Member::Planner(p) => fault.planners.contains(&p),
    };
    if fault.kind == FaultKind::LettersCut {
        return named(from) != named(to);
    }
    let planner = [from, to].into_iter().any(|m| matches!(m, Member::Planner(_)) && named(m));
    let node = [from, to].into_iter().any(|m| matches!(m, Member::Node(_)) && named(m));
    let toward = match fault.toward {
        Toward::Nodes => matches!(to, Member::Node(_)),
        Toward::Planners => matches!(to, Member::Planner(_)),
        _ => true,
    };
    toward && (planner || fault.planners.is_empty()) && (node || fault.nodes.is_empty())
}

#[cfg(test)]
mod tests;
