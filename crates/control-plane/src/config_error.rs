//! Errors in configuration files. Each error names the file, the line and the key, and says what an operator
//! can do.

use std::io;
use std::path::{Path, PathBuf};

use granitelb_coordination::component::Remediation;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// What is wrong with a configuration file, and where.
#[derive(Debug, Error)]
#[error("{}{}: {kind}", path.display(), line.map(|line| format!(":{line}")).unwrap_or_default())]
pub struct ConfigError {
    /// The file.
    pub path: PathBuf,
    /// The line, counted from 1; `None` if the error concerns the file as a whole.
    pub line: Option<usize>,
    /// What is wrong.
    #[source]
    pub kind: ConfigErrorKind,
}

/// What can be wrong with a configuration file.
#[derive(Debug, Error)]
pub enum ConfigErrorKind {
    /// The file can't be read.
    #[error("the file can't be read: {0}")]
    Unreadable(#[source] io::Error),
    /// The file is not TOML, or has an unknown key, lacks a key, or has a value of the wrong type.
    #[error("{}", .0.message().trim())]
    Syntax(#[source] Box<toml::de::Error>),
    /// A key does not allow the value that the file gives it.
    #[error("{key}: {reason}")]
    Value {
        /// The key, with its table's name before it.
        key: &'static str,
        /// Which values are allowed, or why this value is not.
        reason: String,
    },
}

impl Remediation for ConfigErrorKind {
    fn remediation(&self) -> &'static str {
        match self {
            ConfigErrorKind::Unreadable(_) => "Give the path of a file that this program may read.",
            ConfigErrorKind::Syntax(_) => {
                "Correct the line as docs/configuration.md describes it, and check the file with `granitelb check`."
            }
            ConfigErrorKind::Value { .. } => {
                "Set the key to a value that docs/configuration.md allows, and check the file with `granitelb check`."
            }
        }
    }
}

impl Remediation for ConfigError {
    fn remediation(&self) -> &'static str {
        self.kind.remediation()
    }
}

/// A value that its key does not allow, as validation returns it. [`ConfigSource::locate`] adds the file and
/// the line.
#[derive(Debug)]
pub struct InvalidValue {
    /// The key, with its table's name before it.
    pub key: &'static str,
    /// Which values are allowed, or why this value is not.
    pub reason: String,
    /// The byte offset of the value in the file; `None` if the parser did not report it, and the key is
    /// searched for.
    pub offset: Option<usize>,
}

impl InvalidValue {
    /// Creates an invalid value whose line in the file is found by its key.
    pub fn new(key: &'static str, reason: impl Into<String>) -> InvalidValue {
        InvalidValue { key, reason: reason.into(), offset: None }
    }
}

/// The text of a configuration file, kept so that errors can name the line.
pub struct ConfigSource {
    /// The file that the text was read from.
    pub path: PathBuf,
    /// The file's contents.
    pub text: String,
}

impl ConfigSource {
    /// Reads a file.
    ///
    /// # Errors
    /// Returns [`ConfigErrorKind::Unreadable`] if the file can't be read or is not UTF-8.
    pub fn load(path: &Path) -> Result<ConfigSource, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(ConfigSource { path: path.into(), text }),
            Err(error) => {
                let kind = ConfigErrorKind::Unreadable(error);
                Err(ConfigError { path: path.into(), line: None, kind })
            }
        }
    }

    /// Parses the text as TOML.
    ///
    /// # Errors
    /// Returns [`ConfigErrorKind::Syntax`] if the text is not TOML or does not have the keys and types of
    /// `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        toml::from_str(&self.text).map_err(|error: toml::de::Error| ConfigError {
            path: self.path.clone(),
            line: error.span().map(|span| self.line_at(span.start)),
            kind: ConfigErrorKind::Syntax(Box::new(error)),
        })
    }

    /// Turns an invalid value into an error with this file's path and the value's line.
    pub fn locate(&self, invalid: InvalidValue) -> ConfigError {
        let line = match invalid.offset {
            Some(offset) => Some(self.line_at(offset)),
            None => self.line_of_key(invalid.key),
        };
        ConfigError {
            path: self.path.clone(),
            line,
            kind: ConfigErrorKind::Value { key: invalid.key, reason: invalid.reason },
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
    }

    /// The number of the line that sets `key`: the first one after its table's header. If no line sets the
    /// key, returns the line of the header, or line 1 if the file has no such header; `None` if the file is
    /// empty.
    fn line_of_key(&self, key: &str) -> Option<usize> {
        let (table, name) = match key.rsplit_once('.') {
            Some((table, name)) => (Some(table), name),
            None => (None, key),
        };
        let is_header = |line: &str| table.is_some_and(|table| line.trim().trim_matches(['[', ']']) == table);
        let sets_key = |line: &str| line.split_once('=').is_some_and(|(left, _)| left.trim() == name);
        let header = self.text.lines().position(is_header).unwrap_or(0);
        let below_header = self.text.lines().skip(header).position(sets_key);
        match below_header {
            Some(lines) => Some(header + lines + 1),
            None if header < self.text.lines().count() => Some(header + 1),
            None => None,
        }
    }

    /// Resolves a path that the file names, relative to the file's own directory.
    pub fn resolve(&self, path: &Path) -> PathBuf {
        self.path.parent().unwrap_or(Path::new("")).join(path)
    }
}
