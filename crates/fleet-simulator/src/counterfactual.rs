//! Synthetic traces with known counterfactuals, against which the estimates of
//! [`granitelb_coordination::counterfactual`] are checked.
//!
//! For each request, the outcomes at all of its candidates (its potential outcomes) are drawn with the same
//! random numbers, and the nodes' selection rule chooses one candidate. The estimators receive the outcome at
//! the chosen candidate only; the other outcomes give the true values. As the estimators must assume, a
//! request does not change the load of its cache.

mod config;
mod generator;
mod replay;
mod trace;
mod truth;

pub use config::{SCENARIOS, Scenario, TraceConfig};
pub use replay::{Replay, replay};
pub use trace::{PotentialOutcome, SLO, SimulatedRequest, TRACE_START, Trace};
pub use truth::NaiveDifference;
