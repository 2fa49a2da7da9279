//! The operator's file of a serving node: read at the start, and again at SIGHUP.

use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};

use granitelb_control_plane::agent::{Agent, ConfigReloadHandle};
use granitelb_control_plane::fleet_config::FleetConfig;
use granitelb_coordination::component::Remediation;

use super::config::{Config, NO_NAME};

/// Has the courier take up the file anew.
pub struct Renewing {
    path: PathBuf,
    renewal: ConfigReloadHandle,
}

fn load(path: &Path) -> Result<FleetConfig, String> {
    FleetConfig::load(path)
        .map_err(|trouble| format!("operator's file, {trouble}. {}", trouble.remediation()))
}

/// A courier that is not on its way yet, and what renews it.
pub fn prepare(path: PathBuf, config: &Config) -> Result<(Agent, Renewing), String> {
    let operator = load(&path)?;
    if config.name() == NO_NAME {
        // Planners tell forwarders apart by name: two of one name take each other's place.
        log::warn!(event = "no_name"; "no name is given: give each node of a fleet its own, by name or ROUTER_NAME");
    }
    // Letters leave by the address that clients come to.
    let address = match config.listen().ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
    };
    let courier = Agent::new(operator, config.name(), address);
    let renewal = courier.reload_handle();
    Ok((courier, Renewing { path, renewal }))
}

impl Renewing {
    /// Reads the file again; one with a fault changes nothing.
    pub fn renew(&self) {
        match load(&self.path) {
            Ok(operator) => self.renewal.reload(operator),
            Err(trouble) => {
                log::error!(event = "operator_refused"; "{trouble} The file before it stays in force.");
            }
        }
    }
}
