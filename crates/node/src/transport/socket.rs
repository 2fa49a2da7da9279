//! Socket options and errors that connections and listeners share.

use std::net::SocketAddr;

use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags};

/// The flags of all sockets of the node: non-blocking, and closed when a child process executes a program.
pub(super) const SOCKET_FLAGS: SocketFlags = SocketFlags::CLOEXEC.union(SocketFlags::NONBLOCK);

/// The address family of a socket address.
pub(super) fn address_family(address: &SocketAddr) -> AddressFamily {
    if address.ip().is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 }
}

/// Whether an error means that file descriptors, or the memory for them, are exhausted. Other errors concern
/// a single connection.
pub(super) fn is_descriptor_exhaustion(error: Errno) -> bool {
    matches!(error, Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
}
