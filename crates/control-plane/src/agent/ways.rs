//! The courier's sockets: one for all, and for each planner one that hears nobody else, all at one port. The kernel gives
//! what comes from a planner's address to that planner's socket and the rest to the common one, so that a flood from
//! anywhere else fills no buffer in which a planner's letters wait, and nothing of it is read but for so much a round.
//!
//! The common one is there for planners that answer from another address than they are written to, and to write by where
//! a way of its own can't be had.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use granitelb_coordination::PlannerId;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketType, sockopt};

/// Letters that are read by one way in a round.
const MOST_READ: usize = 128;

pub(super) struct Ways {
    common: UdpSocket,
    planners: BTreeMap<PlannerId, (SocketAddrV4, UdpSocket)>,
}

fn open(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::from(rustix::net::socket(AddressFamily::INET, SocketType::DGRAM, None)?);
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

impl Ways {
    /// # Errors
    /// Where the system gives no socket at this address.
    pub fn open(address: Ipv4Addr, planners: &BTreeMap<PlannerId, SocketAddrV4>) -> io::Result<Ways> {
        let common = open(SocketAddrV4::new(address, 0))?;
        let mut ways = Ways { common, planners: BTreeMap::new() };
        ways.set_planners(planners);
        Ok(ways)
    }

    /// Other planners, or at other addresses.
    pub fn set_planners(&mut self, planners: &BTreeMap<PlannerId, SocketAddrV4>) {
        self.planners.retain(|id, (at, _)| planners.get(id) == Some(at));
        let Some(own) = self.own() else { return };
        for (id, at) in planners {
            if self.planners.contains_key(id) {
                continue;
            }
            // Without one of its own it goes by the common one, as if it answered from elsewhere.
            let opened = open(own).and_then(|socket| socket.connect(at).map(|()| socket));
            if let Ok(socket) = opened {
                self.planners.insert(*id, (*at, socket));
            }
        }
    }

    fn own(&self) -> Option<SocketAddrV4> {
        match self.common.local_addr() {
            Ok(SocketAddr::V4(own)) => Some(own),
            _ => None,
        }
    }

    pub fn name(&self) -> String {
        self.own().map_or_else(|| "a socket".into(), |own| own.to_string())
    }

    /// # Errors
    /// Where it did not go out.
    pub fn send(&self, to: PlannerId, address: SocketAddrV4, bytes: &[u8]) -> io::Result<()> {
        let Some((_, socket)) = self.planners.get(&to) else {
            return self.common.send_to(bytes, address).map(drop);
        };
        match socket.send(bytes) {
            // That is of a letter before: nobody is there, or was not then. This one has not been sent yet.
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => match socket.send(bytes) {
                Err(e) if e.kind() != io::ErrorKind::ConnectionRefused => Err(e),
                _ => Ok(()),
            },
            sent => sent.map(drop),
        }
    }

    /// Waits until a planner's letter is there, and no longer than this.
    ///
    /// # Errors
    /// The system's.
    pub fn wait(&self, most: Duration) -> io::Result<()> {
        let mut fds: Vec<_> = self.planners.values().map(|(_, s)| PollFd::new(s, PollFlags::IN)).collect();
        let most = Timespec { tv_sec: most.as_secs() as i64, tv_nsec: most.subsec_nanos().into() };
        match poll(&mut fds, Some(&most)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(trouble) => Err(trouble.into()),
        }
    }

    /// Gives what has come to `take`, planners' first; whether there is more than is read in a round.
    ///
    /// # Errors
    /// The system's.
    pub fn read(&self, mut take: impl FnMut(&[u8]), room: &mut [u8], strangers: bool) -> io::Result<bool> {
        let mut more = false;
        let common = Some(&self.common).filter(|_| strangers);
        for socket in self.planners.values().map(|(_, s)| s).chain(common) {
            let mut read = 0;
            while read < MOST_READ {
                match socket.recv(room) {
                    Ok(length) => take(&room[..length]),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) if is_passing(&e) => {}
                    Err(trouble) => return Err(trouble),
                }
                read += 1;
            }
            more |= read == MOST_READ;
        }
        Ok(more)
    }
}

/// What came says that a letter of before found nobody: a planner may be down.
fn is_passing(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    [Interrupted, ConnectionRefused, HostUnreachable, NetworkUnreachable].contains(&e.kind())
}

#[cfg(test)]
mod tests;
