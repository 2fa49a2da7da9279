//! Requests and responses between nodes and simulated servers, in the format of the published protocol.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::event_log::Version;
use crate::schedule::mix64;
use crate::shard_workload;

/// The longest request body that a server reads, in bytes.
const MAX_REQUEST_BODY: usize = 64 * 1024;

/// Independent streams of [`uniform_hash`], one for each random decision that depends on a request's ID.
pub mod hash_stream {
    /// Service time at the origin.
    pub const ORIGIN_SERVICE_TIME: u64 = 3;
    /// Service time at a cache server.
    pub const CACHE_SERVICE_TIME: u64 = 5;
    /// Whether a response is corrupted.
    pub const CORRUPTION: u64 = 11;
    /// Delay of the bytes that follow a complete response.
    pub const CORRUPTION_DELAY: u64 = 13;
    /// Whether a client disconnects early.
    pub const EARLY_DISCONNECT: u64 = 17;
    /// How long a client that disconnects early waits before it disconnects.
    pub const EARLY_DISCONNECT_DELAY: u64 = 19;
    /// First stream of the mass disconnects; the number of the disconnect is added to it.
    pub const MASS_DISCONNECT: u64 = 23;
}

/// A complete response of a simulated server.
pub type ServerResponse = Response<BoxBody<Bytes, Infallible>>;

/// A request that a simulated server has read to its last byte.
pub struct ServerRequest {
    /// ID that the client gave to the attempt (`X-Request-ID`).
    pub id: String,
    /// Key under which the origin deduplicates the write, if the client sent one.
    pub idempotency_key: Option<String>,
    /// Key that the request reads or writes.
    pub key: u64,
    /// Whether the request is a write.
    pub is_write: bool,
}

/// The body of a response with a value.
#[derive(Serialize, Deserialize)]
pub struct ValueBody {
    /// ID of the request that the response was made for.
    pub made_for: String,
    /// Key of the value.
    pub key: u64,
    /// Version of the value.
    pub version: u64,
    /// Padding that brings the body to the size of the shard's values.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub pad: String,
}

impl ServerRequest {
    /// Reads a request to its last byte.
    ///
    /// # Errors
    /// Returns the status with which to respond if the request is malformed.
    pub async fn read(request: Request<Incoming>) -> Result<ServerRequest, StatusCode> {
        let (head, body) = request.into_parts();
        let text = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string);
        let id = text("x-request-id");
        let idempotency_key = text("idempotency-key");
        let is_write = match head.method {
            Method::GET => false,
            Method::PUT => true,
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        };
        let key = head.uri.path().rsplit('/').next().and_then(|k| u64::from_str_radix(k, 16).ok());
        let body = Limited::new(body, MAX_REQUEST_BODY).collect().await;
        if body.is_err() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let (Some(id), Some(key)) = (id, key) else { return Err(StatusCode::NOT_FOUND) };
        Ok(ServerRequest { id, idempotency_key, key, is_write })
    }
}

/// A number in `[0, 1)` that depends on the request ID and the [`hash_stream`] alone.
pub fn uniform_hash(id: &str, stream: u64) -> f64 {
    let number = id.bytes().fold(0u64, |n, b| n.wrapping_mul(31).wrapping_add(u64::from(b)));
    (mix64(number, stream) >> 11) as f64 / (1u64 << 53) as f64
}

/// Response body of one text.
pub fn text_body(text: impl Into<Bytes>) -> BoxBody<Bytes, Infallible> {
    Full::new(text.into()).boxed()
}

/// A response without body.
pub fn empty_response(status: StatusCode) -> ServerResponse {
    let mut response = Response::new(text_body(""));
    *response.status_mut() = status;
    response
}

/// The text of the body that carries a value.
pub fn value_text(request: &ServerRequest, version: Version) -> String {
    let pad = shard_workload::response_padding(request.key);
    let body = ValueBody { made_for: request.id.clone(), key: request.key, version: version.0, pad };
    serde_json::to_string(&body).expect("the body holds numbers and strings only")
}

/// Response with the value that a request read or wrote. `cache_status` is the `X-Cache-Status` header, which
/// tells where the value comes from.
pub fn value_response(request: &ServerRequest, version: Version, cache_status: &str) -> ServerResponse {
    let response = Response::builder().status(StatusCode::OK).header("X-Cache-Status", cache_status);
    response.body(text_body(value_text(request, version))).expect("the header values are constants")
}

/// Response that rejects a request and states that the request was not executed.
pub fn rejection() -> ServerResponse {
    let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).header("X-Not-Processed", "1");
    response.body(text_body("")).expect("the header values are constants")
}
