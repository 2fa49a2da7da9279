//! The fleet configuration (the operator's file): the settings that all members of a fleet have to agree on.
//! All members therefore read the same file. The file names the planners and the secrets that sign messages,
//! and sets the limits for the whole fleet. A component whose table is missing from the file is disabled.
//!
//! The module `sections` defines the file's tables, `validation` checks their values, and `settings` converts
//! them into the settings of the components.

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

/// A validated fleet configuration.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The secrets that sign messages.
    pub secrets: Secrets,
    /// Each planner's address, to which the other members send their messages.
    pub planners: BTreeMap<PlannerId, SocketAddrV4>,
    /// The maximum number of forwarders in the fleet.
    pub max_forwarders: usize,
    /// Limits on the load of the origin and of cache servers that warm up; `None` disables leases.
    pub leases: Option<LeaseSection>,
    /// How often a failing endpoint is probed.
    pub probes: ProbeSection,
    /// When and how shards are split; `None` disables shard growth.
    pub shard_growth: Option<GrowthSection>,
    /// The counterfactual comparison of endpoints; `None` disables the comparison.
    pub counterfactual: Option<CounterfactualSection>,
}

impl FleetConfig {
    /// Reads and validates a file.
    ///
    /// # Errors
    /// Returns an error with the file, the line and the key that is not valid.
    pub fn load(path: &Path) -> Result<FleetConfig, ConfigError> {
        FleetConfig::parse(&ConfigSource::load(path)?)
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    /// Returns an error with the file, the line and the key that is not valid.
    pub fn parse(source: &ConfigSource) -> Result<FleetConfig, ConfigError> {
        let file: FleetFile = source.parse()?;
        validation::validate(file, source).map_err(|invalid| source.locate(invalid))
    }

    /// Whether a component is enabled. Membership and endpoint health are always enabled.
    pub fn enables(&self, kind: ComponentKind) -> bool {
        match kind {
            ComponentKind::Membership | ComponentKind::EndpointHealth => true,
            ComponentKind::Leases => self.leases.is_some(),
            ComponentKind::ShardGrowth => self.shard_growth.is_some(),
            ComponentKind::Counterfactual => self.counterfactual.is_some(),
        }
    }

    /// Whether both configurations have the same planner numbers and the same settings for all components;
    /// addresses and secrets may differ.
    pub fn has_same_component_settings(&self, other: &FleetConfig) -> bool {
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
        let rotation = if self.secrets.previous.is_some() { "; a former secret is accepted too" } else { "" };
        write!(
            f,
            "{} planners, at most {} forwarders, enabled components: {}{rotation}",
            self.planners.len(),
            self.max_forwarders,
            names.join(", ")
        )
    }
}
