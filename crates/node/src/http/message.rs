//! The parts of an HTTP message.

use std::fmt;

use super::headers::Headers;
use super::heap_size::allocation_bytes;
use super::request_defect::RequestDefect;
use super::request_target::RequestTarget;
use super::syntax::trim_whitespace;

/// Headers that are not forwarded, because they apply to a single connection (RFC 9110, 7.6.1) or the node
/// writes its own value.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout-ms",
];

/// The headers that the protocol between clients and nodes names. They are meant for every hop.
pub const PROTOCOL_HEADERS: [&str; 7] =
    ["idempotency-key", "x-attrs", "x-cost", "x-priority-class", "x-request-id", "x-retried", "x-timeout-ms"];

/// Whether a message is a request or a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A message from a client.
    Request,
    /// A message from a server.
    Response,
}

/// The head of a message: the start line and the headers.
#[derive(Clone, Debug, Default)]
pub struct MessageHead {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response, and for a request that has a defect.
    pub target: RequestTarget,
    /// The status code of a response; 0 for a request.
    pub status: u16,
    /// Whether the sender allows further messages on the connection after this one.
    pub keep_alive: bool,
    /// The headers in the order of the message.
    pub headers: Headers,
    /// Why a request is refused although its framing is certain; `None` if its head is valid.
    pub defect: Option<RequestDefect>,
}

impl MessageHead {
    /// The first value of a header, if the header is present and the value is UTF-8 text. Header names are
    /// case-insensitive.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    /// The value of a header that may occur at most once.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError::Malformed`] if the header occurs more than once or its value is not UTF-8 text,
    /// since different hops could read different values.
    pub fn single_header(&self, name: &str) -> Result<Option<&str>, ParseError> {
        let mut values = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let Some((_, value)) = values.next() else { return Ok(None) };
        if values.next().is_some() {
            return Err(ParseError::Malformed);
        }
        std::str::from_utf8(value).map(Some).or(Err(ParseError::Malformed))
    }

    /// Whether the header is present.
    pub fn has_header(&self, name: &str) -> bool {
        self.headers.iter().any(|(n, _)| n.eq_ignore_ascii_case(name))
    }

    /// All values of a header, in the order of the message.
    pub fn header_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether a header whose value is a comma-separated list contains the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.list_elements(name).any(|element| element.eq_ignore_ascii_case(token.as_bytes()))
    }

    /// The elements of a header whose value is a comma-separated list. Elements may be empty.
    pub fn list_elements<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let elements = self.header_values(name).flat_map(|value| value.split(|byte| *byte == b','));
        elements.map(trim_whitespace)
    }

    /// The headers that are forwarded, since they are meant for the final recipient and not for the next hop.
    pub fn end_to_end_headers(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let options: Vec<&[u8]> = self.list_elements("connection").collect();
        self.headers.iter().filter(move |(name, _)| {
            let is_known = HOP_BY_HOP_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header));
            let is_named = options.iter().any(|option| option.eq_ignore_ascii_case(name.as_bytes()));
            !is_known && !is_named
        })
    }

    /// The memory that the head has allocated, in bytes.
    pub(super) fn allocated_bytes(&self) -> usize {
        allocation_bytes(self.method.capacity())
            + self.target.allocated_bytes()
            + self.headers.allocated_bytes()
    }
}

/// A complete message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line and headers.
    pub head: MessageHead,
    /// The body, with any transfer coding removed.
    pub body: Vec<u8>,
}

impl Message {
    /// The memory that the message has allocated, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.head.allocated_bytes() + allocation_bytes(self.body.capacity())
    }
}

/// Why received bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// The message violates the syntax, or has conflicting framings.
    Malformed,
    /// The start line and headers exceed the limit on their size or number.
    HeadTooLarge,
    /// The body exceeds the limit on its size.
    BodyTooLarge,
    /// A request that has a body by its method doesn't tell the length of the body.
    LengthRequired,
}

impl ParseError {
    /// The status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::Malformed => 400,
            ParseError::LengthRequired => 411,
            ParseError::BodyTooLarge => 413,
            ParseError::HeadTooLarge => 431,
        }
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ParseError::Malformed => "the HTTP message is malformed",
            ParseError::HeadTooLarge => {
                "the head of the HTTP message exceeds the limit on its size or number of headers"
            }
            ParseError::BodyTooLarge => "the body of the HTTP message exceeds the limit on its size",
            ParseError::LengthRequired => "the HTTP request has a body of unknown length",
        })
    }
}

impl std::error::Error for ParseError {}
