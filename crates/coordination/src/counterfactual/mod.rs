//! Off-policy evaluation of the nodes' endpoint selection: would requests have been served better elsewhere?
//!
//! Forwarders report a hashed sample of the requests that they served ([`SampledRequest`]). Planners estimate from
//! these reports, without sending a single request elsewhere:
//!
//! - **The effect of a cache** ([`Dataset::compare_cache`]): how much more of the SLO requests wait at a cache than they
//!   would have waited at their other candidates. The estimator is doubly robust: an outcome model predicts each
//!   candidate, and requests that were really sent there correct the prediction, weighted by the inverse of their
//!   propensity. It is valid if either the model or the propensities are right among alike requests, that is, if
//!   whatever steers a node's choice and also affects the time is among the covariates that alike requests share: request
//!   class, work class, candidate position, cache, and time bucket (no unmeasured confounding).
//! - **The value of a selection policy** ([`Dataset::policy_value`]): the mean outcome had each request alone been
//!   sent by that policy, under the same assumptions. Requests are assumed not to interfere: one request does not
//!   move load, so the value of a policy is right for a small part of the requests, and a hint for more.
//! - **The time ratio of a cache by randomized assignment** ([`RandomizedAssignment`]): which cache is a key's first
//!   candidate is drawn by a hash, as in a randomized trial whose units are keys. Requests are compared by their first
//!   candidate wherever they were sent (intention to treat), so this needs no variation in the nodes' choices and no
//!   assumption about what steers them.
//!
//! Only first attempts of reads count: retries are sent because of how the first attempt went, and writes are not
//! considered.
//!
//! Times of requests that were cancelled are right-censored and enter through the Kaplan-Meier curve of their group.
//! Estimates become a [`Comparison`] of each cache with the others, controlled for the false discovery rate, with
//! hysteresis. Comparisons inform people, through the log and through messages to forwarders; they trigger nothing.
//!
//! # Invariants
//!
//! - There is no figure without support (overlap): where no node's choice gives evidence the result is [`NoSupport`],
//!   which holds no number. No request is sent elsewhere for the sake of an estimate, so evidence is only what nodes
//!   chose by themselves, for reasons of their own: their views differ.
//! - Estimates depend on the set of reports alone, not on their order, repetition or loss (see the planner component).
//! - The planner component owns the reports, the comparisons and the times of cache starts; a forwarder component owns
//!   the reports that are not sent yet. Nothing is persisted.

mod cache_effect;
mod cluster_variance;
mod comparison;
mod dataset;
mod error;
mod estimate;
mod event;
mod forwarder;
mod kaplan_meier;
mod message;
mod multiple_testing;
mod outcome;
mod outcome_model;
mod planner;
mod policy_value;
mod randomized_assignment;
mod sampled_request;
mod sampling;
mod settings;
mod weighted_mean;

pub use dataset::Dataset;
pub use error::CounterfactualError;
pub use estimate::{Estimate, NoSupport, Stratum};
pub use forwarder::ForwarderComponent;
pub use message::{CacheStart, Comparison, ComparisonReport, ComparisonScale, CounterfactualMessage};
pub use outcome::{OutcomeMeasure, ReportedRequest};
pub use planner::PlannerComponent;
pub use policy_value::SelectionPolicy;
pub use randomized_assignment::{AssignmentComparison, RandomizedAssignment};
pub use sampled_request::{MAX_CANDIDATES, SampledRequest, ServiceOutcome, WORK_CLASSES, work_class};
pub use sampling::{SAMPLE_ONE_IN, is_sampled};
pub use settings::Settings;
