//! Health of the fleet's cache servers, by passive checks of all forwarders together.
//!
//! Forwarders report what came of their attempts. Planners merge the reports into one view of each endpoint, derive a
//! health status from it and send it to the forwarders, which take it as information.
//!
//! A report and an update each make sense alone: the next one makes up for a lost one. What is too long for a datagram is
//! split into fragments ([`Fragment`]) of one sequence number or version. Fragments arrive in any order, each counts
//! once, and none makes another one of the same batch stale. While the latest version of an update is incomplete, the
//! previous one remains valid for the endpoints that the latest does not name.

mod aggregator;
mod components;
mod endpoint_view;
mod error;
mod forwarder_record;
mod fragment;
mod merger;
mod report;
mod reporter;
mod update;

use serde::{Deserialize, Serialize};

pub use aggregator::{HealthAggregator, MAX_ENDPOINTS, OutgoingUpdate, Settings};
pub use components::{ForwarderComponent, PlannerComponent};
pub use error::HealthError;
pub use fragment::Fragment;
pub use merger::UpdateMerger;
pub use report::{EndpointCounts, HealthReport};
pub use reporter::HealthReporter;
pub use update::{HealthStatus, HealthUpdate, Version};

/// The messages between the two sides of the component.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// From a forwarder to all planners.
    Report(HealthReport),
    /// From a planner to a forwarder.
    Update(HealthUpdate),
}
