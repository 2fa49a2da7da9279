//! Decodes a client's request from the head of its message.

use granitelb_balancer::Request;
use granitelb_balancer::ids::{Key, RequestClassId};
use granitelb_balancer::time::Span;
use granitelb_settings::Names;

use crate::http::{MessageHead, ParseError};
use crate::proxy::stable_hash::stable_hash;

const MICROS_PER_MILLI: u64 = 1000;

/// Why a message is not a request that the node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The method is neither GET nor PUT.
    MethodNotAllowed,
    /// The path does not begin with the name of a request class.
    NotFound,
    /// A header is missing, repeated, or has an invalid value.
    Malformed,
}

impl From<ParseError> for RequestError {
    fn from(_: ParseError) -> RequestError {
        RequestError::Malformed
    }
}

/// A request as its client sent it.
pub(super) struct DecodedRequest {
    pub(super) request: Request,
    /// The client's identifier for the request.
    pub(super) client_request_id: Box<str>,
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
        let id = head.single_header("x-request-id")?.filter(|id| !id.is_empty());
        let client_request_id = id.ok_or(RequestError::Malformed)?;
        let timeout = decode_timeout(head)?;
        // A client waits at most for the timeout of its request class, whatever its header says about one
        // attempt.
        let max_timeout = self.client_timeouts[request_class];
        let client_timeout = timeout.map_or(max_timeout, |timeout| timeout.min(max_timeout));
        let key = head.path_segments().next_back().unwrap_or_default();
        let request = Request {
            request_class: RequestClassId(request_class as u16),
            key: Key(stable_hash(key.as_bytes())),
            client_timeout,
            work: decode_work_hint(head).map(|work| work.min(max_timeout)),
            write,
        };
        Ok(DecodedRequest { request, client_request_id: client_request_id.into() })
    }

    /// The index of the request class, which the first segment of the path names. Cache servers also read the
    /// class from the path, and would reject a class that only a header names.
    fn decode_request_class(&self, head: &MessageHead) -> Result<usize, RequestError> {
        let class = head.path_segments().next().ok_or(RequestError::NotFound)?;
        let index = self.names.request_classes.iter().position(|name| name == class);
        let index = index.ok_or(RequestError::NotFound)?;
        let named_by_header = head.single_header("x-priority-class")?;
        if named_by_header.is_some_and(|named| named != class) {
            return Err(RequestError::Malformed);
        }
        Ok(index)
    }
}

/// The time that the client waits, if it states one. A time of zero is malformed, since no response could
/// arrive within it.
fn decode_timeout(head: &MessageHead) -> Result<Option<Span>, RequestError> {
    let Some(text) = head.single_header("x-timeout-ms")? else { return Ok(None) };
    match parse_number(text) {
        Some(0) | None => Err(RequestError::Malformed),
        Some(ms) => Ok(Some(Span(ms.saturating_mul(MICROS_PER_MILLI)))),
    }
}

/// The client's estimate of the work, if there is one. The estimate is only a hint: a value that cannot be
/// parsed is ignored. The caller limits it to the longest time that a client of the class waits, since the
/// budgets of all endpoints would follow a hint without a bound.
fn decode_work_hint(head: &MessageHead) -> Option<Span> {
    head.header_text("x-cost").and_then(parse_number).map(Span)
}

fn parse_number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

#[cfg(test)]
mod tests;
