//! Threads of a planner, each with one task and a single-threaded runtime of its own.
//!
//! A task that never returns from a call blocks only its own thread. A multi-threaded runtime does not guarantee that: a
//! task that one worker is to run next can't be taken by another one.

use std::io;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Whether all threads ended in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownOutcome {
    /// All tasks have ended, in order or by a panic.
    Stopped,
    /// Some task still runs; its thread ends with the process.
    TimedOut,
}

/// A group of threads that is awaited together.
pub(super) struct WorkerThreads {
    /// Each thread holds a clone and drops it as it ends.
    running: mpsc::Sender<()>,
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
    /// The system provides no thread, or no descriptors for its runtime.
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

    /// Waits until all tasks have ended, at most for `limit`.
    pub(super) async fn join(self, limit: Duration) -> ShutdownOutcome {
        let WorkerThreads { running, mut all_stopped } = self;
        drop(running);
        match timeout(limit, all_stopped.recv()).await {
            Ok(_) => ShutdownOutcome::Stopped,
            Err(_) => ShutdownOutcome::TimedOut,
        }
    }
}
