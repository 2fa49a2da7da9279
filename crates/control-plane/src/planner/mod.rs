//! A planner's process: tasks that each own their state and exchange messages through bounded queues.
//!
//! The message router owns the socket and the membership, a task for each component owns that component, and a thread owns
//! the store. Each task has its own thread: a component that computes for a second, or never returns, must not delay
//! heartbeats, or others would take the planner for dead. All messages come in through one socket in one task, which spends
//! some microseconds on each.

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

/// How often counts are logged.
const REPORT_INTERVAL: Span = Span::from_millis(60_000);

/// Serves as a planner until a stop signal.
///
/// # Errors
/// What keeps the planner from serving.
pub fn run(path: &Path) -> Result<(), PlannerError> {
    let config = PlannerConfig::load(path)?;
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build().map_err(PlannerError::SystemResources)?;
    runtime.block_on(server::serve(path, config))
}

/// Logs an event of a component.
pub(crate) fn log_event(task: &str, event: &Event) {
    let level = if event.is_warning { log::Level::Warn } else { log::Level::Info };
    log::log!(level, event = event.name, task = task; "{}", event.message);
}
