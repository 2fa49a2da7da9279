//! The fleet configuration of a serving node, which the node's control-plane agent uses. The file is read at
//! the start, and again on SIGHUP.

use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

use granitelb_control_plane::agent::{Agent, ConfigReloadHandle};
use granitelb_control_plane::fleet_config::FleetConfig;

use super::config::{Config, DEFAULT_NAME};
use super::error::CommandError;

/// Reloads the fleet configuration of a running control-plane agent.
pub struct FleetConfigReloader {
    path: PathBuf,
    handle: ConfigReloadHandle,
}

/// A control-plane agent before its start, and the reloader of its fleet configuration.
pub struct PreparedAgent {
    /// The control-plane agent.
    pub agent: Agent,
    /// The reloader of the agent's fleet configuration.
    pub reloader: FleetConfigReloader,
}

/// Creates the control-plane agent of a node from the fleet configuration at `path`, without starting the
/// agent.
///
/// # Errors
/// Returns an error if the fleet configuration cannot be read or is not valid.
pub fn prepare_agent(path: PathBuf, config: &Config) -> Result<PreparedAgent, CommandError> {
    let fleet_config = load(&path)?;
    if config.name() == DEFAULT_NAME {
        // Planners identify forwarders by name: two forwarders with the same name would replace each other.
        log::warn!(event = "node_name_missing"; "the node has the default name, and planners identify nodes by name: set a unique name with the key name or with ROUTER_NAME");
    }
    let agent = Agent::new(fleet_config, config.name(), agent_address(config));
    let reloader = FleetConfigReloader { path, handle: agent.reload_handle() };
    Ok(PreparedAgent { agent, reloader })
}

/// The IPv4 address of the agent: the one that clients connect to, or the unspecified address if clients
/// connect over IPv6.
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
    /// Reloads the fleet configuration. If the file is not valid, the error is logged and the previous
    /// configuration stays in force.
    pub fn reload(&self) {
        match load(&self.path) {
            Ok(fleet_config) => self.handle.reload(fleet_config),
            Err(error) => {
                log::error!(event = "fleet_config_refused"; "{error} The previous fleet configuration stays in force.");
            }
        }
    }
}
