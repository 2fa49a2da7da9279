//! Was the choice right? Of calls as they were served it is estimated how they would have fared at the key's other
//! candidates, and whole policies are valued by that without being played. Forwarders tell what came of sampled calls,
//! planners estimate and say how caches stand. It informs people, in the log and by letters; it orders nothing.
//!
//! Invariant: there is no number where no node's choice gives evidence. No call is sent otherwise for the sake of an
//! estimate, so that evidence is only what nodes chose by themselves, for reasons of their own: their views differ. What
//! steers their choices and also the time has to be among what alike calls share (`estimate.rs`).

mod book;
mod estimate;
mod forwarder;
mod lottery;
mod model;
mod observation;
mod planner;
mod standing;
mod survival;

use granitelb_balancer::time::Span;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::component::Remediation;

pub use book::{Book, Measure};
pub use estimate::{Estimate, NoSupport, Policy};
pub use forwarder::ForwarderComponent;
pub use lottery::{Beside, Lottery};
pub use observation::{
    CLASSES, CounterfactualMessage, How, PLACES, Said, SampledRequest, Scale, Standing, class_of,
};
pub use planner::PlannerComponent;

/// One call in so many is told of.
pub const ONE_IN: u64 = 2;

/// Spreads calls, so that what is kept of them is a fair sample whatever their names are.
fn rank(call: u64) -> u64 {
    xxh3_64_with_seed(&call.to_le_bytes(), 0x6869_6e64)
}

/// Whether a call is told of: by its hash alone, so that all nodes agree without a word.
pub fn is_sampled(call: u64) -> bool {
    rank(call) < u64::MAX / ONE_IN
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// A forwarder gathers calls for so long, or until a letter is full.
    pub gathers: Span,
    /// A call whose cache lacked the key is waited for so long.
    pub waits: Span,
    /// What a forwarder sends at the most, to all planners together.
    pub bytes_a_second: f64,
    /// Bytes of a letter's body.
    pub letter: usize,
    /// Calls that a forwarder keeps until they are told, and while they wait for an answer after a miss.
    pub most_told: usize,
    pub most_missed: usize,
    /// Estimates rest on calls of so long.
    pub window: Span,
    /// Calls of one such stretch share what the moment adds.
    pub bucket: Span,
    pub judges_every: Span,
    /// The log has values of whole policies so often, of these.
    pub values_every: Span,
    pub policies: Vec<Policy>,
    /// Standings other than as good are said again so often.
    pub repeats_every: Span,
    /// Two starts of a cache told within this are one.
    pub same_start: Span,
    /// Of the caches found worse or better in a round, such a share may be so by chance.
    pub false_share: f64,
    /// A share of the SLO that is worth a word.
    pub least_effect: f64,
    /// So many times the time is.
    pub least_times: f64,
    /// Findings in a row that it takes to enter a standing of worse or better, and to leave it.
    pub enters_after: u32,
    pub leaves_after: u32,
    /// More are not kept.
    pub most_kept: usize,
    pub most_from_one: usize,
    pub most_caches: usize,
    pub most_products: usize,
    pub most_standings: usize,
    pub most_remarks: usize,
    pub most_letters: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            gathers: Span::from_millis(4000),
            waits: Span::from_millis(10_000),
            bytes_a_second: 4096.0,
            letter: 1100,
            most_told: 2048,
            most_missed: 1024,
            window: Span::from_millis(600_000),
            bucket: Span::from_millis(10_000),
            judges_every: Span::from_millis(30_000),
            values_every: Span::from_millis(600_000),
            policies: vec![Policy::First, Policy::RandomOfThree, Policy::AsPlayed, Policy::LeavesFirstAt(1)],
            repeats_every: Span::from_millis(60_000),
            same_start: Span::from_millis(10_000),
            false_share: 0.01,
            least_effect: 0.02,
            least_times: 1.25,
            enters_after: 2,
            leaves_after: 3,
            most_kept: 131_072,
            most_from_one: 16_384,
            most_caches: 2048,
            most_products: 64,
            most_standings: 4096,
            most_remarks: 256,
            most_letters: 16,
        }
    }
}

impl Settings {
    /// What is worth a word, on the scale of the estimates: of times it is the logarithm.
    pub fn least(&self, scale: Scale) -> f64 {
        match scale {
            Scale::Share => self.least_effect,
            Scale::Times => self.least_times.ln(),
        }
    }
}

/// Why a letter was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CounterfactualError {
    #[error("a figure of a call that no forwarder can have seen")]
    Figure,
    #[error("a call that is not among the sampled ones")]
    NotSampled,
    #[error("a letter for the other side")]
    WrongSide,
}

impl Remediation for CounterfactualError {
    fn remediation(&self) -> &'static str {
        match self {
            CounterfactualError::Figure => {
                "Look at the forwarder that is named: its program may be of another version, or ill."
            }
            CounterfactualError::NotSampled => {
                "Bring the forwarder that is named to this version: both have to sample the same calls."
            }
            CounterfactualError::WrongSide => {
                "Look in the operator's file whether a planner and a forwarder have changed addresses."
            }
        }
    }
}

impl Remediation for NoSupport {
    fn remediation(&self) -> &'static str {
        "Nothing to do: nodes send too few such calls elsewhere to tell. More calls, or a longer window, may tell."
    }
}
