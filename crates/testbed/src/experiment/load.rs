//! The load of an experiment: the rate, the keys, and how clients behave.

use serde::Deserialize;

use super::{InvalidValue, Range, check_ranges};

/// The rate and distribution of requests, and the behavior of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second to all nodes together, before multiplication by [`LoadPhase::factor`].
    pub rate: f64,
    /// The number of different keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution of key popularity.
    pub zipf: f64,
    /// The fraction of keys that are written. Written keys are chosen regardless of their popularity among
    /// reads.
    #[serde(rename = "written")]
    pub written_key_share: f64,
    /// Whether the caches hold the values of the keys when the run starts.
    pub preloaded: bool,
    /// The mean number of requests that arrive together.
    pub burst: f64,
    /// The skew of the distribution of requests over nodes: the n-th node's weight is n to the power of minus
    /// the skew. At 0 all nodes have the same weight.
    #[serde(rename = "uneven")]
    pub node_skew: f64,
    /// Tenants, of which each request names a randomly drawn one; if empty, requests name no tenant.
    pub tenants: Vec<String>,
    /// Changes of the rate over time, in order of time.
    #[serde(rename = "phase")]
    pub phases: Vec<LoadPhase>,
    /// The behavior of clients.
    pub clients: ClientBehavior,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 300.0,
            keys: 2000,
            zipf: 0.9,
            written_key_share: 1.0,
            preloaded: true,
            burst: 1.0,
            node_skew: 0.0,
            tenants: Vec::new(),
            phases: Vec::new(),
            clients: ClientBehavior::default(),
        }
    }
}

/// A change of the request rate that lasts until the next phase.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// When the phase starts, in seconds from the start of the run.
    pub at_s: f64,
    /// The multiple of [`Load::rate`].
    pub factor: f64,
}

/// The behavior of clients: retries, new connections and abandoned requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBehavior {
    /// The most retries of a request that was not fulfilled. A non-idempotent request is only retried if it
    /// was rate-limited.
    #[serde(rename = "retries")]
    pub max_retries: u8,
    /// Whether clients mark retries as such.
    #[serde(rename = "marks")]
    pub mark_retries: bool,
    /// The mean delay before a retry, in milliseconds.
    pub backoff_ms: f64,
    /// The fraction of clients that honor `Retry-After`.
    #[serde(rename = "honour")]
    pub honor_retry_after_share: f64,
    /// The fraction of requests that are sent on a new connection, which is closed after the response.
    #[serde(rename = "once")]
    pub single_use_share: f64,
    /// The fraction of attempts that the client abandons before the response.
    #[serde(rename = "leave")]
    pub abandon_share: f64,
    /// The longest time, in milliseconds, until a client abandons an attempt; the actual time is random.
    #[serde(rename = "leave_ms")]
    pub abandon_within_ms: f64,
}

impl Default for ClientBehavior {
    fn default() -> ClientBehavior {
        ClientBehavior {
            max_retries: 1,
            mark_retries: false,
            backoff_ms: 60.0,
            honor_retry_after_share: 0.8,
            single_use_share: 0.02,
            abandon_share: 0.0,
            abandon_within_ms: 200.0,
        }
    }
}

impl Load {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        check_ranges(&[
            Range::new("load.rate", self.rate, 0.1, 50_000.0),
            Range::new("load.keys", self.keys as f64, 1.0, 1e8),
            Range::new("load.zipf", self.zipf, 0.0, 5.0),
            Range::new("load.written", self.written_key_share, 0.0, 1.0),
            Range::new("load.burst", self.burst, 1.0, 1000.0),
            Range::new("load.uneven", self.node_skew, 0.0, 3.0),
            Range::new("load.clients.backoff_ms", self.clients.backoff_ms, 0.0, 60_000.0),
            Range::new("load.clients.honour", self.clients.honor_retry_after_share, 0.0, 1.0),
            Range::new("load.clients.once", self.clients.single_use_share, 0.0, 1.0),
            Range::new("load.clients.leave", self.clients.abandon_share, 0.0, 1.0),
            Range::new("load.clients.leave_ms", self.clients.abandon_within_ms, 1.0, 60_000.0),
        ])?;
        // Comparisons with NaN are false, so that NaN is invalid.
        let is_valid = |phase: &LoadPhase| phase.factor >= 0.0 && phase.at_s >= 0.0;
        if !self.phases.iter().all(is_valid) {
            return Err(InvalidValue::rule("load.phase", "at_s and factor must be 0 or more"));
        }
        Ok(())
    }

    /// The factor of the phase at a time, in seconds from the start of the run; 1 before the first phase.
    pub fn factor_at(&self, at_s: f64) -> f64 {
        let current = self.phases.iter().rev().find(|phase| phase.at_s <= at_s);
        current.map_or(1.0, |phase| phase.factor)
    }

    /// The largest factor of all phases; at least 1.
    pub fn max_factor(&self) -> f64 {
        self.phases.iter().map(|phase| phase.factor).fold(1.0, f64::max)
    }
}
