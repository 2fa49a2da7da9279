//! The configuration of a node. [`load`](Config::load) reads, validates and completes it; nothing else in the program
//! knows the file's form or its defaults.
//!
//! A reload changes what a running node can apply: addresses of discovery, limits, and settings that do not contradict
//! those in force. The rest is reported and takes effect at the next start.

mod file;

use std::fmt;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

use granitelb_settings::{DecodedSettings, SettingsError};

use crate::http::EndpointListUpdate;
use crate::proxy::{NodeConfig, ReloadableConfig};

/// The name of a node that was given none.
pub const DEFAULT_NAME: &str = "node";

const BYTES_PER_MB: usize = 1024 * 1024;

/// A validated configuration.
pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Drawn at the start if it is `None`.
    seed: Option<u64>,
    max_descriptors: u64,
    /// The limit on the memory of connections; `None` if there is none.
    max_memory_mb: Option<u64>,
    /// The endpoint list that the node uses until discovery answers.
    known_endpoints: Option<EndpointListUpdate>,
    load_header: Option<Box<str>>,
    settings: DecodedSettings,
}

impl Config {
    /// What a node is started with.
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

    /// What a running node can apply, without its settings.
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

    /// Merges the settings with those of the running node, which this configuration has from then on. Returns them if
    /// they differ from the running ones.
    ///
    /// # Errors
    /// Returns the key that a running node cannot apply. The configuration has the running settings then, except for the
    /// timeouts of connections.
    pub fn merge_settings(
        &mut self,
        running: &Config,
    ) -> Result<Option<Box<DecodedSettings>>, SettingsError> {
        let merged = match self.settings.after(&running.settings) {
            Ok(merged) => merged,
            Err(fault) => {
                self.replace_settings(running.settings.clone());
                return Err(fault.under("settings"));
            }
        };
        self.replace_settings(merged.clone());
        if self.has_same_decisions(running) {
            return Ok(None);
        }
        Ok(Some(Box::new(merged)))
    }

    /// Takes other settings, but keeps this configuration's own timeouts of connections.
    fn replace_settings(&mut self, settings: DecodedSettings) {
        self.settings = DecodedSettings {
            connect_timeout: self.settings.connect_timeout,
            keepalive: self.settings.keepalive,
            ..settings
        };
    }

    fn has_same_decisions(&self, other: &Config) -> bool {
        let (own, other) = (&self.settings, &other.settings);
        own.decisions == other.decisions
            && own.names == other.names
            && own.client_timeouts == other.client_timeouts
    }

    /// Takes the settings of a configuration that was applied. All else stays as the node was started.
    pub fn adopt_settings(&mut self, applied: Config) {
        self.settings = applied.settings;
    }

    /// The keys that differ from the running node's and take effect at the next start only: clients are connecting to
    /// the address that it listens on, and what it has learned depends on its seed.
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

/// A seed that differs between nodes on one machine, by process number, and between their starts.
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
            "{} listens on {}, discovery is at {}, {known} endpoints are known, at most {} file descriptors, serves {}",
            self.name,
            self.listen,
            self.discovery,
            self.max_descriptors,
            self.settings.names.request_classes.join(", ")
        )
    }
}
