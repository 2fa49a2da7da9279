//! Detects a slow origin from the latency of the forwarders' own fetches.
//!
//! Leases limit the rate of fetches, but do not measure latency: without this detection, a split would
//! continue to add fetches to a slow origin, each of which misses its latency objective. A forwarder repeats
//! its report while its fetches are late, and a report expires unless it is repeated. The origin counts as
//! slow once two forwarders report it, or the only live forwarder does, so that one forwarder with a slow
//! link delays no split.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use crate::member::ForwarderId;
use crate::observation::FinishedAttempt;

/// The minimum decayed number of recent fetches from which a forwarder judges the origin.
const MIN_FETCHES: f64 = 3.0;

/// The number of forwarders that have to report a slow origin; all live ones if fewer are live.
const MIN_REPORTERS: usize = 2;

/// Counts a forwarder's recent fetches from the origin. A fetch's weight decays exponentially with its age.
#[derive(Debug, Default)]
pub struct FetchLatencyTracker {
    late_fetches: f64,
    all_fetches: f64,
    decayed_at: Time,
}

impl FetchLatencyTracker {
    /// Counts a read attempt at the origin. The attempt is late if it failed or took more than half of its
    /// latency objective.
    pub fn on_attempt_finished(&mut self, now: Time, attempt: &FinishedAttempt, time_constant: Span) {
        let is_late = match attempt.outcome {
            AttemptOutcome::Fulfilled | AttemptOutcome::CacheMiss | AttemptOutcome::Cancelled => {
                attempt.latency.0 > attempt.slo.0 / 2
            }
            AttemptOutcome::NotSent => return,
            _ => true,
        };
        // How long a cancelled attempt would have taken is unknown unless it was late already.
        let is_inconclusive = attempt.outcome == AttemptOutcome::Cancelled && !is_late;
        if attempt.write || is_inconclusive {
            return;
        }
        self.decay(now, time_constant);
        self.all_fetches += 1.0;
        self.late_fetches += f64::from(u8::from(is_late));
    }

    /// Whether at least half of the recent fetches were late; false with fewer than `MIN_FETCHES` recent
    /// fetches.
    pub fn is_origin_slow(&mut self, now: Time, time_constant: Span) -> bool {
        self.decay(now, time_constant);
        self.all_fetches >= MIN_FETCHES && self.late_fetches >= self.all_fetches / 2.0
    }

    fn decay(&mut self, now: Time, time_constant: Span) {
        let age = (now - self.decayed_at).0 as f64;
        let remaining = (-age / time_constant.0.max(1) as f64).exp();
        self.late_fetches *= remaining;
        self.all_fetches *= remaining;
        self.decayed_at = now;
    }
}

/// A planner's record of when each live forwarder last reported a slow origin.
#[derive(Debug, Default)]
pub struct SlowOriginReports {
    last_report: BTreeMap<ForwarderId, Time>,
}

impl SlowOriginReports {
    /// Records a report. Reports of forwarders that are not live are dropped, which bounds the number of
    /// reports.
    pub fn on_report(&mut self, now: Time, from: ForwarderId, live: &BTreeSet<ForwarderId>) {
        self.last_report.retain(|forwarder, _| live.contains(forwarder));
        if live.contains(&from) {
            self.last_report.insert(from, now);
        }
    }

    /// Whether enough live forwarders reported a slow origin less than `time_to_live` ago.
    pub fn is_origin_slow(&self, now: Time, time_to_live: Span, live: &BTreeSet<ForwarderId>) -> bool {
        let is_current = |forwarder: &ForwarderId, reported_at: Time| {
            live.contains(forwarder) && now - reported_at < time_to_live
        };
        let reporters = self.last_report.iter().filter(|(forwarder, at)| is_current(forwarder, **at)).count();
        reporters >= MIN_REPORTERS.min(live.len()).max(1)
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        self.last_report.len()
    }
}
