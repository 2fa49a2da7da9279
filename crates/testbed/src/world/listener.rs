//! A server's address for one node: takes connections, refuses, or lets whoever knocks hear nothing.

use std::convert::Infallible;
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

use super::link::{self, Link, LinkState, Rough};
use crate::event_log::NodeId;

pub type Reply = Result<Response<BoxBody<Bytes, Infallible>>, Broken>;

/// In place of an answer: the connection is of no further use.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}

/// The far side of a connection, for whoever answers on it.
pub struct Peer {
    pub node: NodeId,
    /// Calls that came on it before.
    pub calls: AtomicUsize,
    rough: mpsc::UnboundedSender<Rough>,
}

impl Peer {
    pub fn break_with(&self, rough: Rough) {
        let _ = self.rough.send(rough);
    }
}

/// Whoever answers at a door.
pub trait Answers: Send + Sync + 'static {
    fn answer(
        self: Arc<Self>,
        peer: Arc<Peer>,
        call: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Reply> + Send>>;

    /// Idle connections are closed after this.
    fn keepalive(&self) -> Duration;

    /// The most connections; more are reset.
    fn connections(&self) -> usize;
}

/// Whether a door lets in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stance {
    Open,
    Refusing,
    /// What knocks hears nothing.
    Deaf,
}

pub struct Door {
    pub address: SocketAddr,
    pub link: Link,
    stance: watch::Sender<Stance>,
}

impl Door {
    /// Binds any free port of an address, or refuses at it until it is opened.
    ///
    /// # Errors
    /// The system's, where the address can't be listened on.
    pub async fn open(
        ip: IpAddr,
        node: NodeId,
        stance: Stance,
        answers: Arc<dyn Answers>,
    ) -> std::io::Result<Door> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let link: Link = Arc::new(watch::Sender::new(LinkState::default()));
        let (sender, receiver) = watch::channel(stance);
        tokio::spawn(attend(listener, receiver, link.clone(), node, answers));
        Ok(Door { address, link, stance: sender })
    }

    pub fn set(&self, stance: Stance) {
        self.stance.send_replace(stance);
        if stance == Stance::Refusing {
            self.reset();
        }
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.link.send_modify(|l| l.resets += 1);
    }
}

async fn attend(
    first: TcpListener,
    mut stance: watch::Receiver<Stance>,
    link: Link,
    node: NodeId,
    answers: Arc<dyn Answers>,
) {
    let Ok(address) = first.local_addr() else { return };
    let mut listener = Some(first);
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let now = *stance.borrow_and_update();
        let changed = match (now, &listener) {
            (Stance::Refusing, _) => {
                listener = None;
                stance.changed().await
            }
            (_, None) => {
                match TcpListener::bind(address).await {
                    Ok(bound) => listener = Some(bound),
                    // Something passes through the port: it is free again soon.
                    Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
                }
                Ok(())
            }
            (Stance::Deaf, Some(listener)) => {
                let fillers = deafen(listener, address).await;
                let changed = stance.changed().await;
                drop(fillers);
                let _ = rustix::net::listen(listener, 1024);
                changed
            }
            (Stance::Open, Some(listener)) => tokio::select! {
                changed = stance.changed() => changed,
                taken = listener.accept() => {
                    if let Ok((stream, _)) = taken {
                        let guard = Guard::new(open.clone());
                        if open.load(Ordering::Relaxed) <= answers.connections() {
                            tokio::spawn(attend_one(stream, link.clone(), node, answers.clone(), guard));
                        }
                    }
                    Ok(())
                }
            },
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Fills a listener's queue, so that what knocks after it hears nothing.
async fn deafen(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    let _ = rustix::net::listen(listener, 0);
    let mut fillers = Vec::new();
    // The queue of a backlog of none holds one or two.
    while fillers.len() < 8 {
        let knock = TcpStream::connect(address);
        match tokio::time::timeout(Duration::from_millis(30), knock).await {
            Ok(Ok(stream)) => fillers.push(stream),
            _ => break,
        }
    }
    fillers
}

/// Counts a connection while it lasts.
struct Guard(Arc<AtomicUsize>);

impl Guard {
    fn new(count: Arc<AtomicUsize>) -> Guard {
        count.fetch_add(1, Ordering::Relaxed);
        Guard(count)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn attend_one(stream: TcpStream, link: Link, node: NodeId, answers: Arc<dyn Answers>, _guard: Guard) {
    let (near, far) = tokio::io::duplex(64 * 1024);
    let (rough, orders) = mpsc::unbounded_channel();
    let peer = Arc::new(Peer { node, calls: AtomicUsize::new(0), rough });
    let keepalive = answers.keepalive();
    let service = service_fn(move |call| answers.clone().answer(peer.clone(), call));
    let http = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(keepalive)
        .serve_connection(TokioIo::new(near), service);
    let state = link.subscribe();
    // Whichever ends first ends the other: the server's side is dropped with all that it was doing.
    let carried = link::join(stream, far, state, orders);
    tokio::pin!(carried);
    let served = async move {
        let _ = http.await;
    };
    tokio::pin!(served);
    tokio::select! {
        () = &mut carried => {}
        () = &mut served => carried.await,
    }
}
