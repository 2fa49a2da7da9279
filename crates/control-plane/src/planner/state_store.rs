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
/// The store can't be used, or the system provides no thread.
pub(super) fn open(config: &PlannerConfig) -> Result<PlannerStore, PlannerError> {
    let Some(folder) = &config.state_folder else {
        return Ok(PlannerStore { writer: StorageWriter::disabled(), thread: None });
    };
    let opened = storage::open(folder, config.id)?;
    log_refused_store(&opened, "this planner starts without state");
    let id = config.id;
    let folder = folder.clone();
    // The folder may have been removed together with the store.
    let reopen = move || {
        let opened = storage::open(&folder, id)?;
        log_refused_store(&opened, "all that was stored goes into a new one");
        Ok(opened.state_file)
    };
    let started = StorageWriter::start_at(Some(opened.path), opened.state_file, reopen);
    let (writer, thread) = started.map_err(PlannerError::SystemResources)?;
    Ok(PlannerStore { writer, thread: Some(thread) })
}

fn log_refused_store(opened: &OpenedStorage, consequence: &str) {
    let Some(RejectedFile { error, moved_to: aside }) = &opened.rejected else { return };
    let aside = aside.display().to_string();
    log::error!(
        event = "store_refused", aside = aside.as_str();
        "{error}; it was renamed to {aside}, and {consequence}. {}", error.remediation()
    );
}

/// Determines the incarnation of a process that starts, and stores it.
///
/// It is greater than all before: those of this process by its clock, and stored ones also where the machine's clock was set
/// back since.
///
/// # Errors
/// The store can't be read or written.
pub(super) async fn first_incarnation(
    storage: &StorageWriter,
    clock: Clock,
) -> Result<Incarnation, PlannerError> {
    let stored = storage.read(ComponentKind::Membership).await?;
    let last_incarnation = stored.and_then(|bytes| bytes.try_into().ok()).map_or(0, u64::from_be_bytes);
    let incarnation = Incarnation(clock.now().0.max(last_incarnation + 1));
    store_incarnation(storage, incarnation)
        .await
        .map_err(|lost| StorageError::WriteFailed(lost.to_string()))?;
    Ok(incarnation)
}

/// Stores the planner's incarnation.
///
/// # Errors
/// It is not durable.
pub(super) async fn store_incarnation(
    storage: &StorageWriter,
    incarnation: Incarnation,
) -> Result<(), PersistError> {
    storage.persist(ComponentKind::Membership, incarnation.0.to_be_bytes().to_vec()).await
}

#[cfg(test)]
mod tests;
