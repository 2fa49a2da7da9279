//! When to request a watch on the endpoint list.

use crate::time::{Span, Time};

/// Wait before a failed watch is requested again, with jitter by half in either direction.
///
/// Discovery's information counts as known 6 s after discovery is back. The waits leave time for one failure and
/// an answer that takes three seconds, or for two failures and an answer that takes half of that.
const WATCH_BACKOFF_INITIAL: Span = Span::from_millis(500);
/// The wait doubles with each failure up to this one.
const WATCH_BACKOFF_MAX: Span = Span::from_millis(1000);
/// A requested watch that has neither been established nor failed by then is requested again.
const WATCH_RESPONSE_TIMEOUT: Span = Span::from_millis(2500);
/// The shortest wait relative to the backoff; jitter adds up to one backoff.
const MIN_JITTER: f64 = 0.5;

struct WatchRequest {
    due_at: Time,
    backoff: Span,
}

/// Schedules requests for a watch, with backoff.
pub(super) struct WatchBackoff {
    /// The next request; none while a watch stands, or where the host watches by itself.
    next_request: Option<WatchRequest>,
}

impl WatchBackoff {
    pub fn new(list_on_request: bool, now: Time) -> WatchBackoff {
        let first_request = WatchRequest { due_at: now, backoff: WATCH_BACKOFF_INITIAL };
        WatchBackoff { next_request: list_on_request.then_some(first_request) }
    }

    /// The endpoint list came: the watch stands.
    pub fn on_update(&mut self) {
        self.next_request = None;
    }

    /// The watch was refused or lost. `jitter` is a random number from 0 to 1.
    pub fn on_failure(&mut self, now: Time, jitter: f64) {
        let backoff = match &self.next_request {
            Some(request) => Span(request.backoff.0 * 2).min(WATCH_BACKOFF_MAX),
            None => WATCH_BACKOFF_INITIAL,
        };
        let due_at = now + backoff.scaled(MIN_JITTER + jitter);
        self.next_request = Some(WatchRequest { due_at, backoff });
    }

    /// Whether to request a watch now. `max_poll_interval` is zero where the settings name none.
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
