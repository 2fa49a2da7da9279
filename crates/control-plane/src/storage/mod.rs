//! What a planner keeps on disk: of each faculty one run of bytes, the last whole state that it asked to have kept. In an
//! embedded store (`redb`), whose commits are whole or not at all, whenever the process is killed.
//!
//! - **A state is kept before the letters that rest on it go out**: the desk of a faculty waits for [`StorageWriter::keep`].
//! - **Nothing but this planner's own whole store is read.** One that is torn, of another version or of another planner
//!   is refused. It is moved aside, not written to any more, and named; see [`open`].
//! - **A store that is taken away under its planner is begun anew** with all states that were kept, as soon as there is a
//!   place for it: what lies in a file without a name outlasts nothing.
//! - **A planner that has lost its state begins with nothing**, and each faculty has to stand that: leases wait out what an
//!   earlier life can have granted, growth votes on nothing until all other planners have said where they are.

mod state_file;
mod writer;

use std::io;
use std::path::{Path, PathBuf};

use granitelb_coordination::PlannerId;
use granitelb_coordination::component::Remediation;
use thiserror::Error;

pub use state_file::{StateFile, VERSION};
pub use writer::{Lost, StorageWriter};

/// Why a store is not read, or not written.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{}: the folder can't be used: {why}", folder.display())]
    Folder { folder: PathBuf, why: io::Error },
    #[error("another process has the store open")]
    InUse,
    #[error("the store is torn: {0}")]
    Torn(String),
    #[error("the store is of version {found}, this program keeps version {VERSION}")]
    OtherVersion { found: u64 },
    #[error("the store is not of planner {own}: {what}")]
    Foreign { own: u8, what: String },
    #[error("the store can't be written: {0}")]
    Unwritten(String),
    #[error("{}: the store was taken away", file.display())]
    TakenAway { file: PathBuf },
    #[error("the keeper of the store has ended")]
    Ended,
}

impl StoreError {
    /// Whether it is the store's contents that can't be used.
    fn is_of_contents(&self) -> bool {
        matches!(self, StoreError::Torn(_) | StoreError::OtherVersion { .. } | StoreError::Foreign { .. })
    }
}

impl Remediation for StoreError {
    fn remediation(&self) -> &'static str {
        match self {
            StoreError::Folder { .. } => {
                "Give the planner a folder of its own that it may write to, by `state`."
            }
            StoreError::InUse => {
                "Stop the other planner that uses this folder, or give each its own `state`."
            }
            StoreError::Torn(_) => {
                "Look at the disk. The old file is kept aside; the planner begins with nothing and learns from the others. \
                 Two planners that lose theirs at once are more than growth's agreement stands: stop growth then."
            }
            StoreError::OtherVersion { .. } => {
                "Nothing, if this planner alone is at a new version: it learns from the others. Else run the version of \
                 the program that wrote it, with the old file put back."
            }
            StoreError::Foreign { .. } => {
                "Give each planner its own `state` folder; put the old file, which is kept aside, where it belongs."
            }
            StoreError::Unwritten(_) => {
                "Make room on the disk or mend it. Until then nothing goes out that rests on what can't be kept."
            }
            StoreError::TakenAway { .. } => {
                "Give the planner back a folder that it may write to: it begins a store there with all that it had kept. \
                 Don't put an older file there while it runs."
            }
            StoreError::Ended => "Restart the planner, and report the lines before this one.",
        }
    }
}

const FILE: &str = "planner.redb";

/// A store that was opened, and what is to be told of it.
pub struct Opened {
    pub shelf: StateFile,
    pub file: PathBuf,
    /// The store that was there could not be used, and stands at this place now.
    pub refused: Option<(StoreError, PathBuf)>,
}

/// Opens a planner's store in its folder, or begins one.
///
/// # Errors
/// Where the folder can't be used or another process has the store.
pub fn open(folder: &Path, planner: PlannerId) -> Result<Opened, StoreError> {
    let troubled = |why| StoreError::Folder { folder: folder.into(), why };
    std::fs::create_dir_all(folder).map_err(troubled)?;
    let file = folder.join(FILE);
    if !file.exists() {
        begin(folder, planner)?;
    }
    match StateFile::open(&file, planner) {
        Ok(shelf) => Ok(Opened { shelf, file, refused: None }),
        Err(fault) if fault.is_of_contents() => {
            let aside = aside(folder);
            std::fs::rename(&file, &aside).map_err(troubled)?;
            begin(folder, planner)?;
            let shelf = StateFile::open(&file, planner)?;
            Ok(Opened { shelf, file, refused: Some((fault, aside)) })
        }
        Err(fault) => Err(fault),
    }
}

/// Begins a store under another name, and gives it its own once it is whole: killed while it is begun, it is not there
/// rather than torn.
fn begin(folder: &Path, planner: PlannerId) -> Result<(), StoreError> {
    let troubled = |why| StoreError::Folder { folder: folder.into(), why };
    let new = folder.join(format!("{FILE}.new"));
    if new.exists() {
        std::fs::remove_file(&new).map_err(troubled)?;
    }
    drop(StateFile::open(&new, planner)?);
    std::fs::rename(&new, folder.join(FILE)).map_err(troubled)?;
    std::fs::File::open(folder).and_then(|f| f.sync_all()).map_err(troubled)
}

/// A name for a refused store that none has yet.
fn aside(folder: &Path) -> PathBuf {
    let names = (1..).map(|n| folder.join(format!("{FILE}.refused-{n}")));
    names.into_iter().find(|path| !path.exists()).unwrap_or_else(|| folder.join("refused"))
}
