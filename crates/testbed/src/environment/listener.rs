//! The listener at which one node reaches a simulated server. It accepts connections, refuses them, or lets
//! connection attempts time out.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::link::{self, ConnectionFault, Link, LinkState};
use crate::event_log::NodeId;

/// Backlog of a listener that accepts connections, in connections.
const BACKLOG: i32 = 1024;
/// Pause before an address that is in use is bound again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The most connections opened to fill a backlog of zero; the system queues one or two despite the zero.
const MAX_FILLERS: usize = 8;
/// Time after which a connection attempt without a response shows that the backlog is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(30);
/// Size of the buffer between the link and the HTTP library in each direction, in bytes.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// What a [`Handler`] returns for a request.
pub type HandlerResult = Result<Response<BoxBody<Bytes, Infallible>>, ConnectionAborted>;

/// The future of a [`HandlerResult`].
pub type HandlerFuture = Pin<Box<dyn Future<Output = HandlerResult> + Send>>;

/// Error of a handler that gives no response; the connection has to be closed.
#[derive(Debug)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the simulated server aborted the connection on purpose")
    }
}

impl std::error::Error for ConnectionAborted {}

/// A connection as the server's handler sees it.
pub struct ServerConnection {
    /// The node that opened the connection.
    pub node: NodeId,
    /// Number of requests that the handler has received on the connection.
    pub request_count: AtomicUsize,
    faults: mpsc::UnboundedSender<ConnectionFault>,
}

impl ServerConnection {
    /// Asks the link to apply a fault to the connection.
    pub fn inject_fault(&self, fault: ConnectionFault) {
        // Sending fails only if the connection has ended.
        let _ = self.faults.send(fault);
    }
}

/// Serves the requests that arrive at a [`Listener`].
pub trait Handler: Send + Sync + 'static {
    /// Serves a request. The future is dropped when the connection ends.
    fn handle(
        self: Arc<Self>,
        connection: Arc<ServerConnection>,
        request: Request<Incoming>,
    ) -> HandlerFuture;

    /// Time after which an idle connection is closed.
    fn keepalive(&self) -> Duration;

    /// The most open connections; further ones are closed at once.
    fn max_connections(&self) -> usize;
}

/// What a listener does with connection attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// Accepts connections.
    Accepting,
    /// Refuses connections; open connections are reset.
    Refusing,
    /// Leaves connection attempts without a response.
    Unresponsive,
}

/// A simulated server's listener for one node.
pub struct Listener {
    /// The bound address.
    pub address: SocketAddr,
    /// The simulated link that all connections of the listener go through.
    pub link: Link,
    state: watch::Sender<ListenerState>,
}

impl Listener {
    /// Binds a free port of an IP address and serves its connections in a new task.
    ///
    /// # Errors
    /// Returns the system's error if the address can't be bound.
    pub async fn bind(
        ip: IpAddr,
        node: NodeId,
        initial_state: ListenerState,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<Listener> {
        let socket = TcpListener::bind((ip, 0)).await?;
        let address = socket.local_addr()?;
        let link: Link = Arc::new(watch::Sender::new(LinkState::default()));
        let (state, state_receiver) = watch::channel(initial_state);
        let task = ListenerTask {
            address,
            link: link.clone(),
            node,
            handler,
            open_connections: Arc::new(AtomicUsize::new(0)),
        };
        tokio::spawn(task.run(socket, state_receiver));
        Ok(Listener { address, link, state })
    }

    /// Changes the listener's state. [`ListenerState::Refusing`] also resets the open connections.
    pub fn set_state(&self, state: ListenerState) {
        self.state.send_replace(state);
        if state == ListenerState::Refusing {
            self.reset_connections();
        }
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.link.send_modify(|link| link.reset_count += 1);
    }
}

/// The task that accepts a listener's connections.
struct ListenerTask {
    address: SocketAddr,
    link: Link,
    node: NodeId,
    handler: Arc<dyn Handler>,
    open_connections: Arc<AtomicUsize>,
}

impl ListenerTask {
    /// Runs until the [`Listener`] is dropped.
    async fn run(self, socket: TcpListener, mut state: watch::Receiver<ListenerState>) {
        let mut socket = Some(socket);
        loop {
            let current = *state.borrow_and_update();
            let result = match (current, &socket) {
                (ListenerState::Refusing, _) => {
                    socket = None;
                    state.changed().await
                }
                (_, None) => {
                    socket = self.rebind().await;
                    Ok(())
                }
                (ListenerState::Unresponsive, Some(socket)) => {
                    let fillers = fill_backlog(socket, self.address).await;
                    let result = state.changed().await;
                    drop(fillers);
                    let _ = rustix::net::listen(socket, BACKLOG);
                    result
                }
                (ListenerState::Accepting, Some(socket)) => tokio::select! {
                    result = state.changed() => result,
                    accepted = socket.accept() => {
                        if let Ok((stream, _)) = accepted {
                            self.serve(stream);
                        }
                        Ok(())
                    }
                },
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Binds the address again. If another socket holds the port for a moment, returns none after
    /// [`BIND_RETRY_INTERVAL`], and the caller tries again.
    async fn rebind(&self) -> Option<TcpListener> {
        match TcpListener::bind(self.address).await {
            Ok(socket) => Some(socket),
            Err(_) => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                None
            }
        }
    }

    /// Serves a connection in a new task, or closes it if the handler's limit of connections is exceeded.
    fn serve(&self, stream: TcpStream) {
        let guard = ConnectionGuard::new(self.open_connections.clone());
        if self.open_connections.load(Ordering::Relaxed) > self.handler.max_connections() {
            return;
        }
        let link = self.link.clone();
        tokio::spawn(serve_connection(stream, link, self.node, self.handler.clone(), guard));
    }
}

/// Fills the backlog of a listening socket and returns the connections that fill it. While they are open,
/// further connection attempts get no response.
async fn fill_backlog(socket: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    let _ = rustix::net::listen(socket, 0);
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS {
        match tokio::time::timeout(FILLER_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Holds a connection's place in the count of open connections until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: Arc<AtomicUsize>) -> ConnectionGuard {
        count.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves the requests of a connection until the connection ends. If the link ends the connection first,
/// requests that the handler still serves are dropped.
async fn serve_connection(
    stream: TcpStream,
    link: Link,
    node: NodeId,
    handler: Arc<dyn Handler>,
    _guard: ConnectionGuard,
) {
    let (server_end, link_end) = tokio::io::duplex(CONNECTION_BUFFER_BYTES);
    let (faults, fault_receiver) = mpsc::unbounded_channel();
    let connection = Arc::new(ServerConnection { node, request_count: AtomicUsize::new(0), faults });
    let keepalive = handler.keepalive();
    let service = service_fn(move |request| handler.clone().handle(connection.clone(), request));
    let http = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(keepalive)
        .serve_connection(TokioIo::new(server_end), service);
    let copying = link::join(stream, link_end, link.subscribe(), fault_receiver);
    tokio::pin!(copying);
    let serving = async move {
        let _ = http.await;
    };
    tokio::pin!(serving);
    tokio::select! {
        () = &mut copying => {}
        () = &mut serving => copying.await,
    }
}
