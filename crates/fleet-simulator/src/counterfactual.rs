//! Synthetic traces with known counterfactuals, against which the estimates of
//! [`granitelb_coordination::counterfactual`] are checked.
//!
//! Of each request it is drawn how it fares at each of its candidates (its potential outcomes), with the same random
//! numbers for all of them, and a selection rule of the nodes picks one. The estimators learn of that one alone; the
//! others give the truth. One request does not move load here, as the estimators have to assume.

mod config;
mod generator;
mod replay;
mod trace;
mod truth;

pub use config::{SCENARIOS, Scenario, TraceConfig};
pub use replay::{Replay, replay};
pub use trace::{PotentialOutcome, SLO, SimulatedRequest, TRACE_START, Trace};
pub use truth::NaiveDifference;
