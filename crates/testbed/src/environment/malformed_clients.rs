//! Malformed clients: each sends a node bytes that are no valid request. The node has to send an error
//! response or close the connection.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::event_log::{Event, EventLogWriter};
use crate::experiment::{Experiment, Fault};

/// Time within which a node has to respond to a malformed client or to close its connection.
const RESPONSE_DEADLINE: Duration = Duration::from_secs(3);
/// Length of the unterminated header, in bytes.
const UNTERMINATED_HEADER_BYTES: usize = 200_000;

/// Bytes that are no valid request.
#[derive(Clone)]
struct MalformedRequest {
    /// Description for the event log.
    description: &'static str,
    bytes: Vec<u8>,
}

impl MalformedRequest {
    fn new(description: &'static str, bytes: impl Into<Vec<u8>>) -> MalformedRequest {
        MalformedRequest { description, bytes: bytes.into() }
    }
}

/// All kinds of malformed requests. `request_class` names a class that the node knows.
fn malformed_requests(request_class: &str) -> Vec<MalformedRequest> {
    let request =
        |headers: &str| format!("GET /{request_class}/00 HTTP/1.1\r\nHost: n\r\n{headers}\r\n").into_bytes();
    let mut unterminated = request("X-A: ");
    unterminated.truncate(unterminated.len() - 2);
    unterminated.extend(std::iter::repeat_n(b'a', UNTERMINATED_HEADER_BYTES));
    vec![
        MalformedRequest::new("noise", b"\x16\x03\x01 no call at all \xff\xfe\r\n\r\n"),
        MalformedRequest::new("a head without end", unterminated),
        MalformedRequest::new("a negative length", request("X-Request-ID: b1\r\nContent-Length: -5\r\n")),
        MalformedRequest::new(
            "a huge length",
            request("X-Request-ID: b2\r\nContent-Length: 99999999999999999999\r\n"),
        ),
        MalformedRequest::new(
            "two framings",
            request("X-Request-ID: b3\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        ),
        MalformedRequest::new(
            "no such product",
            b"GET /nothing/00 HTTP/1.1\r\nHost: n\r\nX-Request-ID: b4\r\n\r\n",
        ),
        MalformedRequest::new("a time that is none", request("X-Request-ID: b5\r\nX-Timeout-Ms: soon\r\n")),
        MalformedRequest::new("no id", request("")),
        MalformedRequest::new("half a call", format!("GET /{request_class}/00 HT")),
        MalformedRequest::new("nothing", Vec::new()),
    ]
}

/// Connects `fault.count` malformed clients to a node and records for each whether the node rejected it in
/// time.
pub async fn run(node: SocketAddr, event_log: EventLogWriter, fault: &Fault, experiment: &Experiment) {
    let requests = malformed_requests(&experiment.request_classes[0].name);
    let mut clients = tokio::task::JoinSet::new();
    for number in 0..fault.count {
        let MalformedRequest { description, bytes } = requests[number % requests.len()].clone();
        let event_log = event_log.clone();
        clients.spawn(async move {
            let is_rejected =
                tokio::time::timeout(RESPONSE_DEADLINE, is_rejected(node, &bytes)).await.unwrap_or(false);
            event_log.event(Event::MalformedClient { handled: is_rejected, what: description.into() });
        });
    }
    while clients.join_next().await.is_some() {}
}

/// Sends a malformed request and returns whether the node responds with an error or closes the connection.
async fn is_rejected(node: SocketAddr, bytes: &[u8]) -> bool {
    let Ok(stream) = TcpStream::connect(node).await else { return true };
    let (from_node, to_node) = stream.into_split();
    tokio::select! {
        () = send_and_stay(to_node, bytes) => false,
        is_rejected = wait_for_rejection(from_node) => is_rejected,
    }
}

/// Sends bytes and keeps the connection open, so that only the node can end it.
async fn send_and_stay(mut to_node: OwnedWriteHalf, bytes: &[u8]) {
    let _ = to_node.write_all(bytes).await;
    std::future::pending::<()>().await;
}

/// Reads until an error status arrives or the connection ends, and returns true.
async fn wait_for_rejection(mut from_node: OwnedReadHalf) -> bool {
    let mut response = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match from_node.read(&mut buffer).await {
            Ok(0) | Err(_) => return true,
            Ok(read) => response.extend_from_slice(&buffer[..read]),
        }
        if response.starts_with(b"HTTP/1.1 4") || response.starts_with(b"HTTP/1.1 5") {
            return true;
        }
    }
}
