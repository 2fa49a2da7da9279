//! The store's file: who it is of, and the bytes of each faculty.

use std::fs::OpenOptions;
use std::os::unix::fs::MetadataExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;

use granitelb_coordination::PlannerId;
use granitelb_coordination::message::ComponentKind;
use redb::backends::FileBackend;
use redb::{Database, DatabaseError, ReadableDatabase, StorageBackend, StorageError, TableDefinition};
use xxhash_rust::xxh3::xxh3_64;

use super::StoreError;

pub const VERSION: u64 = 1;

const HEAD: TableDefinition<&str, u64> = TableDefinition::new("granitelb planner");
/// The bytes and their hash.
const STATES: TableDefinition<&str, (u64, &[u8])> = TableDefinition::new("states");

pub struct StateFile {
    store: Database,
    /// Of its file: machine's number of the disk, and the file's there.
    place: Option<(u64, u64)>,
}

fn place_of(file: &Path) -> Option<(u64, u64)> {
    std::fs::metadata(file).ok().map(|m| (m.dev(), m.ino()))
}

/// Whether it is the disk that would not take something, and not what lies there that can't be read.
fn takes_nothing(why: &std::io::Error) -> bool {
    use std::io::ErrorKind::{
        FileTooLarge, PermissionDenied, QuotaExceeded, ReadOnlyFilesystem, StorageFull,
    };
    [StorageFull, FileTooLarge, QuotaExceeded, ReadOnlyFilesystem, PermissionDenied].contains(&why.kind())
}

fn troubled(why: redb::Error) -> StoreError {
    match why {
        redb::Error::Io(why) if takes_nothing(&why) => unwritten(why),
        other => torn(other),
    }
}

fn torn(why: impl ToString) -> StoreError {
    StoreError::Torn(why.to_string())
}

fn unwritten(why: impl ToString) -> StoreError {
    StoreError::Unwritten(why.to_string())
}

impl StateFile {
    /// Opens a planner's file, or makes it.
    ///
    /// # Errors
    /// Where it is not whole, not this planner's, or can't be used at all.
    pub fn open(file: &Path, planner: PlannerId) -> Result<StateFile, StoreError> {
        let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(file);
        let opened = opened.map_err(|why| StoreError::Folder { folder: file.into(), why })?;
        let place = opened.metadata().ok().map(|m| (m.dev(), m.ino()));
        let backend = FileBackend::new(opened).map_err(|e| match e {
            DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
            other => torn(other),
        })?;
        Ok(StateFile { place, ..StateFile::on(backend, planner)? })
    }

    /// Whether it is still what lies at its place: written to a file that was taken away, nothing would outlast the
    /// process.
    pub fn stands(&self, file: &Path) -> bool {
        self.place == place_of(file)
    }

    /// As [`StateFile::open`], on anything that can stand for a file.
    pub fn on(backend: impl StorageBackend, planner: PlannerId) -> Result<StateFile, StoreError> {
        // What is torn is found out by reading it whole; even so a check may end in a panic.
        let open = || Database::builder().set_check_integrity_on_open(true).create_with_backend(backend);
        let store = match catch_unwind(AssertUnwindSafe(open)) {
            Ok(Ok(store)) => store,
            Ok(Err(DatabaseError::DatabaseAlreadyOpen)) => return Err(StoreError::InUse),
            // A whole store on a full disk: to take that for torn would lose it.
            Ok(Err(DatabaseError::Storage(StorageError::Io(why)))) if takes_nothing(&why) => {
                return Err(unwritten(why));
            }
            Ok(Err(why)) => return Err(torn(why)),
            Err(_) => return Err(torn("it can't be checked")),
        };
        let shelf = StateFile { store, place: None };
        // Killed before the head was written, a store has neither head nor states.
        if shelf.is_blank().map_err(troubled)? {
            shelf.write_head(planner).map_err(unwritten)?;
        }
        shelf.check_head(planner)?;
        for kind in ComponentKind::ALL {
            shelf.read(kind)?;
        }
        Ok(shelf)
    }

    fn is_blank(&self) -> Result<bool, redb::Error> {
        Ok(self.store.begin_read()?.list_tables()?.next().is_none())
    }

    fn write_head(&self, planner: PlannerId) -> Result<(), redb::Error> {
        let write = self.store.begin_write()?;
        {
            let mut head = write.open_table(HEAD)?;
            head.insert("version", VERSION)?;
            head.insert("planner", u64::from(planner.0))?;
            write.open_table(STATES)?;
        }
        write.commit()?;
        Ok(())
    }

    fn check_head(&self, planner: PlannerId) -> Result<(), StoreError> {
        let figure = |name: &str| -> Result<Option<u64>, redb::Error> {
            let read = self.store.begin_read()?;
            let head = match read.open_table(HEAD) {
                Ok(head) => head,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(e) => return Err(e.into()),
            };
            Ok(head.get(name)?.map(|figure| figure.value()))
        };
        let foreign = |what: String| Err(StoreError::Foreign { own: planner.0, what });
        match (figure("version").map_err(troubled)?, figure("planner").map_err(troubled)?) {
            (Some(VERSION), Some(number)) if number == u64::from(planner.0) => Ok(()),
            (Some(VERSION), Some(number)) => foreign(format!("it is planner {number}'s")),
            (Some(found), _) => Err(StoreError::OtherVersion { found }),
            (None, _) => foreign("another program wrote it".into()),
        }
    }

    /// The state of a faculty as it was kept last.
    ///
    /// # Errors
    /// Where it is not what was written.
    pub fn read(&self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StoreError> {
        let read = || -> Result<Option<(u64, Vec<u8>)>, redb::Error> {
            let states = self.store.begin_read()?.open_table(STATES)?;
            Ok(states.get(kind.name())?.map(|entry| (entry.value().0, entry.value().1.to_vec())))
        };
        match read().map_err(troubled)? {
            Some((hash, bytes)) if hash == xxh3_64(&bytes) => Ok(Some(bytes)),
            Some(_) => Err(torn(format!("the state of {kind} is not what was written"))),
            None => Ok(None),
        }
    }

    /// Keeps states, all of them or none. They are on disk once this comes back.
    ///
    /// # Errors
    /// Where they are not.
    pub fn write(&self, states: &[(ComponentKind, Vec<u8>)]) -> Result<(), StoreError> {
        let write = || -> Result<(), redb::Error> {
            let write = self.store.begin_write()?;
            {
                let mut table = write.open_table(STATES)?;
                for (kind, bytes) in states {
                    table.insert(kind.name(), (xxh3_64(bytes), &bytes[..]))?;
                }
            }
            write.commit()?;
            Ok(())
        };
        write().map_err(unwritten)
    }
}
