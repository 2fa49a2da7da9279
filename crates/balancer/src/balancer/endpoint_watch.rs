//! The schedule of requests for a watch on the endpoint list, with backoff after failures.

use crate::time::{Span, Time};

/// The wait before a failed watch is requested again. Jitter shortens or lengthens each wait by up to half.
///
/// A node is expected to know the endpoint list 6 s after discovery recovers. With these waits, that leaves
/// time for one failed request and an answer after three seconds, or for two failed requests and an answer
/// after half of that.
const WATCH_BACKOFF_INITIAL: Span = Span::from_millis(500);
/// The longest wait: the wait doubles with each failure up to this value.
const WATCH_BACKOFF_MAX: Span = Span::from_millis(1000);
/// A watch that is neither established nor refused within this time is requested again.
const WATCH_RESPONSE_TIMEOUT: Span = Span::from_millis(2500);
/// The shortest wait as a share of the backoff; jitter adds up to one whole backoff.
const MIN_JITTER: f64 = 0.5;

/// A scheduled request for a watch.
struct WatchRequest {
    due_at: Time,
    backoff: Span,
}

/// The schedule of requests for a watch.
pub(super) struct WatchBackoff {
    /// The next request; `None` while a watch is established, or if the host requests watches by itself.
    next_request: Option<WatchRequest>,
}

impl WatchBackoff {
    pub fn new(list_on_request: bool, now: Time) -> WatchBackoff {
        let first_request = WatchRequest { due_at: now, backoff: WATCH_BACKOFF_INITIAL };
        WatchBackoff { next_request: list_on_request.then_some(first_request) }
    }

    /// Handles an update of the endpoint list, which shows that the watch is established.
    pub fn on_update(&mut self) {
        self.next_request = None;
    }

    /// Schedules another request after a watch was refused or lost. `jitter` is a random number from 0 to 1.
    pub fn on_failure(&mut self, now: Time, jitter: f64) {
        let backoff = match &self.next_request {
            Some(request) => Span(request.backoff.0 * 2).min(WATCH_BACKOFF_MAX),
            None => WATCH_BACKOFF_INITIAL,
        };
        let due_at = now + backoff.scaled(MIN_JITTER + jitter);
        self.next_request = Some(WatchRequest { due_at, backoff });
    }

    /// Returns whether to request a watch now. `max_poll_interval` is zero if the settings specify none.
    pub fn poll(&mut self, now: Time, max_poll_interval: Span) -> bool {
        let Some(request) = &mut self.next_request else { return false };
        if request.due_at > now {
            return false;
        }
        let mut timeout = WATCH_RESPONSE_TIMEOUT;
        if max_poll_interval > Span::ZERO {
            timeout = timeout.min(max_poll_interval);
        }
        request.due_at = now + timeout;
        true
    }

    pub fn next_request_at(&self) -> Option<Time> {
        self.next_request.as_ref().map(|request| request.due_at)
    }
}

#[cfg(test)]
mod tests;
