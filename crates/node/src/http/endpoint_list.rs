//! Parses discovery's endpoint lists from JSON.
//!
//! Only this module maps the JSON keys to the names that the code uses.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

/// The state of an endpoint, which determines the requests that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    #[serde(rename = "active")]
    Active,
    /// The endpoint finishes its current requests and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// The endpoint no longer exists.
    #[serde(rename = "left")]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's unique identifier, which is never reused for another endpoint.
    pub uid: String,
    /// The address on which the endpoint listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// The availability zone of the endpoint; empty if the list states none.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The name of the endpoint's kind: a kind of cache server, or the origin.
    #[serde(default, rename = "model")]
    pub kind: String,
    /// The group of endpoints within which repeated writes are deduplicated.
    #[serde(default, rename = "pod_group")]
    pub cell: Option<u16>,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The capacity of the endpoint relative to the others, without a unit.
    #[serde(default = "default_size", rename = "capacity_hint")]
    pub size: f64,
    /// The start time of the endpoint, as Unix time in milliseconds; 0 for a start long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

fn default_size() -> f64 {
    1.0
}

/// An invalid entry of the endpoint list, which was skipped.
#[derive(Clone, Debug)]
pub enum SkippedEntry {
    /// The capacity is not a finite number.
    NonFiniteSize {
        /// The identifier of the endpoint.
        uid: String,
    },
    /// A key is missing, or a value has the wrong type.
    Malformed {
        /// The entry in JSON.
        entry: Value,
        /// The reason why the entry is invalid.
        reason: String,
    },
}

impl fmt::Display for SkippedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SkippedEntry::NonFiniteSize { uid } => write!(f, "{uid}: capacity_hint is not a finite number"),
            SkippedEntry::Malformed { entry, reason } => write!(f, "{entry}: {reason}"),
        }
    }
}

/// A complete endpoint list, or the changes since an earlier revision.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// The revision of the list after this update; 0 if the update states none.
    pub revision: u64,
    /// Whether `entries` contains all endpoints. Otherwise it contains the changed ones.
    pub complete: bool,
    /// The valid entries.
    pub entries: Vec<EndpointEntry>,
    /// The invalid entries, which were skipped.
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
    /// Parses a list from JSON text. Invalid entries are skipped and returned in `skipped`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON in the form of an endpoint list.
    pub fn parse(text: &[u8]) -> Result<EndpointListUpdate, serde_json::Error> {
        serde_json::from_slice(text).map(EndpointListUpdate::from_raw)
    }

    /// Parses a list from a JSON value. Invalid entries are skipped and returned in `skipped`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value does not have the form of an endpoint list.
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
