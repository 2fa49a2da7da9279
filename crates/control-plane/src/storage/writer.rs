//! A thread that owns the store, since a commit waits for the disk: tasks ask it, and wait without holding anything up.
//! States that came while it wrote go into its next commit together.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::thread::JoinHandle;

use granitelb_coordination::message::ComponentKind;
use tokio::sync::{mpsc, oneshot};

use super::{StateFile, StoreError};
use granitelb_coordination::component::Remediation;

/// A faculty waits for its answer before it asks again, so there are never more than there are faculties.
const WAITING: usize = 16;

enum Ask {
    Keep { kind: ComponentKind, bytes: Vec<u8>, kept: oneshot::Sender<Result<(), Lost>> },
    Read { kind: ComponentKind, state: oneshot::Sender<Result<Option<Vec<u8>>, StoreError>> },
}

/// What was asked to be kept is not on disk.
#[derive(Clone, Debug)]
pub struct Lost(pub String);

/// The way to the store; without one nothing is kept, and all is well.
#[derive(Clone)]
pub struct StorageWriter(Option<mpsc::Sender<Ask>>);

impl StorageWriter {
    pub fn none() -> StorageWriter {
        StorageWriter(None)
    }

    /// Starts the thread; it ends when the last keeper is dropped.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(
        shelf: StateFile,
        reopen: impl Fn() -> Result<StateFile, StoreError> + Send + 'static,
    ) -> std::io::Result<(StorageWriter, JoinHandle<()>)> {
        StorageWriter::start_at(None, shelf, reopen)
    }

    /// As [`StorageWriter::start`], of a store that has to lie at this place.
    pub fn start_at(
        file: Option<PathBuf>,
        shelf: StateFile,
        reopen: impl Fn() -> Result<StateFile, StoreError> + Send + 'static,
    ) -> std::io::Result<(StorageWriter, JoinHandle<()>)> {
        let (ask, asks) = mpsc::channel(WAITING);
        let (shelf, reopen) = (Some(shelf), Box::new(reopen));
        let store = Store { file, shelf, reopen, kept: BTreeMap::new(), anew: false };
        let thread = std::thread::Builder::new().name("keeper".into()).spawn(move || serve(store, asks))?;
        Ok((StorageWriter(Some(ask)), thread))
    }

    /// Keeps a faculty's state; it is on disk once this comes back.
    pub async fn keep(&self, kind: ComponentKind, bytes: Vec<u8>) -> Result<(), Lost> {
        let Some(ask) = &self.0 else { return Ok(()) };
        let (kept, answer) = oneshot::channel();
        let ended = |_| Lost(StoreError::Ended.to_string());
        ask.send(Ask::Keep { kind, bytes, kept }).await.map_err(|_| ended(()))?;
        answer.await.map_err(|_| ended(()))?
    }

    /// What a faculty had kept.
    ///
    /// # Errors
    /// Where it can't be read now.
    pub async fn read(&self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(ask) = &self.0 else { return Ok(None) };
        let (state, answer) = oneshot::channel();
        ask.send(Ask::Read { kind, state }).await.map_err(|_| StoreError::Ended)?;
        answer.await.map_err(|_| StoreError::Ended)?
    }
}

struct Store {
    file: Option<PathBuf>,
    shelf: Option<StateFile>,
    reopen: Box<dyn Fn() -> Result<StateFile, StoreError> + Send>,
    /// The last whole states that this process read or had kept.
    kept: BTreeMap<ComponentKind, Vec<u8>>,
    /// It was opened anew, and may lack them.
    anew: bool,
}

impl Store {
    /// Does something with the store. One that has failed to write takes nothing more until it is opened anew, so it
    /// is at the next try; it then has the last whole state, whatever lies there.
    fn with<T>(&mut self, does: impl FnOnce(&StateFile) -> Result<T, StoreError>) -> Result<T, StoreError> {
        let shelf = match self.shelf.take() {
            Some(shelf) => shelf,
            None => {
                self.anew = true;
                (self.reopen)()?
            }
        };
        if let Some(file) = self.file.as_ref().filter(|file| !shelf.stands(file)) {
            return Err(StoreError::TakenAway { file: file.clone() });
        }
        if self.anew {
            let all: Vec<_> = self.kept.iter().map(|(kind, bytes)| (*kind, bytes.clone())).collect();
            shelf.write(&all)?;
            self.anew = false;
        }
        let done = catch_unwind(AssertUnwindSafe(|| does(&shelf)))
            .unwrap_or_else(|_| Err(StoreError::Unwritten("the store broke off".into())));
        self.shelf = Some(shelf).filter(|_| done.is_ok());
        done
    }
}

impl Store {
    fn read(&mut self, kind: ComponentKind) -> Result<Option<Vec<u8>>, StoreError> {
        // What was kept last, also where the disk no longer gives it.
        if let Some(known) = self.kept.get(&kind) {
            return Ok(Some(known.clone()));
        }
        let read = self.with(|shelf| shelf.read(kind))?;
        self.kept.extend(read.clone().map(|bytes| (kind, bytes)));
        Ok(read)
    }

    fn write(&mut self, states: Vec<(ComponentKind, Vec<u8>)>) -> Result<(), StoreError> {
        let written = self.with(|shelf| shelf.write(&states));
        // A store that was taken away a moment ago is found out by the next try; then these have to be there again.
        written.map(|()| self.kept.extend(states))
    }
}

fn serve(mut store: Store, mut asks: mpsc::Receiver<Ask>) {
    while let Some(first) = asks.blocking_recv() {
        let more = std::iter::from_fn(|| asks.try_recv().ok()).take(WAITING);
        let (mut states, mut waiting) = (Vec::new(), Vec::new());
        for ask in std::iter::once(first).chain(more) {
            match ask {
                Ask::Keep { kind, bytes, kept } => {
                    states.push((kind, bytes));
                    waiting.push(kept);
                }
                Ask::Read { kind, state } => {
                    let _ = state.send(store.read(kind));
                }
            }
        }
        if !states.is_empty() {
            let result =
                store.write(states).map_err(|fault| Lost(format!("{fault}. {}", fault.remediation())));
            // Whoever no longer waits has ended.
            waiting.into_iter().for_each(|kept| drop(kept.send(result.clone())));
        }
    }
}
