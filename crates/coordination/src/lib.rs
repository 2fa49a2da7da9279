//! What the fleet decides together, free of I/O, clocks and randomness but a seed: a folder for each faculty, with a
//! planner's side and a forwarder's side that talk by messages. Inputs update what is known, the host pulls what
//! follows. What carries the messages is elsewhere; `crates/fleet-simulator` plays all of it in one process.

pub mod component;
pub mod counterfactual;
pub mod endpoint_health;
pub mod leases;
pub mod member;
pub mod membership;
pub mod message;
pub mod observation;
pub mod probe_scheduling;
pub mod shard_growth;

pub use endpoint_health::{Follower, HealthStatus, Plan, Planner, Report, Seen, Settings, Version};
pub use member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
