//! The testbed of granitelb: runs the real program among emulated servers on loopback, sends it requests,
//! injects faults, and audits the recorded events.
//!
//! The audit only uses the records of the emulated servers and the clients. The testbed has its own decoders
//! and reference models and shares no code with the program under test, so that it can't inherit the
//! program's faults.
//!
//! The modules form layers. A module only uses modules of its own layer and of those with a lower number:
//!
//! 1. records and reference models: [`event_log`], [`message_reference`], [`shard_map_reference`], [`stats`]
//! 2. [`experiment`]: the definition of what to run
//! 3. [`schedule`], [`shard_workload`], [`request_generator`], [`recording`]: the requests of a run
//! 4. [`environment`]: servers, clients, processes and faults; [`faulty_node`] replaces the program in tests
//! 5. [`audit`]: measures the figures of a run and checks the rules
//! 6. [`run_result`]: executes and audits one run; [`report`] writes the result to files
//! 7. [`runs`], [`compare`], [`hunt`], [`throughput`]: the commands; [`program`] finds the program under test
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
