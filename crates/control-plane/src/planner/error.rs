//! Why a planner can't serve.

use std::io;
use std::net::SocketAddrV4;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::message::ComponentKind;
use thiserror::Error;

use crate::config_error::ConfigError;
use crate::storage::StorageError;

/// Why a planner can't serve.
#[derive(Debug, Error)]
pub enum PlannerError {
    /// One of its files is invalid.
    #[error("configuration, {0}")]
    Config(#[from] ConfigError),
    /// Its socket can't be bound.
    #[error("messages can't be received at {address}: {source}")]
    Bind {
        /// The address that it was to listen on.
        address: SocketAddrV4,
        /// What the system reports.
        source: io::Error,
    },
    /// Its store can't be used.
    #[error("{0}")]
    Store(#[from] StorageError),
    /// The system provides no threads, descriptors or signal handlers.
    #[error("the system provides no threads or signal handlers: {0}")]
    SystemResources(io::Error),
    /// A component did not return from a call for too long.
    #[error("{0} never returned from a call")]
    ComponentTimedOut(ComponentKind),
    /// The message router has ended by itself.
    #[error("messages can no longer be received")]
    RouterStopped,
}

impl Remediation for PlannerError {
    fn remediation(&self) -> &'static str {
        match self {
            PlannerError::Config(error) => error.remediation(),
            PlannerError::Bind { .. } => {
                "Stop the process that uses the port, or name an address of this machine by `listen` in the planner's file."
            }
            PlannerError::Store(error) => error.remediation(),
            PlannerError::SystemResources(_) => "Raise the limits of processes and descriptors.",
            PlannerError::RouterStopped => "Look at the lines before this one, and restart the planner.",
            PlannerError::ComponentTimedOut(_) => {
                "Have a supervisor restart it, and report it with the lines before this one. If it happens again, remove \
                 that component's section from the operator's file of all members."
            }
        }
    }
}
