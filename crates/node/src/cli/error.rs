//! Errors that end the program.

use std::error::Error;
use std::fmt;
use std::io;

use granitelb_control_plane::config_error::ConfigError;
use granitelb_control_plane::planner::PlannerError;
use granitelb_coordination::component::Remediation;
use granitelb_settings::SettingsError;

/// Why a command failed, with what an operator can do about it.
#[derive(Debug)]
pub enum CommandError {
    /// The node's configuration is not valid.
    NodeConfig(SettingsError),
    /// The fleet configuration of a node is not valid.
    FleetConfig(ConfigError),
    /// A file that was to be checked is not valid.
    CheckedFile(ConfigError),
    /// The planner has failed.
    Planner(PlannerError),
    /// The system has refused a resource, such as the address to listen on.
    System(io::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::NodeConfig(fault) => write!(f, "configuration, {fault}"),
            CommandError::FleetConfig(error) => {
                write!(f, "fleet configuration, {error}. {}", error.remediation())
            }
            CommandError::CheckedFile(error) => write!(f, "{error}. {}", error.remediation()),
            CommandError::Planner(error) => write!(f, "{error}. {}", error.remediation()),
            CommandError::System(error) => error.fmt(f),
        }
    }
}

impl Error for CommandError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CommandError::NodeConfig(_) => None,
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
