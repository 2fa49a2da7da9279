//! Decodes the JSON settings of a node, for the simulator adapter and for the node program.
//!
//! [`decode()`] turns the JSON text into [`DecodedSettings`]: the balancer's [`Settings`], and the settings
//! of the program that runs the balancer. Unknown keys are ignored. [`DecodedSettings::merged_into`] merges
//! new settings into those of a running node. Each error names the key that has to be corrected.

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

/// The settings of the balancer, and of the program that runs the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedSettings {
    /// The settings of the balancer.
    pub balancer_settings: Settings,
    /// The names of the request classes, zones and endpoint kinds that the balancer knows by id.
    pub names: Names,
    /// The client timeout by request class, for a request that does not state a timeout.
    pub client_timeouts: Vec<Span>,
    /// The connect timeout. A connection that is not established within this time has failed.
    pub connect_timeout: Span,
    /// The time for which a cache keeps an idle connection open.
    pub keepalive: Span,
    /// The meanings of the numbers in a load report, in the order of the numbers.
    pub load_columns: Vec<LoadColumn>,
}

/// Names by id: each list is indexed by the id.
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
