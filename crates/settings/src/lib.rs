//! Decodes the settings text, for the simulator's adapter and for the node alike.
//!
//! [`decode()`] turns a JSON text into [`DecodedSettings`]: the balancer's [`Settings`] and what a host needs beside them.
//! Keys that are not known are skipped. [`DecodedSettings::merged_into`] merges new settings into those of a running node.
//! Errors name the key that they are at.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

mod decode;
mod error;
mod load_report;
mod params;
mod reload;

use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::Span;

pub use decode::{decode, parse_json};
pub use error::SettingsError;
pub use load_report::{LoadColumn, load_report};

/// The settings of the balancer, and those of its host.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedSettings {
    /// The settings of the balancer.
    pub balancer_settings: Settings,
    /// The names behind the ids in the balancer's settings.
    pub names: Names,
    /// The client timeout of each request class, for a request that names none.
    pub client_timeouts: Vec<Span>,
    /// The connect timeout: a connection that is not established by then never will be.
    pub connect_timeout: Span,
    /// How long a cache keeps an idle connection.
    pub keepalive: Span,
    /// The meanings of the figures of a load report, in their order.
    pub load_columns: Vec<LoadColumn>,
}

/// Names by the ids that stand for them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names of request classes.
    pub request_classes: Vec<String>,
    /// The names of zones.
    pub zones: Vec<String>,
    /// The names of endpoint kinds.
    pub kinds: Vec<String>,
}

#[cfg(test)]
mod tests;
