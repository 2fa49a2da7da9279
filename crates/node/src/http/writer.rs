//! Writes HTTP messages into the output buffer of a connection.

use super::message::Message;
use crate::transport::RingBuffer;

/// The name and value of a header.
type Header<'a> = (&'a str, &'a [u8]);

/// Capacity that is reserved per header, and once for the rest of the head, in bytes.
const TYPICAL_HEADER_BYTES: usize = 64;

/// Writes a request for the next hop. `timeout_ms` is the remaining time of the request, in milliseconds.
/// A request that names no host, as HTTP/1.0 allows, gets `default_host`: HTTP/1.1 requires one.
pub fn write_request(output: &mut RingBuffer, request: &Message, default_host: &str, timeout_ms: u64) {
    let start_line = format!("{} {} HTTP/1.1\r\n", request.head.method, request.head.target);
    // The next hop would read a timeout of 0 as no timeout.
    let timeout = timeout_ms.max(1).to_string();
    let length = request.body.len().to_string();
    let mut headers: Vec<_> = request.head.end_to_end_headers().collect();
    if request.head.header_values("host").next().is_none() {
        headers.push(("Host", default_host.as_bytes()));
    }
    headers.push(("X-Timeout-Ms", timeout.as_bytes()));
    if !request.body.is_empty() || request.head.method != "GET" {
        headers.push(("Content-Length", length.as_bytes()));
    }
    write_message(output, &start_line, &headers, &request.body);
}

/// Writes a response that was received from a server.
pub fn write_response(output: &mut RingBuffer, response: &Message, keep_alive: bool) {
    let length = response.body.len().to_string();
    let mut headers: Vec<_> = response.head.end_to_end_headers().collect();
    headers.push(("Content-Length", length.as_bytes()));
    if !keep_alive {
        headers.push(("Connection", b"close"));
    }
    write_message(output, &status_line(response.head.status), &headers, &response.body);
}

/// Writes a response of the node itself: the status, the given headers, and the reason phrase as the body.
pub fn write_local_reply(output: &mut RingBuffer, status: u16, headers: &[Header<'_>], keep_alive: bool) {
    let body = format!("{}\n", reason_phrase(status));
    let length = body.len().to_string();
    let mut headers = headers.to_vec();
    headers.push(("Content-Type", b"text/plain"));
    headers.push(("Content-Length", length.as_bytes()));
    if !keep_alive {
        headers.push(("Connection", b"close"));
    }
    write_message(output, &status_line(status), &headers, body.as_bytes());
}

fn write_message(output: &mut RingBuffer, start_line: &str, headers: &[Header<'_>], body: &[u8]) {
    let capacity = start_line.len() + TYPICAL_HEADER_BYTES * (headers.len() + 1);
    let mut head = Vec::with_capacity(capacity);
    head.extend_from_slice(start_line.as_bytes());
    for (name, value) in headers {
        head.extend_from_slice(name.as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value);
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    output.push(&head);
    output.push(body);
}

fn status_line(status: u16) -> String {
    format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status))
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
