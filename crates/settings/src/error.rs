//! Errors in a settings text.

use std::fmt;

/// What is wrong with a text, and at which key.
#[derive(Debug)]
pub struct SettingsError {
    /// The path of the key. It is empty where the text as a whole is wrong, such as for lack of a key, which the
    /// description then names.
    pub key: String,
    /// Describes what is wrong.
    pub description: String,
}

impl SettingsError {
    pub(crate) fn new(key: impl Into<String>, description: impl Into<String>) -> SettingsError {
        SettingsError { key: key.into(), description: description.into() }
    }

    /// The same error as one of a text that holds this one under `key`.
    pub fn with_key_prefix(self, key: &str) -> SettingsError {
        let key = if self.key.is_empty() { key.into() } else { format!("{key}.{}", self.key) };
        SettingsError { key, ..self }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.key.is_empty() { "at its top" } else { &self.key };
        write!(f, "{key}: {}", self.description)
    }
}

impl std::error::Error for SettingsError {}
