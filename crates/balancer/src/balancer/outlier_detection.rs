//! Outlier detection for single endpoints: an endpoint is ejected when too many attempts at it fail, and is
//! then probed with a growing backoff until a probe succeeds.

use crate::time::{Span, Time};

/// An endpoint is healthy while at least this many of its last five outcomes are successes.
const MIN_SUCCESSES: u32 = 3;
/// The wait before the first probe of an ejected endpoint.
const PROBE_BACKOFF_INITIAL: Span = Span::from_millis(1000);
/// The longest wait between probes: the wait doubles with each probe up to this value.
const PROBE_BACKOFF_MAX: Span = Span::from_millis(8000);

/// An endpoint's last five outcomes, one bit each: a success is a one, and the latest outcome is the lowest
/// bit.
#[derive(Clone, Copy)]
struct OutcomeHistory(u32);

impl OutcomeHistory {
    const ALL_SUCCESSES: OutcomeHistory = OutcomeHistory(0b11111);

    fn record(&mut self, success: bool) {
        self.0 = (self.0 << 1 | u32::from(success)) & OutcomeHistory::ALL_SUCCESSES.0;
    }

    fn is_healthy(self) -> bool {
        self.0.count_ones() >= MIN_SUCCESSES
    }
}

/// The state of an ejected endpoint.
#[derive(Clone, Copy)]
struct Ejection {
    next_probe_at: Time,
    /// The wait that follows the next probe.
    backoff: Span,
}

impl Ejection {
    fn new(now: Time) -> Ejection {
        Ejection { next_probe_at: now + PROBE_BACKOFF_INITIAL, backoff: PROBE_BACKOFF_INITIAL }
    }
}

/// The health of an endpoint, by the outcomes of attempts at it and by reports from other nodes.
pub(super) struct EndpointHealth {
    outcomes: OutcomeHistory,
    ejection: Option<Ejection>,
}

impl EndpointHealth {
    /// The health of an endpoint without recorded outcomes: healthy.
    pub fn new() -> EndpointHealth {
        EndpointHealth { outcomes: OutcomeHistory::ALL_SUCCESSES, ejection: None }
    }

    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether the endpoint is ejected and a probe is due.
    pub fn is_probe_due(&self, now: Time) -> bool {
        self.ejection.is_some_and(|ejection| ejection.next_probe_at <= now)
    }

    /// Records an outcome of the origin. The origin is never ejected, since no other endpoint can replace it.
    pub fn record_without_ejection(&mut self, success: bool) {
        self.outcomes.record(success);
    }

    /// Records an outcome of a cache. Too many failures eject the cache, and one successful probe ends the
    /// ejection.
    pub fn record(&mut self, now: Time, success: bool) {
        self.outcomes.record(success);
        if self.ejection.is_some() {
            if success {
                *self = EndpointHealth::new();
            }
        } else if !self.outcomes.is_healthy() {
            self.ejection = Some(Ejection::new(now));
        }
    }

    /// Records that an attempt was sent. If the endpoint is ejected, the attempt is a probe and postpones the
    /// next one.
    pub fn on_attempt_sent(&mut self, now: Time) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_probe_at = now + ejection.backoff;
            ejection.backoff = Span(ejection.backoff.0 * 2).min(PROBE_BACKOFF_MAX);
        }
    }

    /// Handles a report that the endpoint fails other nodes' attempts: ejects the endpoint, or postpones the
    /// next probe.
    pub fn on_reported_failing(&mut self, now: Time) {
        let initial = Ejection::new(now);
        match &mut self.ejection {
            Some(ejection) => ejection.next_probe_at = ejection.next_probe_at.max(initial.next_probe_at),
            None => self.ejection = Some(initial),
        }
    }

    /// Handles a report that the endpoint answers other nodes again: if the endpoint is ejected, a probe is
    /// due at once.
    pub fn on_reported_answering(&mut self, now: Time) {
        if let Some(ejection) = &mut self.ejection {
            ejection.next_probe_at = ejection.next_probe_at.min(now);
            ejection.backoff = PROBE_BACKOFF_INITIAL;
        }
    }
}

#[cfg(test)]
mod tests;
