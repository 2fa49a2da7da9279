//! The simulated network link between one node and one server. The link copies bytes between the node's
//! socket and the server's HTTP library, and applies delays, loss and resets.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

/// Time between the bytes and the reset of [`ConnectionFault::SendThenReset`], in which the node reads the
/// bytes.
const RESET_DELAY: Duration = Duration::from_millis(3);
/// Time between two chunks of an endless body.
const ENDLESS_CHUNK_INTERVAL: Duration = Duration::from_millis(3);
/// The most bytes copied at a time.
const COPY_BUFFER_BYTES: usize = 16 * 1024;

/// State of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DirectionState {
    /// Whether the direction passes no bytes. Bytes sent meanwhile are lost, and their connections are reset.
    pub is_silent: bool,
    /// Delay of each copied chunk.
    pub delay: Duration,
    /// Bandwidth in bytes per second, if limited.
    pub bytes_per_s: Option<f64>,
    /// Number of bytes after which a connection is reset, if set.
    pub reset_after_bytes: Option<u64>,
}

/// State of a link in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// The direction from the node to the server.
    pub toward_server: DirectionState,
    /// The direction from the server to the node.
    pub toward_node: DirectionState,
    /// Incremented to reset all connections of the link.
    pub reset_count: u64,
}

/// The sending half of a link's state: connections subscribe to it.
pub type Link = Arc<watch::Sender<LinkState>>;

/// A fault that a server injects into a connection, bypassing its HTTP library.
pub enum ConnectionFault {
    /// Sends bytes and closes the connection.
    SendThenClose(Vec<u8>),
    /// Sends bytes and keeps the connection open until the node closes it.
    SendThenHold(Vec<u8>),
    /// Sends bytes and resets the connection [`RESET_DELAY`] later.
    SendThenReset(Vec<u8>),
    /// Resets the connection.
    Reset,
    /// Sends a chunked body that never ends.
    SendEndlessBody,
    /// Sends bytes after a delay and leaves the connection in use.
    SendLater {
        /// The bytes to send.
        bytes: Vec<u8>,
        /// Time until the bytes are sent.
        delay: Duration,
    },
}

/// How copying in one direction ended.
#[derive(Clone, Copy, PartialEq)]
enum CopyEnd {
    /// One side closed its end.
    Closed,
    /// The link's state requires a reset of the connection.
    Reset,
}

/// Copies bytes in one direction until either side closes or the link resets the connection. Bytes from
/// `injected` are written between copied chunks.
async fn copy_direction(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut link: watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
    mut injected: mpsc::UnboundedReceiver<Vec<u8>>,
) -> CopyEnd {
    let mut buffer = vec![0; COPY_BUFFER_BYTES];
    let mut copied = 0u64;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            Some(bytes) = injected.recv() => {
                // An error is ignored: if the receiving side is gone, a later read or write shows that.
                let _ = to.write_all(&bytes).await;
                continue;
            }
        };
        let state = direction(&link.borrow_and_update());
        if state.is_silent {
            return wait_while_silent(&mut link, direction).await;
        }
        delay_chunk(&state, read).await;
        let mut allowed = read;
        if let Some(limit) = state.reset_after_bytes {
            allowed = allowed.min(limit.saturating_sub(copied) as usize);
        }
        if read == 0 || to.write_all(&buffer[..allowed]).await.is_err() {
            let _ = to.shutdown().await;
            return CopyEnd::Closed;
        }
        copied += allowed as u64;
        if allowed < read {
            return CopyEnd::Reset;
        }
    }
}

/// Waits until a silent direction passes bytes again. The lost bytes can't be delivered any more, so the
/// connection ends with a reset.
async fn wait_while_silent(
    link: &mut watch::Receiver<LinkState>,
    direction: fn(&LinkState) -> DirectionState,
) -> CopyEnd {
    while link.changed().await.is_ok() {
        if !direction(&link.borrow_and_update()).is_silent {
            break;
        }
    }
    CopyEnd::Reset
}

/// Waits for the latency and the transmission time of a chunk.
async fn delay_chunk(state: &DirectionState, bytes: usize) {
    if !state.delay.is_zero() {
        tokio::time::sleep(state.delay).await;
    }
    if let Some(rate) = state.bytes_per_s {
        tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / rate)).await;
    }
}

/// Connects a node's socket to the server's end of the connection until either side closes the connection,
/// the link resets it, or the server injects a fault.
pub async fn join(
    stream: TcpStream,
    server: DuplexStream,
    link: watch::Receiver<LinkState>,
    faults: mpsc::UnboundedReceiver<ConnectionFault>,
) {
    let _ = stream.set_nodelay(true);
    let (from_node, to_node) = stream.into_split();
    // The server's end stays open until the fault has been applied, so that the HTTP library sees no end of
    // the stream before.
    let (from_server, to_server) = tokio::io::split(server);
    let mut ends = ConnectionEnds { from_node, to_node, from_server, to_server };
    let fault = copy_until_fault(&mut ends, link, faults).await;
    if let Some(fault) = fault {
        apply_fault(fault, ends.from_node, ends.to_node).await;
    }
}

/// The read and write halves of both ends of a connection.
struct ConnectionEnds {
    from_node: OwnedReadHalf,
    to_node: OwnedWriteHalf,
    from_server: ReadHalf<DuplexStream>,
    to_server: WriteHalf<DuplexStream>,
}

/// Copies bytes in both directions. Returns the fault that ends the connection, or none if the connection was
/// closed.
async fn copy_until_fault(
    ends: &mut ConnectionEnds,
    link: watch::Receiver<LinkState>,
    faults: mpsc::UnboundedReceiver<ConnectionFault>,
) -> Option<ConnectionFault> {
    let ConnectionEnds { from_node, to_node, from_server, to_server } = ends;
    let mut observed = link.clone();
    let initial_reset_count = observed.borrow_and_update().reset_count;
    let (_, no_injected) = mpsc::unbounded_channel();
    let (inject, injected) = mpsc::unbounded_channel();
    let copy_to_server = copy_direction(from_node, to_server, link.clone(), |l| l.toward_server, no_injected);
    let copy_to_node = copy_direction(from_server, to_node, link, |l| l.toward_node, injected);
    let both = async {
        tokio::pin!(copy_to_server, copy_to_node);
        let mut to_server_closed = false;
        loop {
            tokio::select! {
                end = &mut copy_to_server, if !to_server_closed => match end {
                    CopyEnd::Reset => return CopyEnd::Reset,
                    CopyEnd::Closed => to_server_closed = true,
                },
                end = &mut copy_to_node => return end,
            }
        }
    };
    tokio::select! {
        () = wait_for_reset(observed, initial_reset_count) => Some(ConnectionFault::Reset),
        end = both => match end {
            CopyEnd::Reset => Some(ConnectionFault::Reset),
            CopyEnd::Closed => None,
        },
        fault = next_fatal_fault(faults, inject) => Some(fault),
    }
}

/// Returns when the connections of the link are to be reset.
async fn wait_for_reset(mut link: watch::Receiver<LinkState>, initial_reset_count: u64) {
    while link.changed().await.is_ok() {
        if link.borrow_and_update().reset_count != initial_reset_count {
            return;
        }
    }
    std::future::pending().await
}

/// Returns the first fault that ends the connection. Bytes of [`ConnectionFault::SendLater`] are injected
/// meanwhile. If the sender of faults is gone, the function never returns, so that the last response is still
/// copied.
async fn next_fatal_fault(
    mut faults: mpsc::UnboundedReceiver<ConnectionFault>,
    inject: mpsc::UnboundedSender<Vec<u8>>,
) -> ConnectionFault {
    loop {
        match faults.recv().await {
            Some(ConnectionFault::SendLater { bytes, delay }) => {
                let inject = inject.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = inject.send(bytes);
                });
            }
            Some(fault) => return fault,
            None => std::future::pending().await,
        }
    }
}

/// Ends a connection as a fault demands.
async fn apply_fault(fault: ConnectionFault, mut from_node: OwnedReadHalf, mut to_node: OwnedWriteHalf) {
    match fault {
        ConnectionFault::Reset => reset(from_node, to_node),
        ConnectionFault::SendThenClose(bytes) => {
            let _ = to_node.write_all(&bytes).await;
        }
        ConnectionFault::SendThenHold(bytes) => {
            let _ = to_node.write_all(&bytes).await;
            let mut discarded = [0; 64];
            while from_node.read(&mut discarded).await.is_ok_and(|n| n > 0) {}
        }
        ConnectionFault::SendThenReset(bytes) => {
            let _ = to_node.write_all(&bytes).await;
            tokio::time::sleep(RESET_DELAY).await;
            reset(from_node, to_node);
        }
        ConnectionFault::SendEndlessBody => {
            let mut sent = to_node.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            while sent.is_ok() {
                tokio::time::sleep(ENDLESS_CHUNK_INTERVAL).await;
                sent = to_node.write_all(b"1\r\nx\r\n").await;
            }
        }
        ConnectionFault::SendLater { .. } => {}
    }
}

/// Resets a connection. The write half is forgotten, because its drop would first close that direction in
/// order.
fn reset(from_node: OwnedReadHalf, to_node: OwnedWriteHalf) {
    let _ = rustix::net::sockopt::set_socket_linger(from_node.as_ref(), Some(Duration::ZERO));
    to_node.forget();
}
