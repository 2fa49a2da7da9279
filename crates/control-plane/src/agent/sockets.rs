//! The agent's UDP sockets: a common socket, and one connected socket for each planner, all bound to the same
//! port.
//!
//! The kernel delivers datagrams from a planner's configured address to the socket that is connected to that
//! address, and all other datagrams to the common socket. A flood from any other source therefore cannot fill
//! a receive buffer in which a planner's messages wait, and the agent reads only a bounded number of the
//! flood's datagrams in a round.
//!
//! The common socket receives from planners that answer from another address than the configured one, and
//! sends to planners for which no connected socket could be opened.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

use granitelb_coordination::PlannerId;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketType, sockopt};

/// The maximum number of datagrams that are read from one socket in a round.
const MAX_DATAGRAMS_PER_SOCKET: usize = 128;

/// A socket that is connected to one planner.
struct PlannerSocket {
    address: SocketAddrV4,
    socket: UdpSocket,
}

/// Which sockets a round reads. Any host can send to the common socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadScope {
    /// Only the sockets that are connected to planners.
    Planners,
    /// The sockets that are connected to planners, then the common socket.
    All,
}

/// Whether sockets still hold datagrams after a round of reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Backlog {
    /// All sockets that were read are empty.
    Drained,
    /// A socket reached the limit of a round and may hold more datagrams.
    Remaining,
}

/// The sockets of one agent. All of them share the local address by which planners know the agent.
pub(super) struct Sockets {
    /// The socket that is not connected.
    common: UdpSocket,
    planners: BTreeMap<PlannerId, PlannerSocket>,
}

impl Sockets {
    /// Opens the common socket at a free port of `address`, and a connected socket for each planner.
    ///
    /// # Errors
    /// Returns the system's error if the common socket cannot be opened.
    pub fn open(address: Ipv4Addr, planners: &BTreeMap<PlannerId, SocketAddrV4>) -> io::Result<Sockets> {
        let common = bind(SocketAddrV4::new(address, 0))?;
        let mut sockets = Sockets { common, planners: BTreeMap::new() };
        sockets.set_planners(planners);
        Ok(sockets)
    }

    /// Replaces the set of planners. The sockets of planners whose address is unchanged stay open.
    ///
    /// Messages to a planner for which no socket can be opened are sent from the common socket.
    pub fn set_planners(&mut self, planners: &BTreeMap<PlannerId, SocketAddrV4>) {
        self.planners.retain(|id, planner| planners.get(id) == Some(&planner.address));
        let Some(local) = self.local_address() else { return };
        for (id, address) in planners {
            if self.planners.contains_key(id) {
                continue;
            }
            if let Ok(socket) = connect(local, *address) {
                self.planners.insert(*id, PlannerSocket { address: *address, socket });
            }
        }
    }

    /// The address that all sockets are bound to; `None` if the system does not report it.
    pub fn local_address(&self) -> Option<SocketAddrV4> {
        match self.common.local_addr() {
            Ok(SocketAddr::V4(local)) => Some(local),
            _ => None,
        }
    }

    /// Sends one datagram to a planner. A planner that is down is not reported as an error, since heartbeats
    /// detect that.
    ///
    /// # Errors
    /// Returns the system's error if the datagram was not sent.
    pub fn send(&self, planner: PlannerId, address: SocketAddrV4, datagram: &[u8]) -> io::Result<()> {
        let Some(PlannerSocket { socket, .. }) = self.planners.get(&planner) else {
            self.common.send_to(datagram, address)?;
            return Ok(());
        };
        match socket.send(datagram) {
            Ok(_) => Ok(()),
            // The error reports that an earlier datagram was refused; this datagram has not been sent yet.
            Err(error) if is_refused(&error) => match socket.send(datagram) {
                Err(error) if !is_refused(&error) => Err(error),
                _ => Ok(()),
            },
            Err(error) => Err(error),
        }
    }

    /// Blocks until a datagram from a planner arrives, for at most `timeout`. Datagrams on the common socket
    /// do not end the wait.
    ///
    /// # Errors
    /// Returns the system's error if polling fails.
    pub fn wait(&self, timeout: Duration) -> io::Result<()> {
        let mut fds: Vec<_> =
            self.planners.values().map(|planner| PollFd::new(&planner.socket, PollFlags::IN)).collect();
        let timeout = Timespec { tv_sec: timeout.as_secs() as i64, tv_nsec: timeout.subsec_nanos().into() };
        match poll(&mut fds, Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    /// Passes the datagrams that have arrived to `on_datagram`, first those from planners' configured
    /// addresses. Each socket is read up to [`MAX_DATAGRAMS_PER_SOCKET`]; `buffer` holds one datagram at a
    /// time.
    ///
    /// # Errors
    /// Returns the system's error if a socket cannot be read.
    pub fn read(
        &self,
        scope: ReadScope,
        buffer: &mut [u8],
        mut on_datagram: impl FnMut(&[u8]),
    ) -> io::Result<Backlog> {
        let mut backlog = Backlog::Drained;
        for planner in self.planners.values() {
            if read_socket(&planner.socket, buffer, &mut on_datagram)? == Backlog::Remaining {
                backlog = Backlog::Remaining;
            }
        }
        if scope == ReadScope::All
            && read_socket(&self.common, buffer, &mut on_datagram)? == Backlog::Remaining
        {
            backlog = Backlog::Remaining;
        }
        Ok(backlog)
    }
}

/// Opens a non-blocking socket at an address that several sockets may share.
fn bind(address: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = UdpSocket::from(rustix::net::socket(AddressFamily::INET, SocketType::DGRAM, None)?);
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Opens a socket at `local` that receives only datagrams from `remote`.
fn connect(local: SocketAddrV4, remote: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = bind(local)?;
    socket.connect(remote)?;
    Ok(socket)
}

/// Reads the datagrams of one socket, up to [`MAX_DATAGRAMS_PER_SOCKET`].
fn read_socket(
    socket: &UdpSocket,
    buffer: &mut [u8],
    on_datagram: &mut impl FnMut(&[u8]),
) -> io::Result<Backlog> {
    for _ in 0..MAX_DATAGRAMS_PER_SOCKET {
        match socket.recv(buffer) {
            Ok(length) => on_datagram(&buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(Backlog::Drained),
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(Backlog::Remaining)
}

/// Whether an error reports that the receiver's port was closed for an earlier datagram.
fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Whether an error reports that an earlier datagram was not delivered, as happens while a planner is down.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionRefused, HostUnreachable, Interrupted, NetworkUnreachable};
    [Interrupted, ConnectionRefused, HostUnreachable, NetworkUnreachable].contains(&error.kind())
}

#[cfg(test)]
mod tests;
