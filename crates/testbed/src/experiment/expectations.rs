//! Limits that the measured figures of a run have to keep.

use serde::Deserialize;

/// Limits beside the rules of the audit, which always hold. An absent limit is not checked, except where noted. Reports
/// name a limit by its TOML key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// At least: the value of requests fulfilled within their latency objective, as a fraction of the value of all requests,
    /// over the whole run.
    pub service: Option<f64>,
    /// At least: the same from the end of the last fault on.
    pub service_after: Option<f64>,
    /// At most: seconds from the end of a fault until the service over two seconds is 0.9 of what it was before the fault.
    #[serde(rename = "recover_s")]
    pub recovery_s: Option<f64>,
    /// At most: the largest number of answers of a cache over the mean, among caches that served during the whole run.
    pub max_over_mean: Option<f64>,
    /// At most: the origin's reads in the busiest second over its capacity.
    #[serde(rename = "origin_fetches")]
    pub peak_origin_load: Option<f64>,
    /// At most: milliseconds from a node being notified of a drain until the last new attempt from it.
    pub drain_stop_ms: Option<f64>,
    /// At most: reads of a value that a write, answered earlier, had replaced. Always checked; 0 if absent.
    pub stale_reads: usize,
    /// At most: the fraction of requests with an error as answer.
    #[serde(rename = "errored")]
    pub error_rate: Option<f64>,
    /// At most: a node's memory, in MiB.
    pub memory_mb: Option<f64>,
    /// At most: a node's file descriptors.
    pub descriptors: Option<f64>,
    /// At least: the fraction of malformed clients that were rejected or disconnected in time.
    #[serde(rename = "bad_clients_met")]
    pub malformed_clients_handled: Option<f64>,
    /// At most: live leases and the reserve over the shared limit, at any time. If absent, 1 where leases are configured and
    /// no planner makes false claims.
    #[serde(rename = "leases")]
    pub leased_fraction: Option<f64>,
    /// At most: the origin's reads within any second over the limit that the fleet shares.
    #[serde(rename = "origin_over_whole")]
    pub origin_over_limit: Option<f64>,
    /// At most: the work at a cold cache within any second over the limit that the fleet shares.
    #[serde(rename = "cold_over_whole")]
    pub cold_cache_over_limit: Option<f64>,
    /// At most: attempts per second, by all nodes, to a cache that hangs, from 3 s after it started to hang.
    #[serde(rename = "sick_trials")]
    pub hung_cache_attempts_per_s: Option<f64>,
    /// At least: slow caches that planners report.
    #[serde(rename = "named")]
    pub slow_caches_reported: Option<usize>,
    /// At most: caches that planners report as slow though they are not.
    #[serde(rename = "named_wrongly")]
    pub falsely_reported_caches: Option<usize>,
    /// At least: Jain's fairness index of the nodes' fulfilled fractions.
    pub fairness: Option<f64>,
    /// At most: the drop of the service when planners return.
    #[serde(rename = "step")]
    pub service_step: Option<f64>,
    /// At most: by how much the service is less than with the same requests and without faults of planners and of
    /// control-plane messages. If set, the baseline is run as well.
    #[serde(rename = "loss")]
    pub service_loss: Option<f64>,
}
