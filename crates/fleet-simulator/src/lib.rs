//! A whole fleet in one process and in simulated time: hundreds of nodes with the real module each, cache servers with
//! one place at work and a short queue, an origin, clients that come again, and faults. Everything is drawn from a seed;
//! two runs of one seed are the same. What it shows is simulated and is called so wherever it is quoted.

pub mod came;
pub mod control_plane;
pub mod counterfactual;
pub mod days;
mod event_queue;
pub mod faults;
pub mod lease_simulation;
pub mod mind;
mod network;
pub mod play;
pub mod popularity;
mod server;
pub mod warmup_simulation;
mod world;

pub use came::Came;
pub use faults::{Fault, Kind};
pub use mind::Policy;
pub use play::{Play, Together};
pub use world::play;
