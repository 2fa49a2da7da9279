//! The testbed: runs the real program in a world of emulated servers on loopback, sends it requests, injects faults, and
//! audits what happened.
//!
//! The audit relies on nothing but what the emulated servers and the clients recorded. The testbed shares no code with the
//! program under test, so that it can't inherit its faults; it has decoders and reference models of its own.
//!
//! A module only uses modules of the layers below it:
//!
//! 1. records and reference models: [`event_log`], [`message_reference`], [`shard_map_reference`], [`stats`]
//! 2. [`experiment`]: the definition of what to run
//! 3. [`schedule`], [`shard_workload`], [`request_generator`], [`recording`]: the requests of a run
//! 4. [`environment`]: servers, clients, processes and faults; [`faulty_node`] stands in for the program in tests
//! 5. [`audit`]: what was measured and which rules were broken
//! 6. [`run_result`]: one run, audited; [`report`] writes it down
//! 7. [`runs`], [`compare`], [`hunt`], [`throughput`]: what commands do; [`program`] finds the program under test
//! 8. [`command`]: the command line

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod audit;
pub mod command;
pub mod compare;
pub mod environment;
pub mod event_log;
pub mod experiment;
pub mod faulty_node;
pub mod hunt;
pub mod message_reference;
pub mod program;
pub mod recording;
pub mod report;
pub mod request_generator;
pub mod run_result;
pub mod runs;
pub mod schedule;
pub mod shard_map_reference;
pub mod shard_workload;
pub mod stats;
pub mod throughput;
