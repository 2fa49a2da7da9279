//! The configuration of a node.
//!
//! [`Config::load`] reads and validates the file and fills in defaults; the rest of the program depends
//! neither on the form of the file nor on its defaults.
//!
//! A reload applies what a running node can change: the address of discovery, limits, and settings that are
//! compatible with those in force. Other changes are logged and take effect at the next start.

mod file;

use std::fmt;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

use granitelb_settings::{DecodedSettings, SettingsError};

pub use self::file::NodeConfigError;
use crate::http::EndpointListUpdate;
use crate::proxy::{NodeConfig, ReloadableConfig};

/// The name of a node whose configuration sets no name.
pub const DEFAULT_NAME: &str = "node";

const BYTES_PER_MB: usize = 1024 * 1024;

/// The validated configuration of a node.
pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// The seed of the balancer's random choices; drawn at the start if `None`.
    seed: Option<u64>,
    max_descriptors: u64,
    /// The limit on the memory of connections, in MiB; `None` for no limit.
    max_memory_mb: Option<u64>,
    /// The endpoint list that the node uses until discovery answers.
    known_endpoints: Option<EndpointListUpdate>,
    /// The name of the response header that carries load reports.
    load_header: Option<Box<str>>,
    settings: DecodedSettings,
}

impl Config {
    /// The configuration with which a node is started.
    pub fn node_config(&self) -> NodeConfig {
        NodeConfig {
            listen: self.listen,
            seed: self.seed.unwrap_or_else(random_seed),
            known_endpoints: self.known_endpoints.clone(),
            settings: self.settings.clone(),
            reloadable: self.reloadable(),
            control_plane_agent: None,
        }
    }

    /// The node's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that clients connect to.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The part of the configuration that a running node can apply, without the settings.
    pub fn reloadable(&self) -> ReloadableConfig {
        ReloadableConfig {
            discovery: self.discovery,
            descriptors: self.max_descriptors as usize,
            memory: self.max_memory_mb.map_or(usize::MAX, |mb| (mb as usize).saturating_mul(BYTES_PER_MB)),
            connect_timeout: self.settings.connect_timeout,
            keepalive: self.settings.keepalive,
            load_report_header: self.load_header.clone(),
            settings: None,
        }
    }

    /// Replaces the settings by the result of merging them into those of the running node, and returns the
    /// merged settings if they differ from the running node's.
    ///
    /// # Errors
    /// Returns an error with the key whose change a running node cannot apply. In that case this
    /// configuration gets the running node's settings, but keeps its own connect timeout and keep-alive time.
    pub fn merge_settings(
        &mut self,
        running: &Config,
    ) -> Result<Option<Box<DecodedSettings>>, SettingsError> {
        let merged = match self.settings.merged_into(&running.settings) {
            Ok(merged) => merged,
            Err(error) => {
                self.replace_settings(running.settings.clone());
                return Err(error.with_key_prefix("settings"));
            }
        };
        self.replace_settings(merged.clone());
        if self.has_same_settings(running) {
            return Ok(None);
        }
        Ok(Some(Box::new(merged)))
    }

    /// Replaces the settings, except for this configuration's own connect timeout and keep-alive time.
    fn replace_settings(&mut self, settings: DecodedSettings) {
        self.settings = DecodedSettings {
            connect_timeout: self.settings.connect_timeout,
            keepalive: self.settings.keepalive,
            ..settings
        };
    }

    fn has_same_settings(&self, other: &Config) -> bool {
        let (own, other) = (&self.settings, &other.settings);
        own.balancer_settings == other.balancer_settings
            && own.names == other.names
            && own.client_timeouts == other.client_timeouts
    }

    /// Adopts the settings of a configuration that was applied. All other values stay those of the node's
    /// start.
    pub fn adopt_settings(&mut self, applied: Config) {
        self.settings = applied.settings;
    }

    /// The changed keys that take effect at the next start only: clients connect to the listen address of the
    /// running node, and what the node has learned depends on its seed.
    pub fn keys_requiring_restart(&self, running: &Config) -> Vec<&'static str> {
        let mut keys = Vec::new();
        if self.listen != running.listen {
            keys.push("listen");
        }
        if self.seed != running.seed {
            keys.push("seed");
        }
        keys
    }
}

/// Returns a seed that differs between the nodes on a machine (by process id) and between the starts of a
/// node (by time).
fn random_seed() -> u64 {
    let start = UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos() as u64;
    let process = u64::from(std::process::id());
    start ^ (process << 40)
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = self.known_endpoints.as_ref().map_or(0, |list| list.entries.len());
        write!(
            f,
            "{}: listens on {}, discovery at {}, {known} known endpoints, at most {} file descriptors, serves {}",
            self.name,
            self.listen,
            self.discovery,
            self.max_descriptors,
            self.settings.names.request_classes.join(", ")
        )
    }
}
