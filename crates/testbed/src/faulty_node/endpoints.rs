//! The faulty node's endpoint list, kept up to date by a watch on discovery.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The request that opens a watch on discovery.
const WATCH_REQUEST: &[u8] = b"GET /registry/instances?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n";

/// How the faulty node treats a cache that discovery lists as draining or gone.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DrainHandling {
    /// Removes the cache from the list.
    Remove,
    /// Keeps the cache in the list, which is a violation.
    Ignore,
}

/// The endpoints to which the faulty node forwards.
#[derive(Default)]
pub(super) struct Endpoints {
    caches: Mutex<Vec<Cache>>,
    origin: Mutex<Option<SocketAddr>>,
}

struct Cache {
    name: String,
    address: SocketAddr,
}

/// Locks a mutex, also a poisoned one: each change of the list is a single step, so a panic leaves no partial
/// change.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Endpoints {
    /// The origin, once discovery has listed it.
    pub fn origin(&self) -> Option<SocketAddr> {
        *locked(&self.origin)
    }

    /// The cache that was listed last.
    pub fn newest_cache(&self) -> Option<SocketAddr> {
        locked(&self.caches).last().map(|cache| cache.address)
    }

    /// The cache for a key, chosen by a hash of the key among all listed caches.
    pub fn cache_for(&self, key: &str) -> Option<SocketAddr> {
        let caches = locked(&self.caches);
        if caches.is_empty() {
            return None;
        }
        let mut hash = 7usize;
        for byte in key.bytes() {
            hash = hash.wrapping_mul(31).wrapping_add(usize::from(byte));
        }
        Some(caches[hash % caches.len()].address)
    }

    /// Updates the list from a watch on discovery until the watch's connection ends or fails.
    pub async fn watch(&self, discovery: SocketAddr, draining: DrainHandling) -> std::io::Result<()> {
        let mut stream = TcpStream::connect(discovery).await?;
        stream.write_all(WATCH_REQUEST).await?;
        let mut lines = BufReader::new(stream).lines();
        while let Some(line) = lines.next_line().await? {
            // Lines that are no JSON objects belong to the response's head or hold chunk sizes.
            let Ok(Value::Object(list)) = serde_json::from_str(&line) else { continue };
            for target in list["targets"].as_array().into_iter().flatten() {
                self.update(target, draining);
            }
        }
        Ok(())
    }

    fn update(&self, target: &Value, draining: DrainHandling) {
        let text = |key: &str| target[key].as_str().unwrap_or_default();
        let Ok(address) = text("endpoint").parse() else { return };
        if text("model") == "origin" {
            *locked(&self.origin) = Some(address);
            return;
        }
        let name = text("uid").to_string();
        let mut caches = locked(&self.caches);
        if draining == DrainHandling::Remove {
            caches.retain(|cache| cache.name != name);
        }
        if text("state") == "active" {
            caches.push(Cache { name, address });
        }
    }
}
