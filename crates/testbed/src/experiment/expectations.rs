//! Limits on the measured figures of a run.

use serde::Deserialize;

/// Limits on a run's figures, in addition to the audit's rules, which apply to every run. An absent limit is
/// not checked, except where noted. Reports name a limit by its TOML key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// The smallest service: the value of requests fulfilled within their latency objective, as a fraction of
    /// the value of all requests, over the whole run.
    pub service: Option<f64>,
    /// The smallest service, as for `service`, from the end of the last fault on.
    pub service_after: Option<f64>,
    /// The longest recovery: seconds from the end of a fault until the service over two seconds is 0.9 of the
    /// service before the fault.
    #[serde(rename = "recover_s")]
    pub recovery_s: Option<f64>,
    /// The largest ratio of one cache's number of responses to the mean, among caches that served during the
    /// whole run.
    pub max_over_mean: Option<f64>,
    /// The largest ratio of the origin's reads in the busiest second to its capacity.
    #[serde(rename = "origin_fetches")]
    pub peak_origin_load: Option<f64>,
    /// The longest time, in milliseconds, from the notification of a node that a cache drains until that
    /// node's last new attempt to the cache.
    pub drain_stop_ms: Option<f64>,
    /// The most reads that return a value although a write that replaced the value was answered earlier.
    /// Always checked; 0 if absent.
    pub stale_reads: usize,
    /// The largest fraction of requests whose response is an error.
    #[serde(rename = "errored")]
    pub error_rate: Option<f64>,
    /// The largest memory use of a node, in MiB.
    pub memory_mb: Option<f64>,
    /// The most open file descriptors of a node.
    pub descriptors: Option<f64>,
    /// The smallest fraction of malformed clients that are rejected or disconnected in time.
    #[serde(rename = "bad_clients_met")]
    pub malformed_clients_handled: Option<f64>,
    /// The largest ratio of live leases plus the reserve to the shared limit, at any time. If absent, 1 if
    /// leases are configured and no planner makes false claims.
    #[serde(rename = "leases")]
    pub leased_fraction: Option<f64>,
    /// The largest ratio of the origin's reads within any second to the limit that the fleet shares.
    #[serde(rename = "origin_over_whole")]
    pub origin_over_limit: Option<f64>,
    /// The largest ratio of the work at a cold cache within any second to the limit that the fleet shares.
    #[serde(rename = "cold_over_whole")]
    pub cold_cache_over_limit: Option<f64>,
    /// The most attempts per second, by all nodes, to a cache that hangs, counted from 3 s after the hang
    /// began.
    #[serde(rename = "sick_trials")]
    pub hung_cache_attempts_per_s: Option<f64>,
    /// The fewest slow caches that planners report.
    #[serde(rename = "named")]
    pub slow_caches_reported: Option<usize>,
    /// The most caches that planners report as slow although the caches are not slow.
    #[serde(rename = "named_wrongly")]
    pub falsely_reported_caches: Option<usize>,
    /// The smallest Jain's fairness index of the nodes' fractions of fulfilled requests.
    pub fairness: Option<f64>,
    /// The largest drop of the service when planners return.
    #[serde(rename = "step")]
    pub service_step: Option<f64>,
    /// The largest loss of service against a baseline run with the same requests and without faults of
    /// planners and of control-plane messages. If set, the baseline is run as well.
    #[serde(rename = "loss")]
    pub service_loss: Option<f64>,
}
