//! The adaptive limit on the number of attempts that a node has in flight at one endpoint (additive increase,
//! multiplicative decrease).
//!
//! A limit below one is the share of time during which the node may have an attempt in flight. Without limits
//! below one, many nodes with one attempt each could keep an endpoint congested permanently.

use crate::time::{Span, Time};

/// The sum of all nodes' initial limits, in attempts in flight.
const INITIAL_FLEET_LIMIT: f64 = 12.0;
/// Congestion reduces the limit to this share of its former value.
const DECREASE_FACTOR: f64 = 0.7;
/// The lowest limit, in attempts in flight: low enough that a queue filled by several nodes drains, high
/// enough that a node soon notices that the queue has drained.
const MIN_LIMIT: f64 = 0.25;
/// The limit grows only if at least this share of it was in use when an attempt finished.
const MIN_UTILIZATION_TO_GROW: f64 = 0.5;

/// What a finished attempt shows about congestion at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Congestion {
    Congested,
    Uncongested,
    Unknown,
}

/// The properties of a finished attempt that the limit is adapted by.
pub(super) struct LimitSample {
    pub latency: Span,
    pub congestion: Congestion,
    /// The time that an attempt takes at the endpoint, with jitter. A limit below one pauses for a multiple
    /// of this time.
    pub service_time: Span,
    /// The largest relative growth of a low limit at one attempt.
    pub max_growth: f64,
}

/// A node's limit at one endpoint, and the node's number of attempts in flight there.
pub(super) struct ConcurrencyLimit {
    in_flight: f64,
    limit: f64,
    last_decrease_at: Time,
    paused_until: Time,
}

impl ConcurrencyLimit {
    /// The initial limit of one of `nodes` nodes, with `in_flight` attempts in flight already.
    pub fn new(nodes: f64, in_flight: f64, now: Time) -> ConcurrencyLimit {
        let limit = (INITIAL_FLEET_LIMIT / nodes).max(1.0);
        ConcurrencyLimit { in_flight, limit, last_decrease_at: now, paused_until: now }
    }

    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    pub fn has_capacity(&self, now: Time) -> bool {
        now >= self.paused_until && self.in_flight < self.limit.max(1.0)
    }

    /// Whether the attempts in flight are fewer than this share of the limit.
    pub fn has_capacity_within(&self, share: f64) -> bool {
        self.in_flight < self.limit.max(1.0) * share
    }

    pub fn on_attempt_sent(&mut self) {
        self.in_flight += 1.0;
    }

    pub fn on_attempt_finished(&mut self, now: Time, sample: &LimitSample) {
        let was_utilized = self.in_flight >= self.limit * MIN_UTILIZATION_TO_GROW;
        self.in_flight -= 1.0;
        match sample.congestion {
            // Each episode of congestion decreases the limit once: attempts sent before the last decrease do
            // not show the effect of the reduced limit.
            Congestion::Congested if now - self.last_decrease_at >= sample.latency => {
                self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
                self.last_decrease_at = now;
            }
            Congestion::Uncongested if was_utilized => {
                self.limit += (self.limit * sample.max_growth).min(1.0 / self.limit);
            }
            _ => {}
        }
        if self.limit < 1.0 {
            self.paused_until = now + sample.service_time.scaled(1.0 / self.limit - 1.0);
        }
    }

    /// Leaves no capacity before `time`; an earlier call with a later time stays in effect.
    pub fn pause_until(&mut self, time: Time) {
        self.paused_until = self.paused_until.max(time);
    }
}

#[cfg(test)]
mod tests;
