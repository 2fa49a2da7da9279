//! Threads of a planner, each with one task and a runtime of its own: a task that hangs costs itself alone. A runtime of
//! several threads does not give that, since a task that one thread is to run next is no other's to take.

use std::io;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Who is at work. It ends with the process, whoever still is.
pub struct Crew {
    /// Dropped by each as it ends, whether in order or not.
    working: mpsc::Sender<()>,
    ends: mpsc::Receiver<()>,
    /// The names of those hired.
    hired: Vec<&'static str>,
}

impl Crew {
    pub fn new() -> Crew {
        let (working, ends) = mpsc::channel(1);
        Crew { working, ends, hired: Vec::new() }
    }

    /// Gives a task a thread.
    ///
    /// # Errors
    /// Where the system gives none.
    pub fn hire(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let working = self.working.clone();
        std::thread::Builder::new().name(name.into()).spawn(move || {
            runtime.block_on(task);
            drop(working);
        })?;
        self.hired.push(name);
        Ok(())
    }

    /// Waits until all have ended, for so long; says whether they have.
    pub async fn ended(self, patience: Duration) -> bool {
        let Crew { working, mut ends, hired: _ } = self;
        drop(working);
        timeout(patience, ends.recv()).await.is_ok()
    }
}
