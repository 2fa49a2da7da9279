//! The bare relay: forwards bytes between its clients and one server, on one thread.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

/// The relay could not be started.
#[derive(Debug)]
pub enum RelayError {
    /// The async runtime could not be created.
    Runtime(io::Error),
    /// The address can't be listened on.
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
            RelayError::Runtime(error) => write!(f, "{error}"),
            RelayError::Listen { address, error } => write!(f, "{address}: {error}"),
        }
    }
}

impl std::error::Error for RelayError {}

/// Forwards bytes between everyone who connects to `listen` and the server at `to`. Returns when connections can no longer be
/// accepted.
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

async fn forward(mut client: TcpStream, to: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(to).await else { return };
    // Without this option the relay is slower, but it still works; an error of a connection ends only that connection.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
}
