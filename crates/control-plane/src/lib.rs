//! What the fleet decides together, as processes: the operator's file, planners that talk by letters on sockets, and
//! what they keep on disk. The decisions are in `granitelb-coordination`.

pub mod agent;
pub mod clock;
pub mod config_error;
pub mod fault_injection;
pub mod fleet_config;
pub mod planner;
pub mod storage;
