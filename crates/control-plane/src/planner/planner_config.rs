//! A planner's own configuration file: the planner's number in the fleet configuration, and where it stores
//! its state.

use std::fmt;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use granitelb_coordination::PlannerId;
use serde::Deserialize;

use crate::config_error::{ConfigError, ConfigSource, InvalidValue};
use crate::fault_injection::FaultInjection;
use crate::fleet_config::FleetConfig;

/// The keys of the planner's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlannerFile {
    number: u8,
    #[serde(rename = "operator")]
    fleet_config: PathBuf,
    #[serde(rename = "state")]
    state_folder: Option<PathBuf>,
    listen: Option<SocketAddr>,
    #[serde(rename = "trial")]
    fault_injection: Option<FaultInjection>,
}

/// A planner's validated file, with the validated fleet configuration that the file names.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// This planner's number in the fleet configuration.
    pub id: PlannerId,
    /// The configuration that all members share.
    pub fleet_config: Arc<FleetConfig>,
    /// The folder of the planner's store; `None` if the planner persists nothing.
    pub state_folder: Option<PathBuf>,
    /// The address to which the planner's socket is bound: `listen` of the planner's file, or else the
    /// planner's address in the fleet configuration. `listen` is needed if the planner's machine knows that
    /// address by another one.
    pub listen: SocketAddrV4,
    /// Faults to inject, for tests only.
    pub fault_injection: Option<FaultInjection>,
}

impl PlannerConfig {
    /// Reads and validates the planner's file and the fleet configuration.
    ///
    /// # Errors
    /// Returns an error with the file, the line and the key that is not valid.
    pub fn load(path: &Path) -> Result<PlannerConfig, ConfigError> {
        let source = ConfigSource::load(path)?;
        let file: PlannerFile = source.parse()?;
        let fleet_config = FleetConfig::load(&source.resolve(&file.fleet_config))?;
        file.validate(&source, fleet_config).map_err(|invalid| source.locate(invalid))
    }

    /// The keys of the planner's file whose new values differ from those of `running` and apply only after a
    /// restart.
    pub fn keys_requiring_restart(&self, running: &PlannerConfig) -> Vec<&'static str> {
        let mut keys = Vec::new();
        if self.id != running.id {
            keys.push("number");
        }
        if self.state_folder != running.state_folder {
            keys.push("state");
        }
        if self.listen != running.listen {
            keys.push("listen");
        }
        if self.fault_injection != running.fault_injection {
            keys.push("trial");
        }
        keys
    }
}

impl PlannerFile {
    fn validate(
        self,
        source: &ConfigSource,
        fleet_config: FleetConfig,
    ) -> Result<PlannerConfig, InvalidValue> {
        let id = PlannerId(self.number);
        let Some(&listed_address) = fleet_config.planners.get(&id) else {
            let reason = format!("the operator's file has no planner {}", self.number);
            return Err(InvalidValue::new("number", reason));
        };
        let listen = match self.listen {
            None => listed_address,
            Some(SocketAddr::V4(listen)) => listen,
            Some(other) => {
                return Err(InvalidValue::new("listen", format!("{other} must be an IPv4 address")));
            }
        };
        if fleet_config.shard_growth.is_some() && self.state_folder.is_none() {
            // Without votes that survive a restart, planners could agree on two shard maps.
            let reason = "must name a folder, since shard growth is enabled and has to store its votes";
            return Err(InvalidValue::new("state", reason));
        }
        if let Some(fault_injection) = &self.fault_injection {
            fault_injection.validate()?;
        }
        Ok(PlannerConfig {
            id,
            fleet_config: Arc::new(fleet_config),
            state_folder: self.state_folder.map(|folder| source.resolve(&folder)),
            listen,
            fault_injection: self.fault_injection,
        })
    }
}

impl fmt::Display for PlannerConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let planners = self.fleet_config.planners.len();
        write!(f, "planner {} of {planners}, receives messages at {}, ", self.id.0, self.listen)?;
        match &self.state_folder {
            Some(folder) => write!(f, "stores its state in {}; {}", folder.display(), self.fleet_config),
            None => write!(f, "stores no state; {}", self.fleet_config),
        }
    }
}
