//! The update of a planner on the health of endpoints.

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::Span;
use serde::{Deserialize, Serialize};

use super::fragment::Fragment;

/// The version of an update. It increases with each update of a planner's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version(pub u64);

/// The health of an endpoint by the reports of all forwarders together. An endpoint without enough evidence
/// has no status.
///
/// Statuses contain ages instead of times, because the members' clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HealthStatus {
    /// The endpoint leaves attempts unanswered.
    Failing {
        /// How long ago the last failure was reported.
        ago: Span,
    },
    /// The endpoint is failing, and the recipient is assigned to probe it.
    Probe {
        /// How long ago the last failure was reported.
        ago: Span,
    },
    /// The endpoint answers again after it had failed.
    Recovered {
        /// How long ago the last answer was reported.
        ago: Span,
    },
}

/// An update, or a fragment of one. An update names every endpoint that has a status, so no earlier update is
/// needed to interpret it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// The update's version.
    pub version: Version,
    /// The place of this fragment in the update.
    pub fragment: Fragment,
    /// The number of forwarders whose reports the update is based on.
    pub forwarders: usize,
    /// The status of the endpoints in this fragment.
    pub statuses: Vec<(EndpointId, HealthStatus)>,
}
