//! Corrupted responses: the bytes that a server under a `spoil` fault sends after the response to an executed
//! request, or in place of it.

use std::time::Duration;

use hyper::StatusCode;

use super::attempt_record::AttemptRecord;
use super::link::ConnectionFault;
use super::listener::{ConnectionAborted, HandlerResult, ServerConnection};
use super::wire::{self, ServerRequest, hash_stream};
use crate::event_log::{ServerAttemptEnd, Version};
use crate::experiment::ResponseCorruption;

/// The corruption of a share of a server's responses.
#[derive(Clone, Copy, Debug)]
pub struct ActiveCorruption {
    /// Share of the responses, from 0 to 1.
    pub share: f64,
    /// How a response is corrupted.
    pub kind: ResponseCorruption,
    /// Mean delay of bytes that follow a complete response.
    pub delay: Duration,
}

/// Responds to an executed request, with a corrupted response if the request is in the corrupted share, and
/// records how the attempt ended.
///
/// # Errors
/// Returns [`ConnectionAborted`] if there is no response. Usually the future is dropped with its connection
/// before it returns this error.
pub async fn respond(
    corruption: Option<ActiveCorruption>,
    connection: &ServerConnection,
    request: &ServerRequest,
    version: Version,
    cache_status: &str,
    attempt: AttemptRecord<'_>,
) -> HandlerResult {
    let corruption =
        corruption.filter(|c| wire::uniform_hash(&request.id, hash_stream::CORRUPTION) < c.share);
    let Some(ActiveCorruption { kind, delay, .. }) = corruption else {
        attempt.finish(ServerAttemptEnd::Answered);
        return Ok(wire::value_response(request, version, cache_status));
    };
    if kind == ResponseCorruption::ErrorStatus {
        attempt.finish(ServerAttemptEnd::Failed);
        return Ok(wire::empty_response(StatusCode::INTERNAL_SERVER_ERROR));
    }
    if let Some(bytes) = trailing_bytes(kind, request, version, cache_status) {
        attempt.finish(ServerAttemptEnd::Answered);
        let factor = 0.5 + wire::uniform_hash(&request.id, hash_stream::CORRUPTION_DELAY);
        connection.inject_fault(ConnectionFault::SendLater { bytes, delay: delay.mul_f64(factor) });
        return Ok(wire::value_response(request, version, cache_status));
    }
    connection.inject_fault(replacement(kind));
    attempt.finish(ServerAttemptEnd::Failed);
    // From here on the link writes to the connection, bypassing the HTTP library, until the node closes the
    // connection.
    std::future::pending::<()>().await;
    Err(ConnectionAborted)
}

/// The bytes that a kind of corruption sends after a complete response, if any.
fn trailing_bytes(
    kind: ResponseCorruption,
    request: &ServerRequest,
    version: Version,
    cache_status: &str,
) -> Option<Vec<u8>> {
    match kind {
        ResponseCorruption::Duplicate => {
            let text = wire::value_text(request, version);
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Cache-Status: {cache_status}\r\nContent-Length: {}",
                text.len()
            );
            Some(format!("{head}\r\n\r\n{text}").into_bytes())
        }
        ResponseCorruption::PartialStatusLine => Some(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec()),
        _ => None,
    }
}

/// The connection fault that a kind of corruption applies in place of a response.
fn replacement(kind: ResponseCorruption) -> ConnectionFault {
    match kind {
        ResponseCorruption::Noise => ConnectionFault::SendThenHold(
            "\u{1}\u{2}\u{3}noise that is no answer\r\n\r\n".as_bytes().to_vec(),
        ),
        ResponseCorruption::TruncatedBody => {
            ConnectionFault::SendThenClose(b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nhalf of".to_vec())
        }
        ResponseCorruption::ExcessiveLength => ConnectionFault::SendThenHold(
            b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch".to_vec(),
        ),
        ResponseCorruption::MissingLength => {
            ConnectionFault::SendThenReset(b"HTTP/1.1 200 OK\r\n\r\n{\"made_for\":\"".to_vec())
        }
        ResponseCorruption::Endless => ConnectionFault::SendEndlessBody,
        ResponseCorruption::Reset
        | ResponseCorruption::ErrorStatus
        | ResponseCorruption::Duplicate
        | ResponseCorruption::PartialStatusLine => ConnectionFault::Reset,
    }
}
