//! The network between members of the fleet.
//!
//! Each member sees the others at addresses of the relay, which forwards their messages, and loses, duplicates, delays,
//! corrupts or cuts them off as faults say. All draws come from one seeded generator for each route. The relay records
//! each message that it receives and when it forwards it.

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

/// The greatest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Delayed messages at a time; more are lost, as in any network.
const MAX_DELAYED_MESSAGES: usize = 20_000;

/// The way of messages from one member to another.
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

/// A fault of messages that is in effect.
#[derive(Clone)]
struct ActiveFault {
    id: usize,
    fault: Arc<Fault>,
}

/// The relay's sockets and what impairs its messages.
pub struct Relay {
    /// By route: where `from` sends what is meant for `to`.
    sockets: BTreeMap<Route, Arc<UdpSocket>>,
    addresses: BTreeMap<Route, SocketAddr>,
    /// By route: where `from` was last heard from. Planners stay where they are.
    sources: Mutex<BTreeMap<Route, SocketAddr>>,
    faults: Mutex<Vec<ActiveFault>>,
    generators: Mutex<BTreeMap<Route, ChaCha8Rng>>,
    delayed: Semaphore,
    event_log: EventLogWriter,
}

/// Whoever panicked while holding the lock had made a whole change: each is one step.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// Binds a socket for each route. `planners` says where each planner listens, `place` at which address a member sees
    /// another one.
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
        let mut sockets = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        let mut sources = BTreeMap::new();
        let mut generators = BTreeMap::new();
        for (n, route) in routes(nodes, planners.len()).into_iter().enumerate() {
            let socket = UdpSocket::bind((place(route.from, route.to), 0)).await?;
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

    /// Where `member` sees `other`.
    pub fn address(&self, member: Member, other: Member) -> Option<SocketAddr> {
        self.addresses.get(&Route { from: member, to: other }).copied()
    }

    /// Begins a fault of messages; [`Relay::end_fault`] takes the same `id`.
    pub fn begin_fault(&self, id: usize, fault: &Fault) {
        locked(&self.faults).push(ActiveFault { id, fault: Arc::new(fault.clone()) });
    }

    /// Ends a fault of messages.
    pub fn end_fault(&self, id: usize) {
        locked(&self.faults).retain(|active| active.id != id);
    }

    async fn receive(self: Arc<Self>, route: Route, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here is of a message that could not be delivered before.
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

    /// Sends a copy to the receiver, from the address at which the receiver sees the sender.
    fn forward(&self, route: Route, index: usize, bytes: &[u8]) {
        let facing = route.reversed();
        let Some(receiver) = locked(&self.sources).get(&facing).copied() else { return };
        let now = self.event_log.now();
        if self.sockets[&facing].try_send_to(bytes, receiver).is_ok() {
            self.event_log.write(|log| {
                if let Some(message) = log.messages.get_mut(index) {
                    message.forwarded_at.push(now);
                }
            });
        }
    }
}

/// All routes, in the order that their generators are seeded in. Nodes send nothing to each other.
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
