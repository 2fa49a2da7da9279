//! The phases of a graceful shutdown.
//!
//! After the shutdown signal, clients may still connect for a while. Then the listener is closed, and shortly
//! after that all idle connections. The node ends once all clients' connections are closed, or when the time
//! of the shutdown is over.
//!
//! Invariants, whatever the timeouts of request classes: every accepted request has its response at the latest
//! [`MAX_REQUEST_TIME`] plus [`RESPONSE_MARGIN`] after the signal, and the node ends at the latest
//! [`MAX_REQUEST_TIME`] plus [`EXIT_MARGIN`] after it. A process manager may kill the node soon after that.

use granitelb_balancer::time::{Span, Time};

/// How long clients are accepted after the shutdown signal. New clients may be directed to the node for 0.4 s
/// after the signal.
const ACCEPT_TIME: Span = Span::from_millis(450);
/// The first bytes of a client that connected at the last moment may take this long to arrive.
const LAST_BYTES_TIME: Span = Span::from_millis(100);
/// A shutdown gives requests the longest client timeout, counted from the signal, and at most this.
const MAX_REQUEST_TIME: Span = Span::from_millis(3000);
/// The node ends at the latest this long after the time that the shutdown gives requests: after the timeout of
/// the last request that can have arrived, and within the 0.7 s that the node has for its exit.
const EXIT_MARGIN: Span = Span::from_millis(650);
/// Every request gets its response at the latest this long after the time that the shutdown gives requests.
/// This includes requests whose last byte arrived late, and leaves time before the node ends.
const RESPONSE_MARGIN: Span = Span::from_millis(600);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    started_at: Time,
    /// Whether idle connections have been closed.
    has_closed_idle: bool,
    /// Whether the requests without a response at the response deadline were failed.
    has_failed_pending: bool,
}

impl Shutdown {
    /// Creates a shutdown that begins now.
    pub(super) fn begin(now: Time) -> Shutdown {
        Shutdown { started_at: now, has_closed_idle: false, has_failed_pending: false }
    }

    /// Returns this shutdown with idle connections marked as closed.
    pub(super) fn with_idle_closed(self) -> Shutdown {
        Shutdown { has_closed_idle: true, ..self }
    }

    /// Returns this shutdown with the pending requests marked as failed.
    pub(super) fn with_pending_failed(self) -> Shutdown {
        Shutdown { has_failed_pending: true, ..self }
    }

    /// Whether idle connections have been closed.
    pub(super) fn has_closed_idle(&self) -> bool {
        self.has_closed_idle
    }

    /// The time by which every accepted request has its response.
    pub(super) fn response_deadline(&self, longest_client_timeout: Span) -> Time {
        self.started_at + request_time(longest_client_timeout) + RESPONSE_MARGIN
    }

    /// Whether the requests that have no response are to be failed.
    pub(super) fn is_response_time_over(&self, now: Time, longest_client_timeout: Span) -> bool {
        !self.has_failed_pending && now >= self.response_deadline(longest_client_timeout)
    }

    /// Whether the time for accepting clients is over.
    pub(super) fn is_accept_time_over(&self, now: Time) -> bool {
        now - self.started_at >= ACCEPT_TIME
    }

    /// Whether idle connections are to be closed.
    pub(super) fn is_idle_time_over(&self, now: Time) -> bool {
        now - self.started_at >= ACCEPT_TIME + LAST_BYTES_TIME
    }

    /// Whether the node has to end now, even with requests unfinished.
    pub(super) fn is_time_over(&self, now: Time, longest_client_timeout: Span) -> bool {
        now - self.started_at >= request_time(longest_client_timeout) + EXIT_MARGIN
    }

    /// The time at which the next phase begins.
    pub(super) fn next_phase_at(&self, is_listening: bool, longest_client_timeout: Span) -> Time {
        let phase = if is_listening {
            ACCEPT_TIME
        } else if !self.has_closed_idle {
            ACCEPT_TIME + LAST_BYTES_TIME
        } else if !self.has_failed_pending {
            request_time(longest_client_timeout) + RESPONSE_MARGIN
        } else {
            request_time(longest_client_timeout) + EXIT_MARGIN
        };
        self.started_at + phase
    }
}

/// The time that a shutdown gives requests, counted from the signal.
fn request_time(longest_client_timeout: Span) -> Span {
    longest_client_timeout.min(MAX_REQUEST_TIME)
}
