//! A forwarder's report on its attempts.

use granitelb_balancer::ids::EndpointId;
use serde::{Deserialize, Serialize};

use super::error::HealthError;
use super::fragment::Fragment;

/// The greatest count that a report may hold. A report covers a short time, in which one forwarder has at most this many
/// attempts.
const MAX_ATTEMPTS: f64 = 1e6;

/// What came of the attempts at one endpoint since the previous report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointCounts {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Attempts that were answered in any way that shows the endpoint to be up, including a miss and a full queue.
    #[serde(with = "single_precision")]
    pub answered: f64,
    /// Attempts that were not answered: timed out, cancelled for silence, unreachable, reset, or with a malformed
    /// response.
    #[serde(with = "single_precision")]
    pub failed: f64,
    /// Attempts in flight at the time of the report.
    #[serde(with = "single_precision")]
    pub in_flight: f64,
}

impl EndpointCounts {
    /// Counts of an endpoint of which nothing was observed yet.
    pub fn new(endpoint: EndpointId) -> EndpointCounts {
        EndpointCounts { endpoint, answered: 0.0, failed: 0.0, in_flight: 0.0 }
    }

    fn is_plausible(&self) -> bool {
        [self.answered, self.failed, self.in_flight].iter().all(|n| (0.0..=MAX_ATTEMPTS).contains(n))
    }
}

/// The encoding of counts: single precision is enough for those of one report.
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
    /// Rises with each report of an incarnation, so that duplicates and late ones are recognized.
    pub sequence: u64,
    /// The place of this fragment in the report.
    pub fragment: Fragment,
    /// The counts of the endpoints in this fragment.
    pub endpoints: Vec<EndpointCounts>,
}

impl HealthReport {
    /// Checks that a forwarder can have counted this. One implausible figure makes the whole report suspect.
    ///
    /// # Errors
    /// Returns [`HealthError::InvalidFragment`] or [`HealthError::InvalidFigure`].
    pub fn check(&self) -> Result<(), HealthError> {
        self.fragment.check()?;
        if self.endpoints.iter().all(EndpointCounts::is_plausible) {
            Ok(())
        } else {
            Err(HealthError::InvalidFigure)
        }
    }
}
