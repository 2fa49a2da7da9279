//! The control plane of an experiment and the limits that the fleet shares.

use serde::Deserialize;

use super::{InvalidValue, Range, check_ranges};

/// The largest number of planners in an experiment.
pub const MAX_PLANNERS: usize = 5;

/// The control plane: its planners, and the limits that they coordinate.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// The number of planner processes.
    pub planners: usize,
    /// The number of nodes that run at the start; all nodes if absent.
    #[serde(rename = "begin")]
    pub initial_nodes: Option<usize>,
    /// Limits that nodes share by leases; if absent, no limit is shared.
    pub leases: Option<LeasesConfig>,
    /// Further contents of the planners' fleet configuration file, in the keys of that file.
    #[serde(rename = "operator")]
    pub fleet_config: toml::Table,
    /// Whether planners run without a state store, so that they lose their state when they restart.
    #[serde(rename = "forgetful")]
    pub volatile_planners: bool,
}

/// The limits that the fleet shares by leases.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeasesConfig {
    /// The limit on reads of the origin, per second.
    pub origin_per_s: f64,
    /// The limit on work at each cold cache: core-seconds of work, as measured at a warm cache, per second.
    #[serde(rename = "cold_work")]
    pub cold_cache_work: f64,
    /// The fraction of each limit that is divided evenly among the nodes and never leased.
    pub reserve: f64,
    /// The fraction of the origin's limit that is granted as long-term allocations, in proportion to usual
    /// demand.
    #[serde(rename = "standing")]
    pub long_term_share: f64,
    /// How long a lease is valid, in milliseconds.
    #[serde(rename = "lasts_ms")]
    pub lease_ms: u64,
}

impl Default for LeasesConfig {
    fn default() -> LeasesConfig {
        LeasesConfig {
            origin_per_s: 200.0,
            cold_cache_work: 1.0,
            reserve: 0.25,
            long_term_share: 0.0,
            lease_ms: 2000,
        }
    }
}

impl FleetConfig {
    pub(super) fn check(&self, nodes: usize) -> Result<(), InvalidValue> {
        let leases = self.leases.clone().unwrap_or_default();
        let initial_nodes = self.initial_nodes.unwrap_or(nodes);
        check_ranges(&[
            Range::new("fleet.planners", self.planners as f64, 0.0, MAX_PLANNERS as f64),
            Range::new("fleet.begin", initial_nodes as f64, 1.0, nodes as f64),
            Range::new("fleet.leases.origin_per_s", leases.origin_per_s, 1.0, 1e6),
            Range::new("fleet.leases.cold_work", leases.cold_cache_work, 0.001, 1e4),
            Range::new("fleet.leases.reserve", leases.reserve, 0.01, 1.0),
            Range::new("fleet.leases.standing", leases.long_term_share, 0.0, 1.0 - leases.reserve),
            Range::new("fleet.leases.lasts_ms", leases.lease_ms as f64, 100.0, 60_000.0),
        ])
    }

    /// The length of an accounting day, in milliseconds; `None` if the fleet configuration does not set the
    /// length.
    pub fn accounting_day_ms(&self) -> Option<f64> {
        let day_ms = self.fleet_config.get("growth")?.get("day_ms")?.as_integer()?;
        if day_ms > 0 { Some(day_ms as f64) } else { None }
    }
}
