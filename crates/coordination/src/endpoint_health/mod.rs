//! The health of the fleet's cache servers, by passive checks of all forwarders together.
//!
//! Forwarders report the results of their attempts. Planners merge the reports into one view of each
//! endpoint, derive a health status from the view and send the status to the forwarders. A forwarder's
//! balancer treats it as one more piece of evidence.
//!
//! Each report and each update can be interpreted alone, so the next one compensates for a lost one. A report
//! or an update that is too long for a datagram is split into fragments ([`Fragment`]) with the same sequence
//! number or version. Fragments arrive in any order, each is counted once, and no fragment makes another one
//! of the same batch stale. While the latest version of an update is incomplete, the previous version remains
//! valid for the endpoints that the latest does not name.

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

/// The messages between the planner's and the forwarder's side of the component.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// A forwarder's report to all planners.
    Report(HealthReport),
    /// A planner's update to a forwarder.
    Update(HealthUpdate),
}
