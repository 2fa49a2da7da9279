//! The fleet configuration of a serving node, which its control-plane agent uses. It is read at the start, and again on
//! SIGHUP.

use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

use granitelb_control_plane::agent::{Agent, ConfigReloadHandle};
use granitelb_control_plane::fleet_config::FleetConfig;

use super::config::{Config, DEFAULT_NAME};
use super::error::CommandError;

/// Reads the fleet configuration again for a running agent.
pub struct FleetConfigReloader {
    path: PathBuf,
    handle: ConfigReloadHandle,
}

/// A control-plane agent that was not started, and what reloads its configuration.
pub struct PreparedAgent {
    /// The agent.
    pub agent: Agent,
    /// Its reloader.
    pub reloader: FleetConfigReloader,
}

/// Prepares the agent of a node.
///
/// # Errors
/// Returns why the fleet configuration is not valid.
pub fn prepare_agent(path: PathBuf, config: &Config) -> Result<PreparedAgent, CommandError> {
    let fleet_config = load(&path)?;
    if config.name() == DEFAULT_NAME {
        // Planners identify forwarders by name: two with the same name would replace each other.
        log::warn!(event = "node_name_missing"; "no name is given: give each node of a fleet its own, by name or ROUTER_NAME");
    }
    let agent = Agent::new(fleet_config, config.name(), agent_address(config));
    let reloader = FleetConfigReloader { path, handle: agent.reload_handle() };
    Ok(PreparedAgent { agent, reloader })
}

/// The agent uses the address that clients connect to.
fn agent_address(config: &Config) -> Ipv4Addr {
    match config.listen().ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    }
}

fn load(path: &Path) -> Result<FleetConfig, CommandError> {
    FleetConfig::load(path).map_err(CommandError::FleetConfig)
}

impl FleetConfigReloader {
    /// Reads the file again. A file that is not valid is logged and changes nothing.
    pub fn reload(&self) {
        match load(&self.path) {
            Ok(fleet_config) => self.handle.reload(fleet_config),
            Err(error) => {
                log::error!(event = "fleet_config_refused"; "{error} The former configuration stays in force.");
            }
        }
    }
}
