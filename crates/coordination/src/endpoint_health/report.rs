//! The report of a forwarder on its attempts.

use granitelb_balancer::ids::EndpointId;
use serde::{Deserialize, Serialize};

use super::error::HealthError;
use super::fragment::Fragment;

/// The maximum count in a report. A report covers a short time, in which one forwarder has at most this many
/// attempts.
const MAX_ATTEMPTS: f64 = 1e6;

/// The results of the attempts at one endpoint since the previous report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointCounts {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The number of attempts that were answered in any way that shows that the endpoint is up. A cache miss
    /// and a rejection because of a full queue are answers too.
    #[serde(with = "single_precision")]
    pub answered: f64,
    /// The number of attempts that were not answered: timed out, cancelled because the endpoint was silent,
    /// unreachable, reset, or with a malformed response.
    #[serde(with = "single_precision")]
    pub failed: f64,
    /// The number of attempts in flight at the time of the report.
    #[serde(with = "single_precision")]
    pub in_flight: f64,
}

impl EndpointCounts {
    /// Creates counts of zero for an endpoint.
    pub fn new(endpoint: EndpointId) -> EndpointCounts {
        EndpointCounts { endpoint, answered: 0.0, failed: 0.0, in_flight: 0.0 }
    }

    fn is_plausible(&self) -> bool {
        [self.answered, self.failed, self.in_flight].iter().all(|n| (0.0..=MAX_ATTEMPTS).contains(n))
    }
}

/// The encoding of counts. Single precision is enough for the counts in one report.
mod single_precision {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(count: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f32(*count as f32)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        f32::deserialize(deserializer).map(f64::from)
    }
}

/// A report, or a fragment of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The report's sequence number. It increases with each report of an incarnation, so that duplicate and
    /// late reports are recognized.
    pub sequence: u64,
    /// The place of this fragment in the report.
    pub fragment: Fragment,
    /// The counts of the endpoints in this fragment.
    pub endpoints: Vec<EndpointCounts>,
}

impl HealthReport {
    /// Checks that a forwarder can have counted what the report says. One implausible count makes the whole
    /// report suspect.
    ///
    /// Returns [`HealthError::InvalidFragment`] or [`HealthError::InvalidFigure`] if the report is
    /// implausible.
    pub fn check(&self) -> Result<(), HealthError> {
        self.fragment.check()?;
        if self.endpoints.iter().all(EndpointCounts::is_plausible) {
            Ok(())
        } else {
            Err(HealthError::InvalidFigure)
        }
    }
}
