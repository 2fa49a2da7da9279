//! The reasons for which a connection is closed.

/// Why a connection was closed, or could not be opened.
///
/// The same reasons apply to connections from clients, to cache servers and to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer refused the connection, or no route leads to it.
    Refused,
    /// The connection was not established within its time.
    ConnectTimeout,
    /// No file descriptor was available for it.
    NoFileDescriptor,
    /// The peer closed it in an orderly way.
    ClosedByPeer,
    /// It was reset, or its socket reported another error.
    SocketError,
    /// The peer sent nothing, or accepted nothing, for too long.
    PeerTimeout,
    /// The data received on it was malformed or exceeded a limit.
    ProtocolError,
    /// This side stopped waiting for a response whose deadline had passed.
    DeadlineExceeded,
    /// This side cancelled the attempt that the connection carried.
    Cancelled,
    /// This side no longer needed it: it was idle, unwanted, or had served its purpose.
    NoLongerNeeded,
}
