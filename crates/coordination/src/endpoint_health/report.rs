//! What a forwarder says.

use granitelb_balancer::ids::EndpointId;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::fault::HealthError;
use super::part::Part;

/// What came of shots at one cache since the report before.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub cache: EndpointId,
    /// Answered in any way that shows it to be there, a miss or a full queue included.
    #[serde(with = "single")]
    pub answered: f64,
    /// Not answered: timed out, called off for silence, unreachable, reset, spoilt.
    #[serde(with = "single")]
    pub failed: f64,
    /// Shots out at the time of the report.
    #[serde(with = "single")]
    pub out: f64,
}

/// Single precision is enough for counts of a batch.
mod single {
    use super::*;

    pub fn serialize<S: Serializer>(figure: &f64, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f32(*figure as f32)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
        f32::deserialize(from).map(f64::from)
    }
}

/// A batch of what a forwarder saw, or a part of one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with each batch of a life, so that one that comes twice or late is known.
    pub number: u64,
    pub part: Part,
    pub caches: Vec<Seen>,
}

/// What a forwarder can't have seen. A batch is short, and one forwarder has so many shots in it at the most.
const MOST_SHOTS: f64 = 1e6;

impl Report {
    /// Whether its figures can be what a forwarder saw; one bad figure makes all of it suspect.
    pub fn check(&self) -> Result<(), HealthError> {
        self.part.check()?;
        let sound = |n: f64| (0.0..=MOST_SHOTS).contains(&n);
        let all = self.caches.iter().all(|s| sound(s.answered) && sound(s.failed) && sound(s.out));
        if all { Ok(()) } else { Err(HealthError::Figure) }
    }
}
