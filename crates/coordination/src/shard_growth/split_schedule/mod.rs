//! Decides when a shard is split and whether a split may advance now. Each decision changes the layout of one
//! shard in the shard map. The planners then agree on the changed map ([`consensus`](super::consensus)).
//!
//! Invariants, under any fleet conditions:
//! - Two active splits have no endpoint in common.
//! - No more splits are active than the settings allow.
//! - No split advances while one of its endpoints fails or is warming up, while the origin is slow, while
//!   fewer than a majority of planners are live, or in a frozen period.
//! - No split leaves a phase before that phase's duration has passed.
//!
//! The invariants hold since each step forward is checked by `obstacle`, each split that becomes active is
//! also checked by `activation_obstacle`, and [`SplitSchedule::next_change`] changes one shard at a time,
//! starting from the last decided map. Steps back are not checked: a split can be withdrawn whenever a
//! majority of planners is live.

mod conditions;
mod context;
mod queue;
mod settings;

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::{Span, Time};

pub use conditions::{FleetConditions, ProposedChange, Reason, ShardOutlook, ShardOutlooks};
pub use settings::Settings;

use context::{SplitContext, SplitStep, obstacle};
use queue::{SplitInProgress, by_urgency, next_foreseen};

use super::shard_map::{COPY_STEPS, ShardId, ShardLayout, SplitPhase, VersionedShardMap};

/// The duration of a copying step, in seconds, from which the origin counts as having no spare fetches, so
/// that a split does not start.
const MAX_COPY_STEP_SECONDS: f64 = 1e9;

/// The fraction of a shard's keys that a split migrates.
const MIGRATING_FRACTION: f64 = 0.5;

/// The fault that pauses a split, and when the pause began.
#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Time,
    reason: Reason,
}

/// The leader's timer of a split, by the leader's own clock. A timer is not part of the shard map, so a new
/// leader starts all timers again, which only delays the splits.
#[derive(Clone, Copy, Debug)]
struct SplitTimer {
    layout: ShardLayout,
    entered_at: Time,
    pause: Option<Pause>,
}

/// The schedule of all splits, used by the leading planner.
#[derive(Clone, Debug)]
pub struct SplitSchedule {
    settings: Settings,
    timers: BTreeMap<ShardId, SplitTimer>,
    requested_withdrawals: BTreeSet<ShardId>,
}

impl SplitSchedule {
    /// Creates a schedule without timers or requested withdrawals.
    pub fn new(settings: Settings) -> SplitSchedule {
        SplitSchedule { settings, timers: BTreeMap::new(), requested_withdrawals: BTreeSet::new() }
    }

    /// Requests, for an operator, that a shard's split is withdrawn.
    pub fn request_withdrawal(&mut self, shard: ShardId) {
        self.requested_withdrawals.insert(shard);
    }

    /// The duration of a split from `Planned` to `Switched` if it is never paused. None if the origin has no
    /// spare fetches.
    pub fn split_duration(&self, conditions: &FleetConditions, outlook: &ShardOutlook) -> Option<Span> {
        let step = self.copy_step_duration(conditions, outlook)?;
        let copying = Span(step.0.saturating_mul(u64::from(COPY_STEPS)));
        Some(self.settings.planned_duration + copying + self.settings.dual_read_duration)
    }

    /// The number of entries held.
    pub fn entries(&self) -> usize {
        self.timers.len() + self.requested_withdrawals.len()
    }

    /// The next change of `shard_map`, the last decided map, if a change is due. A change that was not
    /// decided is returned again.
    pub fn next_change(
        &mut self,
        now: Time,
        shard_map: &VersionedShardMap,
        conditions: &FleetConditions,
        outlooks: &ShardOutlooks,
    ) -> Option<ProposedChange> {
        self.on_decided(now, shard_map);
        if conditions.lacks_planner_majority {
            return None;
        }
        let unknown = ShardOutlook::default();
        for SplitInProgress { shard, layout, phase } in by_urgency(shard_map, outlooks) {
            let split = SplitContext {
                now,
                shard,
                layout,
                phase,
                shard_map,
                conditions,
                outlooks,
                outlook: outlooks.get(&shard).unwrap_or(&unknown),
                is_known: outlooks.contains_key(&shard),
            };
            if let Some(step) = self.next_step(&split) {
                return Some(proposed_change(shard_map, shard, step));
            }
        }
        let shard = next_foreseen(shard_map, outlooks)?;
        let to = ShardLayout { phase: Some(SplitPhase::Foreseen), ..shard_map.layout(shard) };
        Some(proposed_change(shard_map, shard, SplitStep { to, reason: Reason::OutgrowsSoon }))
    }

    /// Updates the timers to the last decided shard map: the timer of each shard whose layout changed starts
    /// again.
    fn on_decided(&mut self, now: Time, shard_map: &VersionedShardMap) {
        self.timers.retain(|shard, _| shard_map.shards.contains_key(shard));
        self.requested_withdrawals.retain(|shard| shard_map.layout(*shard).phase.is_some());
        for (shard, layout) in &shard_map.shards {
            let started = SplitTimer { layout: *layout, entered_at: now, pause: None };
            let timer = self.timers.entry(*shard).or_insert(started);
            if timer.layout != *layout {
                *timer = started;
            }
        }
    }

    fn next_step(&mut self, split: &SplitContext<'_>) -> Option<SplitStep> {
        let is_withdrawn = split.phase == SplitPhase::Withdrawn;
        if self.requested_withdrawals.contains(&split.shard) && !is_withdrawn {
            return Some(split.to_phase(SplitPhase::Withdrawn, Reason::Operator));
        }
        let time_in_phase = split.now - self.timers.get(&split.shard)?.entered_at;
        if is_withdrawn {
            let has_expired = time_in_phase >= self.settings.withdrawn_duration;
            return has_expired.then(|| split.to_unsplit(Reason::WithdrawalExpired));
        }
        if let Some(pause) = self.update_pause(split) {
            return self.step_of_paused(split, pause);
        }
        self.step_forward(split, time_in_phase)
    }

    /// Updates and returns the pause of a split: while any fault lasts, an active split keeps the pause of
    /// the first fault.
    fn update_pause(&mut self, split: &SplitContext<'_>) -> Option<Pause> {
        let obstacle = if split.phase.is_active() { self.active_obstacle(split) } else { None };
        let timer = self.timers.get_mut(&split.shard)?;
        match obstacle {
            None => timer.pause = None,
            Some(reason) => {
                timer.pause.get_or_insert(Pause { since: split.now, reason });
            }
        }
        timer.pause
    }

    fn active_obstacle(&self, split: &SplitContext<'_>) -> Option<Reason> {
        if let Some(reason) = obstacle(split.conditions, split.outlook) {
            return Some(reason);
        }
        let is_copying = matches!(split.phase, SplitPhase::Copying(_));
        let has_spare_fetches = self.copy_step_duration(split.conditions, split.outlook).is_some();
        if is_copying && !has_spare_fetches { Some(Reason::NoSpareFetches) } else { None }
    }

    /// The step back of a paused split; none before the pause has lasted for `max_pause_duration`.
    fn step_of_paused(&self, split: &SplitContext<'_>, pause: Pause) -> Option<SplitStep> {
        if split.now - pause.since < self.settings.max_pause_duration {
            return None;
        }
        if split.phase == SplitPhase::Planned {
            // No key has moved, so the split returns to `Foreseen`, which frees its endpoints for other
            // splits.
            return Some(split.to_phase(SplitPhase::Foreseen, pause.reason));
        }
        if pause.reason == Reason::Frozen {
            // A frozen period pauses the split, but is no reason to move keys back.
            return None;
        }
        Some(split.to_phase(SplitPhase::Withdrawn, pause.reason))
    }

    fn step_forward(&self, split: &SplitContext<'_>, time_in_phase: Span) -> Option<SplitStep> {
        // Without an outlook of the shard, its split does not advance.
        if !split.is_known {
            return None;
        }
        let settings = &self.settings;
        match split.phase {
            SplitPhase::Foreseen | SplitPhase::Planned if split.outlook.earliest.is_none() => {
                Some(split.to_unsplit(Reason::NoLongerForeseen))
            }
            SplitPhase::Foreseen => {
                let may_start = self.may_start(split);
                may_start.then(|| split.to_phase(SplitPhase::Planned, Reason::TimeToStart))
            }
            SplitPhase::Planned => {
                let may_copy = time_in_phase >= settings.planned_duration && self.ends_in_time(split);
                may_copy.then(|| split.to_phase(SplitPhase::Copying(1), Reason::Due))
            }
            SplitPhase::Copying(step) => {
                let is_due = time_in_phase >= self.copy_step_duration(split.conditions, split.outlook)?;
                let next =
                    if step < COPY_STEPS { SplitPhase::Copying(step + 1) } else { SplitPhase::DualRead };
                is_due.then(|| split.to_phase(next, Reason::Due))
            }
            SplitPhase::DualRead => (time_in_phase >= settings.dual_read_duration)
                .then(|| split.to_phase(SplitPhase::Switched, Reason::Due)),
            SplitPhase::Switched => {
                (time_in_phase >= settings.switched_duration).then(|| split.to_complete())
            }
            SplitPhase::Withdrawn => None,
        }
    }

    /// Whether a planned split would end before the next frozen period if it started copying now.
    fn ends_in_time(&self, split: &SplitContext<'_>) -> bool {
        let duration = self.split_duration(split.conditions, split.outlook);
        duration.is_some_and(|duration| split.conditions.ends_before_frozen_period(duration))
    }

    /// Whether a foreseen split may become active now.
    fn may_start(&self, split: &SplitContext<'_>) -> bool {
        let Some(duration) = self.split_duration(split.conditions, split.outlook) else { return false };
        self.is_time_to_start(split.conditions, split.outlook, duration)
            && obstacle(split.conditions, split.outlook).is_none()
            && self.activation_obstacle(split, duration).is_none()
    }

    /// Whether a foreseen split has to start now.
    ///
    /// The deadline is the earliest forecast day, or the beginning of a frozen period that the split would
    /// otherwise run into. A split starts once the time until the deadline is at most the lead time and the
    /// expected value of the forecast, not only its upper bound, reaches the capacity. A split starts in any
    /// case once the time until the deadline is no longer than the split takes.
    fn is_time_to_start(&self, conditions: &FleetConditions, outlook: &ShardOutlook, duration: Span) -> bool {
        let Some(earliest) = outlook.earliest else { return false };
        let lead_time = duration.scaled(self.settings.lead_factor);
        let deadline = match conditions.frozen_period {
            Some(period) if earliest < period.ends_in + lead_time => earliest.min(period.begins_in),
            _ => earliest,
        };
        deadline <= duration || deadline <= lead_time && outlook.likely.is_some()
    }

    /// The first obstacle that prevents a foreseen split from becoming active; none if there is no obstacle.
    fn activation_obstacle(&self, split: &SplitContext<'_>, duration: Span) -> Option<Reason> {
        let mut active_splits = 0;
        for (other, layout) in &split.shard_map.shards {
            if !layout.phase.is_some_and(SplitPhase::is_active) {
                continue;
            }
            active_splits += 1;
            // An active split of a shard with unknown endpoints may use any endpoint.
            let Some(other_outlook) = split.outlooks.get(other) else {
                return Some(Reason::TooManyActiveSplits);
            };
            let shared = other_outlook.endpoints.intersection(&split.outlook.endpoints).next();
            if let Some(endpoint) = shared {
                return Some(Reason::EndpointInUse(*endpoint));
            }
        }
        if active_splits >= self.settings.max_active_splits {
            return Some(Reason::TooManyActiveSplits);
        }
        if split.conditions.ends_before_frozen_period(duration) {
            None
        } else {
            Some(Reason::NoTimeBeforeFrozenPeriod)
        }
    }

    /// The duration of one copying step. The migrating keys are fetched again at the rate of the origin's
    /// spare fetches, which all splits that may be active share. None if the origin has no spare fetches.
    fn copy_step_duration(&self, conditions: &FleetConditions, outlook: &ShardOutlook) -> Option<Span> {
        let settings = &self.settings;
        let fetches_per_second = conditions.spare_fetches_per_second * settings.spare_fetch_fraction
            / settings.max_active_splits.max(1) as f64;
        let keys = outlook.keys * MIGRATING_FRACTION / f64::from(COPY_STEPS);
        let seconds = keys / fetches_per_second;
        if fetches_per_second > 0.0 && seconds < MAX_COPY_STEP_SECONDS {
            Some(Span::from_secs_f64(seconds).max(settings.copy_step_duration))
        } else {
            None
        }
    }
}

fn proposed_change(shard_map: &VersionedShardMap, shard: ShardId, step: SplitStep) -> ProposedChange {
    ProposedChange {
        shard,
        from: shard_map.layout(shard),
        to: step.to,
        reason: step.reason,
        shard_map: shard_map.with_layout(shard, step.to),
    }
}
