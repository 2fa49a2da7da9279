//! The signals that a planner handles.

use std::io;

use rustix::process::Signal as SignalNumber;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// The configuration files are to be read again (SIGHUP).
    Reload,
    /// The planner is to shut down in order (SIGTERM or SIGINT).
    Stop,
}

/// The handlers of all signals.
pub(super) struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// Returns the system's error if a handler can't be installed.
    pub(super) fn install() -> io::Result<Signals> {
        // Without a handler SIGXFSZ ends the process; with one, a write beyond the file size limit returns an
        // error.
        drop(signal(SignalKind::from_raw(SignalNumber::XFSZ.as_raw()))?);
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal, and returns what it requests.
    pub(super) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
