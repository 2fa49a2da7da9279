//! The proxy: connects clients, cache servers, the origin and discovery to the balancer.
//!
//! The [`Balancer`](granitelb_balancer::balancer::Balancer) makes all decisions; the balancer driver reports
//! events to it and carries its decisions out. The downstream side (clients) and the upstream side (cache
//! servers and the origin) share only the [`RequestTable`]. One thread runs all parts, in turns of the event
//! loop in [`Node::serve`].
//!
//! Two rules are each enforced in one place: [`RequestTable::start_attempt`] admits every attempt, and
//! [`RequestTable::finish`] accepts one final response for each request.

mod attempt_end;
mod balancer_driver;
mod client_request_id;
mod discovery_watch;
mod downstream;
mod endpoint_directory;
mod final_response;
mod load_report;
mod node;
mod observation_recorder;
mod request_ids;
mod request_metrics;
mod request_table;
mod stable_hash;
mod turn_context;
mod upstream;

pub use attempt_end::{AttemptEnd, RequestProgress};
pub use client_request_id::ClientRequestId;
pub use downstream::{Pipeline, PipelineEntry, READ_AHEAD_BYTES, ReadAheadLimits};
pub use endpoint_directory::KnownEndpoint;
pub use final_response::FinalResponse;
pub use load_report::parse_load_report;
pub use node::{CommandSource, Node, NodeCommand, NodeConfig, ReloadableConfig};
pub use request_ids::{RepeatPolicy, RequestIdError, ReservedId};
pub use request_table::{ActiveRequest, FinishedAttempt, RefusedRequest, RequestTable, UndeliveredResponse};
pub use turn_context::TurnContext;
pub use upstream::Upstream;
