//! Errors of the storage.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use granitelb_coordination::component::Remediation;
use thiserror::Error;

use super::FORMAT_VERSION;

/// Why a state file can't be read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The directory can't be created, read or written.
    #[error("{}: the directory can't be used: {cause}", path.display())]
    Directory {
        /// The directory.
        path: PathBuf,
        /// The system's error.
        cause: io::Error,
    },
    /// Another process has the file open.
    #[error("another process has the state file open")]
    InUse,
    /// The file's contents are not what was written.
    #[error("the state file is corrupt: {0}")]
    Corrupt(String),
    /// The file has another version of the format.
    #[error("the state file is of version {found}, this program writes version {FORMAT_VERSION}")]
    UnsupportedVersion {
        /// The file's version.
        found: u64,
    },
    /// The file belongs to another planner or another program.
    #[error("the state file is not of planner {own}: {reason}")]
    WrongOwner {
        /// The number of this planner.
        own: u8,
        /// Whose file it is.
        reason: String,
    },
    /// The disk did not take a write.
    #[error("the state file can't be written: {0}")]
    WriteFailed(String),
    /// The file was removed or replaced while it was open.
    #[error("{}: the state file was removed", path.display())]
    Removed {
        /// Where the file was.
        path: PathBuf,
    },
    /// The thread that owns the file has ended.
    #[error("the storage writer has ended")]
    WriterEnded,
}

impl StorageError {
    /// Whether the error is about the contents of the file, so that a new one can take its place.
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
                "Give the planner a directory of its own that it may write to, by `state`."
            }
            StorageError::InUse => {
                "Stop the other planner that uses this directory, or give each its own `state`."
            }
            StorageError::Corrupt(_) => {
                "Check the disk. The old file was renamed; the planner starts without state and learns from the others. \
                 Two planners that lose their state at once are more than the consensus of shard growth withstands: \
                 disable growth then."
            }
            StorageError::UnsupportedVersion { .. } => {
                "Nothing, if this planner alone is at a new version: it learns from the others. Else run the version of \
                 the program that wrote it, with the old file put back."
            }
            StorageError::WrongOwner { .. } => {
                "Give each planner its own `state` directory; put the old file, which was renamed, where it belongs."
            }
            StorageError::WriteFailed(_) => {
                "Make room on the disk or repair it. Until then no message is sent that relies on unsaved state."
            }
            StorageError::Removed { .. } => {
                "Give the planner back a directory that it may write to: it creates a file there with all its state. \
                 Don't put an older file there while it runs."
            }
            StorageError::WriterEnded => "Restart the planner, and report the lines before this one.",
        }
    }
}

/// A snapshot was not persisted. Snapshots are written in batches, and all of a batch get the same error.
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
