//! Connections and listeners on loopback, polled by the test's one thread.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

/// Longer than anything that is waited for takes, also on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(8);

pub struct Conn {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub ended: bool,
    /// It did not end in order.
    pub torn: bool,
    /// Nothing is read from it.
    pub withholds: bool,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        stream.set_nonblocking(true).expect("a socket");
        Conn { stream, input: Vec::new(), ended: false, torn: false, withholds: false }
    }

    /// One that reads nothing for now, and for which the system holds little.
    pub fn withholding(to: SocketAddr) -> io::Result<Conn> {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_recv_buffer_size(&socket, 4096)?;
        net::connect(&socket, &to)?;
        Ok(Conn { withholds: true, ..Conn::new(socket.into()) })
    }

    pub fn poll(&mut self) {
        let mut chunk = [0; 4096];
        while !self.ended && !self.withholds {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = true,
                Ok(n) => self.input.extend(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => (self.ended, self.torn) = (true, true),
            }
        }
    }

    pub fn write(&mut self, mut bytes: &[u8]) {
        let until = Instant::now() + PATIENCE;
        while !bytes.is_empty() && Instant::now() < until {
            match self.stream.write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_millis(1)),
                // The other side may have had enough; what it says to that is looked at by itself.
                Err(_) => return,
            }
        }
    }

    /// Ends it by a reset.
    pub fn tear(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("a socket");
    }

    /// A whole message's head and body, taken off the input.
    pub fn message(&mut self) -> Option<(String, Vec<u8>)> {
        let head_end = self.input.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let body = self.input.get(head_end..head_end + length)?.to_vec();
        self.input.drain(..head_end + length);
        Some((head, body))
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim())
}

pub fn free(address: &str) -> TcpListener {
    let listener = TcpListener::bind((address, 0)).expect("a loopback address");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

/// Fills a listener's queue, so that what knocks hears nothing.
pub fn deafen(listener: &TcpListener) -> Vec<TcpStream> {
    net::listen(listener, 0).expect("a socket");
    let endpoint = listener.local_addr().expect("an address");
    let knock = || TcpStream::connect_timeout(&endpoint, Duration::from_millis(100)).ok();
    std::iter::from_fn(knock).collect()
}
