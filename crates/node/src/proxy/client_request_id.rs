//! The identifier that a client gives its request.

use std::fmt;

/// A client's identifier for a request, by which cache servers know the request too.
///
/// Invariant: the identifier is not empty and consists of visible ASCII characters other than a comma. Header
/// fields of the same name may be joined with commas, so that hops could read such an identifier as two.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClientRequestId(Box<str>);

impl ClientRequestId {
    /// Parses an identifier; `None` if the text is none.
    pub fn parse(text: &str) -> Option<ClientRequestId> {
        let is_valid = |byte: u8| byte.is_ascii_graphic() && byte != b',';
        let is_identifier = !text.is_empty() && text.bytes().all(is_valid);
        is_identifier.then(|| ClientRequestId(text.into()))
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
