//! The errors that end the program.

use std::error::Error;
use std::fmt;
use std::io;

use granitelb_control_plane::config_error::ConfigError;
use granitelb_control_plane::planner::PlannerError;
use granitelb_coordination::component::Remediation;

use super::config::NodeConfigError;

/// Why a command failed. The text of an error says what an operator can do.
#[derive(Debug)]
pub enum CommandError {
    /// The node's configuration is not valid.
    NodeConfig(NodeConfigError),
    /// The fleet configuration of a node is not valid.
    FleetConfig(ConfigError),
    /// A file that the command `check` has read is not valid.
    CheckedFile(ConfigError),
    /// The planner has failed.
    Planner(PlannerError),
    /// The operating system has refused a resource, such as the address to listen on.
    System(io::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NodeConfig(error) => error.fmt(f),
            CommandError::FleetConfig(error) => {
                write!(f, "fleet configuration, {error}. {}", error.remediation())
            }
            CommandError::CheckedFile(error) => write!(f, "{error}. {}", error.remediation()),
            CommandError::Planner(error) => write!(f, "{error}. {}", error.remediation()),
            CommandError::System(error) => write!(
                f,
                "the operating system refused a resource of the node: {error}. \
                 Check that the listen address is free, and the limit on file descriptors."
            ),
        }
    }
}

impl Error for CommandError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CommandError::NodeConfig(error) => Some(error),
            CommandError::FleetConfig(error) | CommandError::CheckedFile(error) => Some(error),
            CommandError::Planner(error) => Some(error),
            CommandError::System(error) => Some(error),
        }
    }
}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> CommandError {
        CommandError::System(error)
    }
}
