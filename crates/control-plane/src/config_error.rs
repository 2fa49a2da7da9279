//! Faults in files that people write: told by file, line and key, and with what to do.

use std::path::{Path, PathBuf};

use granitelb_coordination::component::Remediation;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// What is wrong with a file, and where.
#[derive(Debug, Error)]
#[error("{}{}: {fault}", file.display(), line.map(|l| format!(":{l}")).unwrap_or_default())]
pub struct ConfigError {
    pub file: PathBuf,
    /// Counted from 1, unless it is the file as a whole.
    pub line: Option<usize>,
    #[source]
    pub fault: ConfigErrorKind,
}

#[derive(Debug, Error)]
pub enum ConfigErrorKind {
    #[error("it can't be read: {0}")]
    Unread(#[source] std::io::Error),
    /// Not TOML, a key that is not known, a missing one, or a value of another form.
    #[error("{0}")]
    Form(String),
    #[error("{key}: {what}")]
    Value { key: &'static str, what: String },
}

impl Remediation for ConfigErrorKind {
    fn remediation(&self) -> &'static str {
        match self {
            ConfigErrorKind::Unread(_) => "Name a file that this program may read.",
            ConfigErrorKind::Form(_) => {
                "Write that line as docs/configuration.md has it, and `granitelb check` the file."
            }
            ConfigErrorKind::Value { .. } => {
                "Give that key a value that docs/configuration.md allows, and `granitelb check` the file."
            }
        }
    }
}

impl Remediation for ConfigError {
    fn remediation(&self) -> &'static str {
        self.fault.remediation()
    }
}

/// A value that is not allowed, by its key; what a check of a file gives.
#[derive(Debug)]
pub struct InvalidValue {
    pub key: &'static str,
    pub what: String,
    /// Where it stands, as far as the reader knows; else its key is looked for.
    pub at: Option<usize>,
}

impl InvalidValue {
    pub fn new(key: &'static str, what: impl Into<String>) -> InvalidValue {
        InvalidValue { key, what: what.into(), at: None }
    }
}

/// A file of which faults can be told by line.
pub struct ConfigSource {
    pub file: PathBuf,
    pub text: String,
}

impl ConfigSource {
    pub fn load(file: &Path) -> Result<ConfigSource, ConfigError> {
        let text = std::fs::read_to_string(file).map_err(|e| ConfigError {
            file: file.into(),
            line: None,
            fault: ConfigErrorKind::Unread(e),
        })?;
        Ok(ConfigSource { file: file.into(), text })
    }

    pub fn read<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(&self.text).map_err(|e| ConfigError {
            file: self.file.clone(),
            line: e.span().map(|s| self.line_of(s.start)),
            fault: ConfigErrorKind::Form(e.message().trim().to_string()),
        })
    }

    pub fn wrong(&self, wrong: InvalidValue) -> ConfigError {
        let line = wrong.at.map(|at| self.line_of(at)).or_else(|| self.line_with(wrong.key));
        ConfigError {
            file: self.file.clone(),
            line,
            fault: ConfigErrorKind::Value { key: wrong.key, what: wrong.what },
        }
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
