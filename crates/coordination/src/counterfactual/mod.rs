//! Off-policy evaluation of the nodes' endpoint selection: estimates whether other caches would have served
//! requests better.
//!
//! Forwarders report a hashed sample of the requests that they served ([`SampledRequest`]). From these
//! reports alone, without sending any request to another cache, planners estimate:
//!
//! - **The effect of a cache** ([`Dataset::compare_cache`]): how much more of the SLO requests wait at a
//!   cache than they would have waited at their other candidates. The estimator is doubly robust: an outcome
//!   model predicts the outcome at each candidate, and the requests that were sent to a candidate correct the
//!   model's prediction there, weighted by the inverse of their propensity. The estimate is valid if the
//!   model or the propensities are right among requests with equal covariates. This holds if there is no
//!   unmeasured confounding: every variable that affects both a node's choice and the time must be a
//!   covariate. The covariates are request class, work class, candidate position, cache, and time bucket.
//! - **The value of a selection policy** ([`Dataset::policy_value`]): the mean outcome if each request alone
//!   had been sent by the policy, under the same assumptions. Requests are assumed not to interfere: moving
//!   one request does not move load. The value of a policy is therefore right for a small part of the
//!   requests, and a hint for a larger part.
//! - **The time ratio of a cache by randomized assignment** ([`RandomizedAssignment`]): a hash draws which
//!   cache is a key's first candidate, as in a randomized trial whose units are keys. Requests are compared
//!   by their first candidate wherever they were sent (intention to treat). The comparison therefore needs no
//!   variation in the nodes' choices and no assumption about what determines the choices.
//!
//! Only first attempts of reads count: whether a retry is sent depends on the outcome of the first attempt,
//! and writes are not considered.
//!
//! Times of cancelled requests are right-censored and enter through the Kaplan-Meier curve of their group.
//! Estimates become a [`Comparison`] of each cache with the others, controlled for the false discovery rate,
//! with hysteresis. Planners log the comparisons and send them to forwarders, which log them too; comparisons
//! trigger nothing else.
//!
//! # Invariants
//!
//! - Every figure has support (overlap): where the nodes' choices give too little evidence, the result is
//!   [`NoSupport`], which holds no number. No request is sent to another cache for the sake of an estimate,
//!   so the only evidence is what nodes chose for reasons of their own; choices differ because nodes' views
//!   differ.
//! - Estimates depend only on the set of reports, not on their order or repetition; a lost report costs
//!   support only (see the planner component).
//! - The planner component owns the reports, the comparisons and the times of cache starts; a forwarder
//!   component owns the reports that are not sent yet. Nothing is persisted.

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
