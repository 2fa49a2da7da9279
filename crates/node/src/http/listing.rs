//! Discovery's lists of caches, as its JSON words them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

/// What a cache is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Active,
    Leaving,
    Left,
}

/// One cache.
#[derive(Clone, Debug, Deserialize)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    #[serde(default, rename = "az")]
    pub zone: String,
    #[serde(default, rename = "model")]
    pub kind: String,
    #[serde(default, rename = "pod_group")]
    pub cell: Option<u16>,
    pub state: State,
    #[serde(default = "one", rename = "capacity_hint")]
    pub size: f64,
    /// Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// The whole list, or what changed in it.
#[derive(Clone, Debug, Default)]
pub struct Listings {
    pub revision: u64,
    pub complete: bool,
    pub entries: Vec<Entry>,
    /// What is wrong with entries that had to be passed over.
    pub skipped: Vec<String>,
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Value>,
}

impl Listings {
    /// Reads a list; an entry that can't be read is passed over, a list that can't be is refused.
    pub fn read(text: &[u8]) -> Result<Listings, serde_json::Error> {
        serde_json::from_slice(text).map(Listings::from_raw)
    }

    pub fn from_value(value: Value) -> Result<Listings, serde_json::Error> {
        serde_json::from_value(value).map(Listings::from_raw)
    }

    fn from_raw(raw: Raw) -> Listings {
        let mut listings =
            Listings { revision: raw.rev, complete: raw.all, entries: Vec::new(), skipped: Vec::new() };
        for target in raw.targets {
            match Entry::deserialize(&target) {
                Ok(entry) if entry.size.is_finite() => listings.entries.push(entry),
                Ok(entry) => listings.skipped.push(format!("{}: no finite size", entry.uid)),
                Err(trouble) => listings.skipped.push(format!("{target}: {trouble}")),
            }
        }
        listings
    }
}
