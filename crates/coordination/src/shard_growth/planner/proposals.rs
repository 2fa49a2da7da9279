//! The proposals of the leading planner, and the log event for what prevents it from deciding.

use granitelb_balancer::time::{Span, Time};

use super::PlannerComponent;
use crate::shard_growth::accounting_day::CalendarMoment;
use crate::shard_growth::capacity_forecast::CapacityForecast;
use crate::shard_growth::shard_map::{MAX_SPLIT_BITS, ShardId, SplitPhase};
use crate::shard_growth::split_schedule::{ProposedChange, ShardOutlook, ShardOutlooks};

/// The interval at which the leader logs what prevents it from deciding on splits.
const BLOCKED_EVENT_INTERVAL: Span = Span::from_millis(600_000);

/// The difference between the retry intervals of planners with consecutive numbers, as a fraction of the
/// configured interval.
const RETRY_SPREAD: f64 = 0.3;

impl PlannerComponent {
    /// Proposes the next change of the shard map if this planner leads and a change is due.
    pub(super) fn propose_next_change(&mut self, now: Time, moment: CalendarMoment) {
        if !self.is_leader() || self.settings.shard_capacity_bytes.is_none() {
            return;
        }
        if !self.consensus.is_voting() {
            self.on_blocked(now);
            return;
        }
        if now < self.proposal_due {
            return;
        }
        let Some(conditions) = self.fleet.conditions(now, moment, &self.settings) else {
            self.on_blocked(now);
            return;
        };
        self.blocked_since = None;
        let outlooks = self.outlooks(moment);
        let shard_map = self.consensus.decided();
        if let Some(change) = self.schedule.next_change(now, shard_map, &conditions, &outlooks) {
            self.propose(now, change);
        }
    }

    fn propose(&mut self, now: Time, change: ProposedChange) {
        // A change is proposed again until it is decided, but logged only once.
        if self.last_proposed.as_ref() != Some(&change.shard_map) {
            self.last_proposed = Some(change.shard_map.clone());
            self.log_proposal(&change);
        }
        // The spread makes two planners that both consider themselves the leader retry at different times.
        let spread = 1.0 + RETRY_SPREAD * f64::from(self.me.0);
        self.proposal_due = now + self.settings.proposal_retry_interval.scaled(spread);
        self.consensus.propose(change.shard_map);
    }

    /// The outlook of each shard that is forecast to need a split, or whose split may advance.
    fn outlooks(&mut self, moment: CalendarMoment) -> ShardOutlooks {
        let relevant: Vec<(ShardId, CapacityForecast)> = self
            .forecasts
            .iter()
            .filter(|(shard, forecast)| forecast.earliest.is_some() || self.may_advance(*shard, forecast))
            .map(|(shard, forecast)| (shard, *forecast))
            .collect();
        let mut outlooks = ShardOutlooks::new();
        for (shard, forecast) in relevant {
            outlooks.insert(shard, self.outlook(shard, forecast, moment));
        }
        outlooks
    }

    fn outlook(
        &mut self,
        shard: ShardId,
        forecast: CapacityForecast,
        moment: CalendarMoment,
    ) -> ShardOutlook {
        // The deadline is the end of the forecast day, so one day is added.
        let day_length = self.settings.day_length;
        let time_until = |day: f64| day_length.scaled((day + 1.0 - moment.as_days()).max(0.0));
        let bits = (self.shard_map().layout(shard).bits + 1).min(MAX_SPLIT_BITS);
        ShardOutlook {
            earliest: forecast.earliest.map(time_until),
            likely: forecast.likely.map(time_until),
            keys: self.history.keys(shard),
            endpoints: self.fleet.endpoints_of(shard, bits),
        }
    }

    /// Whether enough is known of a shard to decide on its split. A foreseen or planned split waits while
    /// there is no forecast, and is not cancelled, since the history may have been lost.
    fn may_advance(&self, shard: ShardId, forecast: &CapacityForecast) -> bool {
        let Some(layout) = self.shard_map().shards.get(&shard) else { return false };
        let needs_forecast = matches!(layout.phase, Some(SplitPhase::Foreseen | SplitPhase::Planned));
        !needs_forecast || forecast.unavailable.is_none()
    }

    /// Logs at intervals what prevents the leader from deciding. Without the log event, an operator would
    /// only notice that a split does not advance.
    fn on_blocked(&mut self, now: Time) {
        let blocked_since = *self.blocked_since.get_or_insert(now);
        let has_splits = !self.shard_map().shards.is_empty();
        let has_work = has_splits || self.forecasts.iter().any(|(_, forecast)| forecast.earliest.is_some());
        if now - blocked_since < BLOCKED_EVENT_INTERVAL || !has_work {
            return;
        }
        self.blocked_since = Some(now);
        if let Some(cause) = self.blocking_cause() {
            self.log_blocked(cause);
        }
    }

    fn blocking_cause(&self) -> Option<&'static str> {
        if !self.consensus.is_voting() {
            return Some(
                "this planner has lost its consensus state, and another configured planner has not sent its \
                 own state yet; check that all configured planners are up",
            );
        }
        if self.fleet.status.is_none() {
            return Some(
                "the failing endpoints or the spare fetches of the origin are unknown; check that forwarders \
                 reach this planner, and that leases or growth.spare_per_s are configured",
            );
        }
        if !self.fleet.knows_endpoints() {
            return Some(
                "no endpoint is reported by enough forwarders; check that forwarders reach this planner and \
                 have endpoint lists",
            );
        }
        None
    }
}
