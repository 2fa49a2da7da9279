//! Growth of shards, and splits ahead of time: forwarders say what they see of each shard (`sketch`), planners keep a
//! history and look ahead (`history`, `forecast`), the one that leads decides when a shard is split and how far that may
//! go (`schedule`), and all planners agree on the table's form (`agree`), which forwarders take (`form`).

pub mod agree;
pub mod book;
pub mod forecast;
pub mod form;
mod forwarder;
pub mod history;
pub mod listing;
mod message;
mod origin;
mod planner;
pub mod schedule;
pub mod sketch;

pub use forwarder::{ForwarderComponent, ForwarderSettings};
pub use message::{Archive, Calendar, GrowthError, GrowthMessage, SnapshotError};
pub use planner::{Fleet, PlannerComponent, Settings};
