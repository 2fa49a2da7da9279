//! Why an experiment could not be played.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;

use super::node::NodeStartError;

/// Why an experiment could not be played. None of these is a judgement of the program under test, except
/// where a process did not start: its log in the run's directory tells more.
#[derive(Debug)]
pub enum EnvironmentError {
    /// The runtime of the simulated servers did not start: the system lacks threads or descriptors.
    Runtime(std::io::Error),
    /// The directory for configurations and logs can't be created.
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
    /// A planner did not start or did not accept the history of past days.
    PlannerStart(Box<dyn Error + Send + Sync>),
    /// The nodes were not ready when the first request was due: the machine is too busy. Run it again with
    /// fewer jobs.
    TooSlow,
}

impl fmt::Display for EnvironmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EnvironmentError::Runtime(source) | EnvironmentError::Build(source) => source.fmt(f),
            EnvironmentError::CreateDirectory { path, source } => write!(f, "{}: {source}", path.display()),
            EnvironmentError::NodeStart(source) => source.fmt(f),
            EnvironmentError::PlannerStart(source) => source.fmt(f),
            EnvironmentError::TooSlow => {
                f.write_str("the nodes took too long to start: this machine is too busy to judge them")
            }
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
