//! Writes messages.

use std::fmt::Write as _;

use super::message::Message;
use crate::transport::Ring;

fn head(output: &mut Ring, start: &str, headers: &[(&str, &[u8])], body: &[u8]) {
    let mut text = Vec::with_capacity(start.len() + 64 * headers.len() + 64);
    text.extend_from_slice(start.as_bytes());
    for (name, value) in headers {
        text.extend_from_slice(name.as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"\r\n");
    output.push(&text);
    output.push(body);
}

/// Passes a message that asks on, with the time that is left for it.
pub fn write_call(output: &mut Ring, call: &Message, timeout_ms: u64) {
    let start = format!("{} {} HTTP/1.1\r\n", call.head.method, call.head.target);
    // No time at all would read as none being set.
    let (timeout, length) = (timeout_ms.max(1).to_string(), call.body.len().to_string());
    let mut headers: Vec<_> = call.head.passed_on().collect();
    headers.push(("X-Timeout-Ms", timeout.as_bytes()));
    if !call.body.is_empty() || call.head.method != "GET" {
        headers.push(("Content-Length", length.as_bytes()));
    }
    head(output, &start, &headers, &call.body);
}

/// Passes an answer back.
pub fn write_answer(output: &mut Ring, answer: &Message, keep: bool) {
    let start = format!("HTTP/1.1 {} {}\r\n", answer.head.status, reason(answer.head.status));
    let length = answer.body.len().to_string();
    let mut headers: Vec<_> = answer.head.passed_on().collect();
    headers.push(("Content-Length", length.as_bytes()));
    if !keep {
        headers.push(("Connection", b"close"));
    }
    head(output, &start, &headers, &answer.body);
}

/// An answer of our own: a status, what comes with it, and a line of text.
pub fn write_plain(output: &mut Ring, status: u16, headers: &[(&str, &[u8])], keep: bool) {
    let mut text = String::new();
    let _ = writeln!(text, "{}", reason(status));
    let length = text.len().to_string();
    let mut all = headers.to_vec();
    all.extend([("Content-Type", &b"text/plain"[..]), ("Content-Length", length.as_bytes())]);
    if !keep {
        all.push(("Connection", b"close"));
    }
    head(output, &format!("HTTP/1.1 {status} {}\r\n", reason(status)), &all, text.as_bytes());
}

fn reason(status: u16) -> &'static str {
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
