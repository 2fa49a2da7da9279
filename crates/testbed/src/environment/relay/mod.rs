//! The simulated network between members of the fleet: a relay of UDP messages.
//!
//! Each member sends to the others at addresses of the relay. The relay forwards each message, or loses,
//! duplicates, delays, corrupts or blocks it as the active faults demand. The random numbers for a route come
//! from that route's seeded generator. The relay records each message that it receives and the times at which
//! it forwards the message.

mod impairment;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::event_log::{EventLogWriter, Member, RelayedMessage};
use crate::experiment::Fault;
use crate::schedule::mix64;
use impairment::impair;

/// Size of the buffer for a received datagram, in bytes: no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The most delayed messages that the relay holds at a time; further ones are lost, as in a network whose
/// buffers are full.
const MAX_DELAYED_MESSAGES: usize = 20_000;

/// The direction from one member to another in which messages are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    from: Member,
    to: Member,
}

impl Route {
    fn reversed(self) -> Route {
        Route { from: self.to, to: self.from }
    }
}

/// A message fault that has begun and not ended.
#[derive(Clone)]
struct ActiveFault {
    id: usize,
    fault: Arc<Fault>,
}

/// The message relay: its sockets, the active faults and the random number generators.
pub struct Relay {
    /// For each route, the socket to which `from` sends its messages for `to`.
    sockets: BTreeMap<Route, Arc<UdpSocket>>,
    addresses: BTreeMap<Route, SocketAddr>,
    /// For each route, the address from which `from` last sent a message. A planner's address is fixed and
    /// known from the start.
    sources: Mutex<BTreeMap<Route, SocketAddr>>,
    faults: Mutex<Vec<ActiveFault>>,
    generators: Mutex<BTreeMap<Route, ChaCha8Rng>>,
    delayed: Semaphore,
    event_log: EventLogWriter,
}

/// Locks a mutex, also a poisoned one: each change of the relay's state is a single step, so a panic leaves
/// no partial change.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Binds a socket for each route and starts to relay. `planners` holds the address at which each planner
    /// listens; `relay_ip(receiver, represented)` returns the relay's IP address that stands for the member
    /// `represented` toward the member `receiver`.
    ///
    /// # Errors
    /// Returns the system's error if an address can't be bound.
    pub async fn open(
        nodes: usize,
        planners: &[SocketAddr],
        relay_ip: impl Fn(Member, Member) -> IpAddr,
        seed: u64,
        event_log: EventLogWriter,
    ) -> std::io::Result<Arc<Relay>> {
        let mut sockets = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        let mut sources = BTreeMap::new();
        let mut generators = BTreeMap::new();
        for (n, route) in routes(nodes, planners.len()).into_iter().enumerate() {
            let socket = UdpSocket::bind((relay_ip(route.from, route.to), 0)).await?;
            addresses.insert(route, socket.local_addr()?);
            sockets.insert(route, Arc::new(socket));
            generators.insert(route, ChaCha8Rng::seed_from_u64(mix64(seed, n as u64)));
            if let Member::Planner(planner) = route.from {
                sources.insert(route, planners[planner]);
            }
        }
        let relay = Arc::new(Relay {
            sockets,
            addresses,
            sources: Mutex::new(sources),
            faults: Mutex::default(),
            generators: Mutex::new(generators),
            delayed: Semaphore::new(MAX_DELAYED_MESSAGES),
            event_log,
        });
        for (route, socket) in &relay.sockets {
            tokio::spawn(relay.clone().receive(*route, socket.clone()));
        }
        Ok(relay)
    }

    /// Address of the relay to which `member` sends its messages for `other`, or none if it sends none to
    /// `other`.
    pub fn address(&self, member: Member, other: Member) -> Option<SocketAddr> {
        self.addresses.get(&Route { from: member, to: other }).copied()
    }

    /// Begins a message fault, to be ended by [`Relay::end_fault`] with the same `id`.
    pub fn begin_fault(&self, id: usize, fault: &Fault) {
        locked(&self.faults).push(ActiveFault { id, fault: Arc::new(fault.clone()) });
    }

    /// Ends the message fault with this `id`.
    pub fn end_fault(&self, id: usize) {
        locked(&self.faults).retain(|active| active.id != id);
    }

    async fn receive(self: Arc<Self>, route: Route, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that a message sent earlier on this socket could not be delivered.
            let Ok((count, source)) = socket.recv_from(&mut buffer).await else { continue };
            if let Member::Node(_) = route.from {
                locked(&self.sources).insert(route, source);
            }
            self.clone().on_message(route, buffer[..count].to_vec());
        }
    }

    fn on_message(self: Arc<Self>, route: Route, mut bytes: Vec<u8>) {
        let received_at = self.event_log.now();
        let faults = locked(&self.faults).clone();
        let impairment = match locked(&self.generators).get_mut(&route) {
            Some(generator) => impair(&faults, route, &mut bytes, generator),
            None => return,
        };
        let record = RelayedMessage {
            from: route.from,
            to: route.to,
            received_at,
            forwarded_at: Vec::new(),
            corrupted: impairment.is_corrupted,
            bytes: bytes.clone(),
        };
        let index = self.event_log.write(|log| {
            log.messages.push(record);
            log.messages.len() - 1
        });
        for delay in impairment.copy_delays {
            if delay.is_zero() {
                self.forward(route, index, &bytes);
                continue;
            }
            let relay = self.clone();
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let Ok(_permit) = relay.delayed.try_acquire() else { return };
                sleep(delay).await;
                relay.forward(route, index, &bytes);
            });
        }
    }

    /// Sends a copy of a message to its receiver, from the relay's address that stands for the sender toward
    /// the receiver. `index` is the message's position in the event log.
    fn forward(&self, route: Route, index: usize, bytes: &[u8]) {
        let reversed = route.reversed();
        let Some(receiver) = locked(&self.sources).get(&reversed).copied() else { return };
        let now = self.event_log.now();
        if self.sockets[&reversed].try_send_to(bytes, receiver).is_ok() {
            self.event_log.write(|log| {
                if let Some(message) = log.messages.get_mut(index) {
                    message.forwarded_at.push(now);
                }
            });
        }
    }
}

/// All routes, in the order in which their generators are seeded. There are none between two nodes, because
/// nodes send each other no messages.
fn routes(nodes: usize, planners: usize) -> Vec<Route> {
    let mut routes = Vec::new();
    for planner in (0..planners).map(Member::Planner) {
        for node in (0..nodes).map(Member::Node) {
            routes.push(Route { from: node, to: planner });
            routes.push(Route { from: planner, to: node });
        }
        for other in (0..planners).map(Member::Planner) {
            if other != planner {
                routes.push(Route { from: planner, to: other });
            }
        }
    }
    routes
}

#[cfg(test)]
mod tests;
