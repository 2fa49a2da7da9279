//! What opening a connection and listening for connections have in common.

use std::net::SocketAddr;

use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags};

/// The flags of every socket of the node: non-blocking, and closed in child processes.
pub(super) const SOCKET_FLAGS: SocketFlags = SocketFlags::CLOEXEC.union(SocketFlags::NONBLOCK);

/// The address family of a socket address.
pub(super) fn address_family(address: &SocketAddr) -> AddressFamily {
    if address.ip().is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 }
}

/// Whether an error means that the system lacks file descriptors, or memory for them, rather than that there
/// is a fault of the one connection.
pub(super) fn is_descriptor_exhaustion(error: Errno) -> bool {
    matches!(error, Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
}
