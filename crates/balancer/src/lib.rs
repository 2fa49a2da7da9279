//! granitelb's decision logic: decides which endpoint serves which request.
//!
//! The crate is sans-I/O and uses `std` only. It reads no clock, opens no socket, and takes all random
//! numbers from a generator with a given seed. A host reports events and carries out the crate's decisions.
//! Start reading at [`balancer`].

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod attempt;
pub mod balancer;
pub mod control_plane;
pub mod decaying;
pub mod endpoint;
pub mod ids;
mod pending_request;
pub mod request;
mod seeded_hash;
pub mod settings;
pub mod slot_table;
pub mod time;

pub use attempt::{Attempt, AttemptOutcome, AttemptResult};
pub use balancer::Balancer;
pub use control_plane::{ControlPlaneUpdate, Lease, MigrationPhase, ShardMap, ShardSplit};
pub use endpoint::{EndpointRole, EndpointUpdate, LoadReport};
pub use request::{LocalReply, Request};
