//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line without its line break.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| &value[..])
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The first and the last part of the path: the class and the key.
    pub fn class_and_key(&self) -> (&str, &str) {
        let path = self.path().split('?').next().unwrap_or_default();
        let mut parts = path.split('/').filter(|part| !part.is_empty());
        let class = parts.next().unwrap_or_default();
        (class, parts.next_back().unwrap_or_default())
    }
}

/// A connection with the bytes that were read ahead.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// The next whole message; `None` if the connection ended in order between two messages.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let ended = || io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended within a message");
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ended()) };
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let mut message = Message { start: lines.next().unwrap_or_default().to_string(), ..Message::default() };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
        let length: usize = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(ended());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a client sees of a request.
#[derive(Debug)]
pub enum Seen {
    Answer(Message),
    /// The connection ended with no byte of an answer.
    Closed(String),
    /// No answer came in time; the client gave up.
    TimedOut,
}

/// Sends a request on a client's connection and waits for the answer.
pub fn exchange(reader: &mut Reader, request: &[u8], wait: Duration) -> Seen {
    let _ = reader.stream.set_read_timeout(Some(wait));
    if let Err(error) = reader.stream.write_all(request) {
        return Seen::Closed(error.to_string());
    }
    match reader.message() {
        Ok(Some(answer)) => Seen::Answer(answer),
        Ok(None) => Seen::Closed("ended in order".to_string()),
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Seen::TimedOut,
        Err(error) => Seen::Closed(error.to_string()),
    }
}
