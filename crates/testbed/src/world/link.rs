//! The link between one node and one server: passes bytes on, and breaks as it is told.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

/// What one way of a link does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes. What was on its way then is lost, and so are its connections.
    pub silent: bool,
    pub delay: Duration,
    pub bytes_per_s: Option<f64>,
    /// A connection resets once this many bytes have passed on it.
    pub reset_after: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    pub toward_server: Way,
    pub toward_node: Way,
    /// Counts up each time all connections are to be reset.
    pub resets: u64,
}

pub type Link = Arc<watch::Sender<LinkState>>;

/// What a server may do to a connection past its HTTP library.
pub enum Rough {
    /// Sends these bytes, and then ends the connection if so told.
    Raw {
        bytes: Vec<u8>,
        then_close: bool,
    },
    Reset,
    /// Sends these bytes, and resets it some milliseconds later.
    RawThenReset(Vec<u8>),
    /// Sends a body that never ends.
    Endless,
    /// Sends these bytes besides, so much later, and goes on.
    Also {
        bytes: Vec<u8>,
        late: Duration,
    },
}

/// Between what was sent and its reset: read by then.
const THEN_RESET: Duration = Duration::from_millis(3);

/// What passes at most at once.
const CHUNK: usize = 16 * 1024;

#[derive(PartialEq)]
enum Over {
    InOrder,
    Reset,
}

/// Carries one way until its reader ends or the link breaks.
async fn carry(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut link: watch::Receiver<LinkState>,
    way: fn(&LinkState) -> Way,
    mut besides: mpsc::UnboundedReceiver<Vec<u8>>,
) -> Over {
    let mut chunk = vec![0; CHUNK];
    let mut passed = 0u64;
    loop {
        let read = tokio::select! {
            read = from.read(&mut chunk) => read.unwrap_or(0),
            Some(bytes) = besides.recv() => {
                // Nobody may be there any more, which is seen by the next that is read.
                let _ = to.write_all(&bytes).await;
                continue;
            }
        };
        let mut now = way(&link.borrow_and_update());
        while now.silent {
            if link.changed().await.is_err() {
                return Over::Reset;
            }
            now = way(&link.borrow_and_update());
            if !now.silent {
                // What was swallowed can't come any more: whoever is there again knows nothing of it.
                return Over::Reset;
            }
        }
        if !now.delay.is_zero() {
            tokio::time::sleep(now.delay).await;
        }
        if let Some(rate) = now.bytes_per_s {
            tokio::time::sleep(Duration::from_secs_f64(read as f64 / rate)).await;
        }
        let mut most = read;
        if let Some(last) = now.reset_after {
            most = most.min(last.saturating_sub(passed) as usize);
        }
        if read == 0 || to.write_all(&chunk[..most]).await.is_err() {
            let _ = to.shutdown().await;
            return Over::InOrder;
        }
        passed += most as u64;
        if most < read {
            return Over::Reset;
        }
    }
}

/// Joins a connection to a server's end of it until either is over.
pub async fn join(
    stream: TcpStream,
    server: DuplexStream,
    link: watch::Receiver<LinkState>,
    mut rough: mpsc::UnboundedReceiver<Rough>,
) {
    let _ = stream.set_nodelay(true);
    let (mut from_node, mut to_node) = stream.into_split();
    let (mut from_server, mut to_server) = tokio::io::split(server);
    let mut seen = link.clone();
    let resets = seen.borrow_and_update().resets;
    let torn = async {
        while seen.changed().await.is_ok() {
            if seen.borrow_and_update().resets != resets {
                return;
            }
        }
        std::future::pending().await
    };
    let (there, back) = (link.clone(), link);
    let over = {
        let (_, none) = mpsc::unbounded_channel();
        let (besides, to_send) = mpsc::unbounded_channel();
        let inward = carry(&mut from_node, &mut to_server, there, |l| l.toward_server, none);
        let outward = carry(&mut from_server, &mut to_node, back, |l| l.toward_node, to_send);
        tokio::pin!(inward, outward);
        let both = async {
            let mut inward_over = false;
            loop {
                tokio::select! {
                    over = &mut inward, if !inward_over => match over {
                        Over::Reset => return Over::Reset,
                        Over::InOrder => inward_over = true,
                    },
                    over = &mut outward => return over,
                }
            }
        };
        // Once nobody is left to give orders, what was answered last still has to pass.
        let ordered = async {
            loop {
                match rough.recv().await {
                    Some(Rough::Also { bytes, late }) => {
                        let besides = besides.clone();
                        tokio::spawn(async move {
                            tokio::time::sleep(late).await;
                            let _ = besides.send(bytes);
                        });
                    }
                    Some(order) => return order,
                    None => std::future::pending().await,
                }
            }
        };
        tokio::select! {
            () = torn => Some(Rough::Reset),
            over = both => (over == Over::Reset).then_some(Rough::Reset),
            order = ordered => Some(order),
        }
    };
    match over {
        Some(Rough::Reset) => reset(from_node, to_node),
        Some(Rough::Raw { bytes, then_close }) => {
            let _ = to_node.write_all(&bytes).await;
            if !then_close {
                // Open and of no further use, until the node ends it.
                let mut rest = [0; 64];
                while from_node.read(&mut rest).await.is_ok_and(|n| n > 0) {}
            }
        }
        Some(Rough::RawThenReset(bytes)) => {
            let _ = to_node.write_all(&bytes).await;
            tokio::time::sleep(THEN_RESET).await;
            reset(from_node, to_node);
        }
        Some(Rough::Endless) => {
            let mut sent = to_node.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
            while sent.is_ok() {
                tokio::time::sleep(THEN_RESET).await;
                sent = to_node.write_all(b"1\r\nx\r\n").await;
            }
        }
        Some(Rough::Also { .. }) | None => {}
    }
}

/// Ends a connection by a reset alone: a half that is dropped says before that it is at its end in order.
fn reset(from_node: OwnedReadHalf, to_node: OwnedWriteHalf) {
    let _ = rustix::net::sockopt::set_socket_linger(from_node.as_ref(), Some(Duration::ZERO));
    to_node.forget();
}
