//! The proving ground: a world of stand-ins on loopback around the real program, a load tool, a timeline of
//! faults, and an auditor that judges from the stand-ins' books alone. It shares no code with the program.

pub mod audit;
pub mod command;
pub mod compare;
pub mod event_log;
pub mod experiment;
pub mod faulty_node;
pub mod hunt;
pub mod message_reference;
pub mod program;
pub mod recording;
pub mod report;
pub mod run_result;
pub mod runs;
pub mod schedule;
pub mod shard_map_reference;
pub mod shard_workload;
pub mod stats;
pub mod throughput;
pub mod world;
