//! Why a request whose framing is certain is refused.

use std::fmt;

/// Why the head of a request is refused although it is certain where the request ends. Requests behind it on
/// its connection can be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestDefect {
    /// The target violates the syntax.
    InvalidTarget,
    /// Hops could find different paths in the target.
    AmbiguousPath,
    /// An HTTP/1.1 request has no `Host` header.
    MissingHost,
    /// There is more than one `Host` header.
    RepeatedHost,
    /// The `Host` header violates the syntax.
    InvalidHost,
    /// The target names another host than the `Host` header.
    ConflictingHost,
    /// The `Connection` header violates the syntax.
    InvalidConnection,
    /// The `Connection` header names a header that is meant for every hop, which a hop would remove.
    ConnectionNamesEndToEndHeader,
    /// A read has a body.
    BodyOfRead,
    /// `Expect` has another expectation than `100-continue`.
    UnknownExpectation,
    /// `TE` names the coding `chunked`, which a client must not name there.
    ChunkedInTe,
}

impl RequestDefect {
    /// The status of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestDefect::UnknownExpectation => 417,
            _ => 400,
        }
    }

    /// The name of the defect in the log.
    pub fn name(self) -> &'static str {
        match self {
            RequestDefect::InvalidTarget => "invalid-target",
            RequestDefect::AmbiguousPath => "ambiguous-path",
            RequestDefect::MissingHost => "missing-host",
            RequestDefect::RepeatedHost => "repeated-host",
            RequestDefect::InvalidHost => "invalid-host",
            RequestDefect::ConflictingHost => "conflicting-host",
            RequestDefect::InvalidConnection => "invalid-connection",
            RequestDefect::ConnectionNamesEndToEndHeader => "connection-names-end-to-end-header",
            RequestDefect::BodyOfRead => "body-of-read",
            RequestDefect::UnknownExpectation => "unknown-expectation",
            RequestDefect::ChunkedInTe => "chunked-in-te",
        }
    }
}

impl fmt::Display for RequestDefect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for RequestDefect {}
