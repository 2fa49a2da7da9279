//! The form of an experiment: a TOML file that says world, load, faults and bars. Read and checked here; a
//! fault in a file is told by file, line and key.

mod faults;
mod fleet;
mod growth;
mod load;
mod parts;

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use toml::Spanned;

pub use faults::{Fault, FaultKind, Lie, Spoil, Store, Toward};
pub use fleet::{FleetForm, LeasesForm, MOST_PLANNERS};
pub use growth::{GrowthExpect, GrowthForm};
pub use load::{Clients, Load, Phase, Product, ProductEffect};
pub use parts::{CacheForm, Expect, OriginForm, WorldForm};

/// An experiment as its file words it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    pub about: String,
    /// How long clients send calls.
    pub seconds: f64,
    /// What it is played with unless the command line says otherwise.
    #[serde(default = "first_seed")]
    pub seeds: Vec<u64>,
    #[serde(default)]
    pub world: WorldForm,
    /// Absent, nodes are alone.
    pub fleet: Option<FleetForm>,
    /// Shards whose keys grow in number.
    pub growth: Option<GrowthForm>,
    #[serde(default = "load::usual_products")]
    pub product: Vec<Product>,
    #[serde(default)]
    pub load: Load,
    #[serde(default)]
    fault: Vec<Spanned<Fault>>,
    #[serde(default)]
    pub expect: Expect,
}

fn first_seed() -> Vec<u64> {
    vec![1]
}

/// What is wrong with an experiment's file, and where.
#[derive(Debug)]
pub struct Trouble {
    pub file: PathBuf,
    /// Counted from 1; 0 where it is the file as a whole.
    pub line: usize,
    pub what: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file.display(), self.what),
            line => write!(f, "{}:{line}: {}", self.file.display(), self.what),
        }
    }
}

impl std::error::Error for Trouble {}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Whatever keeps the file from being an experiment, with its line and key.
    pub fn load(path: &Path) -> Result<Experiment, Trouble> {
        let text = std::fs::read_to_string(path).map_err(|e| Trouble {
            file: path.into(),
            line: 0,
            what: e.to_string(),
        })?;
        Experiment::read(path, &text)
    }

    /// Reads and checks a file's text.
    ///
    /// # Errors
    /// As [`Experiment::load`].
    pub fn read(path: &Path, text: &str) -> Result<Experiment, Trouble> {
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let trouble = |line, what| Trouble { file: path.into(), line, what };
        let read: Experiment = toml::from_str(text)
            .map_err(|e| trouble(e.span().map_or(0, |s| line_of(s.start)), e.message().trim().to_string()))?;
        // A table's keys stand one a line: the key's own line is told where it is written, else the table's.
        let key_line = |from: usize, key: &str| {
            let names = |l: &str| l.split_once('=').is_some_and(|(k, _)| k.trim() == key);
            text.lines().enumerate().skip(from).find(|(_, l)| names(l)).map_or(from + 1, |(n, _)| n + 1)
        };
        read.check_parts().map_err(|(key, what)| {
            let leaf = key.rsplit('.').next().unwrap_or(&key);
            trouble(key_line(0, leaf), format!("{key}: {what}"))
        })?;
        for (n, fault) in read.fault.iter().enumerate() {
            fault.get_ref().check(&read).map_err(|(key, what)| {
                let from = line_of(fault.span().start) - 1;
                trouble(key_line(from, key), format!("fault[{n}].{key}: {what}"))
            })?;
        }
        Ok(read)
    }

    /// The timeline of faults, in order of their beginning.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = self.fault.iter().map(|f| f.get_ref().clone()).collect();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        faults
    }

    pub fn planners(&self) -> usize {
        self.fleet.as_ref().map_or(0, |f| f.planners)
    }

    /// How many cache boxes the world may ever have at once: those at the start and those that faults add.
    pub fn seats(&self) -> usize {
        let added = self.fault.iter().map(|f| f.get_ref()).filter(|f| f.kind == FaultKind::Grow);
        self.world.caches + added.map(|f| f.count).sum::<usize>()
    }

    fn check_parts(&self) -> Result<(), (String, String)> {
        let bad = |key: &str, what: &str| Err((key.to_string(), what.to_string()));
        if self.seconds.is_nan() || !(1.0..=600.0).contains(&self.seconds) {
            return bad("seconds", "from 1 to 600");
        }
        if self.seeds.is_empty() {
            return bad("seeds", "at least one");
        }
        if self.product.is_empty() || self.product.iter().any(|p| p.name.is_empty()) {
            return bad("product", "at least one, and each with a name");
        }
        let shares: f64 = self.product.iter().map(|p| p.share).sum();
        if shares.is_nan() || shares <= 0.0 || self.product.iter().any(|p| p.share < 0.0) {
            return bad("product.share", "shares are not negative, and one is over 0");
        }
        self.fleet.as_ref().map_or(Ok(()), |f| f.check(self.world.nodes))?;
        self.growth.as_ref().map_or(Ok(()), |g| g.check(self.fleet.as_ref()))?;
        self.world.check().and_then(|()| self.load.check())
    }
}
