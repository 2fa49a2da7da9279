//! Errors that prevent the run of an experiment.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use super::node::NodeStartError;

/// Why an experiment could not be run. Only the errors of a process that did not start can be the fault of
/// the program under test; the process's log in the run's directory tells more.
#[derive(Debug)]
pub enum EnvironmentError {
    /// The runtime of the simulated servers did not start: the system lacks threads or file descriptors.
    Runtime(std::io::Error),
    /// The directory for configuration files and logs can't be created.
    CreateDirectory {
        /// Path of the directory.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A loopback address can't be bound or a planner's file can't be written.
    Build(std::io::Error),
    /// A node did not start.
    NodeStart(NodeStartError),
    /// A planner did not start, or did not accept the shard sizes of the days before the run.
    PlannerStart(Box<dyn Error + Send + Sync>),
    /// The nodes were not ready when the first request was due: the machine is too busy. Fewer concurrent
    /// jobs help.
    TooSlow,
}

impl fmt::Display for EnvironmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EnvironmentError::Runtime(source) => {
                let hint = "check the limits of threads and file descriptors";
                write!(f, "the runtime of the simulated servers can't be started: {source}; {hint}")
            }
            EnvironmentError::Build(source) => {
                write!(f, "a loopback address can't be bound or a planner's file can't be written: {source}")
            }
            EnvironmentError::CreateDirectory { path, source } => {
                write!(f, "the run's directory {} can't be created: {source}", path.display())
            }
            EnvironmentError::NodeStart(source) => source.fmt(f),
            EnvironmentError::PlannerStart(source) => source.fmt(f),
            EnvironmentError::TooSlow => f.write_str(
                "the nodes were not ready when the first request was due: this machine is too busy, \
                    run fewer jobs at once",
            ),
        }
    }
}

impl Error for EnvironmentError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            EnvironmentError::Runtime(source) | EnvironmentError::Build(source) => Some(source),
            EnvironmentError::CreateDirectory { source, .. } => Some(source),
            EnvironmentError::NodeStart(source) => Some(source),
            EnvironmentError::PlannerStart(source) => Some(source.as_ref()),
            EnvironmentError::TooSlow => None,
        }
    }
}

impl From<NodeStartError> for EnvironmentError {
    fn from(source: NodeStartError) -> EnvironmentError {
        EnvironmentError::NodeStart(source)
    }
}
