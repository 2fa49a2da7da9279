//! The violations that a faulty node can be told to commit.

use std::str::FromStr;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::Error;

/// The rule that the node breaks. The command line keeps the former names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum InjectedViolation {
    /// None: the control of a test.
    #[serde(rename = "none")]
    None,
    /// Leaves requests without a response.
    #[serde(rename = "mute", alias = "no-response")]
    NoResponse,
    /// Closes connections in place of a response.
    #[serde(rename = "close", alias = "connection-closed")]
    ConnectionClosed,
    /// Responds after the client timeout.
    #[serde(rename = "late", alias = "late-response")]
    LateResponse,
    /// Responds twice.
    #[serde(rename = "second-answer", alias = "duplicate-response")]
    DuplicateResponse,
    /// Sends an attempt for a request that has its response.
    #[serde(rename = "shot-after", alias = "attempt-after-response")]
    AttemptAfterResponse,
    /// Sends a write again that has been executed; applies to each such write.
    #[serde(rename = "resend", alias = "repeated-write")]
    RepeatedWrite,
    /// Reports a write as rate-limited that has been executed.
    #[serde(rename = "rate-limit-ran", alias = "rate-limited-after-execution")]
    RateLimitedAfterExecution,
    /// Sends a read to two caches at once.
    #[serde(rename = "second-copy", alias = "unwanted-hedge")]
    UnwantedHedge,
    /// Goes on sending to each cache that was ever listed.
    #[serde(rename = "undrained", alias = "ignored-drain")]
    IgnoredDrain,
    /// Sends all reads to the cache that was listed last.
    #[serde(rename = "cold-rush", alias = "newest-cache-only")]
    NewestCacheOnly,
    /// Responds with an earlier value, as if it were made for the request.
    #[serde(rename = "stale", alias = "stale-value")]
    StaleValue,
    /// Responds with what was made for another request.
    #[serde(rename = "another", alias = "wrong-response")]
    WrongResponse,
    /// Sends all reads to the origin.
    #[serde(rename = "stampede", alias = "origin-stampede")]
    OriginStampede,
    /// Forwards each request half a second late, whether or not its client has disconnected.
    #[serde(rename = "unheeding", alias = "ignored-disconnect")]
    IgnoredDisconnect,
    /// Rate-limits all requests, unless it is the first node.
    #[serde(rename = "favour", alias = "unfair-nodes")]
    UnfairNodes,
}

impl FromStr for InjectedViolation {
    type Err = Error;

    fn from_str(name: &str) -> Result<InjectedViolation, Error> {
        InjectedViolation::deserialize(name.into_deserializer())
    }
}
