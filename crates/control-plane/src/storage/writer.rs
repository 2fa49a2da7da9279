//! The thread that owns the state file, since a commit waits for the disk. Component tasks send requests to
//! the thread, and wait for its replies without blocking anything else. Snapshots that arrive during a commit
//! are written together in the next commit.

use std::collections::BTreeMap;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};

use granitelb_coordination::message::ComponentKind;
use tokio::sync::{mpsc, oneshot};

use super::{PersistError, StateFile, StorageError};

/// The maximum number of requests in the queue. A component waits for the reply before its next request, so
/// that there are never more requests than components.
const MAX_QUEUED_REQUESTS: usize = 16;

/// The name of the thread, as tools such as `top -H` show it.
const THREAD_NAME: &str = "storage";

enum Request {
    Persist { kind: ComponentKind, snapshot: Vec<u8>, reply: oneshot::Sender<Result<(), PersistError>> },
    Read { kind: ComponentKind, reply: oneshot::Sender<Result<Option<Vec<u8>>, StorageError>> },
}

/// Sends requests to the thread that owns the state file. A disabled writer persists nothing and reports
/// success.
#[derive(Clone)]
pub struct StorageWriter(Option<mpsc::Sender<Request>>);

impl StorageWriter {
    /// The writer of a planner that persists nothing.
    pub fn disabled() -> StorageWriter {
        StorageWriter(None)
    }

    /// Starts the thread, which ends when the last clone of the writer is dropped. After a failed operation
    /// the thread calls `reopen` to open the file again.
    ///
    /// # Errors
    /// Returns the system's error if the thread cannot be started.
    pub fn start(
        state_file: StateFile,
        reopen: impl Fn() -> Result<StateFile, StorageError> + Send + 'static,
    ) -> io::Result<(StorageWriter, JoinHandle<()>)> {
        StorageWriter::start_at(None, state_file, reopen)
    }

    /// Starts the thread as [`StorageWriter::start`] does, with a file that must stay at `path`. The file
    /// counts as removed as soon as there is another file or none at that path.
    ///
    /// # Errors
    /// Returns the system's error if the thread cannot be started.
    pub fn start_at(
        path: Option<PathBuf>,
        state_file: StateFile,
        reopen: impl Fn() -> Result<StateFile, StorageError> + Send + 'static,
    ) -> io::Result<(StorageWriter, JoinHandle<()>)> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let storage = Storage {
            path,
            state_file: Some(state_file),
            reopen: Box::new(reopen),
            persisted: BTreeMap::new(),
            is_reopened: false,
        };
        let thread =
            thread::Builder::new().name(THREAD_NAME.into()).spawn(move || serve(storage, receiver))?;
        Ok((StorageWriter(Some(sender)), thread))
    }

    /// Persists a component's snapshot, which is durable once the call returns without an error.
    ///
    /// # Errors
    /// Returns an error if the snapshot is not durable.
    pub async fn persist(&self, kind: ComponentKind, snapshot: Vec<u8>) -> Result<(), PersistError> {
        let Some(sender) = &self.0 else { return Ok(()) };
        let (reply, receiver) = oneshot::channel();
        let request = Request::Persist { kind, snapshot, reply };
        sender.send(request).await.map_err(|_| StorageError::WriterEnded)?;
        receiver.await.map_err(|_| StorageError::WriterEnded)?
    }

    /// The latest persisted snapshot of a component; `None` if there is none.
    ///
    /// # Errors
    /// Returns an error if the snapshot can't be read now.
    pub async fn read(&self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StorageError> {
        let Some(sender) = &self.0 else { return Ok(None) };
        let (reply, receiver) = oneshot::channel();
        let request = Request::Read { kind, reply };
        sender.send(request).await.map_err(|_| StorageError::WriterEnded)?;
        receiver.await.map_err(|_| StorageError::WriterEnded)?
    }
}

/// The state of the thread that owns the file.
struct Storage {
    /// The path at which the file must be; `None` if the file may be anywhere.
    path: Option<PathBuf>,
    /// The open file; `None` after a failure, until the file is opened again.
    state_file: Option<StateFile>,
    reopen: Box<dyn Fn() -> Result<StateFile, StorageError> + Send>,
    /// The latest snapshots that this process read or persisted.
    persisted: BTreeMap<ComponentKind, Vec<u8>>,
    /// Whether the file was opened again and may lack `persisted`.
    is_reopened: bool,
}

impl Storage {
    fn read(&mut self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StorageError> {
        // The snapshot that was persisted last is known even if the disk no longer provides it.
        if let Some(snapshot) = self.persisted.get(&kind) {
            return Ok(Some(snapshot.clone()));
        }
        let snapshot = self.with_file(|file| file.read(kind))?;
        if let Some(snapshot) = &snapshot {
            self.persisted.insert(kind, snapshot.clone());
        }
        Ok(snapshot)
    }

    fn write(&mut self, snapshots: Vec<(ComponentKind, Vec<u8>)>) -> Result<(), StorageError> {
        self.with_file(|file| file.write(&snapshots))?;
        // If the file was removed just now, the next request detects that, and these snapshots are written
        // again.
        self.persisted.extend(snapshots);
        Ok(())
    }

    /// Runs an operation on the file. After a failure, the next call opens the file again and writes all
    /// persisted snapshots to the file, whatever the file contains.
    fn with_file<T>(
        &mut self,
        operation: impl FnOnce(&StateFile) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        let file = self.take_file()?;
        if let Some(path) = &self.path
            && !file.is_at(path)
        {
            return Err(StorageError::Removed { path: path.clone() });
        }
        if self.is_reopened {
            let snapshots: Vec<_> =
                self.persisted.iter().map(|(kind, snapshot)| (*kind, snapshot.clone())).collect();
            file.write(&snapshots)?;
            self.is_reopened = false;
        }
        let result = catch_unwind(AssertUnwindSafe(|| operation(&file)))
            .unwrap_or_else(|_| Err(StorageError::WriteFailed("the database panicked".into())));
        if result.is_ok() {
            self.state_file = Some(file);
        }
        result
    }

    /// Takes the open file out of the state, or opens the file again after a failure.
    fn take_file(&mut self) -> Result<StateFile, StorageError> {
        if let Some(file) = self.state_file.take() {
            return Ok(file);
        }
        self.is_reopened = true;
        (self.reopen)()
    }
}

/// Snapshots that are written in one commit, with the channels on which its result is awaited.
#[derive(Default)]
struct Batch {
    snapshots: Vec<(ComponentKind, Vec<u8>)>,
    replies: Vec<oneshot::Sender<Result<(), PersistError>>>,
}

impl Batch {
    fn commit(self, storage: &mut Storage) {
        if self.snapshots.is_empty() {
            return;
        }
        let result = storage.write(self.snapshots).map_err(PersistError::from);
        for reply in self.replies {
            // Sending fails only if the component has ended and no longer waits.
            let _ = reply.send(result.clone());
        }
    }
}

fn serve(mut storage: Storage, mut requests: mpsc::Receiver<Request>) {
    while let Some(first) = requests.blocking_recv() {
        let queued = std::iter::from_fn(|| requests.try_recv().ok()).take(MAX_QUEUED_REQUESTS);
        let mut batch = Batch::default();
        for request in std::iter::once(first).chain(queued) {
            match request {
                Request::Persist { kind, snapshot, reply } => {
                    batch.snapshots.push((kind, snapshot));
                    batch.replies.push(reply);
                }
                Request::Read { kind, reply } => {
                    let _ = reply.send(storage.read(kind));
                }
            }
        }
        batch.commit(&mut storage);
    }
}
