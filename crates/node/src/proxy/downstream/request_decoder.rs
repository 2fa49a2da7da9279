//! Decodes a client's request from the head of its message.
//!
//! Invariant: each header that the protocol between clients and nodes names occurs at most once and is valid;
//! otherwise the request is refused, since hops could read it differently. Other headers are free.

use granitelb_balancer::Request;
use granitelb_balancer::ids::{Key, RequestClassId};
use granitelb_balancer::time::Span;
use granitelb_settings::Names;

use super::request_attributes::are_valid_attributes;
use crate::http::MessageHead;
use crate::proxy::client_request_id::ClientRequestId;
use crate::proxy::stable_hash::stable_hash;

const MICROS_PER_MILLI: u64 = 1000;

/// The headers that the protocol names. A hop that finds one of them in `Connection` would remove it.
const END_TO_END_HEADERS: [&str; 7] =
    ["idempotency-key", "x-attrs", "x-cost", "x-priority-class", "x-request-id", "x-retried", "x-timeout-ms"];

/// Why a message is not a request that the node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The method is neither GET nor PUT.
    MethodNotAllowed,
    /// The path does not begin with the name of a request class.
    NotFound,
    /// `X-Request-ID` is missing, repeated or invalid.
    InvalidRequestId,
    /// `X-Priority-Class` is repeated or names another class than the path.
    AmbiguousClass,
    /// `X-Timeout-Ms` is repeated, or is no number above zero.
    InvalidTimeout,
    /// `Idempotency-Key` is repeated or empty.
    InvalidIdempotencyKey,
    /// `X-Retried` is repeated or is no number.
    InvalidRetryMark,
    /// `X-Attrs` is repeated or violates its syntax.
    InvalidAttributes,
    /// `Connection` names a header that the protocol names.
    ConnectionNamesEndToEndHeader,
}

impl RequestError {
    /// The status of the response.
    pub(super) fn status(self) -> u16 {
        match self {
            RequestError::MethodNotAllowed => 405,
            RequestError::NotFound => 404,
            _ => 400,
        }
    }

    /// The name of the error in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            RequestError::MethodNotAllowed => "method-not-allowed",
            RequestError::NotFound => "not-found",
            RequestError::InvalidRequestId => "invalid-request-id",
            RequestError::AmbiguousClass => "ambiguous-class",
            RequestError::InvalidTimeout => "invalid-timeout",
            RequestError::InvalidIdempotencyKey => "invalid-idempotency-key",
            RequestError::InvalidRetryMark => "invalid-retry-mark",
            RequestError::InvalidAttributes => "invalid-attributes",
            RequestError::ConnectionNamesEndToEndHeader => "connection-names-end-to-end-header",
        }
    }
}

/// A request as its client sent it.
#[derive(Debug)]
pub(super) struct DecodedRequest {
    pub(super) request: Request,
    /// The client's identifier for the request.
    pub(super) client_request_id: ClientRequestId,
}

/// Decodes requests of the classes that the settings name.
pub(super) struct RequestDecoder {
    names: Names,
    /// The longest time that a client waits, by request class.
    client_timeouts: Vec<Span>,
}

impl RequestDecoder {
    /// Creates a decoder for the request classes in `names`, with one timeout for each class.
    pub(super) fn new(names: Names, client_timeouts: Vec<Span>) -> RequestDecoder {
        RequestDecoder { names, client_timeouts }
    }

    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Fails where the message is not a request that the node serves.
    pub(super) fn decode(&self, head: &MessageHead) -> Result<DecodedRequest, RequestError> {
        let write = match head.method.as_str() {
            "GET" => false,
            "PUT" => true,
            _ => return Err(RequestError::MethodNotAllowed),
        };
        let request_class = self.decode_request_class(head)?;
        let client_request_id = decode_request_id(head)?;
        let timeout = decode_timeout(head)?;
        validate_forwarded_headers(head)?;
        // A client waits at most for the timeout of its request class, whatever its header says about one
        // attempt.
        let max_timeout = self.client_timeouts[request_class];
        let client_timeout = timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let key = head.target.path_segments().next_back().unwrap_or_default();
        let request = Request {
            request_class: RequestClassId(request_class as u16),
            key: Key(stable_hash(key.as_bytes())),
            client_timeout,
            work: decode_work_hint(head).map(|work| work.min(max_timeout)),
            write,
        };
        Ok(DecodedRequest { request, client_request_id })
    }

    /// The index of the request class, which the first segment of the path names. Cache servers also read the
    /// class from the path, and would reject a class that only a header names.
    fn decode_request_class(&self, head: &MessageHead) -> Result<usize, RequestError> {
        let class = head.target.path_segments().next().ok_or(RequestError::NotFound)?;
        let index = self.names.request_classes.iter().position(|name| name == class);
        let index = index.ok_or(RequestError::NotFound)?;
        let named_by_header = head.single_header("x-priority-class").or(Err(RequestError::AmbiguousClass))?;
        if named_by_header.is_some_and(|named| named != class) {
            return Err(RequestError::AmbiguousClass);
        }
        Ok(index)
    }
}

fn decode_request_id(head: &MessageHead) -> Result<ClientRequestId, RequestError> {
    let text = head.single_header("x-request-id").or(Err(RequestError::InvalidRequestId))?;
    text.and_then(ClientRequestId::parse).ok_or(RequestError::InvalidRequestId)
}

/// The time that the client waits, if it states one. A time of zero is malformed, since no response could
/// arrive within it.
fn decode_timeout(head: &MessageHead) -> Result<Option<Span>, RequestError> {
    let text = head.single_header("x-timeout-ms").or(Err(RequestError::InvalidTimeout))?;
    let Some(text) = text else { return Ok(None) };
    match parse_number(text) {
        Some(0) | None => Err(RequestError::InvalidTimeout),
        Some(ms) => Ok(Some(Span(ms.saturating_mul(MICROS_PER_MILLI)))),
    }
}

/// The client's estimate of the work, if there is one. The estimate is only a hint: a value that cannot be
/// parsed is ignored. The caller limits it to the longest time that a client of the class waits, since the
/// budgets of all endpoints would follow a hint without a bound.
fn decode_work_hint(head: &MessageHead) -> Option<Span> {
    let text = head.single_header("x-cost").ok().flatten();
    text.and_then(parse_number).map(Span)
}

/// Validates the headers that the node only forwards.
fn validate_forwarded_headers(head: &MessageHead) -> Result<(), RequestError> {
    let is_end_to_end =
        |option: &[u8]| END_TO_END_HEADERS.iter().any(|name| option.eq_ignore_ascii_case(name.as_bytes()));
    if head.list_elements("connection").any(is_end_to_end) {
        return Err(RequestError::ConnectionNamesEndToEndHeader);
    }
    let key = head.single_header("idempotency-key").or(Err(RequestError::InvalidIdempotencyKey))?;
    if key.is_some_and(str::is_empty) {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    let retried = head.single_header("x-retried").or(Err(RequestError::InvalidRetryMark))?;
    if retried.is_some_and(|mark| parse_number(mark).is_none()) {
        return Err(RequestError::InvalidRetryMark);
    }
    let attributes = head.single_header("x-attrs").or(Err(RequestError::InvalidAttributes))?;
    if !attributes.is_none_or(are_valid_attributes) {
        return Err(RequestError::InvalidAttributes);
    }
    Ok(())
}

/// Parses a number that consists only of digits.
fn parse_number(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}

#[cfg(test)]
mod tests;
