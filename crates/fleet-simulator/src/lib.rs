//! Seeded discrete-event simulation of a whole fleet in one process.
//!
//! The fleet simulation ([`run`]) has hundreds of nodes that each run the real balancer, cache servers with
//! one slot and a short queue, an origin, clients that retry, and injected faults. The other modules hold
//! smaller simulations of single parts of the system.
//!
//! All random draws come from a seed: two runs of one [`Scenario`] give equal results. Figures from this
//! crate are simulated, and must be called simulated wherever they are quoted.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used, clippy::wildcard_imports)]

pub mod control_plane;
pub mod counterfactual;
pub mod days;
mod event_queue;
pub mod faults;
pub mod lease_simulation;
mod network;
pub mod policy;
pub mod popularity;
pub mod results;
pub mod scenario;
mod server;
pub mod warmup_simulation;
mod world;

pub use faults::{Fault, FaultKind};
pub use policy::Policy;
pub use results::RunResult;
pub use scenario::{ControlPlaneScope, Outage, Scenario};
pub use world::run;
