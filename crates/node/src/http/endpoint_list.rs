//! Discovery's endpoint lists in their JSON form.
//!
//! This is the one place that maps the keys of that form to the names used in the code.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

/// Which work an endpoint accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    #[serde(rename = "active")]
    Active,
    /// It finishes the requests that it has and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// It is gone.
    #[serde(rename = "left")]
    Removed,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's identity, which no other endpoint takes over.
    pub uid: String,
    /// The address that it listens on.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its availability zone; empty where none is given.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The name of its kind: a kind of cache server, or the origin.
    #[serde(default, rename = "model")]
    pub kind: String,
    /// The group of endpoints within which repeated writes are recognized.
    #[serde(default, rename = "pod_group")]
    pub cell: Option<u16>,
    /// Which work it accepts.
    pub state: EndpointState,
    /// Its relative capacity.
    #[serde(default = "default_size", rename = "capacity_hint")]
    pub size: f64,
    /// When it started, as Unix time in milliseconds; 0 for a start long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

fn default_size() -> f64 {
    1.0
}

/// An entry of a list that was skipped because it is invalid.
#[derive(Clone, Debug)]
pub enum SkippedEntry {
    /// Its capacity is not a finite number.
    NonFiniteSize {
        /// The entry's identity.
        uid: String,
    },
    /// It lacks a key, or a value has the wrong type.
    Malformed {
        /// The entry's JSON.
        entry: Value,
        /// What is wrong with it.
        reason: String,
    },
}

impl fmt::Display for SkippedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SkippedEntry::NonFiniteSize { uid } => write!(f, "{uid}: its capacity_hint is not finite"),
            SkippedEntry::Malformed { entry, reason } => write!(f, "{entry}: {reason}"),
        }
    }
}

/// The complete endpoint list, or the changes since an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// The list's revision after this update; 0 where none is given.
    pub revision: u64,
    /// Whether `entries` are all endpoints rather than those that changed.
    pub complete: bool,
    /// The endpoints.
    pub entries: Vec<EndpointEntry>,
    /// The entries that were skipped because they are invalid.
    pub skipped: Vec<SkippedEntry>,
}

#[derive(Deserialize)]
struct RawUpdate {
    #[serde(default, rename = "rev")]
    revision: u64,
    #[serde(default, rename = "all")]
    complete: bool,
    #[serde(default, rename = "targets")]
    entries: Vec<Value>,
}

impl EndpointListUpdate {
    /// Parses a list from JSON text. An invalid entry is skipped and reported in `skipped`.
    ///
    /// # Errors
    ///
    /// Fails where the text is not JSON of a list's form.
    pub fn parse(text: &[u8]) -> Result<EndpointListUpdate, serde_json::Error> {
        serde_json::from_slice(text).map(EndpointListUpdate::from_raw)
    }

    /// Parses a list from a JSON value. An invalid entry is skipped and reported in `skipped`.
    ///
    /// # Errors
    ///
    /// Fails where the value does not have a list's form.
    pub fn from_value(value: Value) -> Result<EndpointListUpdate, serde_json::Error> {
        serde_json::from_value(value).map(EndpointListUpdate::from_raw)
    }

    fn from_raw(raw: RawUpdate) -> EndpointListUpdate {
        let mut update = EndpointListUpdate {
            revision: raw.revision,
            complete: raw.complete,
            entries: Vec::new(),
            skipped: Vec::new(),
        };
        for raw_entry in raw.entries {
            match EndpointEntry::deserialize(&raw_entry) {
                Ok(entry) if entry.size.is_finite() => update.entries.push(entry),
                Ok(entry) => update.skipped.push(SkippedEntry::NonFiniteSize { uid: entry.uid }),
                Err(error) => {
                    let reason = error.to_string();
                    update.skipped.push(SkippedEntry::Malformed { entry: raw_entry, reason });
                }
            }
        }
        update
    }
}
