//! The process of a planner: tasks that each own their state and exchange messages through bounded queues.
//!
//! The message router owns the socket and the membership, a task for each component owns that component, and
//! a thread owns the store. Each task has its own thread, so that a component that computes for a second, or
//! never returns, does not delay heartbeats: without heartbeats, other members would declare the planner
//! failed. The message router alone receives messages, from one socket, and spends some microseconds on each
//! message.

mod component_status;
mod component_task;
mod components;
mod error;
mod ingress_limiter;
mod liveness;
mod mailbox;
mod message_router;
mod metrics;
mod planner_config;
mod server;
mod shared_context;
mod signals;
mod state_store;
#[cfg(test)]
mod test_support;
mod token_bucket;
mod worker_threads;

use std::path::Path;

use granitelb_balancer::time::Span;
use granitelb_coordination::component::Event;

pub use components::ComponentCreateError;
pub use error::PlannerError;
pub use ingress_limiter::RateLimitError;
pub use liveness::LivenessTimeouts;
pub use planner_config::PlannerConfig;

/// The interval at which the counts of messages are logged.
const REPORT_INTERVAL: Span = Span::from_millis(60_000);

/// Runs a planner until a stop signal.
///
/// # Errors
/// Returns an error if the planner can't start or can't go on.
pub fn run(path: &Path) -> Result<(), PlannerError> {
    let config = PlannerConfig::load(path)?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().map_err(PlannerError::SystemResources)?;
    runtime.block_on(server::serve(path, config))
}

/// Logs an event of the component whose task has this name.
pub(crate) fn log_event(task: &str, event: &Event) {
    let level = if event.is_warning { log::Level::Warn } else { log::Level::Info };
    log::log!(level, event = event.name, task = task; "{}", event.message);
}
