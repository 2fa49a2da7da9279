//! The error of settings that are not valid.

use std::fmt;

/// Why settings, or a configuration that contains settings, are not valid.
#[derive(Debug)]
pub struct SettingsError {
    /// The path of the key that has an error, such as `Rules.ColdFrom`. It is empty for an error of the top
    /// level, such as a missing key, which the description names.
    pub key: String,
    /// What is wrong with the value of the key, and where possible how to correct it.
    pub description: String,
}

impl SettingsError {
    pub(crate) fn new(key: impl Into<String>, description: impl Into<String>) -> SettingsError {
        SettingsError { key: key.into(), description: description.into() }
    }

    /// The same error with its key inside the section `key` of an enclosing configuration.
    pub fn with_key_prefix(self, key: &str) -> SettingsError {
        let key = if self.key.is_empty() { key.into() } else { format!("{key}.{}", self.key) };
        SettingsError { key, ..self }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.key.is_empty() { "top level" } else { &self.key };
        write!(f, "{key}: {}", self.description)
    }
}

impl std::error::Error for SettingsError {}
