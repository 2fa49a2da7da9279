//! The state file: a header with the format's version and the planner's number, and a table of snapshots with
//! their checksums.

use std::fs::{self, Metadata, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use granitelb_coordination::PlannerId;
use granitelb_coordination::message::ComponentKind;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, ReadableDatabase, StorageBackend, TableDefinition};
use xxhash_rust::xxh3::xxh3_64;

use super::StorageError;

/// The version of the format that this program reads and writes.
pub const FORMAT_VERSION: u64 = 1;

const HEADER: TableDefinition<&str, u64> = TableDefinition::new("granitelb planner");
const VERSION_KEY: &str = "version";
const PLANNER_KEY: &str = "planner";
/// The table of snapshots: each component's name with the checksum of its snapshot and the snapshot.
const SNAPSHOTS: TableDefinition<&str, (u64, &[u8])> = TableDefinition::new("states");

/// An open state file whose contents were checked completely.
pub struct StateFile {
    database: Database,
    /// The identity of the file; `None` if the storage backend is not a file, or the system does not report
    /// the identity.
    identity: Option<FileIdentity>,
}

/// The identity that distinguishes a file from another file that replaces it at the same path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileIdentity {
    device: u64,
    inode: u64,
}

impl FileIdentity {
    fn of(metadata: &Metadata) -> FileIdentity {
        FileIdentity { device: metadata.dev(), inode: metadata.ino() }
    }
}

impl StateFile {
    /// Opens a planner's file, or creates it if there is none.
    ///
    /// # Errors
    /// Returns an error if the file is corrupt, belongs to another planner, or can't be opened.
    pub fn open(path: &Path, planner: PlannerId) -> Result<StateFile, StorageError> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let file = file.map_err(|cause| StorageError::Directory { path: path.into(), cause })?;
        let identity = file.metadata().ok().map(|metadata| FileIdentity::of(&metadata));
        let backend = FileBackend::new(file).map_err(|error| match error {
            DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
            other => corrupt(other),
        })?;
        Ok(StateFile { identity, ..StateFile::on(backend, planner)? })
    }

    /// Opens a planner's state on any storage backend, or creates it if the backend is empty.
    ///
    /// # Errors
    /// Returns an error if the state is corrupt, belongs to another planner, or can't be opened.
    pub fn on(backend: impl StorageBackend, planner: PlannerId) -> Result<StateFile, StorageError> {
        let state_file = StateFile { database: open_database(backend)?, identity: None };
        // A process that was killed before it wrote the header has left neither a header nor snapshots.
        if state_file.is_empty().map_err(read_error)? {
            state_file.write_header(planner).map_err(write_failed)?;
        }
        state_file.check_header(planner)?;
        for kind in ComponentKind::ALL {
            state_file.read(kind)?;
        }
        Ok(state_file)
    }

    /// Whether this file is still the file at `path`. Snapshots written to a file that was removed do not
    /// survive the process.
    pub fn is_at(&self, path: &Path) -> bool {
        let current = fs::metadata(path).ok().map(|metadata| FileIdentity::of(&metadata));
        self.identity == current
    }

    /// The latest persisted snapshot of a component; `None` if there is none.
    ///
    /// # Errors
    /// Returns an error if the snapshot can't be read or its checksum does not match.
    pub fn read(&self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StorageError> {
        let Some(entry) = self.read_entry(kind).map_err(read_error)? else { return Ok(None) };
        if entry.checksum != xxh3_64(&entry.bytes) {
            return Err(corrupt(format!("the checksum of the state of {kind} does not match")));
        }
        Ok(Some(entry.bytes))
    }

    /// Persists snapshots, either all of them or none. All are durable once the call returns without an
    /// error.
    ///
    /// # Errors
    /// Returns an error if none of the snapshots is durable.
    pub fn write(&self, snapshots: &[(ComponentKind, Vec<u8>)]) -> Result<(), StorageError> {
        self.write_entries(snapshots).map_err(write_failed)
    }

    fn is_empty(&self) -> Result<bool, redb::Error> {
        Ok(self.database.begin_read()?.list_tables()?.next().is_none())
    }

    fn write_header(&self, planner: PlannerId) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut header = transaction.open_table(HEADER)?;
            header.insert(VERSION_KEY, FORMAT_VERSION)?;
            header.insert(PLANNER_KEY, u64::from(planner.0))?;
            transaction.open_table(SNAPSHOTS)?;
        }
        transaction.commit()?;
        Ok(())
    }

    fn check_header(&self, planner: PlannerId) -> Result<(), StorageError> {
        let version = self.header_value(VERSION_KEY).map_err(read_error)?;
        let owner = self.header_value(PLANNER_KEY).map_err(read_error)?;
        let wrong_owner = |reason: String| Err(StorageError::WrongOwner { own: planner.0, reason });
        match (version, owner) {
            (Some(FORMAT_VERSION), Some(owner)) if owner == u64::from(planner.0) => Ok(()),
            (Some(FORMAT_VERSION), Some(owner)) => wrong_owner(format!("it belongs to planner {owner}")),
            (Some(found), _) => Err(StorageError::UnsupportedVersion { found }),
            (None, _) => wrong_owner("another program wrote it".into()),
        }
    }

    fn header_value(&self, key: &str) -> Result<Option<u64>, redb::Error> {
        let transaction = self.database.begin_read()?;
        let header = match transaction.open_table(HEADER) {
            Ok(header) => header,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        Ok(header.get(key)?.map(|value| value.value()))
    }

    fn read_entry(&self, kind: ComponentKind) -> Result<Option<Entry>, redb::Error> {
        let snapshots = self.database.begin_read()?.open_table(SNAPSHOTS)?;
        let Some(entry) = snapshots.get(kind.name())? else { return Ok(None) };
        let (checksum, bytes) = entry.value();
        Ok(Some(Entry { checksum, bytes: bytes.to_vec() }))
    }

    fn write_entries(&self, snapshots: &[(ComponentKind, Vec<u8>)]) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(SNAPSHOTS)?;
            for (kind, bytes) in snapshots {
                table.insert(kind.name(), (xxh3_64(bytes), &bytes[..]))?;
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

/// A snapshot as it is stored.
struct Entry {
    checksum: u64,
    bytes: Vec<u8>,
}

/// Opens a database and checks all its contents. The check itself may panic on corrupt contents.
fn open_database(backend: impl StorageBackend) -> Result<Database, StorageError> {
    let open = || Database::builder().set_check_integrity_on_open(true).create_with_backend(backend);
    match catch_unwind(AssertUnwindSafe(open)) {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(DatabaseError::DatabaseAlreadyOpen)) => Err(StorageError::InUse),
        // A file on a full disk is intact. If it were reported as corrupt, it would be replaced by an empty
        // one.
        Ok(Err(DatabaseError::Storage(redb::StorageError::Io(error)))) if is_write_refusal(&error) => {
            Err(write_failed(error))
        }
        Ok(Err(error)) => Err(corrupt(error)),
        Err(_) => Err(corrupt("the check of its contents panicked")),
    }
}

/// Whether the error is that the disk refuses a write, as opposed to contents that can't be read.
fn is_write_refusal(error: &io::Error) -> bool {
    use std::io::ErrorKind::{
        FileTooLarge, PermissionDenied, QuotaExceeded, ReadOnlyFilesystem, StorageFull,
    };
    [StorageFull, FileTooLarge, QuotaExceeded, ReadOnlyFilesystem, PermissionDenied].contains(&error.kind())
}

/// The error of a failed read: the contents are corrupt, unless the disk refused a write that the read
/// involved.
fn read_error(error: redb::Error) -> StorageError {
    match error {
        redb::Error::Io(error) if is_write_refusal(&error) => write_failed(error),
        other => corrupt(other),
    }
}

fn corrupt(reason: impl ToString) -> StorageError {
    StorageError::Corrupt(reason.to_string())
}

fn write_failed(reason: impl ToString) -> StorageError {
    StorageError::WriteFailed(reason.to_string())
}
