//! The faulty node's configuration, of which it reads the same file as the real program.

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
        /// The file.
        file: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// The configuration file is not JSON.
    ParseConfig {
        /// The file.
        file: PathBuf,
        /// The cause.
        error: serde_json::Error,
    },
    /// The configuration lacks an address, or it is malformed.
    NoAddress {
        /// The key of the address.
        key: &'static str,
    },
    /// The runtime can't be started.
    StartRuntime(std::io::Error),
    /// The address of the configuration can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        error: std::io::Error,
    },
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServeError::ReadConfig { file, error } => write!(f, "{}: {error}", file.display()),
            ServeError::ParseConfig { file, error } => write!(f, "{}: {error}", file.display()),
            ServeError::NoAddress { key } => write!(f, "no address {key}"),
            ServeError::StartRuntime(error) => write!(f, "the runtime can't be started: {error}"),
            ServeError::Listen { address, error } => write!(f, "{address} can't be listened on: {error}"),
        }
    }
}

impl std::error::Error for ServeError {}

/// What the faulty node reads of its configuration.
pub(super) struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The effect of each request class by its name.
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
