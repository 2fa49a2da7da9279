//! The target of a request.

use std::fmt;

use super::heap_size::allocation_bytes;
use super::request_defect::RequestDefect;
use super::syntax::{HostAndPort, is_path_and_query};

const SCHEME: &str = "http://";
/// The target of a request about the server as a whole (RFC 9112, 3.2.4).
const ASTERISK: &str = "*";
const HEXADECIMAL: u32 = 16;
/// A slash, percent-encoded.
const ENCODED_SLASH: &[u8] = b"%2f";
/// A dot, percent-encoded.
const ENCODED_DOT: &str = "%2e";

/// The target of a request: a path with an optional query, or `*`.
///
/// Invariant: the text is valid by RFC 9112, 3.2, and every hop finds the same path in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestTarget {
    path_and_query: Box<str>,
}

/// A target, with the host that it names if it is in absolute form.
pub(super) struct ParsedTarget {
    pub(super) target: RequestTarget,
    pub(super) authority: Option<HostAndPort>,
}

impl RequestTarget {
    /// Parses a target in origin form or asterisk form.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid, has a percent-encoded control character, or if hops could find different
    /// paths in it: in segments `.` and `..`, which some hops resolve, and in empty segments, which some hops drop.
    pub fn parse(text: &str) -> Result<RequestTarget, RequestDefect> {
        if text != ASTERISK && (!is_path_and_query(text) || has_encoded_control(text)) {
            return Err(RequestDefect::InvalidTarget);
        }
        let target = RequestTarget { path_and_query: text.into() };
        if target.has_empty_segment() || target.path_segments().any(is_dot_segment) {
            return Err(RequestDefect::AmbiguousPath);
        }
        Ok(target)
    }

    /// Parses a target in any form that a request to this node may have. A target in absolute form is reduced
    /// to its path and query (RFC 9112, 3.2.2).
    pub(super) fn parse_any_form(text: &str) -> Result<ParsedTarget, RequestDefect> {
        let scheme = text.get(..SCHEME.len()).filter(|scheme| scheme.eq_ignore_ascii_case(SCHEME));
        if scheme.is_none() {
            return Ok(ParsedTarget { target: RequestTarget::parse(text)?, authority: None });
        }
        let rest = &text[SCHEME.len()..];
        let (authority, path_and_query) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
        let authority = HostAndPort::parse(authority).ok_or(RequestDefect::InvalidTarget)?;
        let target = match path_and_query.starts_with('/') {
            true => RequestTarget::parse(path_and_query)?,
            false => RequestTarget::parse(&format!("/{path_and_query}"))?,
        };
        Ok(ParsedTarget { target, authority: Some(authority) })
    }

    /// Whether a segment of the path has a percent-encoded slash.
    pub fn has_encoded_slash(&self) -> bool {
        self.path()
            .as_bytes()
            .windows(ENCODED_SLASH.len())
            .any(|text| text.eq_ignore_ascii_case(ENCODED_SLASH))
    }

    /// The path and query, as they are forwarded.
    pub fn as_str(&self) -> &str {
        &self.path_and_query
    }

    /// The segments of the path, without the query. The path `/` has none.
    pub fn path_segments(&self) -> impl DoubleEndedIterator<Item = &str> {
        self.path().split('/').filter(|segment| !segment.is_empty())
    }

    fn path(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or_default()
    }

    fn has_empty_segment(&self) -> bool {
        let segments = self.path().strip_prefix('/').filter(|segments| !segments.is_empty());
        segments.is_some_and(|segments| segments.split('/').any(str::is_empty))
    }

    /// The allocated memory, in bytes.
    pub(super) fn allocated_bytes(&self) -> usize {
        allocation_bytes(self.path_and_query.len())
    }
}

impl fmt::Display for RequestTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.path_and_query)
    }
}

/// Whether there is a percent-encoded control character. The percent-encodings must be valid.
fn has_encoded_control(text: &str) -> bool {
    let mut encodings = text.split('%').skip(1).map(|rest| u8::from_str_radix(&rest[..2], HEXADECIMAL));
    encodings.any(|byte| byte.is_ok_and(|byte| byte.is_ascii_control()))
}

/// Whether a hop may resolve the segment as the current or the parent directory (RFC 3986, 5.2.4 and 6.2.2.2).
fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace(ENCODED_DOT, ".");
    matches!(&decoded[..], "." | "..")
}
