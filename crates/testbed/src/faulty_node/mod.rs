//! A faulty node that breaks one rule on purpose. The tests of the auditor run this node.
//!
//! The faulty node takes the place of the real program, with the same configuration. It is no example of how
//! to write a node.

mod config;
mod endpoints;
mod http;
mod violation;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use config::NodeConfig;
use endpoints::{DrainHandling, Endpoints};
use http::{HttpMessage, UpstreamResponse, encode_response, forward};

pub use config::ServeError;
pub use violation::InjectedViolation;

/// A violation applies to one request in this many, unless its description in [`InjectedViolation`] says
/// otherwise.
const VIOLATION_INTERVAL: usize = 9;
/// Delay before a request is forwarded, longer than the auditor allows after a client has disconnected.
const DELAY_PAST_DISCONNECT: Duration = Duration::from_millis(550);
/// Delay of a response, longer than the client timeout of the tests' request classes.
const DELAY_PAST_TIMEOUT: Duration = Duration::from_millis(1070);
/// Delay from a response to the forbidden attempt of [`InjectedViolation::AttemptAfterResponse`].
const DELAY_PAST_RESPONSE: Duration = Duration::from_millis(200);
/// Name of the only node that serves requests with [`InjectedViolation::UnfairNodes`].
const FAVOURED_NODE: &str = "node-0";
const READY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Serves with the configuration file `config` until the process is killed.
///
/// # Errors
/// Returns an error if the configuration is invalid, or the runtime or the listener can't be started.
pub fn serve(violation: InjectedViolation, config: &Path) -> Result<(), ServeError> {
    let config = NodeConfig::read(config)?;
    let listen = config.listen;
    let node = Arc::new(FaultyNode {
        violation,
        config,
        endpoints: Endpoints::default(),
        request_count: AtomicUsize::new(0),
        first_values: Mutex::default(),
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::StartRuntime)?;
    runtime.block_on(async move {
        let watching = node.clone();
        tokio::spawn(async move { watching.watch().await });
        let listener =
            TcpListener::bind(listen).await.map_err(|error| ServeError::Listen { address: listen, error })?;
        while let Ok((stream, _)) = listener.accept().await {
            let node = node.clone();
            tokio::spawn(async move { node.serve_connection(stream).await });
        }
        Ok(())
    })
}

/// A node that commits one violation.
struct FaultyNode {
    violation: InjectedViolation,
    config: NodeConfig,
    endpoints: Endpoints,
    request_count: AtomicUsize,
    /// The first value read for each key.
    first_values: Mutex<HashMap<String, FirstValue>>,
}

#[derive(Clone)]
struct FirstValue {
    request_id: String,
    body: String,
}

/// The properties of a request on which violations depend.
struct RequestInfo {
    key: String,
    id: String,
    is_write: bool,
    is_non_idempotent: bool,
    /// Whether the violation applies to this request, as it does to one in [`VIOLATION_INTERVAL`].
    is_selected: bool,
}

impl FaultyNode {
    async fn watch(&self) {
        let draining = match self.violation {
            InjectedViolation::IgnoredDrain => DrainHandling::Ignore,
            _ => DrainHandling::Remove,
        };
        // An error is ignored: the watch ends with the test's environment, and the list stays as it is.
        let _ = self.endpoints.watch(self.config.discovery, draining).await;
    }

    async fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        while let Some(request) = HttpMessage::read(&mut reader).await {
            if request.start_line.starts_with("GET /health/ready") {
                writer.write_all(READY_RESPONSE).await.ok()?;
                continue;
            }
            let response = self.respond(&request).await?;
            writer.write_all(response.as_bytes()).await.ok()?;
        }
        Some(())
    }

    /// The response to write to the client, or `None` if the connection is to be closed.
    async fn respond(&self, request: &HttpMessage) -> Option<String> {
        let info = self.inspect(request)?;
        let origin = self.endpoints.origin()?;
        match self.violation {
            InjectedViolation::NoResponse if info.is_selected => std::future::pending().await,
            InjectedViolation::ConnectionClosed if info.is_selected => return None,
            InjectedViolation::UnfairNodes if self.config.name != FAVOURED_NODE => {
                return Some(encode_response(429, ""));
            }
            InjectedViolation::IgnoredDisconnect => tokio::time::sleep(DELAY_PAST_DISCONNECT).await,
            InjectedViolation::LateResponse if info.is_selected => {
                tokio::time::sleep(DELAY_PAST_TIMEOUT).await;
            }
            _ => {}
        }
        let cache = self.cache_for(&info.key);
        if self.violation == InjectedViolation::UnwantedHedge
            && !info.is_write
            && info.is_selected
            && let Some(first) = cache
            && let Some(second) = self.cache_for(&format!("{}x", info.key))
        {
            let (response, _) = tokio::join!(forward(first, request), forward(second, request));
            return response.map(|response| response.encode());
        }
        let response = self.fetch(request, &info, cache, origin).await;
        self.after_fetch(request, info, cache.unwrap_or(origin), origin, response).await
    }

    /// Reads the properties of a request on which violations depend, or `None` if the request is malformed.
    fn inspect(&self, request: &HttpMessage) -> Option<RequestInfo> {
        let path = request.start_line.split(' ').nth(1)?;
        let mut segments = path.trim_start_matches('/').split('/');
        let class = segments.next()?;
        let key = segments.next()?.to_string();
        let id = request.headers.get("x-request-id")?.clone();
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        Some(RequestInfo {
            key,
            id,
            is_write: request.start_line.starts_with("PUT"),
            is_non_idempotent: self.config.effects.get(class).is_some_and(|e| e == "non_idempotent"),
            is_selected: count % VIOLATION_INTERVAL == VIOLATION_INTERVAL - 1,
        })
    }

    fn cache_for(&self, key: &str) -> Option<SocketAddr> {
        match self.violation {
            InjectedViolation::NewestCacheOnly => self.endpoints.newest_cache(),
            _ => self.endpoints.cache_for(key),
        }
    }

    /// Forwards a read to the cache and, if it has no value, to the origin; forwards a write to the origin.
    async fn fetch(
        &self,
        request: &HttpMessage,
        info: &RequestInfo,
        cache: Option<SocketAddr>,
        origin: SocketAddr,
    ) -> UpstreamResponse {
        if let Some(cache) = cache
            && !info.is_write
            && self.violation != InjectedViolation::OriginStampede
            && let Some(response) = forward(cache, request).await
            && response.status == 200
        {
            return response;
        }
        let response = forward(origin, request).await;
        response.unwrap_or(UpstreamResponse { status: 502, body: String::new() })
    }

    /// Applies the violations that need an upstream's response first, and returns the response for the
    /// client.
    async fn after_fetch(
        &self,
        request: &HttpMessage,
        info: RequestInfo,
        upstream: SocketAddr,
        origin: SocketAddr,
        response: UpstreamResponse,
    ) -> Option<String> {
        let encoded = response.encode();
        // Writes are few, so `RepeatedWrite` applies to each non-idempotent write.
        let is_non_idempotent_write = info.is_write && info.is_non_idempotent;
        match self.violation {
            InjectedViolation::RepeatedWrite if is_non_idempotent_write => {
                forward(origin, request).await;
            }
            InjectedViolation::RateLimitedAfterExecution if is_non_idempotent_write && info.is_selected => {
                return Some(encode_response(429, ""));
            }
            InjectedViolation::DuplicateResponse if info.is_selected => {
                return Some(format!("{encoded}{encoded}"));
            }
            InjectedViolation::AttemptAfterResponse if info.is_selected && !info.is_write => {
                let request = request.without_body();
                tokio::spawn(async move {
                    tokio::time::sleep(DELAY_PAST_RESPONSE).await;
                    forward(upstream, &request).await;
                });
            }
            InjectedViolation::StaleValue if !info.is_write => {
                let first = self.first_value(&info, response.body);
                return Some(encode_response(200, &first.body.replace(&first.request_id, &info.id)));
            }
            InjectedViolation::WrongResponse if !info.is_write => {
                return Some(encode_response(200, &self.first_value(&info, response.body).body));
            }
            _ => {}
        }
        Some(encoded)
    }

    /// The first value that was read for the request's key. If this request is the first for the key, `body`
    /// is stored as the first value.
    fn first_value(&self, info: &RequestInfo, body: String) -> FirstValue {
        let mut values = self.first_values.lock().unwrap_or_else(PoisonError::into_inner);
        let request_id = info.id.clone();
        values.entry(info.key.clone()).or_insert(FirstValue { request_id, body }).clone()
    }
}
