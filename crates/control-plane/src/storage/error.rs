//! Errors of a planner's storage.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use granitelb_coordination::component::Remediation;
use thiserror::Error;

use super::{FILE_NAME, FORMAT_VERSION};

/// Why a state file can't be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The directory can't be created, read or written.
    #[error("the directory {} of the state file can't be used: {cause}", path.display())]
    Directory {
        /// The directory.
        path: PathBuf,
        /// The system's error.
        cause: io::Error,
    },
    /// Another process has the file open.
    #[error("another process has the state file {FILE_NAME} open")]
    InUse,
    /// The file's contents differ from those that were written.
    #[error("the state file {FILE_NAME} is corrupt: {0}")]
    Corrupt(String),
    /// The file has another version of the format.
    #[error(
        "the state file {FILE_NAME} has format version {found}, but this program reads version {FORMAT_VERSION}"
    )]
    UnsupportedVersion {
        /// The file's version.
        found: u64,
    },
    /// The file belongs to another planner or another program.
    #[error("the state file {FILE_NAME} does not belong to planner {own}: {reason}")]
    WrongOwner {
        /// The number of this planner.
        own: u8,
        /// To whom the file belongs.
        reason: String,
    },
    /// The disk refused a write.
    #[error("the state file {FILE_NAME} can't be written: {0}")]
    WriteFailed(String),
    /// The file was removed or replaced while it was open.
    #[error("the state file {} was removed", path.display())]
    Removed {
        /// The path at which the file was.
        path: PathBuf,
    },
    /// The thread that owns the file has ended.
    #[error("the thread that writes the state file {FILE_NAME} has ended")]
    WriterEnded,
}

impl StorageError {
    /// Whether the contents of the file can't be used, so that a new file can take its place.
    pub(super) fn concerns_contents(&self) -> bool {
        matches!(
            self,
            StorageError::Corrupt(_)
                | StorageError::UnsupportedVersion { .. }
                | StorageError::WrongOwner { .. }
        )
    }
}

impl Remediation for StorageError {
    fn remediation(&self) -> &'static str {
        match self {
            StorageError::Directory { .. } => {
                "Set `state` in the planner's file to a directory of its own to which the planner may write."
            }
            StorageError::InUse => {
                "Stop the other planner that uses this directory, or give each its own `state`."
            }
            StorageError::Corrupt(_) => {
                "Check the disk. The old file was renamed; the planner starts without state and gets it from the other \
                 planners. If two planners lose their state at the same time, disable shard growth: its consensus does \
                 not tolerate that."
            }
            StorageError::UnsupportedVersion { .. } => {
                "Nothing, if only this planner runs a new version: it gets its state from the other planners. Else put \
                 the renamed file back, and run the version of the program that wrote it."
            }
            StorageError::WrongOwner { .. } => {
                "Give each planner its own `state` directory, and move the old file, which was renamed, to the planner \
                 that it belongs to."
            }
            StorageError::WriteFailed(_) => {
                "Make room on the disk, or repair the disk. Until then no message is sent that relies on unsaved state."
            }
            StorageError::Removed { .. } => {
                "Create the directory again so that the planner may write to it: the planner creates a file with all its \
                 state there. Don't put an older file there while the planner runs."
            }
            StorageError::WriterEnded => "Restart the planner, and report the log lines before this one.",
        }
    }
}

/// Why a snapshot was not persisted. Snapshots are written in batches, and all snapshots of a batch get the
/// same error.
#[derive(Clone, Debug, Error)]
#[error("{0}")]
pub struct PersistError(Arc<StorageError>);

impl From<StorageError> for PersistError {
    fn from(error: StorageError) -> PersistError {
        PersistError(Arc::new(error))
    }
}

impl Remediation for PersistError {
    fn remediation(&self) -> &'static str {
        self.0.remediation()
    }
}
