//! The processes of a fleet's control plane: configuration files, planners that exchange messages over
//! sockets, the agent of a node, and state on disk. The components that decide are in
//! `granitelb-coordination`.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod agent;
pub mod clock;
pub mod config_error;
pub mod fault_injection;
pub mod fleet_config;
pub mod planner;
pub mod storage;
