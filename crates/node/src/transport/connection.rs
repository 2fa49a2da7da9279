//! TCP connections with one buffer per direction.

use std::net::{SocketAddr, SocketAddrV4};

use rustix::event::epoll::EventFlags;
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{self, RecvFlags, SendFlags, Shutdown, SocketType, sockopt};

use super::socket::{SOCKET_FLAGS, address_family, is_descriptor_exhaustion};
use super::{CloseReason, ConnectionId, Owner, ReadinessEvent, RingBuffer, Transport};

/// Largest amount of buffered input in bytes: it holds the longest message head, or a large part of a body.
const MAX_INPUT_BYTES: usize = 16 * 1024;

/// Whether the handshake of a connection has completed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionState {
    Connecting,
    Connected,
}

/// A non-blocking TCP connection.
///
/// The caller consumes `input` and appends to `output`. [`Connection::receive`] fills `input` from the
/// socket, and [`Connection::flush`] sends `output`. After receiving and flushing, the caller calls
/// [`Connection::update_interest`], so that epoll reports when more can be received or sent.
pub struct Connection {
    id: ConnectionId,
    fd: OwnedFd,
    /// Received bytes that were not consumed yet.
    pub input: RingBuffer,
    /// Bytes that were not sent yet.
    pub output: RingBuffer,
    state: ConnectionState,
    /// How the peer closed the connection, once its end has been read.
    closed: Option<CloseReason>,
    /// Whether epoll has reported the end of the connection or of its input. Data that the peer sent before
    /// the end may still be unread.
    end_reported: bool,
    /// Whether the last call of `receive` found that the system has no more data for now, or the end.
    is_drained: bool,
    /// The events for which the connection is registered with epoll.
    interest: EventFlags,
}

impl Connection {
    /// Starts to connect to an address. [`Connection::is_connected`] tells when the connection is
    /// established.
    ///
    /// # Errors
    ///
    /// Returns [`CloseReason::NoFileDescriptor`] if no file descriptor or local port is available, and
    /// [`CloseReason::Refused`] if the system refuses the address immediately.
    pub fn connect(
        transport: &mut Transport,
        address: SocketAddr,
        owner: Owner,
    ) -> Result<Connection, CloseReason> {
        if transport.available_connections() == 0 {
            return Err(CloseReason::NoFileDescriptor);
        }
        let socket = net::socket_with(address_family(&address), SocketType::STREAM, SOCKET_FLAGS, None);
        let fd = match socket {
            Ok(fd) => fd,
            Err(error) => {
                if is_descriptor_exhaustion(error) {
                    transport.record_descriptor_exhaustion();
                }
                return Err(CloseReason::NoFileDescriptor);
            }
        };
        match net::connect(&fd, &address) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(Errno::ADDRNOTAVAIL | Errno::AGAIN) => return Err(CloseReason::NoFileDescriptor),
            Err(_) => return Err(CloseReason::Refused),
        }
        Connection::register(transport, fd, owner, ConnectionState::Connecting)
    }

    /// Creates a connection from a socket that a listener has accepted.
    pub(super) fn accepted(
        transport: &mut Transport,
        fd: OwnedFd,
        owner: Owner,
    ) -> Result<Connection, CloseReason> {
        Connection::register(transport, fd, owner, ConnectionState::Connected)
    }

    fn register(
        transport: &mut Transport,
        fd: OwnedFd,
        owner: Owner,
        state: ConnectionState,
    ) -> Result<Connection, CloseReason> {
        // Messages are written as a whole, so that waiting for more data would only delay them. An error is
        // ignored, since the connection also works without the option.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let mut interest = EventFlags::IN | EventFlags::RDHUP;
        if state == ConnectionState::Connecting {
            interest |= EventFlags::OUT;
        }
        let id = transport.register(&fd, owner, interest).map_err(|_| CloseReason::NoFileDescriptor)?;
        transport.connection_opened();
        Ok(Connection {
            id,
            fd,
            input: RingBuffer::default(),
            output: RingBuffer::default(),
            state,
            closed: None,
            end_reported: false,
            is_drained: false,
            interest,
        })
    }

    /// The identifier under which events and timers refer to this connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// The address of the peer; `None` if the connection has ended.
    pub fn peer_address(&self) -> Option<SocketAddrV4> {
        let peer = net::getpeername(&self.fd).ok().flatten()?;
        peer.try_into().ok()
    }

    /// Whether the handshake has completed.
    pub fn is_connected(&self) -> bool {
        self.state == ConnectionState::Connected
    }

    /// How the peer ended the connection, once all data before the end was received.
    ///
    /// The reason is also returned if epoll has reported the end while the input buffer is full. Otherwise,
    /// as long as the input is not consumed, epoll would report the end in every turn, and the node would
    /// keep waiting for a client that sent more than the buffer holds and disconnected.
    pub fn close_reason(&self) -> Option<CloseReason> {
        if self.closed.is_none() && self.end_reported && self.input.len() >= MAX_INPUT_BYTES {
            return Some(CloseReason::SocketError);
        }
        self.closed
    }

    /// Whether epoll has reported the end of the connection or of its input. Data that the peer sent before
    /// the end may still be unread.
    pub fn is_end_reported(&self) -> bool {
        self.end_reported
    }

    /// Whether the last call of [`Connection::receive`] found that the operating system holds no more data,
    /// or read the end of the input.
    pub fn is_drained(&self) -> bool {
        self.is_drained || self.closed.is_some()
    }

    /// Handles an event from epoll: receives available data, and records the end of the connection or its
    /// input.
    pub fn on_event(&mut self, event: &ReadinessEvent) {
        if event.readable {
            self.receive();
        }
        self.record_end(event);
    }

    /// Records the end of the connection or its input, if epoll has reported it.
    pub fn record_end(&mut self, event: &ReadinessEvent) {
        self.end_reported |= event.closed || event.read_closed;
    }

    /// Receives the data that is available, up to the limit of the input buffer.
    pub fn receive(&mut self) {
        self.receive_at_most(MAX_INPUT_BYTES);
    }

    /// Receives the data that is available, up to `max` bytes and the limit of the input buffer. Returns the number
    /// of received bytes.
    pub fn receive_at_most(&mut self, max: usize) -> usize {
        let before = self.input.len();
        self.fill_input((before + max).min(MAX_INPUT_BYTES));
        self.input.len() - before
    }

    /// Receives data until so many bytes are buffered or no more is available.
    fn fill_input(&mut self, target: usize) {
        self.is_drained = false;
        let mut chunk = [0; MAX_INPUT_BYTES];
        while self.is_connected() && self.closed.is_none() && self.input.len() < target {
            let capacity = target - self.input.len();
            match net::recv(&self.fd, &mut chunk[..capacity], RecvFlags::empty()) {
                Ok((0, _)) => self.closed = Some(CloseReason::ClosedByPeer),
                Ok((count, _)) => {
                    self.input.push(&chunk[..count]);
                    if count < capacity {
                        return;
                    }
                }
                Err(Errno::AGAIN) => {
                    self.is_drained = true;
                    return;
                }
                Err(Errno::INTR) => {}
                Err(_) => self.closed = Some(CloseReason::SocketError),
            }
        }
    }

    /// Looks whether the operating system holds more data, without receiving any. Afterwards,
    /// [`Connection::is_drained`] is false only if epoll reports the connection again.
    pub fn peek(&mut self) {
        if !self.is_connected() || self.closed.is_some() {
            return;
        }
        match net::recv(&self.fd, &mut [0; 1], RecvFlags::PEEK) {
            Ok((0, _)) => self.closed = Some(CloseReason::ClosedByPeer),
            Ok(_) | Err(Errno::INTR) => self.is_drained = false,
            Err(Errno::AGAIN) => self.is_drained = true,
            Err(_) => self.closed = Some(CloseReason::SocketError),
        }
    }

    /// Sends buffered output until the buffer is empty or the socket accepts no more.
    ///
    /// # Errors
    ///
    /// Returns [`CloseReason::SocketError`] if the socket reports an error.
    pub fn flush(&mut self) -> Result<(), CloseReason> {
        if !self.is_connected() {
            return Ok(());
        }
        while !self.output.is_empty() {
            match net::send(&self.fd, self.output.first_slice(), SendFlags::NOSIGNAL) {
                Ok(count) => self.output.consume(count),
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => {}
                Err(_) => return Err(CloseReason::SocketError),
            }
        }
        Ok(())
    }

    /// Checks whether the handshake has completed. To be called when epoll reports an event of a connecting
    /// socket.
    ///
    /// # Errors
    ///
    /// Returns [`CloseReason::Refused`] if the handshake has failed.
    pub fn finish_connect(&mut self) -> Result<(), CloseReason> {
        if self.is_connected() {
            return Ok(());
        }
        match sockopt::socket_error(&self.fd) {
            Ok(Ok(())) => {
                let has_peer = net::getpeername(&self.fd).is_ok_and(|peer| peer.is_some());
                if has_peer {
                    self.state = ConnectionState::Connected;
                }
                Ok(())
            }
            Ok(Err(_)) | Err(_) => Err(CloseReason::Refused),
        }
    }

    /// Registers the connection with epoll for exactly the events that it can handle next.
    pub fn update_interest(&mut self, transport: &Transport) {
        let reads = self.input.len() < MAX_INPUT_BYTES && self.closed.is_none();
        let writes = !self.is_connected() || !self.output.is_empty();
        let mut interest = EventFlags::empty();
        interest.set(EventFlags::IN, reads);
        // The end of the input is reported even while the input buffer is full: a client that sent much data
        // and disconnected must not count as waiting.
        interest.set(EventFlags::RDHUP, self.closed.is_none());
        interest.set(EventFlags::OUT, writes);
        if interest != self.interest && transport.modify(&self.fd, self.id, interest).is_ok() {
            self.interest = interest;
        }
    }

    /// Closes the sending direction, so that the peer receives the end of the data.
    pub fn shutdown_write(&self) {
        // An error is ignored: it means that the connection has already ended.
        let _ = net::shutdown(&self.fd, Shutdown::Write);
    }

    /// Closes the connection and removes its timers.
    pub fn close(self, transport: &mut Transport) {
        transport.connection_closed(self.id);
    }
}
