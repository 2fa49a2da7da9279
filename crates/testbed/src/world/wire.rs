//! How calls and answers are worded between node and servers, by the published protocol.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use super::link::Rough;
use crate::event_log::Version;
use crate::experiment::Spoil;
use crate::schedule::mixed;
use crate::shard_workload;

/// Bodies hold no more.
const MOST_BODY: usize = 64 * 1024;

/// A call that came to a server.
pub struct Call {
    pub id: String,
    pub idempotency_key: Option<String>,
    pub key: u64,
    pub write: bool,
}

/// What an answer says of itself.
#[derive(Serialize, Deserialize)]
pub struct Value {
    /// The call that it was made for.
    pub made_for: String,
    pub key: u64,
    pub version: u64,
    /// Makes it as long as it is to be.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub pad: String,
}

impl Call {
    /// Reads a call to its last byte; else the status that tells what is wrong with it.
    pub async fn read(call: Request<Incoming>) -> Result<Call, u16> {
        let (head, body) = call.into_parts();
        let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let id = text("x-request-id");
        let idempotency_key = text("idempotency-key");
        let write = match head.method {
            Method::GET => false,
            Method::PUT => true,
            _ => return Err(405),
        };
        let key = head.uri.path().rsplit('/').next().and_then(|k| u64::from_str_radix(k, 16).ok());
        let whole = Limited::new(body, MOST_BODY).collect().await;
        whole.map_err(|_| 400u16)?;
        let (Some(id), Some(key)) = (id, key) else { return Err(404) };
        Ok(Call { id, idempotency_key, key, write })
    }
}

/// A number from 0 to 1 that hangs on a name alone.
pub fn chance_of(id: &str, kind: u64) -> f64 {
    let number = id.bytes().fold(0u64, |n, b| n.wrapping_mul(31).wrapping_add(u64::from(b)));
    (mixed(number, kind) >> 11) as f64 / (1u64 << 53) as f64
}

pub fn body(text: impl Into<Bytes>) -> BoxBody<Bytes, Infallible> {
    Full::new(text.into()).boxed()
}

pub fn plain(status: u16) -> Response<BoxBody<Bytes, Infallible>> {
    Response::builder().status(status).body(body("")).expect("a plain answer")
}

/// The value that a call asked for or made, and the server's word for how it came by it.
pub fn value(call: &Call, version: Version, word: &str) -> Response<BoxBody<Bytes, Infallible>> {
    let pad = shard_workload::response_padding(call.key);
    let value = Value { made_for: call.id.clone(), key: call.key, version: version.0, pad };
    let text = serde_json::to_string(&value).expect("plain values");
    let answer = Response::builder().status(200).header("X-Cache-Status", word);
    answer.body(body(text)).expect("a plain answer")
}

pub fn turned_away() -> Response<BoxBody<Bytes, Infallible>> {
    let answer = Response::builder().status(503).header("X-Not-Processed", "1");
    answer.body(body("")).expect("a plain answer")
}

/// What comes behind an answer that is whole.
pub fn after(how: Spoil, call: &Call, version: Version, word: &str) -> Option<Vec<u8>> {
    match how {
        Spoil::Second => {
            let pad = shard_workload::response_padding(call.key);
            let value = Value { made_for: call.id.clone(), key: call.key, version: version.0, pad };
            let text = serde_json::to_string(&value).expect("plain values");
            let head = format!("HTTP/1.1 200 OK\r\nX-Cache-Status: {word}\r\nContent-Length: {}", text.len());
            Some(format!("{head}\r\n\r\n{text}").into_bytes())
        }
        Spoil::HalfLine => Some(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec()),
        _ => None,
    }
}

/// What is sent in place of an answer.
pub fn spoilt(how: Spoil) -> Rough {
    let raw = |text: &str, then_close| Rough::Raw { bytes: text.as_bytes().to_vec(), then_close };
    match how {
        Spoil::Noise => raw("\u{1}\u{2}\u{3}noise that is no answer\r\n\r\n", false),
        Spoil::Cut => raw("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nhalf of", true),
        Spoil::Length => raw("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmuch", false),
        Spoil::NoLength => Rough::RawThenReset(b"HTTP/1.1 200 OK\r\n\r\n{\"made_for\":\"".to_vec()),
        Spoil::Endless => Rough::Endless,
        Spoil::Reset | Spoil::Error | Spoil::Second | Spoil::HalfLine => Rough::Reset,
    }
}
