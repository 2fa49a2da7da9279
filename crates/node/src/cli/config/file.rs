//! The configuration file: JSON, at the path that the command line or `ROUTER_CONFIG` gives. The environment
//! variables `ROUTER_NAME`, `ROUTER_LISTEN` and `ROUTER_DISCOVERY` replace keys that the file omits.

use std::env;
use std::error::Error;
use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use granitelb_settings::{DecodedSettings, SettingsError};
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use super::{Config, DEFAULT_NAME};
use crate::http::EndpointListUpdate;

const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
const NAME_VARIABLE: &str = "ROUTER_NAME";
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// The limit on file descriptors if the file does not set one.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// Smallest number of file descriptors of a node. With fewer, the descriptors that the node needs for itself
/// would leave none for clients and endpoints.
const MIN_DESCRIPTORS: u64 = 40;
/// Smallest memory limit in MiB: half of it holds the program and some requests with long bodies.
const MIN_MEMORY_MB: u64 = 16;
const SEED_RADIX: u32 = 16;

/// The keys of the configuration file.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    /// The seed of the balancer's random choices, in hexadecimal digits.
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsSection,
    #[serde(borrow)]
    settings: &'a RawValue,
    /// The endpoint list that the node uses until discovery answers.
    #[serde(rename = "known")]
    known_endpoints: Option<Value>,
    /// The name of the response header that carries load reports.
    load_header: Option<Box<str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LimitsSection {
    #[serde(rename = "sockets")]
    max_descriptors: Option<u64>,
    #[serde(rename = "memory_mb")]
    max_memory_mb: Option<u64>,
}

impl Config {
    /// Loads the configuration file at `path`, or at the path that `ROUTER_CONFIG` contains.
    ///
    /// # Errors
    /// Returns an error with the key that is missing or has an invalid value, or with the path that cannot be
    /// read.
    pub fn load(path: Option<&Path>) -> Result<Config, NodeConfigError> {
        let path = match path {
            Some(path) => path.to_path_buf(),
            None => variable(CONFIG_VARIABLE).map(PathBuf::from).ok_or_else(|| {
                let reason = "no configuration file is named; set the variable, or use --config";
                NodeConfigError { file: None, error: error_at(CONFIG_VARIABLE, reason) }
            })?,
        };
        let text = fs::read_to_string(&path).map_err(|error| {
            let reason = format!("the configuration file cannot be read: {error}");
            NodeConfigError { file: None, error: error_at(path.display().to_string(), reason) }
        })?;
        Config::parse(&text).map_err(|error| NodeConfigError { file: Some(path), error })
    }

    fn parse(text: &str) -> Result<Config, SettingsError> {
        let file: ConfigFile<'_> = granitelb_settings::parse_json(text.as_bytes())?;
        let settings = decode_settings(file.settings)?;
        validate_load_header(file.load_header.as_deref())?;
        validate_memory(file.limits.max_memory_mb)?;
        let known_endpoints = match file.known_endpoints {
            Some(list) => Some(
                EndpointListUpdate::from_value(list)
                    .map_err(|error| error_at("known", format!("not a valid endpoint list: {error}")))?,
            ),
            None => None,
        };
        let max_descriptors = descriptor_limit(file.limits.max_descriptors)?;
        let seed = match file.seed {
            Some(digits) => Some(parse_seed(&digits)?),
            None => None,
        };
        Ok(Config {
            name: file.name.or_else(|| variable(NAME_VARIABLE)).unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: address("listen", LISTEN_VARIABLE, file.listen)?,
            discovery: address("discovery", DISCOVERY_VARIABLE, file.discovery)?,
            seed,
            max_descriptors,
            max_memory_mb: file.limits.max_memory_mb,
            known_endpoints,
            load_header: file.load_header,
            settings,
        })
    }
}

/// Why the configuration of a node cannot be loaded.
#[derive(Debug)]
pub struct NodeConfigError {
    /// The configuration file that has to be corrected; `None` if there is none, or it cannot be read.
    file: Option<PathBuf>,
    error: SettingsError,
}

impl fmt::Display for NodeConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration, {}", self.error)?;
        match &self.file {
            Some(file) => write!(f, " (configuration file: {})", file.display()),
            None => Ok(()),
        }
    }
}

impl Error for NodeConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.error)
    }
}

fn error_at(key: impl Into<String>, description: impl Into<String>) -> SettingsError {
    SettingsError { key: key.into(), description: description.into() }
}

fn parse_seed(digits: &str) -> Result<u64, SettingsError> {
    u64::from_str_radix(digits, SEED_RADIX).map_err(|error| {
        error_at("seed", format!("{digits:?} is not a hexadecimal number of up to 16 digits: {error}"))
    })
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok()
}

fn decode_settings(settings: &RawValue) -> Result<DecodedSettings, SettingsError> {
    let settings = granitelb_settings::decode(settings.get().as_bytes())
        .map_err(|error| error.with_key_prefix("settings"))?;
    let classes = &settings.names.request_classes;
    if classes.is_empty() || classes.iter().any(String::is_empty) {
        return Err(error_at("settings.Products", "at least one product is needed, and each needs a Name"));
    }
    Ok(settings)
}

/// Checks that the name of the response header that carries load reports consists of letters, digits and
/// hyphens.
fn validate_load_header(name: Option<&str>) -> Result<(), SettingsError> {
    let Some(name) = name else { return Ok(()) };
    let is_valid = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    if !is_valid {
        return Err(error_at(
            "load_header",
            format!("{name:?} is not a valid header name; use letters, digits and hyphens"),
        ));
    }
    Ok(())
}

/// The limit on file descriptors: the lower of the configured one and the one that the operating system
/// enforces.
fn descriptor_limit(configured: Option<u64>) -> Result<u64, SettingsError> {
    let enforced = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let limit = configured.unwrap_or(DEFAULT_MAX_DESCRIPTORS).min(enforced);
    if limit < MIN_DESCRIPTORS {
        let reason = format!(
            "the limit of {limit} file descriptors is too low; allow at least {MIN_DESCRIPTORS}, here and with ulimit -n"
        );
        return Err(error_at("limits.sockets", reason));
    }
    Ok(limit)
}

/// Checks that the memory limit leaves memory for clients.
fn validate_memory(configured: Option<u64>) -> Result<(), SettingsError> {
    match configured {
        Some(limit) if limit < MIN_MEMORY_MB => {
            let reason = format!(
                "{limit} MiB do not suffice for the program and its clients; allow at least {MIN_MEMORY_MB}"
            );
            Err(error_at("limits.memory_mb", reason))
        }
        _ => Ok(()),
    }
}

/// The address in the file, or in an environment variable if the file omits the key.
fn address(
    key: &str,
    variable_name: &str,
    configured: Option<SocketAddr>,
) -> Result<SocketAddr, SettingsError> {
    if let Some(address) = configured {
        return Ok(address);
    }
    match variable(variable_name) {
        Some(text) => text.parse().map_err(|error| {
            error_at(variable_name, format!("{text:?} is not an IP address with a port: {error}"))
        }),
        None => {
            Err(error_at(key, format!("missing; set the key, or the environment variable {variable_name}")))
        }
    }
}
