//! The identifier that a client gives its request.

use std::fmt;

use crate::http::{MessageHead, allocation_bytes};

/// The most characters of an identifier. Common ones, such as UUIDs and trace identifiers, have at most 64.
const MAX_LENGTH: usize = 256;

/// A client's identifier for a request, by which cache servers know the request too.
///
/// Invariant: the identifier has 1 to 256 visible ASCII characters other than a comma. Header fields of the
/// same name may be joined with commas, so that hops could read such an identifier as two.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientRequestId(Box<str>);

impl ClientRequestId {
    /// Parses an identifier; `None` if the text is none.
    pub fn parse(text: &str) -> Option<ClientRequestId> {
        let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b',';
        let is_identifier = (1..=MAX_LENGTH).contains(&text.len()) && text.bytes().all(is_valid);
        is_identifier.then(|| ClientRequestId(text.into()))
    }

    /// The identifier that a request has; `None` if it is missing, repeated or invalid.
    pub fn of(head: &MessageHead) -> Option<ClientRequestId> {
        head.single_header("x-request-id").ok().flatten().and_then(ClientRequestId::parse)
    }

    /// The allocated memory, in bytes.
    pub(super) fn allocated_bytes(&self) -> usize {
        allocation_bytes(self.0.len())
    }

    /// The identifier's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ClientRequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
