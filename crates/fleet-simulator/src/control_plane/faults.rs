//! Faults of a run (hung caches, suspended planners and killed forwarders), and counts of the fleet's
//! recovery.

use granitelb_balancer::time::Time;

use super::{MemberIndex, Simulation, time_at};

/// The time after the beginning of a hang from which attempts at hung caches count as late, in seconds.
const LATE_AFTER: f64 = 3.0;
/// The time after the beginning of a hang from which gaps between probes are measured, in seconds.
const PROBE_GAPS_AFTER: f64 = 4.0;
/// A cache that hung counts as recovered from this share of the mean number of responses of the other caches
/// on.
const RECOVERED_SHARE: f64 = 0.5;
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Numbers of responses in one second after the end of the hang.
#[derive(Clone, Copy, Default)]
pub(super) struct RecoveryCounts {
    /// Responses of caches that hung.
    from_hung: usize,
    /// Responses of other caches.
    from_others: usize,
}

impl Simulation<'_> {
    pub(super) fn is_hung(&self, cache: u64) -> bool {
        let hang = self.scenario.hang;
        let is_affected = (cache as usize) < self.scenario.hung_caches;
        is_affected && self.now >= time_at(hang.from) && self.now < time_at(hang.to)
    }

    /// Returns the end of a member's suspension, or `None` if the member is not suspended now.
    pub(super) fn suspended_until(&self, member: MemberIndex) -> Option<Time> {
        let MemberIndex::Planner(planner) = member else { return None };
        if planner >= self.scenario.suspended_planners {
            return None;
        }
        let outage = self.scenario.planner_outage?;
        let is_suspended = self.now >= time_at(outage.from) && self.now < time_at(outage.to);
        is_suspended.then_some(time_at(outage.to))
    }

    pub(super) fn is_alive(&self, member: MemberIndex) -> bool {
        match member {
            MemberIndex::Planner(_) => true,
            MemberIndex::Forwarder(forwarder) => self.forwarders[forwarder].is_alive,
        }
    }

    /// Kills all forwarders that hold a probe assignment.
    pub(super) fn kill_probers(&mut self) {
        for forwarder in &mut self.forwarders {
            if forwarder.member.health.assigned_probes(self.now).is_empty() {
                continue;
            }
            forwarder.is_alive = false;
            forwarder.pending.clear();
            self.result.killed_forwarders += 1;
        }
        self.probers_killed_at = Some(self.now);
    }

    /// Counts an attempt at a hung cache, and measures the time since the last such attempt.
    pub(super) fn record_attempt_at_hung_cache(&mut self) {
        let hang_begin = self.scenario.hang.from;
        self.result.attempts_at_hung_caches += 1;
        if self.now >= time_at(hang_begin + LATE_AFTER) {
            self.result.late_attempts_at_hung_caches += 1;
        }
        let gap_begin = self.last_attempt_at_hung_cache.max(time_at(hang_begin + PROBE_GAPS_AFTER));
        if self.now > gap_begin {
            let gap = (self.now - gap_begin).as_secs_f64();
            let longest = self.result.longest_probe_gap.map_or(gap, |longest| longest.max(gap));
            self.result.longest_probe_gap = Some(longest);
        }
        self.last_attempt_at_hung_cache = self.now;
        if let Some(killed_at) = self.probers_killed_at.take() {
            self.result.takeover_time = Some((self.now - killed_at).as_secs_f64());
        }
    }

    /// Counts a response of a cache after the end of the hang. The origin isn't counted.
    pub(super) fn record_recovery(&mut self, cache: u64) {
        let hang_end = time_at(self.scenario.hang.to);
        let cache = cache as usize;
        if self.now < hang_end || cache >= self.scenario.caches {
            return;
        }
        let second = (self.now - hang_end).0 / MICROS_PER_SECOND;
        let counts = self.recovery.entry(second).or_default();
        if cache < self.scenario.hung_caches {
            counts.from_hung += 1;
        } else {
            counts.from_others += 1;
        }
    }

    /// Returns the first second after the hang in which the caches that hung respond at least half as often
    /// as the others, in seconds from the end of the hang.
    pub(super) fn recovery_time(&self) -> Option<f64> {
        let hung_caches = self.scenario.hung_caches as f64;
        let other_caches = self.scenario.caches as f64 - hung_caches;
        let is_recovered = |counts: &RecoveryCounts| {
            let hung_mean = counts.from_hung as f64 / hung_caches;
            let others_share = RECOVERED_SHARE * counts.from_others as f64 / other_caches;
            counts.from_others > 0 && hung_mean >= others_share
        };
        let (second, _) = self.recovery.iter().find(|(_, counts)| is_recovered(counts))?;
        Some(*second as f64)
    }
}
