//! The bare relay, which forwards bytes between clients and one server on one thread.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// Why the relay could not be started.
#[derive(Debug)]
pub enum RelayError {
    /// The async runtime could not be created.
    Runtime(io::Error),
    /// The relay can't listen on an address.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: io::Error,
    },
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RelayError::Runtime(error) => write!(f, "the relay's async runtime can't be created: {error}"),
            RelayError::Listen { address, error } => {
                write!(f, "the relay can't listen on {address}: {error}")
            }
        }
    }
}

impl std::error::Error for RelayError {}

/// Forwards bytes between all clients that connect to `listen` and the server at `to`. Returns when the relay
/// can no longer accept connections.
///
/// # Errors
/// The relay could not be started.
pub fn relay(listen: SocketAddr, to: SocketAddr) -> Result<(), RelayError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(RelayError::Runtime)?.block_on(async move {
        let bound = TcpListener::bind(listen).await;
        let listener = bound.map_err(|error| RelayError::Listen { address: listen, error })?;
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(forward(client, to));
        }
        Ok(())
    })
}

/// Forwards bytes between a client and the server until both directions are closed or one fails.
async fn forward(mut client: TcpStream, to: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    // Errors are ignored: without TCP_NODELAY the relay is slower but works, and an error of a connection
    // ends only that connection.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
}
