//! Threads of a planner, each with one task and a single-threaded runtime of its own.
//!
//! A task that never returns from a call therefore blocks only its own thread. A multi-threaded runtime does
//! not guarantee that: a task that waits in a blocked worker's next-task slot can't be taken by another
//! worker.

use std::io;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Whether all threads ended in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownOutcome {
    /// All tasks have ended, in order or by a panic.
    Stopped,
    /// At least one task still runs; its thread ends with the process.
    TimedOut,
}

/// A group of threads whose ends are awaited together.
pub(super) struct WorkerThreads {
    /// Each thread holds a clone of this sender, and drops the clone when the thread ends.
    running: mpsc::Sender<()>,
    /// Disconnects when all threads have ended.
    all_stopped: mpsc::Receiver<()>,
}

impl WorkerThreads {
    pub(super) fn new() -> WorkerThreads {
        let (running, all_stopped) = mpsc::channel(1);
        WorkerThreads { running, all_stopped }
    }

    /// Runs a task on a new thread.
    ///
    /// # Errors
    /// Returns the system's error if it provides no thread, or no file descriptors for the runtime.
    pub(super) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let running = self.running.clone();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            runtime.block_on(task);
            drop(running);
        })?;
        Ok(())
    }

    /// Waits until all tasks have ended, for at most `limit`.
    pub(super) async fn join(self, limit: Duration) -> ShutdownOutcome {
        let WorkerThreads { running, mut all_stopped } = self;
        drop(running);
        match timeout(limit, all_stopped.recv()).await {
            Ok(_) => ShutdownOutcome::Stopped,
            Err(_) => ShutdownOutcome::TimedOut,
        }
    }
}
