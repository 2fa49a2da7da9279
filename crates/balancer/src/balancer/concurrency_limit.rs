//! The adaptive limit on the attempts that a node has in flight at one endpoint (additive increase,
//! multiplicative decrease).
//!
//! Below one the limit is the share of the time during which an attempt may be in flight: a whole attempt per node
//! would let many nodes together keep an endpoint congested for good.

use crate::time::{Span, Time};

/// The initial limit of all nodes together.
const INITIAL_FLEET_LIMIT: f64 = 12.0;
/// Congestion reduces the limit to this share.
const DECREASE_FACTOR: f64 = 0.7;
/// Low enough to let the congestion of several nodes drain, high enough to notice soon that it has.
const MIN_LIMIT: f64 = 0.25;
/// The limit only grows when at least this share of it was in use.
const MIN_UTILIZATION_TO_GROW: f64 = 0.5;

/// What a finished attempt shows of congestion at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Congestion {
    Congested,
    Uncongested,
    Unknown,
}

/// A finished attempt as the limit sees it.
pub(super) struct LimitSample {
    pub latency: Span,
    pub congestion: Congestion,
    /// The time that an attempt takes there, with jitter: a limit under one pauses for a multiple of it.
    pub service_time: Span,
    /// The largest share that a low limit grows by.
    pub max_growth: f64,
}

pub(super) struct ConcurrencyLimit {
    in_flight: f64,
    limit: f64,
    last_decrease_at: Time,
    paused_until: Time,
}

impl ConcurrencyLimit {
    /// The initial limit of one of `nodes` nodes, with attempts that are in flight already.
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

    /// Whether less than this share of the limit is in use.
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
            // One decrease for one congestion: only attempts sent after it show the effect of the reduced limit.
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

    /// Sends nothing more before `time`.
    pub fn pause_until(&mut self, time: Time) {
        self.paused_until = self.paused_until.max(time);
    }
}

#[cfg(test)]
mod tests;
