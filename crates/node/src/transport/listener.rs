//! The listening socket, which accepts connections.

use std::io;
use std::net::SocketAddr;

use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{self, SocketType, sockopt};

use super::socket::{SOCKET_FLAGS, address_family, is_descriptor_exhaustion};
use super::{Connection, ConnectionId, Owner, Transport};

/// Number of connections that the kernel queues while the node does not accept them.
const BACKLOG: i32 = 1024;

/// A listening socket.
pub struct Listener {
    id: ConnectionId,
    fd: OwnedFd,
    paused: bool,
}

impl Listener {
    /// Starts to listen on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or the system has no file descriptor for the socket.
    pub fn open(transport: &mut Transport, address: SocketAddr, owner: Owner) -> io::Result<Listener> {
        let fd = net::socket_with(address_family(&address), SocketType::STREAM, SOCKET_FLAGS, None)?;
        // A restarted node can bind the address while connections of its previous process are in TIME_WAIT.
        sockopt::set_socket_reuseaddr(&fd, true)?;
        net::bind(&fd, &address)?;
        net::listen(&fd, BACKLOG)?;
        let id = transport.register(&fd, owner, EventFlags::IN)?;
        Ok(Listener { id, fd, paused: false })
    }

    /// Accepts the next pending connection. Returns `None` if no connection is pending or no file descriptor
    /// is available.
    pub fn accept(&mut self, transport: &mut Transport, owner: Owner) -> Option<Connection> {
        loop {
            if transport.available_connections() == 0 {
                return None;
            }
            match net::accept_with(&self.fd, SOCKET_FLAGS) {
                Ok(fd) => return Connection::accepted(transport, fd, owner).ok(),
                Err(error) if is_descriptor_exhaustion(error) => {
                    transport.record_descriptor_exhaustion();
                    return None;
                }
                // The pending connection was aborted, or the call was interrupted: the next call may succeed.
                Err(Errno::CONNABORTED | Errno::INTR) => {}
                Err(_) => return None,
            }
        }
    }

    /// Pauses or resumes epoll's reports of pending connections. Pending connections that cannot be accepted
    /// would be reported in every turn.
    pub fn set_paused(&mut self, transport: &Transport, paused: bool) {
        if paused == self.paused {
            return;
        }
        let flags = if paused { EventFlags::empty() } else { EventFlags::IN };
        if transport.modify(&self.fd, self.id, flags).is_ok() {
            self.paused = paused;
        }
    }
}
