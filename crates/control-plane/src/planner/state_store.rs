//! Opens a planner's store, and stores the planner's incarnation in it.

use std::thread::JoinHandle;

use granitelb_coordination::Incarnation;
use granitelb_coordination::component::Remediation;
use granitelb_coordination::message::ComponentKind;

use super::PlannerError;
use super::planner_config::PlannerConfig;
use crate::clock::Clock;
use crate::storage::{self, OpenedStorage, PersistError, RejectedFile, StorageError, StorageWriter};

/// The store of a running planner.
pub(super) struct PlannerStore {
    pub(super) writer: StorageWriter,
    /// The thread that owns the store; `None` if nothing is stored. It ends when the last writer is dropped.
    pub(super) thread: Option<JoinHandle<()>>,
}

/// Opens the store that the configuration names, and starts its thread.
///
/// # Errors
/// Returns an error if the store can't be used, or if its thread can't be started.
pub(super) fn open(config: &PlannerConfig) -> Result<PlannerStore, PlannerError> {
    let Some(folder) = &config.state_folder else {
        return Ok(PlannerStore { writer: StorageWriter::disabled(), thread: None });
    };
    let opened = storage::open(folder, config.id)?;
    log_refused_store(&opened, "the planner starts without state");
    let id = config.id;
    let folder = folder.clone();
    // This creates the folder again, which may have been removed together with the store.
    let reopen = move || {
        let opened = storage::open(&folder, id)?;
        log_refused_store(&opened, "a new file gets all state that was stored");
        Ok(opened.state_file)
    };
    let started = StorageWriter::start_at(Some(opened.path), opened.state_file, reopen);
    let (writer, thread) = started.map_err(PlannerError::SystemResources)?;
    Ok(PlannerStore { writer, thread: Some(thread) })
}

/// Logs why a state file could not be used, if there was one, and what happens instead.
fn log_refused_store(opened: &OpenedStorage, consequence: &str) {
    let Some(RejectedFile { error, moved_to }) = &opened.rejected else { return };
    let moved_to = moved_to.display().to_string();
    log::error!(
        event = "store_refused", aside = moved_to.as_str();
        "{error}; the file was renamed to {moved_to}, and {consequence}. {}", error.remediation()
    );
}

/// Determines the incarnation with which a process starts, and stores it.
///
/// The incarnation is greater than all earlier ones of this planner: it is at least the time of the process's
/// clock, and greater than the stored incarnation even if the machine's clock was set back since.
///
/// # Errors
/// Returns an error if the store can't be read or written.
pub(super) async fn first_incarnation(
    storage: &StorageWriter,
    clock: Clock,
) -> Result<Incarnation, PlannerError> {
    let stored = storage.read(ComponentKind::Membership).await?;
    let last_incarnation = stored.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_be_bytes);
    let incarnation = Incarnation(clock.now().0.max(last_incarnation + 1));
    store_incarnation(storage, incarnation)
        .await
        .map_err(|error| StorageError::WriteFailed(error.to_string()))?;
    Ok(incarnation)
}

/// Stores the planner's incarnation.
///
/// # Errors
/// Returns an error if the incarnation is not durable.
pub(super) async fn store_incarnation(
    storage: &StorageWriter,
    incarnation: Incarnation,
) -> Result<(), PersistError> {
    storage.persist(ComponentKind::Membership, incarnation.0.to_be_bytes().to_vec()).await
}

#[cfg(test)]
mod tests;
