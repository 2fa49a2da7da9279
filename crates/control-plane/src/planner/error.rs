//! Errors that keep a planner from running.

use std::io;
use std::net::SocketAddrV4;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::message::ComponentKind;
use thiserror::Error;

use crate::config_error::ConfigError;
use crate::storage::StorageError;

/// Why a planner can't start or can't go on.
#[derive(Debug, Error)]
pub enum PlannerError {
    /// One of the planner's configuration files is invalid.
    #[error("invalid configuration, {0}")]
    Config(#[from] ConfigError),
    /// The planner's socket can't be bound.
    #[error("the planner's socket can't be bound to {address}: {source}")]
    Bind {
        /// The address on which the planner is to listen.
        address: SocketAddrV4,
        /// The system's error.
        source: io::Error,
    },
    /// The planner's store can't be used.
    #[error("{0}")]
    Store(#[from] StorageError),
    /// The system refuses a thread, a file descriptor or a signal handler.
    #[error("the system refuses the planner a thread, a file descriptor or a signal handler: {0}")]
    SystemResources(io::Error),
    /// A component did not return from a call in time.
    #[error("the component {0} did not return from a call in time")]
    ComponentTimedOut(ComponentKind),
    /// The message router has ended by itself.
    #[error("the message router has ended, and the planner can no longer receive messages")]
    RouterStopped,
}

impl Remediation for PlannerError {
    fn remediation(&self) -> &'static str {
        match self {
            PlannerError::Config(error) => error.remediation(),
            PlannerError::Bind { .. } => {
                "Stop the process that uses the port, or set `listen` in the planner's file to an address of this machine."
            }
            PlannerError::Store(error) => error.remediation(),
            PlannerError::SystemResources(_) => {
                "Raise the limits of threads and file descriptors for this process."
            }
            PlannerError::RouterStopped => "Read the log lines before this one, and restart the planner.",
            PlannerError::ComponentTimedOut(_) => {
                "Have a supervisor restart the planner, and report the log lines before this one. If the component hangs \
                 again, remove its section from the operator's file of all members."
            }
        }
    }
}
