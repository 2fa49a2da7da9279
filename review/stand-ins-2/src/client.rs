//! Clients: one request at a time on a connection that is kept.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Message};

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum End {
    /// A whole answer.
    Answer(Message),
    /// The connection ended, or could not be opened, with no whole answer.
    Closed(String),
    /// No answer came in the time that the client waits.
    NoAnswer,
}

/// A client's connection to a node.
pub struct Client {
    node: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(node: SocketAddr) -> Client {
        Client { node, connection: None }
    }

    /// Sends a request, and waits for its answer up to `wait`.
    pub fn call(&mut self, text: &[u8], wait: Duration) -> End {
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(self.node) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    BufReader::new(stream)
                }
                Err(error) => return End::Closed(error.to_string()),
            },
        };
        let _ = reader.get_ref().set_read_timeout(Some(wait));
        if let Err(error) = reader.get_mut().write_all(text) {
            return End::Closed(error.to_string());
        }
        match http::read(&mut reader) {
            Ok(Some(answer)) => {
                if !answer.says_close() {
                    self.connection = Some(reader);
                }
                End::Answer(answer)
            }
            Ok(None) => End::Closed("closed with no answer".into()),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                End::NoAnswer
            }
            Err(error) => End::Closed(error.to_string()),
        }
    }
}

/// The text of a read.
pub fn get(class: &str, key: &str, id: &str, timeout_ms: u64) -> Vec<u8> {
    format!(
        "GET /{class}/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n\r\n"
    )
    .into_bytes()
}

/// The text of a write. `mark` is its `Idempotency-Key`, where its class has one.
pub fn put(class: &str, key: &str, id: &str, timeout_ms: u64, mark: Option<&str>, value: &str) -> Vec<u8> {
    let mark = mark.map(|mark| format!("Idempotency-Key: {mark}\r\n")).unwrap_or_default();
    format!(
        "PUT /{class}/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Timeout-Ms: {timeout_ms}\r\n{mark}Content-Length: {}\r\n\r\n{value}",
        value.len()
    )
    .into_bytes()
}

/// Waits until a node answers `GET /health/ready` with 200.
pub fn wait_until_ready(node: SocketAddr, at_most: Duration) -> bool {
    let until = std::time::Instant::now() + at_most;
    while std::time::Instant::now() < until {
        let text = b"GET /health/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
        if let End::Answer(answer) = Client::new(node).call(text, Duration::from_millis(500))
            && answer.status() == 200
        {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
