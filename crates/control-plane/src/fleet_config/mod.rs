//! The fleet configuration (the operator's file): what all members of a fleet have to agree on, so that all of them read
//! the same file. It names the planners and the secrets that sign messages, and sets the limits for the whole fleet. A
//! component whose table is left out is disabled.
//!
//! `sections` has the file's tables, `validation` checks them, and `settings` converts them into the settings of
//! the components.

mod sections;
mod settings;
mod validation;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;

use granitelb_coordination::PlannerId;
use granitelb_coordination::message::{ComponentKind, Secrets};

use self::sections::FleetFile;
pub use self::sections::{CounterfactualSection, GrowthSection, LeaseSection, ProbeSection};
pub use self::validation::{MAX_FORWARDERS, MAX_PLANNERS};
use crate::config_error::{ConfigError, ConfigSource};

/// A fleet configuration that was validated.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The secrets that sign messages.
    pub secrets: Secrets,
    /// The address to which each planner's messages are sent.
    pub planners: BTreeMap<PlannerId, SocketAddrV4>,
    /// The most forwarders that the fleet will have.
    pub max_forwarders: usize,
    /// Limits on the origin and on cache servers that warm up; `None` disables leases.
    pub leases: Option<LeaseSection>,
    /// How often a failing endpoint is probed.
    pub probes: ProbeSection,
    /// Growth of the shard map; `None` disables it.
    pub shard_growth: Option<GrowthSection>,
    /// Counterfactual comparison of endpoints; `None` disables it.
    pub counterfactual: Option<CounterfactualSection>,
}

impl FleetConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns why the file is not a valid fleet configuration, with its line and key.
    pub fn load(path: &Path) -> Result<FleetConfig, ConfigError> {
        FleetConfig::parse(&ConfigSource::load(path)?)
    }

    /// Parses and validates a file that was read.
    ///
    /// # Errors
    /// As [`FleetConfig::load`].
    pub fn parse(source: &ConfigSource) -> Result<FleetConfig, ConfigError> {
        let file: FleetFile = source.parse()?;
        validation::validate(file, source).map_err(|invalid| source.locate(invalid))
    }

    /// Whether a component is enabled. Membership and endpoint health always are.
    pub fn enables(&self, kind: ComponentKind) -> bool {
        match kind {
            ComponentKind::Membership | ComponentKind::EndpointHealth => true,
            ComponentKind::Leases => self.leases.is_some(),
            ComponentKind::ShardGrowth => self.shard_growth.is_some(),
            ComponentKind::Counterfactual => self.counterfactual.is_some(),
        }
    }

    /// Whether components decide the same under both configurations. Only addresses and secrets may differ then.
    pub fn decides_like(&self, other: &FleetConfig) -> bool {
        self.planners.keys().eq(other.planners.keys())
            && self.max_forwarders == other.max_forwarders
            && self.leases == other.leases
            && self.probes == other.probes
            && self.shard_growth == other.shard_growth
            && self.counterfactual == other.counterfactual
    }
}

impl fmt::Display for FleetConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let enabled = ComponentKind::ALL.into_iter().filter(|kind| self.enables(*kind));
        let names: Vec<_> = enabled.map(ComponentKind::name).collect();
        let rotation = if self.secrets.previous.is_some() { ", a former secret too" } else { "" };
        write!(
            f,
            "{} planners, at most {} forwarders, {}{rotation}",
            self.planners.len(),
            self.max_forwarders,
            names.join(", ")
        )
    }
}
