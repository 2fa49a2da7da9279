//! Connections and listeners on loopback, polled by the test's single thread.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};

/// The longest wait for an expected event; every such event happens sooner, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause between two polls of the connections.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The time after which a connection attempt without an answer shows that a listener's queue is full.
const BLOCKED_AFTER: Duration = Duration::from_millis(100);
/// The size of the receive buffer of a connection that reads nothing at first.
const SMALL_BUFFER_BYTES: usize = 4096;

/// Whether the other side has ended a connection, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Open,
    /// The other side closed the connection in an orderly way.
    Closed,
    /// The other side reset the connection.
    Reset,
}

/// A received HTTP request or response.
pub struct ReceivedMessage {
    pub head: String,
    pub body: Vec<u8>,
}

/// A non-blocking connection with the bytes received on it that no message was taken from yet.
pub struct TestConnection {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub state: ConnectionState,
    /// Whether `poll` reads the bytes that arrive.
    pub is_reading: bool,
}

impl TestConnection {
    pub fn new(stream: TcpStream) -> TestConnection {
        stream.set_nonblocking(true).expect("a socket");
        TestConnection { stream, input: Vec::new(), state: ConnectionState::Open, is_reading: true }
    }

    /// Opens a connection with a small receive buffer that reads nothing until `is_reading` is set.
    pub fn connect_without_reading(address: SocketAddr) -> io::Result<TestConnection> {
        let socket = net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_recv_buffer_size(&socket, SMALL_BUFFER_BYTES)?;
        net::connect(&socket, &address)?;
        Ok(TestConnection { is_reading: false, ..TestConnection::new(socket.into()) })
    }

    /// Whether the other side has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.state != ConnectionState::Open
    }

    /// Reads the bytes that have arrived, and notes whether the other side has ended the connection.
    pub fn poll(&mut self) {
        let mut chunk = [0; 4096];
        while !self.has_ended() && self.is_reading {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.state = ConnectionState::Closed,
                Ok(count) => self.input.extend(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.state = ConnectionState::Reset,
            }
        }
    }

    /// Writes bytes, as far as the other side accepts them. The other side may reject the rest; its response
    /// to them is checked separately.
    pub fn write(&mut self, mut bytes: &[u8]) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !bytes.is_empty() && Instant::now() < deadline {
            match self.stream.write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::sleep(POLL_INTERVAL),
                Err(_) => return,
            }
        }
    }

    /// Resets the connection.
    pub fn reset(self) {
        sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("a socket");
    }

    /// Takes a complete message from the input, if there is one.
    pub fn take_message(&mut self) -> Option<ReceivedMessage> {
        let head_end = self.input.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.input[..head_end]).into_owned();
        let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let body = self.input.get(head_end..head_end + length)?.to_vec();
        self.input.drain(..head_end + length);
        Some(ReceivedMessage { head, body })
    }
}

/// The value of a header in a message's head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = headers.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(value.trim())
}

/// A non-blocking listener on a free port of an address.
pub fn listen(address: &str) -> TcpListener {
    let listener = TcpListener::bind((address, 0)).expect("a loopback address");
    listener.set_nonblocking(true).expect("a socket");
    listener
}

/// Fills a listener's accept queue, so that further connections to the listener are neither accepted nor
/// refused. Returns the connections that fill the queue.
pub fn fill_accept_queue(listener: &TcpListener) -> Vec<TcpStream> {
    net::listen(listener, 0).expect("a socket");
    let address = listener.local_addr().expect("an address");
    let connect = || TcpStream::connect_timeout(&address, BLOCKED_AFTER).ok();
    std::iter::from_fn(connect).collect()
}
