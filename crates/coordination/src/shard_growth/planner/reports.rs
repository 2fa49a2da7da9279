//! Handles messages of forwarders and other planners.

use granitelb_balancer::time::Time;

use super::PlannerComponent;
use super::distribution::ForwarderProgress;
use crate::member::{ForwarderId, Incarnation, PlannerId};
use crate::shard_growth::accounting_day::AccountingDay;
use crate::shard_growth::consensus::ConsensusMessage;
use crate::shard_growth::endpoints::ReportedEndpoint;
use crate::shard_growth::history::ClosedDay;
use crate::shard_growth::message::{
    GrowthError, GrowthMessage, MAX_DAYS_PER_MESSAGE, MAX_REGISTERS_PER_MESSAGE,
};
use crate::shard_growth::shard_day::{MAX_INCARNATIONS, ShardCounters, SketchKind};
use crate::shard_growth::shard_map::{ShardId, ShardMapVersion};
use crate::shard_growth::sketch::REGISTER_COUNT;

/// The greatest valid value of a sketch register.
const MAX_REGISTER_VALUE: u8 = 64;

/// The lowest invalid number of values in a shard's counters.
const SIZED_RESPONSES_LIMIT: u64 = 1 << 40;

/// The greatest valid mean size of a value, in bytes.
const MAX_MEAN_BYTES: u64 = 1 << 32;

impl PlannerComponent {
    pub(super) fn on_consensus_message(
        &mut self,
        now: Time,
        from: PlannerId,
        message: ConsensusMessage,
    ) -> Result<(), GrowthError> {
        if !self.settings.planners.contains(&from) || from == self.me {
            return Err(GrowthError::UnexpectedSender);
        }
        let decided_before = self.consensus.decided().version;
        let result = self.consensus.on_message(from, message);
        if self.consensus.decided().version > decided_before {
            self.proposal_due = now;
        }
        result
    }

    pub(super) fn on_forwarder_message(
        &mut self,
        now: Time,
        forwarder: ForwarderId,
        incarnation: Incarnation,
        message: GrowthMessage,
    ) -> Result<(), GrowthError> {
        let today = self.calendar.moment(self.settings.day_length, now).day;
        match message {
            GrowthMessage::Sketch { day, shard, kind, registers } => {
                self.on_sketch(today, day, shard, kind, &registers)
            }
            GrowthMessage::Counters { day, counters } => {
                self.on_counters(today, day, (forwarder, incarnation), &counters)
            }
            GrowthMessage::AppliedVersion { version } => self.on_applied_version(forwarder, version),
            GrowthMessage::OriginSlow => {
                self.fleet.slow_origin.on_report(now, forwarder, &self.fleet.live_forwarders);
                Ok(())
            }
            GrowthMessage::Endpoints { endpoints } => self.on_endpoints(now, forwarder, &endpoints),
            GrowthMessage::CurrentDay { .. }
            | GrowthMessage::ShardMap { .. }
            | GrowthMessage::Consensus(_)
            | GrowthMessage::ClosedDays { .. } => Err(GrowthError::UnexpectedSender),
        }
    }

    /// Adds closed days of another planner to the history.
    pub(super) fn on_closed_days(
        &mut self,
        from: PlannerId,
        shard: ShardId,
        days: &[ClosedDay],
    ) -> Result<(), GrowthError> {
        if !self.settings.planners.contains(&from) {
            return Err(GrowthError::UnexpectedSender);
        }
        if days.len() > MAX_DAYS_PER_MESSAGE || !days.iter().all(is_valid_day) {
            return Err(GrowthError::InvalidValue);
        }
        if self.history.merge_closed_days(shard, days, self.last_closed_day) {
            self.history_needs_snapshot = true;
            self.forecasts.refresh(shard);
        }
        Ok(())
    }

    fn on_sketch(
        &mut self,
        today: AccountingDay,
        day: AccountingDay,
        shard: ShardId,
        kind: SketchKind,
        registers: &[(u16, u8)],
    ) -> Result<(), GrowthError> {
        if registers.len() > MAX_REGISTERS_PER_MESSAGE || !registers.iter().all(is_valid_register) {
            return Err(GrowthError::InvalidValue);
        }
        let sketch = self.history.open_day_mut(today, day, shard)?.sketch_mut(kind);
        for (register, value) in registers {
            sketch.raise(*register, *value);
        }
        Ok(())
    }

    /// Raises the counters of several shards. If one shard's counters are rejected for a closed day or a
    /// reached limit, the counters before it still count.
    fn on_counters(
        &mut self,
        today: AccountingDay,
        day: AccountingDay,
        from: (ForwarderId, Incarnation),
        counters: &[(ShardId, ShardCounters)],
    ) -> Result<(), GrowthError> {
        if !counters.iter().all(|(_, counters)| are_valid_counters(counters)) {
            return Err(GrowthError::InvalidValue);
        }
        for (shard, counters) in counters {
            self.history.raise_counters(today, day, *shard, from, counters)?;
        }
        Ok(())
    }

    fn on_applied_version(
        &mut self,
        forwarder: ForwarderId,
        version: ShardMapVersion,
    ) -> Result<(), GrowthError> {
        if self.forwarders.len() >= MAX_INCARNATIONS && !self.forwarders.contains_key(&forwarder) {
            return Err(GrowthError::CapacityExceeded);
        }
        self.forwarders.insert(forwarder, ForwarderProgress { applied: version, was_sent_latest: false });
        Ok(())
    }

    fn on_endpoints(
        &mut self,
        now: Time,
        forwarder: ForwarderId,
        report: &[ReportedEndpoint],
    ) -> Result<(), GrowthError> {
        let result = self.fleet.on_endpoint_report(now, forwarder, report);
        // The endpoints are updated at once only while a split is in progress, since it must not advance on
        // an endpoint that has just begun to warm up, or while no endpoints are known. Otherwise the next
        // heartbeat updates them.
        let is_any_splitting = self.shard_map().shards.values().any(|layout| layout.phase.is_some());
        if is_any_splitting || !self.fleet.knows_endpoints() {
            self.fleet.update_endpoints();
        }
        result
    }
}

fn is_valid_register((register, value): &(u16, u8)) -> bool {
    usize::from(*register) < REGISTER_COUNT && *value <= MAX_REGISTER_VALUE
}

fn are_valid_counters(counters: &ShardCounters) -> bool {
    counters.bytes <= counters.sized_responses.saturating_mul(MAX_MEAN_BYTES)
        && counters.sized_responses < SIZED_RESPONSES_LIMIT
}

fn is_valid_day(closed: &ClosedDay) -> bool {
    closed.bytes.is_finite() && closed.bytes >= 0.0 && closed.keys.is_finite() && closed.keys >= 0.0
}
