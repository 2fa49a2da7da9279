//! Forecasts the growth of shards and splits a shard before it outgrows its endpoints.
//!
//! Forwarders count the reads, writes and distinct keys of each shard ([`shard_day`], [`sketch`]). Planners
//! merge the counts into a history of closed days ([`history`]) and forecast when a shard outgrows its
//! capacity ([`forecast`]). The leading planner decides which shard is split and how far a split may advance
//! ([`split_schedule`]). All planners agree on each version of the shard map ([`consensus`]), which
//! forwarders then apply ([`shard_map`]).
//!
//! This workspace has two types of shard map. Planners agree on a [`shard_map::VersionedShardMap`], which
//! also lists splits that have not moved a key yet. A node's balancer routes by a
//! `granitelb_balancer::ShardMap`, which is derived from the `VersionedShardMap`.

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
