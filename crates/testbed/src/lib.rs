//! The proving ground: a world of stand-ins on loopback around the real program, a load tool, a timeline of
//! faults, and an auditor that judges from the stand-ins' books alone. It shares no code with the program.

pub mod audit;
pub mod book;
pub mod command;
pub mod compare;
pub mod experiment;
pub mod forms;
pub mod growing;
pub mod hunt;
pub mod letters;
pub mod played;
pub mod program;
pub mod recording;
pub mod report;
pub mod runs;
pub mod schedule;
pub mod standin;
pub mod stats;
pub mod throughput;
pub mod world;
