//! The layer that joins clients, servers and discovery to the balancer's decisions.
//!
//! Nothing is decided here. The downstream side (clients) and the upstream side (cache servers and the
//! origin) share only the [`RequestTable`] between them; the balancer driver reports to the
//! [`Balancer`](granitelb_balancer::balancer::Balancer) what happened and carries out what it decides. One
//! thread runs all of it, in turns of the event loop in [`Node::serve`].
//!
//! Two rules are each enforced at one place: [`RequestTable::start_attempt`] admits every attempt, and
//! [`RequestTable::finish`] accepts one final response for each request.

mod arrival_times;
mod attempt_end;
mod balancer_driver;
mod discovery_watch;
mod downstream;
mod duplicate_response;
mod endpoint_directory;
mod final_response;
mod load_report;
mod node;
mod observation_recorder;
mod request_metrics;
mod request_table;
mod stable_hash;
mod turn_context;
mod upstream;

pub use attempt_end::{AttemptEnd, RequestProgress};
pub use endpoint_directory::KnownEndpoint;
pub use final_response::FinalResponse;
pub use load_report::parse_load_report;
pub use node::{CommandSource, Node, NodeCommand, NodeConfig, ReloadableConfig};
pub use request_table::{ActiveRequest, FinishedAttempt, RequestTable, UndeliveredResponse};
pub use turn_context::TurnContext;
pub use upstream::Upstream;
