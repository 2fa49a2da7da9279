//! The replicated and shared state of a fleet, without I/O, clocks or unseeded randomness.
//!
//! Each component is a module with a planner's side and a forwarder's side that exchange messages. Inputs
//! update the state of a component, and the host polls the resulting outputs (see [`component::Component`]).
//! Transport is implemented elsewhere: `crates/control-plane` runs the components in processes,
//! `crates/fleet-simulator` runs all of them in one process.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod component;
pub mod counterfactual;
pub mod endpoint_health;
pub mod envelope;
pub mod leases;
pub mod member;
pub mod membership;
pub mod message;
pub mod observation;
pub mod probe_scheduling;
pub mod shard_growth;

pub use endpoint_health::{
    EndpointCounts, HealthAggregator, HealthReport, HealthReporter, HealthStatus, HealthUpdate, Settings,
    UpdateMerger, Version,
};
pub use member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
