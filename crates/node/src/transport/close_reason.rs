//! The reasons why connections are closed.

/// Why a connection was closed, or could not be opened.
///
/// Connections from clients, to cache servers and to discovery share these reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer refused the connection, or no route leads to it.
    Refused,
    /// The connection was not established within the connect timeout.
    ConnectTimeout,
    /// No file descriptor or local port was available for the connection.
    NoFileDescriptor,
    /// The peer closed the connection without an error.
    ClosedByPeer,
    /// The connection was reset, or its socket reported another error.
    SocketError,
    /// The peer sent no data, or accepted no data, for too long.
    PeerTimeout,
    /// The received data was malformed or exceeded a limit.
    ProtocolError,
    /// The node stopped waiting for a response because its deadline had passed.
    DeadlineExceeded,
    /// The node cancelled the attempt on the connection.
    Cancelled,
    /// The node no longer needed the connection: it was idle, superfluous, or its exchange was complete.
    NoLongerNeeded,
}
