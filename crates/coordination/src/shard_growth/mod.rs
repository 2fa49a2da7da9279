//! Forecasts the growth of shards and splits a shard before it outgrows its endpoints.
//!
//! Forwarders count what they see of each shard ([`shard_day`], [`sketch`]). Planners merge these counts into a history
//! of closed days ([`history`]) and forecast when a shard outgrows its capacity ([`forecast`]). The planner that leads
//! decides which shard is split and how far a split may advance ([`split_schedule`]). All planners agree on each version
//! of the shard map ([`consensus`]), which forwarders then apply ([`shard_map`]).
//!
//! Two shard maps occur in this workspace. [`shard_map::VersionedShardMap`] is the one that planners agree on; it also
//! has splits that have not moved a key yet. `granitelb_balancer::ShardMap` is what a node's balancer routes by,
//! and is derived from it.

pub mod accounting_day;
pub mod capacity_forecast;
pub mod consensus;
pub mod endpoints;
pub mod forecast;
mod forwarder;
pub mod history;
mod message;
mod origin_latency;
mod planner;
mod shard_activity;
pub mod shard_day;
pub mod shard_map;
pub mod sketch;
mod snapshot;
pub mod split_schedule;

pub use accounting_day::Calendar;
pub use forwarder::{ForwarderComponent, ForwarderSettings};
pub use message::{GrowthError, GrowthMessage};
pub use planner::{FleetStatus, PlannerComponent, PlannerSettings};
pub use snapshot::{Snapshot, SnapshotError};
