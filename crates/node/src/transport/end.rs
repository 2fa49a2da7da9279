//! How connections end.

/// Every way in which a connection can end, whoever is at its other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was refused, or no route led there.
    Refused,
    /// It was not up within its time.
    NeverUp,
    /// There was no descriptor for it.
    NoDescriptor,
    /// The other side closed it in order.
    Closed,
    /// It broke: a reset, or any other trouble of the socket's.
    Broken,
    /// The other side said nothing for too long, or took nothing.
    Silent,
    /// What came over it was malformed or over the limits.
    Malformed,
    /// This side stopped waiting for an answer whose time was up.
    GivenUp,
    /// This side called off what it was for.
    Recalled,
    /// This side had no more use for it: it was idle, unwanted, or had done what it was for.
    Done,
}
