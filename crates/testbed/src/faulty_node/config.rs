//! The faulty node's configuration, read from the same file as the real program's.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

/// Why the faulty node can't serve.
#[derive(Debug)]
pub enum ServeError {
    /// The configuration file can't be read.
    ReadConfig {
        /// Path of the file.
        file: PathBuf,
        /// The system's error.
        error: std::io::Error,
    },
    /// The configuration file is not JSON.
    ParseConfig {
        /// Path of the file.
        file: PathBuf,
        /// The error of the JSON parser.
        error: serde_json::Error,
    },
    /// The configuration lacks an address, or the address is malformed.
    NoAddress {
        /// Key of the address in the configuration.
        key: &'static str,
    },
    /// The runtime can't be started.
    StartRuntime(std::io::Error),
    /// The faulty node can't listen at the configured address.
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServeError::ReadConfig { file, error } => {
                write!(f, "the configuration file {} can't be read: {error}", file.display())
            }
            ServeError::ParseConfig { file, error } => {
                write!(f, "the configuration file {} is not JSON: {error}", file.display())
            }
            ServeError::NoAddress { key } => {
                write!(f, "the configuration has no valid address under the key {key}")
            }
            ServeError::StartRuntime(error) => {
                write!(f, "the runtime of the faulty node can't be started: {error}")
            }
            ServeError::Listen { address, error } => {
                write!(f, "the faulty node can't listen at {address}: {error}")
            }
        }
    }
}

impl std::error::Error for ServeError {}

/// The part of the configuration that the faulty node uses.
pub(super) struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The effect of each request class, by the name of the class.
    pub effects: BTreeMap<String, String>,
}

impl NodeConfig {
    pub fn read(file: &Path) -> Result<NodeConfig, ServeError> {
        let text = std::fs::read_to_string(file)
            .map_err(|error| ServeError::ReadConfig { file: file.into(), error })?;
        let config: Value = serde_json::from_str(&text)
            .map_err(|error| ServeError::ParseConfig { file: file.into(), error })?;
        let address = |key: &'static str| {
            let address = config[key].as_str().and_then(|address| address.parse().ok());
            address.ok_or(ServeError::NoAddress { key })
        };
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let mut effects = BTreeMap::new();
        for class in config["settings"]["Products"].as_array().into_iter().flatten() {
            effects.insert(text(&class["Name"]), text(&class["Effect"]));
        }
        Ok(NodeConfig {
            name: text(&config["name"]),
            listen: address("listen")?,
            discovery: address("discovery")?,
            effects,
        })
    }
}
