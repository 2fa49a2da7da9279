//! The phases of a graceful shutdown.
//!
//! After the signal clients may still connect for a while; then the listener is closed, and shortly after it
//! all idle connections. The node ends once no client is owed anything, or when its time is up.

use granitelb_balancer::time::{Span, Time};

/// After a shutdown signal clients may go on connecting for 0.4 s; then none is directed here any more.
const ACCEPT_TIME: Span = Span::from_millis(450);
/// The first bytes of a client that connected at the last moment may take this long to arrive.
const LAST_BYTES_TIME: Span = Span::from_millis(100);
/// How long beyond the longest client timeout the node stays for its requests: beyond the last one that can
/// have arrived, and within the 0.7 s that the node has.
const STAY_TIME: Span = Span::from_millis(650);
/// How long beyond the longest client timeout requests have their responses at the latest, those whose last
/// byte arrived late too, before the node is gone.
const RESPONSE_TIME: Span = Span::from_millis(600);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    started_at: Time,
    /// Whether idle connections have been closed.
    has_closed_idle: bool,
}

impl Shutdown {
    /// A shutdown that begins now.
    pub(super) fn begin(now: Time) -> Shutdown {
        Shutdown { started_at: now, has_closed_idle: false }
    }

    /// The shutdown after idle connections were closed.
    pub(super) fn with_idle_closed(self) -> Shutdown {
        Shutdown { has_closed_idle: true, ..self }
    }

    /// Whether idle connections have been closed.
    pub(super) fn has_closed_idle(&self) -> bool {
        self.has_closed_idle
    }

    /// When every accepted request has its response.
    pub(super) fn response_deadline(&self, longest_client_timeout: Span) -> Time {
        self.started_at + longest_client_timeout + RESPONSE_TIME
    }

    /// Whether no client may connect any more.
    pub(super) fn is_accept_time_over(&self, now: Time) -> bool {
        now - self.started_at >= ACCEPT_TIME
    }

    /// Whether idle connections are to be closed.
    pub(super) fn is_idle_time_over(&self, now: Time) -> bool {
        now - self.started_at >= ACCEPT_TIME + LAST_BYTES_TIME
    }

    /// Whether the node ends, with whatever is unfinished.
    pub(super) fn is_time_over(&self, now: Time, longest_client_timeout: Span) -> bool {
        now - self.started_at >= longest_client_timeout + STAY_TIME
    }

    /// When the next phase begins.
    pub(super) fn next_phase_at(&self, is_listening: bool, longest_client_timeout: Span) -> Time {
        let phase = if is_listening {
            ACCEPT_TIME
        } else if !self.has_closed_idle {
            ACCEPT_TIME + LAST_BYTES_TIME
        } else {
            longest_client_timeout + STAY_TIME
        };
        self.started_at + phase
    }
}
