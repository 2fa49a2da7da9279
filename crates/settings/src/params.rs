//! The JSON form of the settings. The fields are named after the keys, in `PascalCase` unless renamed.

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Params {
    #[serde(default)]
    pub billed_value_per: String,
    pub bounds: Bounds,
    #[serde(default)]
    pub discovery: String,
    #[serde(default)]
    pub load_info: LoadInfo,
    #[serde(default)]
    pub shapes: Vec<String>,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "Products")]
    pub request_classes: Vec<RequestClassParams>,
    pub rules: Rules,
    #[serde(default = "one_node", rename = "Siblings")]
    pub nodes: u32,
    #[serde(default)]
    pub specifics: Specifics,
    #[serde(default)]
    pub weight_kind: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Bounds {
    pub connect_timeout_us: u64,
    pub keepalive_us: u64,
    pub max_retry_after_us: u64,
    pub may_cancel: bool,
    #[serde(rename = "MostShots")]
    pub max_attempts: u8,
    pub retry_after: bool,
    #[serde(rename = "SecondCopies")]
    pub hedged_requests: bool,
}

impl Default for Bounds {
    /// Forbids what the settings do not allow: retries, hedged requests, cancellations and `Retry-After`. The
    /// timeouts are common values.
    fn default() -> Bounds {
        Bounds {
            connect_timeout_us: 250_000,
            keepalive_us: 10_000_000,
            max_retry_after_us: 0,
            may_cancel: false,
            max_attempts: 1,
            retry_after: false,
            hedged_requests: false,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RequestClassParams {
    #[serde(default = "one_value")]
    pub billed_value: f64,
    pub client_timeout_us: u64,
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub dedup_scope: String,
    pub effect: String,
    pub latency_slo_us: u64,
    #[serde(default, rename = "TardyBilledValue")]
    pub value_after_slo: f64,
    #[serde(default)]
    pub window_us: u64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Rules {
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall_us: u64,
    #[serde(rename = "MustAskInUs")]
    pub max_poll_interval_us: u64,
    pub only_draining_binds: bool,
    pub warm_after_us: u64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct LoadInfo {
    pub columns: Vec<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct Specifics {
    pub mode: String,
    pub origin_kind: i64,
}

fn one_node() -> u32 {
    1
}

fn one_value() -> f64 {
    1.0
}
