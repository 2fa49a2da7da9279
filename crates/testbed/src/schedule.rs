//! The schedule of a run: all requests, fixed before the run starts.
//!
//! A schedule is drawn from a seed (see [`request_generator`](crate::request_generator)) or read from a
//! recording. The same seed gives the same schedule, byte for byte. A [`RequestId`] is a request's position
//! in its schedule.
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::event_log::{NodeId, RequestId, Timestamp};

/// Distinguishes the hash of the idempotency key from the hashes of attempt numbers, which are smaller than
/// this number.
const IDEMPOTENCY_KEY_STREAM: u64 = 1 << 20;

/// A request of a schedule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledRequest {
    /// When the request is due, in microseconds from the start of the run.
    pub at_us: i64,
    /// The index of the node that the client sends the request to.
    pub node: usize,
    /// The index of the request class.
    #[serde(rename = "product")]
    pub class: usize,
    /// The key that the request reads or writes.
    pub key: u64,
    /// The index of the tenant; `None` if the load has no tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<usize>,
    /// Whether the client opens a connection for the request and closes the connection after the response.
    #[serde(rename = "once", default)]
    pub single_use_connection: bool,
    /// Whether the client honors `Retry-After`.
    #[serde(rename = "heeds", default)]
    pub honors_retry_after: bool,
    /// The delays before the client's retries, in microseconds: one for each permitted retry.
    #[serde(rename = "repeats_us", default)]
    pub retry_delays_us: Vec<u64>,
    /// The seed of the IDs of the request's attempts and of its idempotency key; different for each request.
    #[serde(rename = "salt")]
    pub id_seed: u64,
}

impl ScheduledRequest {
    /// When the request is due.
    pub fn due(&self) -> Timestamp {
        Timestamp(self.at_us)
    }

    /// The node that the client sends the request to.
    pub fn node_id(&self) -> NodeId {
        NodeId(self.node)
    }

    /// The ID of the client's attempt with this number, counted from 0.
    pub fn attempt_id(&self, attempt: u8) -> String {
        format!("{:016x}", mix64(self.id_seed, u64::from(attempt)))
    }

    /// The idempotency key, which is the same for all attempts.
    pub fn idempotency_key(&self) -> String {
        format!("k{:016x}", mix64(self.id_seed, IDEMPOTENCY_KEY_STREAM))
    }

    /// The delay before the retry with this number, counted from 0; `None` if there are no further retries.
    pub fn retry_delay(&self, retry: u8) -> Option<Duration> {
        let delay_us = self.retry_delays_us.get(usize::from(retry))?;
        Some(Duration::from_micros(*delay_us))
    }
}

/// The requests of a run, ordered by due time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The requests; a [`RequestId`] is an index into them.
    pub requests: Vec<ScheduledRequest>,
}

impl Schedule {
    /// The schedule as text, one JSON object per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for request in &self.requests {
            text += &serde_json::to_string(request).expect("numbers and booleans can be written as JSON");
            text.push('\n');
        }
        text
    }

    /// The request with this ID, which has to belong to this schedule.
    pub fn request(&self, id: RequestId) -> &ScheduledRequest {
        &self.requests[id.0]
    }
}

/// A 64-bit hash of two numbers by the finalizer of SplitMix64; not cryptographic.
pub fn mix64(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
