//! The errors that end a command.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use crate::compare::CompareError;
use crate::experiment::ExperimentError;
use crate::faulty_node::ServeError;
use crate::program::ProgramError;
use crate::recording::RecordingError;
use crate::report::ReportError;
use crate::run_result::RunError;
use crate::throughput::{RelayError, ThroughputError};

/// Why a command could not do its work.
#[derive(Debug)]
pub(super) enum CommandError {
    /// An experiment file is invalid.
    Experiment(ExperimentError),
    /// The program under test was not found.
    Program(ProgramError),
    /// An experiment could not be run.
    Run(RunError),
    /// A recording can't be replayed.
    Recording(RecordingError),
    /// The throughput could not be measured.
    Throughput(ThroughputError),
    /// The bare relay could not be started.
    Relay(RelayError),
    /// Two builds could not be compared.
    Compare(CompareError),
    /// A report could not be written.
    Report(ReportError),
    /// The faulty node of the audit's tests could not be started.
    FaultyNode(ServeError),
    /// A file or folder could not be read or written.
    File { path: PathBuf, error: io::Error },
    /// The path of this program can't be determined.
    OwnPath(io::Error),
}

impl CommandError {
    /// Converts an I/O error of the file or folder at `path`.
    pub(super) fn file(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        move |error| CommandError::File { path: path.into(), error }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Experiment(error) => write!(f, "{error}"),
            CommandError::Program(error) => write!(f, "{error}"),
            CommandError::Run(error) => write!(f, "{error}"),
            CommandError::Recording(error) => write!(f, "{error}"),
            CommandError::Throughput(error) => write!(f, "{error}"),
            CommandError::Relay(error) => write!(f, "{error}"),
            CommandError::Compare(error) => write!(f, "{error}"),
            CommandError::Report(error) => write!(f, "{error}"),
            CommandError::FaultyNode(error) => write!(f, "{error}"),
            CommandError::File { path, error } => {
                write!(f, "{} can't be read or written: {error}", path.display())
            }
            CommandError::OwnPath(error) => {
                write!(f, "the path of this program can't be determined: {error}")
            }
        }
    }
}

impl std::error::Error for CommandError {}

impl From<ExperimentError> for CommandError {
    fn from(error: ExperimentError) -> CommandError {
        CommandError::Experiment(error)
    }
}

impl From<ProgramError> for CommandError {
    fn from(error: ProgramError) -> CommandError {
        CommandError::Program(error)
    }
}

impl From<RunError> for CommandError {
    fn from(error: RunError) -> CommandError {
        CommandError::Run(error)
    }
}

impl From<RecordingError> for CommandError {
    fn from(error: RecordingError) -> CommandError {
        CommandError::Recording(error)
    }
}

impl From<ThroughputError> for CommandError {
    fn from(error: ThroughputError) -> CommandError {
        CommandError::Throughput(error)
    }
}

impl From<RelayError> for CommandError {
    fn from(error: RelayError) -> CommandError {
        CommandError::Relay(error)
    }
}

impl From<CompareError> for CommandError {
    fn from(error: CompareError) -> CommandError {
        CommandError::Compare(error)
    }
}

impl From<ReportError> for CommandError {
    fn from(error: ReportError) -> CommandError {
        CommandError::Report(error)
    }
}

impl From<ServeError> for CommandError {
    fn from(error: ServeError) -> CommandError {
        CommandError::FaultyNode(error)
    }
}
