//! Idle client connections to one node.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

/// The most idle connections to a node.
const MAX_IDLE: usize = 512;

/// The sending half of one client connection.
pub type RequestSender = SendRequest<Full<Bytes>>;

/// The idle connections to a node.
pub struct ConnectionPool {
    /// Address of the node.
    pub address: SocketAddr,
    idle: Mutex<Vec<RequestSender>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> ConnectionPool {
        ConnectionPool { address, idle: Mutex::default() }
    }

    /// Removes and returns the most recently used idle connection that is ready for a request, if there is
    /// one.
    pub fn take(&self) -> Option<RequestSender> {
        let mut idle = self.idle.lock().expect("no thread panics while it holds the lock");
        idle.retain(|sender| !sender.is_closed());
        let ready = idle.iter().rposition(RequestSender::is_ready)?;
        Some(idle.remove(ready))
    }

    /// Returns a connection to the pool, or closes it if the pool is full.
    pub fn put_back(&self, sender: RequestSender) {
        let mut idle = self.idle.lock().expect("no thread panics while it holds the lock");
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }
}
