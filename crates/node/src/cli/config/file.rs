//! The configuration file: JSON, at the path that the command line or `ROUTER_CONFIG` gives. `ROUTER_NAME`,
//! `ROUTER_LISTEN` and `ROUTER_DISCOVERY` take the place of keys that the file leaves out.

use std::env;
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

/// The limit on file descriptors if the file has none.
const DEFAULT_MAX_DESCRIPTORS: u64 = 1024;
/// With fewer, a node could serve no client and reach no endpoint beside the descriptors that it needs for itself.
const MIN_DESCRIPTORS: u64 = 40;
const SEED_RADIX: u32 = 16;

/// The file's keys.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    /// In hexadecimal digits.
    seed: Option<String>,
    #[serde(default)]
    limits: LimitsSection,
    #[serde(borrow)]
    settings: &'a RawValue,
    #[serde(rename = "known")]
    known_endpoints: Option<Value>,
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
    /// Reads the file at `path`, or at the one that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// Returns the key that is missing or has a value that is not allowed, or the path that cannot be read.
    pub fn load(path: Option<&Path>) -> Result<Config, SettingsError> {
        let path = match path {
            Some(path) => path.to_path_buf(),
            None => variable(CONFIG_VARIABLE)
                .map(PathBuf::from)
                .ok_or_else(|| fault(CONFIG_VARIABLE, "neither it nor --config names a file"))?,
        };
        let text = fs::read_to_string(&path).map_err(|error| fault(path.display().to_string(), error))?;
        Config::parse(&text)
    }

    fn parse(text: &str) -> Result<Config, SettingsError> {
        let file: ConfigFile<'_> = granitelb_settings::parse_json(text.as_bytes())?;
        let settings = decode_settings(file.settings)?;
        validate_load_header(file.load_header.as_deref())?;
        let known_endpoints = match file.known_endpoints {
            Some(list) => Some(EndpointListUpdate::from_value(list).map_err(|error| fault("known", error))?),
            None => None,
        };
        let max_descriptors = descriptor_limit(file.limits.max_descriptors)?;
        let seed = match file.seed {
            Some(digits) => {
                Some(u64::from_str_radix(&digits, SEED_RADIX).map_err(|error| fault("seed", error))?)
            }
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

fn fault(key: impl Into<String>, description: impl ToString) -> SettingsError {
    SettingsError { key: key.into(), description: description.to_string() }
}

fn variable(name: &str) -> Option<String> {
    env::var(name).ok()
}

fn decode_settings(settings: &RawValue) -> Result<DecodedSettings, SettingsError> {
    let settings = granitelb_settings::decode(settings.get().as_bytes())
        .map_err(|fault| fault.with_key_prefix("settings"))?;
    let classes = &settings.names.request_classes;
    if classes.is_empty() || classes.iter().any(String::is_empty) {
        return Err(fault("settings.Products", "each product needs a name, and there must be one"));
    }
    Ok(settings)
}

/// Checks that the name of the header with load reports is one that HTTP allows.
fn validate_load_header(name: Option<&str>) -> Result<(), SettingsError> {
    let Some(name) = name else { return Ok(()) };
    let is_valid = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    if !is_valid {
        return Err(fault("load_header", format!("{name:?} is no name of a header")));
    }
    Ok(())
}

/// The lower of the configured limit and the one that the system enforces.
fn descriptor_limit(configured: Option<u64>) -> Result<u64, SettingsError> {
    let enforced = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let limit = configured.unwrap_or(DEFAULT_MAX_DESCRIPTORS).min(enforced);
    if limit < MIN_DESCRIPTORS {
        let trouble = format!("{limit} descriptors are too few, {MIN_DESCRIPTORS} are needed");
        return Err(fault("limits.sockets", trouble));
    }
    Ok(limit)
}

/// An address from the file, or from an environment variable if the file leaves it out.
fn address(
    key: &str,
    variable_name: &str,
    configured: Option<SocketAddr>,
) -> Result<SocketAddr, SettingsError> {
    if let Some(address) = configured {
        return Ok(address);
    }
    match variable(variable_name) {
        Some(text) => text.parse().map_err(|error| fault(variable_name, error)),
        None => Err(fault(key, format!("missing, and {variable_name} is not set"))),
    }
}
