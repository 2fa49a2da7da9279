//! A planner's durable state: for each component, the latest complete snapshot that the component persisted.
//! The snapshots are in an embedded database (`redb`), whose commits are atomic whenever the process is
//! killed.
//!
//! # Invariants
//!
//! - **A snapshot is durable before the messages that rely on it are sent**: a component's task waits for
//!   [`StorageWriter::persist`].
//! - **Only this planner's own intact file is read.** A file that is corrupt, or of another version or
//!   another planner, is rejected: it is renamed, never written again, and reported; see [`open`].
//! - **A file that is removed while its planner runs is replaced** by a new file with all persisted
//!   snapshots, as soon as the directory can be written. Without that, snapshots written to the unlinked file
//!   would not survive the process.
//! - **A planner that has lost its state starts without state**, which each component has to tolerate: leases
//!   are granted only after all leases that an earlier incarnation can have granted have expired, and shard
//!   growth votes on nothing until all other planners have reported their state.

mod error;
mod state_file;
mod writer;

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use granitelb_coordination::PlannerId;

pub use self::error::{PersistError, StorageError};
pub use self::state_file::{FORMAT_VERSION, StateFile};
pub use self::writer::StorageWriter;

/// The name of the state file in a planner's directory.
const FILE_NAME: &str = "planner.redb";
/// The suffix of the name of a state file that is being created.
const NEW_SUFFIX: &str = ".new";
/// The suffix of the name of a rejected file, which is followed by a number.
const REJECTED_SUFFIX: &str = ".refused-";

/// An opened state file, and the file that it replaced, if any.
pub struct OpenedStorage {
    /// The file, ready for use.
    pub state_file: StateFile,
    /// The path of the file.
    pub path: PathBuf,
    /// The former file at this path; `None` unless it could not be used.
    pub rejected: Option<RejectedFile>,
}

/// A state file that could not be used and was renamed.
#[derive(Debug)]
pub struct RejectedFile {
    /// Why the file could not be used.
    pub error: StorageError,
    /// The path of the file after it was renamed.
    pub moved_to: PathBuf,
}

/// Opens a planner's state file in its directory, or creates one. If the contents of the existing file can't
/// be used, the file is renamed and an empty one is created.
///
/// # Errors
/// Returns an error if the directory can't be used, if the disk fails, or if another process has the file
/// open.
pub fn open(directory: &Path, planner: PlannerId) -> Result<OpenedStorage, StorageError> {
    let to_error = |cause| directory_error(directory, cause);
    fs::create_dir_all(directory).map_err(to_error)?;
    let path = directory.join(FILE_NAME);
    if !path.exists() {
        create(directory, planner)?;
    }
    match StateFile::open(&path, planner) {
        Ok(state_file) => Ok(OpenedStorage { state_file, path, rejected: None }),
        Err(error) if error.concerns_contents() => {
            let moved_to = rejected_path(directory);
            fs::rename(&path, &moved_to).map_err(to_error)?;
            create(directory, planner)?;
            let state_file = StateFile::open(&path, planner)?;
            Ok(OpenedStorage { state_file, path, rejected: Some(RejectedFile { error, moved_to }) })
        }
        Err(error) => Err(error),
    }
}

/// Creates an empty state file under a temporary name, and renames the file once it is complete. If the
/// process is killed in between, there is no state file instead of an incomplete one.
fn create(directory: &Path, planner: PlannerId) -> Result<(), StorageError> {
    let to_error = |cause| directory_error(directory, cause);
    let new_path = directory.join(format!("{FILE_NAME}{NEW_SUFFIX}"));
    if new_path.exists() {
        fs::remove_file(&new_path).map_err(to_error)?;
    }
    drop(StateFile::open(&new_path, planner)?);
    fs::rename(&new_path, directory.join(FILE_NAME)).map_err(to_error)?;
    sync_directory(directory).map_err(to_error)
}

/// Makes renames in a directory durable.
fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}

fn directory_error(directory: &Path, cause: io::Error) -> StorageError {
    StorageError::Directory { path: directory.into(), cause }
}

/// An unused path for a rejected file.
fn rejected_path(directory: &Path) -> PathBuf {
    let mut candidates = (1..).map(|n| directory.join(format!("{FILE_NAME}{REJECTED_SUFFIX}{n}")));
    candidates.find(|path| !path.exists()).unwrap_or_else(|| directory.join("refused"))
}
