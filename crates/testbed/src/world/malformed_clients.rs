//! Bad clients: each comes to a node with something that is no call, and is owed an error or a close.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::event_log::{Event, EventLogWriter};
use crate::experiment::{Experiment, Fault};

/// A bad client is met if it has an error or a close by then.
const OWED: Duration = Duration::from_secs(3);

/// What they send, each under a word for it.
fn texts(product: &str) -> Vec<(&'static str, Vec<u8>)> {
    let call = |rest: &str| format!("GET /{product}/00 HTTP/1.1\r\nHost: n\r\n{rest}\r\n").into_bytes();
    let mut endless = call("X-A: ");
    endless.truncate(endless.len() - 2);
    endless.extend(std::iter::repeat_n(b'a', 200_000));
    vec![
        ("noise", b"\x16\x03\x01 no call at all \xff\xfe\r\n\r\n".to_vec()),
        ("a head without end", endless),
        ("a negative length", call("X-Request-ID: b1\r\nContent-Length: -5\r\n")),
        ("a huge length", call("X-Request-ID: b2\r\nContent-Length: 99999999999999999999\r\n")),
        ("two framings", call("X-Request-ID: b3\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n")),
        ("no such product", b"GET /nothing/00 HTTP/1.1\r\nHost: n\r\nX-Request-ID: b4\r\n\r\n".to_vec()),
        ("a time that is none", call("X-Request-ID: b5\r\nX-Timeout-Ms: soon\r\n")),
        ("no id", call("")),
        ("half a call", format!("GET /{product}/00 HT").into_bytes()),
        ("nothing", Vec::new()),
    ]
}

pub async fn come(node: SocketAddr, event_log: EventLogWriter, fault: &Fault, of: &Experiment) {
    let texts = texts(&of.request_classes[0].name);
    let mut clients = tokio::task::JoinSet::new();
    for n in 0..fault.count {
        let (what, text) = texts[n % texts.len()].clone();
        let event_log = event_log.clone();
        clients.spawn(async move {
            let met = tokio::time::timeout(OWED, one(node, &text)).await.unwrap_or(false);
            event_log.event(Event::MalformedClient { handled: met, what: what.into() });
        });
    }
    while clients.join_next().await.is_some() {}
}

/// Whether it was told an error or let go.
async fn one(node: SocketAddr, text: &[u8]) -> bool {
    let Ok(stream) = TcpStream::connect(node).await else { return true };
    let (mut from, mut to) = stream.into_split();
    let writes = async move {
        let _ = to.write_all(text).await;
        // It stays: what it is owed has to come without its leaving.
        std::future::pending::<()>().await;
    };
    let reads = async move {
        let mut answer = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            match from.read(&mut chunk).await {
                Ok(0) | Err(_) => return true,
                Ok(n) => answer.extend_from_slice(&chunk[..n]),
            }
            if answer.starts_with(b"HTTP/1.1 4") || answer.starts_with(b"HTTP/1.1 5") {
                return true;
            }
        }
    };
    tokio::select! {
        () = writes => false,
        met = reads => met,
    }
}
