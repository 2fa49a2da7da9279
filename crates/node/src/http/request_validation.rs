//! Validates the parts of a request's head that do not decide where the request ends.

use super::message::MessageHead;
use super::request_defect::RequestDefect;
use super::request_target::RequestTarget;
use super::syntax::{HostAndPort, is_token};

/// Headers about a request's framing and destination. If `Connection` names one, some hops remove it and read
/// another request than the others.
const END_TO_END_HEADERS: [&str; 3] = ["content-length", "host", "transfer-encoding"];

const READ_METHOD: &str = "GET";

/// Validates the head of a request and sets its target.
///
/// # Errors
///
/// Returns the first defect that was found.
pub(super) fn validate_request(
    head: &mut MessageHead,
    target: &str,
    is_http_1_1: bool,
) -> Result<(), RequestDefect> {
    let host = parse_host(head, is_http_1_1)?;
    validate_connection(head)?;
    validate_body(head)?;
    validate_expectations(head)?;
    if head.has_token("te", "chunked") {
        return Err(RequestDefect::ChunkedInTe);
    }
    let parsed = RequestTarget::parse_any_form(target)?;
    match (&host, &parsed.authority) {
        (Some(host), Some(authority)) if !host.is_same(authority) => {
            return Err(RequestDefect::ConflictingHost);
        }
        (None, Some(authority)) => head.headers.push("Host", authority.as_str().as_bytes()),
        _ => {}
    }
    head.target = parsed.target;
    Ok(())
}

/// The value of the `Host` header, which only an HTTP/1.0 request may lack (RFC 9112, 3.2).
fn parse_host(head: &MessageHead, is_http_1_1: bool) -> Result<Option<HostAndPort>, RequestDefect> {
    let mut values = head.header_values("host");
    let Some(value) = values.next() else {
        return if is_http_1_1 { Err(RequestDefect::MissingHost) } else { Ok(None) };
    };
    if values.next().is_some() {
        return Err(RequestDefect::RepeatedHost);
    }
    let text = std::str::from_utf8(value).map_err(|_| RequestDefect::InvalidHost)?;
    HostAndPort::parse(text).map(Some).ok_or(RequestDefect::InvalidHost)
}

/// A body of a read has no meaning (RFC 9110, 9.3.1). A length of zero is no body.
fn validate_body(head: &MessageHead) -> Result<(), RequestDefect> {
    if head.method != READ_METHOD {
        return Ok(());
    }
    let is_empty = head.header_text("content-length").is_none_or(|length| length.bytes().all(|b| b == b'0'));
    let is_chunked = head.header_values("transfer-encoding").next().is_some();
    if is_empty && !is_chunked { Ok(()) } else { Err(RequestDefect::BodyOfRead) }
}

fn validate_expectations(head: &MessageHead) -> Result<(), RequestDefect> {
    let is_known = |expectation: &[u8]| expectation.eq_ignore_ascii_case(b"100-continue");
    if head.list_elements("expect").all(is_known) { Ok(()) } else { Err(RequestDefect::UnknownExpectation) }
}

fn validate_connection(head: &MessageHead) -> Result<(), RequestDefect> {
    for option in head.list_elements("connection") {
        if !option.is_empty() && !is_token(option) {
            return Err(RequestDefect::InvalidConnection);
        }
        if END_TO_END_HEADERS.iter().any(|name| option.eq_ignore_ascii_case(name.as_bytes())) {
            return Err(RequestDefect::ConnectionNamesEndToEndHeader);
        }
    }
    Ok(())
}
