//! The configuration: read, checked and given defaults here and nowhere else.
//!
//! It stands in the file that the command line or `ROUTER_CONFIG` names. `ROUTER_NAME`, `ROUTER_LISTEN` and
//! `ROUTER_DISCOVERY` stand in for keys that the file leaves out.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use granitelb_settings::{Decoded, Fault};
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::http::EndpointListUpdate;
use crate::proxy::{NodeConfig, ReloadableConfig};

/// Where nothing says how many descriptors there are.
const DESCRIPTORS: u64 = 1024;
/// What a node is called that was given no name.
pub const NO_NAME: &str = "node";
/// With fewer a node could hold no client and no cache beside its own descriptors.
const FEWEST_DESCRIPTORS: u64 = 40;

fn fault(key: impl Into<String>, trouble: impl ToString) -> Fault {
    Fault { key: key.into(), trouble: trouble.to_string() }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The file as it is written.
#[derive(Deserialize)]
struct File<'a> {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    settings: &'a RawValue,
    known: Option<Value>,
    load_header: Option<Box<str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Limits {
    sockets: Option<u64>,
    memory_mb: Option<u64>,
}

pub struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Drawn at the start where none is given.
    seed: Option<u64>,
    descriptors: u64,
    /// In megabytes.
    memory: Option<u64>,
    known: Option<EndpointListUpdate>,
    load_header: Option<Box<str>>,
    settings: Decoded,
}

impl Config {
    pub fn load(path: Option<&Path>) -> Result<Config, Fault> {
        let path = path.map(PathBuf::from).or_else(|| variable("ROUTER_CONFIG").map(PathBuf::from));
        let path = path.ok_or_else(|| fault("ROUTER_CONFIG", "neither it nor --config names a file"))?;
        let text = std::fs::read_to_string(&path).map_err(|e| fault(path.display().to_string(), e))?;
        Config::read(&text)
    }

    fn read(text: &str) -> Result<Config, Fault> {
        let file: File<'_> = granitelb_settings::read(text.as_bytes())?;
        let address = |key: &str, name: &str, given: Option<SocketAddr>| match (given, variable(name)) {
            (Some(address), _) => Ok(address),
            (None, Some(text)) => text.parse().map_err(|e| fault(name, e)),
            (None, None) => Err(fault(key, format!("missing, and {name} is not set"))),
        };
        let settings = granitelb_settings::decode(file.settings.get().as_bytes())
            .map_err(|fault| fault.under("settings"))?;
        if settings.names.request_classes.iter().any(String::is_empty)
            || settings.names.request_classes.is_empty()
        {
            return Err(fault("settings.Products", "each product needs a name, and there must be one"));
        }
        let is_name =
            |name: &str| !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        if let Some(name) = file.load_header.as_deref().filter(|name| !is_name(name)) {
            return Err(fault("load_header", format!("{name:?} is no name of a header")));
        }
        let known =
            file.known.map(EndpointListUpdate::from_value).transpose().map_err(|e| fault("known", e))?;
        // The limit that is told and the one that is in force: the lower one binds.
        let in_force = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = file.limits.sockets.unwrap_or(DESCRIPTORS).min(in_force);
        if descriptors < FEWEST_DESCRIPTORS {
            let trouble = format!("{descriptors} descriptors are too few, {FEWEST_DESCRIPTORS} are needed");
            return Err(fault("limits.sockets", trouble));
        }
        let seed = file.seed.as_deref().map(|text| u64::from_str_radix(text, 16));
        let seed = seed.transpose().map_err(|e| fault("seed", e))?;
        Ok(Config {
            name: file.name.or_else(|| variable("ROUTER_NAME")).unwrap_or_else(|| NO_NAME.into()),
            listen: address("listen", "ROUTER_LISTEN", file.listen)?,
            discovery: address("discovery", "ROUTER_DISCOVERY", file.discovery)?,
            seed,
            descriptors,
            memory: file.limits.memory_mb,
            known,
            load_header: file.load_header,
            settings,
        })
    }

    pub fn setup(&self) -> NodeConfig {
        let seed = self.seed.unwrap_or_else(|| {
            // A node alone on its machine differs from others by its number of process and its start.
            let start = std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos() as u64;
            start ^ u64::from(std::process::id()) << 40
        });
        let (known, settings) = (self.known.clone(), self.settings.clone());
        NodeConfig {
            listen: self.listen,
            seed,
            known,
            settings,
            reloadable: self.live(),
            control_plane_agent: None,
        }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// What a running node can take up.
    pub fn live(&self) -> ReloadableConfig {
        ReloadableConfig {
            discovery: self.discovery,
            descriptors: self.descriptors as usize,
            memory: self.memory.map_or(usize::MAX, |mb| (mb as usize).saturating_mul(1024 * 1024)),
            connect_limit: self.settings.connect_limit,
            keepalive: self.settings.keepalive,
            load_header: self.load_header.clone(),
            settings: None,
        }
    }

    /// Its settings for a node that serves under another's, where they differ; they are its own from then on.
    pub fn move_from(&mut self, running: &Config) -> Result<Option<Box<Decoded>>, Fault> {
        let merged = self.settings.after(&running.settings).map_err(|fault| fault.under("settings"));
        // Where they can't be taken up, the node goes on under the ones before.
        let settings = merged.as_ref().unwrap_or(&running.settings).clone();
        self.settings = Decoded {
            connect_limit: self.settings.connect_limit,
            keepalive: self.settings.keepalive,
            ..settings
        };
        let (new, old) = (&self.settings, &running.settings);
        let same = new.decisions == old.decisions && new.names == old.names;
        let moved = !same || new.client_timeouts != old.client_timeouts;
        merged.map(|settings| moved.then(|| Box::new(settings)))
    }

    /// The settings that a node serves under from now on; the rest is what it was started with.
    pub fn take_settings(&mut self, from: Config) {
        self.settings = from.settings;
    }

    /// The keys in which this one differs from the one that a running node was started with, and which it can't
    /// take up: clients are on their way to its address, and what was learnt hangs on the seed.
    pub fn for_next_start(&self, running: &Config) -> Vec<&'static str> {
        let differs = [("listen", self.listen != running.listen), ("seed", self.seed != running.seed)];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

impl fmt::Display for Config {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = self.known.as_ref().map_or(0, |k| k.entries.len());
        write!(
            f,
            "{} listens on {}, asks {} for the list, remembers {known} caches, may hold {} descriptors, serves {}",
            self.name,
            self.listen,
            self.discovery,
            self.descriptors,
            self.settings.names.request_classes.join(", ")
        )
    }
}
