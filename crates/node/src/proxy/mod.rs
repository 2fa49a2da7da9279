//! The layer that joins clients, caches and discovery to the decisions. Nothing is decided here: the client side
//! and the server side know only the exchanges between them, and the driver carries what happened to the
//! [`Balancer`](granitelb_balancer::balancer::Brain) and what it decides back.

mod arrivals;
mod clients;
mod copies;
mod driver;
mod exchange;
mod node;
mod outcome;
mod servers;
mod tally;
mod watch;
mod witness;

pub use exchange::{Exchanges, FinalAnswer};
pub use node::{FleetConfig, Live, Node, Order, Setup};
pub use outcome::{ShotFate, load_report};
pub use servers::Servers;
