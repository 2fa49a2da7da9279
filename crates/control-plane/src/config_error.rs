//! Faults in files that people write: told by file, line and key, and with what to do.

use std::path::{Path, PathBuf};

use granitelb_coordination::component::Help;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// What is wrong with a file, and where.
#[derive(Debug, Error)]
#[error("{}{}: {fault}", file.display(), line.map(|l| format!(":{l}")).unwrap_or_default())]
pub struct Trouble {
    pub file: PathBuf,
    /// Counted from 1, unless it is the file as a whole.
    pub line: Option<usize>,
    #[source]
    pub fault: Fault,
}

#[derive(Debug, Error)]
pub enum Fault {
    #[error("it can't be read: {0}")]
    Unread(#[source] std::io::Error),
    /// Not TOML, a key that is not known, a missing one, or a value of another form.
    #[error("{0}")]
    Form(String),
    #[error("{key}: {what}")]
    Value { key: &'static str, what: String },
}

impl Help for Fault {
    fn help(&self) -> &'static str {
        match self {
            Fault::Unread(_) => "Name a file that this program may read.",
            Fault::Form(_) => {
                "Write that line as docs/configuration.md has it, and `granitelb check` the file."
            }
            Fault::Value { .. } => {
                "Give that key a value that docs/configuration.md allows, and `granitelb check` the file."
            }
        }
    }
}

impl Help for Trouble {
    fn help(&self) -> &'static str {
        self.fault.help()
    }
}

/// A value that is not allowed, by its key; what a check of a file gives.
#[derive(Debug)]
pub struct Wrong {
    pub key: &'static str,
    pub what: String,
    /// Where it stands, as far as the reader knows; else its key is looked for.
    pub at: Option<usize>,
}

impl Wrong {
    pub fn new(key: &'static str, what: impl Into<String>) -> Wrong {
        Wrong { key, what: what.into(), at: None }
    }
}

/// A file of which faults can be told by line.
pub struct Source {
    pub file: PathBuf,
    pub text: String,
}

impl Source {
    pub fn load(file: &Path) -> Result<Source, Trouble> {
        let text = std::fs::read_to_string(file).map_err(|e| Trouble {
            file: file.into(),
            line: None,
            fault: Fault::Unread(e),
        })?;
        Ok(Source { file: file.into(), text })
    }

    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Trouble> {
        toml::from_str(&self.text).map_err(|e| Trouble {
            file: self.file.clone(),
            line: e.span().map(|s| self.line_of(s.start)),
            fault: Fault::Form(e.message().trim().to_string()),
        })
    }

    pub fn wrong(&self, wrong: Wrong) -> Trouble {
        let line = wrong.at.map(|at| self.line_of(at)).or_else(|| self.line_with(wrong.key));
        Trouble { file: self.file.clone(), line, fault: Fault::Value { key: wrong.key, what: wrong.what } }
    }

    fn line_of(&self, at: usize) -> usize {
        self.text.bytes().take(at).filter(|b| *b == b'\n').count() + 1
    }

    /// The first line of `key`, looked for under its table's head where it has one.
    fn line_with(&self, key: &str) -> Option<usize> {
        let (table, leaf) = key.rsplit_once('.').map_or((None, key), |(t, l)| (Some(t), l));
        let heads = |l: &str| table.is_some_and(|t| l.trim().trim_matches(['[', ']']) == t);
        let lines = || self.text.lines().enumerate();
        let from = lines().find(|(_, l)| heads(l)).map_or(0, |(n, _)| n);
        let names = |l: &str| l.split_once('=').is_some_and(|(k, _)| k.trim() == leaf);
        let own = lines().skip(from).find(|(_, l)| names(l));
        own.or_else(|| lines().nth(from)).map(|(n, _)| n + 1)
    }

    /// A path that the file names, from the file's own folder.
    pub fn beside(&self, path: &Path) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).join(path)
    }
}
