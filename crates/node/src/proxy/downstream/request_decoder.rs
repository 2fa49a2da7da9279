//! Decodes a client's request from the head of its message.
//!
//! Invariant: each header that the protocol between clients and nodes names is there if the protocol demands it, occurs
//! at most once, and has a value that the protocol has clients send. Other headers are free.

use granitelb_balancer::Request;
use granitelb_balancer::ids::{Key, RequestClassId};
use granitelb_balancer::settings::Effect;
use granitelb_balancer::time::Span;
use granitelb_settings::DecodedSettings;

use super::request_attributes::are_valid_attributes;
use crate::http::{MessageHead, PROTOCOL_HEADERS};
use crate::proxy::client_request_id::ClientRequestId;
use crate::proxy::stable_hash::stable_hash;

const MICROS_PER_MILLI: u64 = 1000;
/// No client waits longer than this many milliseconds: a day.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1000;
/// The value of `X-Retried` in retries of a client.
const RETRY_MARK: &str = "1";

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
    /// There is no `X-Priority-Class`.
    MissingClass,
    /// `X-Timeout-Ms` is repeated, or is no number above zero that a client may wait.
    InvalidTimeout,
    /// There is no `X-Timeout-Ms`.
    MissingTimeout,
    /// `Idempotency-Key` is repeated or empty.
    InvalidIdempotencyKey,
    /// A write of a class whose repeats are recognized by their key has no `Idempotency-Key`.
    MissingIdempotencyKey,
    /// `X-Retried` is repeated or has another value than the mark of a retry.
    InvalidRetryMark,
    /// `X-Cost` is repeated or is no number.
    InvalidWorkHint,
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
            RequestError::MissingClass => "missing-class",
            RequestError::InvalidTimeout => "invalid-timeout",
            RequestError::MissingTimeout => "missing-timeout",
            RequestError::InvalidIdempotencyKey => "invalid-idempotency-key",
            RequestError::MissingIdempotencyKey => "missing-idempotency-key",
            RequestError::InvalidRetryMark => "invalid-retry-mark",
            RequestError::InvalidWorkHint => "invalid-work-hint",
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

/// What the settings tell about the requests of a class.
#[derive(Clone, Debug)]
pub(in crate::proxy) struct RequestClassTerms {
    name: String,
    /// The longest time that a client waits.
    client_timeout: Span,
    /// Whether repeats are recognized by their `Idempotency-Key`.
    is_keyed: bool,
}

impl RequestClassTerms {
    /// The terms of all request classes.
    pub(in crate::proxy) fn from_settings(settings: &DecodedSettings) -> Vec<RequestClassTerms> {
        let classes = &settings.balancer_settings.request_classes;
        let terms = settings.names.request_classes.iter().zip(&settings.client_timeouts).zip(classes);
        terms
            .map(|((name, client_timeout), class)| RequestClassTerms {
                name: name.clone(),
                client_timeout: *client_timeout,
                is_keyed: matches!(class.effect, Effect::Deduplicated { .. }),
            })
            .collect()
    }
}

/// Decodes requests of the classes that the settings name.
pub(super) struct RequestDecoder {
    classes: Vec<RequestClassTerms>,
}

impl RequestDecoder {
    /// Creates a decoder for requests of these classes.
    pub(super) fn new(classes: Vec<RequestClassTerms>) -> RequestDecoder {
        RequestDecoder { classes }
    }

    /// The name of a request class.
    pub(super) fn class_name(&self, class: RequestClassId) -> Option<&str> {
        self.classes.get(usize::from(class.0)).map(|terms| &terms.name[..])
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
        let (request_class, terms) = self.decode_request_class(head)?;
        let client_request_id = ClientRequestId::of(head).ok_or(RequestError::InvalidRequestId)?;
        let timeout = decode_timeout(head)?;
        let work = decode_work_hint(head)?;
        validate_forwarded_headers(head, write && terms.is_keyed)?;
        // A client waits at most for the timeout of its request class, whatever its header says about one
        // attempt.
        let max_timeout = terms.client_timeout;
        let key = head.target.path_segments().next_back().unwrap_or_default();
        let request = Request {
            request_class,
            key: Key(stable_hash(key.as_bytes())),
            client_timeout: timeout.min(max_timeout),
            work: work.map(|work| work.min(max_timeout)),
            write,
        };
        Ok(DecodedRequest { request, client_request_id })
    }

    /// The request class, which both the first segment of the path and a header name. Cache servers read the class
    /// from the path, and would reject a class that only the header names.
    fn decode_request_class(
        &self,
        head: &MessageHead,
    ) -> Result<(RequestClassId, &RequestClassTerms), RequestError> {
        let class = head.target.path_segments().next().ok_or(RequestError::NotFound)?;
        let index = self.classes.iter().position(|terms| terms.name == class);
        let index = index.ok_or(RequestError::NotFound)?;
        let named_by_header = head.single_header("x-priority-class").or(Err(RequestError::AmbiguousClass))?;
        if named_by_header.ok_or(RequestError::MissingClass)? != class {
            return Err(RequestError::AmbiguousClass);
        }
        Ok((RequestClassId(index as u16), &self.classes[index]))
    }
}

/// The time that the client waits. A time of zero is malformed, since no response could arrive within it.
fn decode_timeout(head: &MessageHead) -> Result<Span, RequestError> {
    let text = head.single_header("x-timeout-ms").or(Err(RequestError::InvalidTimeout))?;
    match parse_number(text.ok_or(RequestError::MissingTimeout)?) {
        Some(ms @ 1..=MAX_TIMEOUT_MS) => Ok(Span(ms * MICROS_PER_MILLI)),
        _ => Err(RequestError::InvalidTimeout),
    }
}

/// The client's estimate of the work in microseconds, if there is one. The caller limits it to the longest time that
/// a client of the class waits, since the budgets of all endpoints would follow a hint without a bound. An estimate
/// that is no whole number, or is too large to be parsed, is ignored.
fn decode_work_hint(head: &MessageHead) -> Result<Option<Span>, RequestError> {
    let text = head.single_header("x-cost").or(Err(RequestError::InvalidWorkHint))?;
    let Some(text) = text else { return Ok(None) };
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    if !is_number(whole) || !is_number(fraction) {
        return Err(RequestError::InvalidWorkHint);
    }
    Ok(parse_number(text).map(Span))
}

/// Validates the headers that the node only forwards.
fn validate_forwarded_headers(head: &MessageHead, requires_key: bool) -> Result<(), RequestError> {
    let is_end_to_end =
        |option: &[u8]| PROTOCOL_HEADERS.iter().any(|name| option.eq_ignore_ascii_case(name.as_bytes()));
    if head.list_elements("connection").any(is_end_to_end) {
        return Err(RequestError::ConnectionNamesEndToEndHeader);
    }
    let key = head.single_header("idempotency-key").or(Err(RequestError::InvalidIdempotencyKey))?;
    if key.is_some_and(str::is_empty) {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    if requires_key && key.is_none() {
        return Err(RequestError::MissingIdempotencyKey);
    }
    let retried = head.single_header("x-retried").or(Err(RequestError::InvalidRetryMark))?;
    if retried.is_some_and(|mark| mark != RETRY_MARK) {
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
    if is_number(text) { text.parse().ok() } else { None }
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

#[cfg(test)]
mod tests;
