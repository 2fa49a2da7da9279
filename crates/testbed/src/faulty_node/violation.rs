//! The violations that a faulty node can be started with.

use std::str::FromStr;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::Error;

/// How the faulty node breaks a rule. The command line accepts the former names and the present ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum InjectedViolation {
    /// Breaks no rule, as a control for tests.
    #[serde(rename = "none")]
    None,
    /// Leaves requests without a response.
    #[serde(rename = "mute", alias = "no-response")]
    NoResponse,
    /// Closes connections in place of sending a response.
    #[serde(rename = "close", alias = "connection-closed")]
    ConnectionClosed,
    /// Responds after the client timeout.
    #[serde(rename = "late", alias = "late-response")]
    LateResponse,
    /// Sends a response twice.
    #[serde(rename = "second-answer", alias = "duplicate-response")]
    DuplicateResponse,
    /// Sends an attempt for a request after the response to its client.
    #[serde(rename = "shot-after", alias = "attempt-after-response")]
    AttemptAfterResponse,
    /// Sends each non-idempotent write again after it has been executed.
    #[serde(rename = "resend", alias = "repeated-write")]
    RepeatedWrite,
    /// Responds to an executed write that the write was rate-limited.
    #[serde(rename = "rate-limit-ran", alias = "rate-limited-after-execution")]
    RateLimitedAfterExecution,
    /// Sends a read to two caches at once.
    #[serde(rename = "second-copy", alias = "unwanted-hedge")]
    UnwantedHedge,
    /// Goes on sending to every cache that was ever listed, also if it is draining or gone.
    #[serde(rename = "undrained", alias = "ignored-drain")]
    IgnoredDrain,
    /// Sends all reads to the cache that was listed last.
    #[serde(rename = "cold-rush", alias = "newest-cache-only")]
    NewestCacheOnly,
    /// Responds with an earlier value of the key, changed to look as if made for the request.
    #[serde(rename = "stale", alias = "stale-value")]
    StaleValue,
    /// Responds with a response that was made for another request.
    #[serde(rename = "another", alias = "wrong-response")]
    WrongResponse,
    /// Sends all reads to the origin.
    #[serde(rename = "stampede", alias = "origin-stampede")]
    OriginStampede,
    /// Forwards each request half a second late, whether or not its client has disconnected.
    #[serde(rename = "unheeding", alias = "ignored-disconnect")]
    IgnoredDisconnect,
    /// Rate-limits all requests at all nodes but the first one.
    #[serde(rename = "favour", alias = "unfair-nodes")]
    UnfairNodes,
}

impl FromStr for InjectedViolation {
    type Err = Error;

    fn from_str(name: &str) -> Result<InjectedViolation, Error> {
        InjectedViolation::deserialize(name.into_deserializer())
    }
}
