//! The load of an experiment.

use serde::Deserialize;

use super::parts::within;

/// What running a call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProductEffect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// One kind of API call. All that is not idempotent is a write.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    pub effect: ProductEffect,
    pub slo_ms: u64,
    pub timeout_ms: u64,
    #[serde(default = "one")]
    pub value: f64,
    /// Its part of the calls.
    #[serde(default = "one")]
    pub share: f64,
}

impl Product {
    pub fn writes(&self) -> bool {
        self.effect != ProductEffect::Idempotent
    }
}

fn one() -> f64 {
    1.0
}

/// A product of each kind, mostly read.
pub fn usual_products() -> Vec<Product> {
    let product = |name: &str, effect, value, share| Product {
        name: name.into(),
        effect,
        slo_ms: 400,
        timeout_ms: 1000,
        value,
        share,
    };
    vec![
        product("summary", ProductEffect::Idempotent, 1.0, 0.9),
        product("rename", ProductEffect::Deduplicated, 2.0, 0.06),
        product("transfer", ProductEffect::NonIdempotent, 4.0, 0.04),
    ]
}

/// How clients ask.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Calls a second over all nodes, before phases.
    pub rate: f64,
    pub keys: u64,
    /// The exponent of the keys' popularity.
    pub zipf: f64,
    /// Writes go to a key of their own kind of popularity: this share of the keys is ever written.
    pub written: f64,
    /// How much of the keys the caches hold when the run begins.
    pub preloaded: bool,
    /// Arrivals come in groups of this mean size.
    pub burst: f64,
    /// How uneven calls are over nodes: the n-th gets one part in n to this power. All the same by 0.
    pub uneven: f64,
    pub tenants: Vec<String>,
    pub phase: Vec<Phase>,
    pub clients: Clients,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 300.0,
            keys: 2000,
            zipf: 0.9,
            written: 1.0,
            preloaded: true,
            burst: 1.0,
            uneven: 0.0,
            tenants: Vec::new(),
            phase: Vec::new(),
            clients: Clients::default(),
        }
    }
}

/// From `at_s` on, until the next phase, the rate is this many times as high.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub at_s: f64,
    pub factor: f64,
}

/// What clients do on their own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Most repeats of a call that was not fulfilled. A non-idempotent call is repeated only if rate-limited.
    pub retries: u8,
    /// Whether a repeat says that it is one.
    pub marks: bool,
    /// The mean wait before a repeat.
    pub backoff_ms: f64,
    /// The share of clients that heed a time to come back.
    pub honour: f64,
    /// The share of calls whose client comes with a new connection and does not keep it.
    pub once: f64,
    /// The share of tries whose client gives up early, at any time within `leave_ms`.
    pub leave: f64,
    pub leave_ms: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 1,
            marks: false,
            backoff_ms: 60.0,
            honour: 0.8,
            once: 0.02,
            leave: 0.0,
            leave_ms: 200.0,
        }
    }
}

impl Load {
    pub fn check(&self) -> Result<(), (String, String)> {
        let ranges = [
            ("load.rate", self.rate, 0.1, 50_000.0),
            ("load.keys", self.keys as f64, 1.0, 1e8),
            ("load.zipf", self.zipf, 0.0, 5.0),
            ("load.written", self.written, 0.0, 1.0),
            ("load.burst", self.burst, 1.0, 1000.0),
            ("load.uneven", self.uneven, 0.0, 3.0),
            ("load.clients.backoff_ms", self.clients.backoff_ms, 0.0, 60_000.0),
            ("load.clients.honour", self.clients.honour, 0.0, 1.0),
            ("load.clients.once", self.clients.once, 0.0, 1.0),
            ("load.clients.leave", self.clients.leave, 0.0, 1.0),
            ("load.clients.leave_ms", self.clients.leave_ms, 1.0, 60_000.0),
        ];
        within(&ranges)?;
        match self.phase.iter().find(|p| !(p.factor >= 0.0 && p.at_s >= 0.0)) {
            Some(_) => Err(("load.phase".into(), "neither time nor factor may be negative".into())),
            None => Ok(()),
        }
    }
}
