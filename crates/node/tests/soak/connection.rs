//! A blocking client connection that reads responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::net::sockopt;

/// A client's connection.
pub struct ClientConnection {
    stream: TcpStream,
    input: Vec<u8>,
}

impl ClientConnection {
    /// Connects to a node.
    pub fn open(node: SocketAddr) -> ClientConnection {
        let stream = TcpStream::connect(node).expect("the node listens");
        stream.set_nodelay(true).expect("a socket");
        ClientConnection { stream, input: Vec::new() }
    }

    /// Writes text. The node may have ended the connection; the responses tell.
    pub fn send(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// The status of the next response, if it arrives within this time.
    pub fn receive(&mut self, within: Duration) -> Option<u16> {
        let deadline = Instant::now() + within;
        loop {
            if let Some(status) = self.take_response() {
                return Some(status);
            }
            let left = deadline.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.stream.set_read_timeout(Some(left)).expect("a socket");
            let mut chunk = [0; 16_384];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
            }
        }
    }

    /// Closes the connection by a reset.
    pub fn reset(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("a socket");
    }

    fn take_response(&mut self) -> Option<u16> {
        let head_end = self.input.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        if self.input.len() < head_end + length {
            return None;
        }
        self.input.drain(..head_end + length);
        head.split(' ').nth(1)?.parse().ok()
    }
}

/// The value of a header in a message's head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = headers.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}
