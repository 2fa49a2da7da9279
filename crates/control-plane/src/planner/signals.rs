//! The signals that a planner handles.

use std::io;

use rustix::process::Signal as SignalNumber;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    Reload,
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
    /// The system refuses one.
    pub(super) fn install() -> io::Result<Signals> {
        // Without a handler SIGXFSZ ends the process; with one, a write beyond the file size limit returns an error.
        drop(signal(SignalKind::from_raw(SignalNumber::XFSZ.as_raw()))?);
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next request.
    pub(super) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
