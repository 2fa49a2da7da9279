//! The planner's side of shard growth: merges the reports of forwarders, closes days, and forecasts one shard
//! at a time. The leader proposes the next change of the split schedule. Each planner sends the decided shard
//! map to forwarders.
//!
//! The leader is the live planner with the lowest number. If two planners consider themselves the leader for
//! a while, decisions are delayed, but a version never has two shard maps.
//!
//! Invariant: no message is sent before the state that it reports is persisted, as
//! [`consensus`](super::consensus) requires: [`Component::poll_message`] returns none until
//! [`Component::poll_snapshot`] was called.

mod distribution;
mod events;
mod fleet_view;
mod forecasts;
mod outbox;
mod proposals;
mod reports;
mod settings;

use std::collections::BTreeMap;

use granitelb_balancer::time::Time;

pub use fleet_view::FleetStatus;
pub use settings::PlannerSettings;

use distribution::ForwarderProgress;
use fleet_view::FleetView;
use forecasts::CapacityForecasts;
use outbox::{EventLog, Outbox};

use super::accounting_day::{AccountingDay, Calendar, CalendarMoment};
use super::capacity_forecast::CapacityForecast;
use super::consensus::Consensus;
use super::history::{GrowthHistory, HistoryCursor};
use super::message::{GrowthError, GrowthMessage};
use super::shard_map::{ShardId, ShardMapVersion, VersionedShardMap};
use super::snapshot::{Snapshot, SnapshotError};
use super::split_schedule::SplitSchedule;
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};

/// A planner that starts treats each day as closed that lies at least this many days before the present day.
const OPEN_DAYS_AT_START: u32 = 2;

/// The shard growth component of a planner.
#[derive(Debug)]
pub struct PlannerComponent {
    settings: PlannerSettings,
    me: PlannerId,
    calendar: Calendar,
    history: GrowthHistory,
    consensus: Consensus,
    schedule: SplitSchedule,
    fleet: FleetView,
    forwarders: BTreeMap<ForwarderId, ForwarderProgress>,
    forecasts: CapacityForecasts,
    last_closed_day: AccountingDay,
    /// The part of the closed days that was last sent to other planners; none before the first part.
    history_cursor: Option<HistoryCursor>,
    heartbeat_due: Time,
    proposal_due: Time,
    /// When the leader became unable to decide on splits, or when this was last logged; none while it can
    /// decide.
    blocked_since: Option<Time>,
    last_proposed: Option<VersionedShardMap>,
    history_needs_snapshot: bool,
    /// The last decided shard map that `on_decided` has handled.
    last_handled_decision: VersionedShardMap,
    last_migration_version: ShardMapVersion,
    outbox: Outbox,
    events: EventLog,
}

impl PlannerComponent {
    /// Creates the component of planner `me` from the snapshot that the planner persisted last, if there is
    /// one.
    ///
    /// # Errors
    /// The snapshot cannot be read. The caller has to preserve the snapshot and must not overwrite it.
    pub fn new(
        settings: PlannerSettings,
        me: PlannerId,
        incarnation: Incarnation,
        now: Time,
        calendar: Calendar,
        snapshot: Option<&[u8]>,
    ) -> Result<PlannerComponent, SnapshotError> {
        let snapshot = snapshot.map(Snapshot::from_bytes).transpose()?.unwrap_or_default();
        let consensus = Consensus::new(me, incarnation, settings.planners.clone(), snapshot.consensus);
        let history = GrowthHistory::from_closed_days(snapshot.history);
        let mut forecasts = CapacityForecasts::default();
        forecasts.refresh_all(&history);
        let today = calendar.moment(settings.day_length, now).day;
        Ok(PlannerComponent {
            schedule: SplitSchedule::new(settings.schedule.clone()),
            last_handled_decision: consensus.decided().clone(),
            settings,
            me,
            calendar,
            history,
            consensus,
            fleet: FleetView::new(me),
            forwarders: BTreeMap::new(),
            forecasts,
            last_closed_day: AccountingDay(today.0.saturating_sub(OPEN_DAYS_AT_START)),
            history_cursor: None,
            heartbeat_due: now,
            proposal_due: now,
            blocked_since: None,
            last_proposed: None,
            history_needs_snapshot: false,
            last_migration_version: ShardMapVersion(0),
            outbox: Outbox::default(),
            events: EventLog::default(),
        })
    }

    /// Sets the present fleet status. While the status is unknown (`None`), no split advances or is
    /// withdrawn.
    pub fn set_fleet_status(&mut self, status: Option<FleetStatus>) {
        self.fleet.status = status;
    }

    /// Requests, for an operator, that a shard's split is withdrawn. Only the request at the leading planner
    /// takes effect.
    pub fn request_withdrawal(&mut self, shard: ShardId) {
        self.schedule.request_withdrawal(shard);
    }

    /// The last decided shard map that this planner has learned.
    pub fn shard_map(&self) -> &VersionedShardMap {
        self.consensus.decided()
    }

    /// The last version that moved keys, of the versions that this incarnation has learned: a split began or
    /// finished migrating keys, or was withdrawn. Copying steps in between do not count: each moves so few
    /// keys that earlier observations stay valid for the other keys.
    pub fn last_migration_version(&self) -> ShardMapVersion {
        self.last_migration_version
    }

    /// Whether this planner considers itself the leader.
    pub fn is_leader(&self) -> bool {
        self.fleet.live_planners.first() == Some(&self.me)
    }

    /// The forecast of when a shard outgrows its capacity; the default forecast, with no days, if there is
    /// none.
    pub fn capacity_forecast(&self, shard: ShardId) -> CapacityForecast {
        self.forecasts.get(shard)
    }

    fn advance(&mut self, now: Time) {
        let moment = self.calendar.moment(self.settings.day_length, now);
        self.close_days(moment);
        if now >= self.heartbeat_due {
            self.send_heartbeats(now, moment.day);
        }
        self.forecasts.advance(&self.history, self.consensus.decided(), self.settings.shard_capacity_bytes);
        self.propose_next_change(now, moment);
        self.send_shard_maps();
        self.on_decided();
    }

    /// Closes yesterday once enough of the present day has elapsed.
    fn close_days(&mut self, moment: CalendarMoment) {
        let yesterday = AccountingDay(moment.day.0.saturating_sub(1));
        let is_due = moment.elapsed_fraction >= self.settings.day_close_fraction;
        if yesterday <= self.last_closed_day || !is_due {
            return;
        }
        self.last_closed_day = yesterday;
        if self.history.close_days(yesterday) {
            self.history_needs_snapshot = true;
        }
        self.forecasts.refresh_all(&self.history);
    }
}

impl Component for PlannerComponent {
    type Message = GrowthMessage;
    type Error = GrowthError;

    fn on_message(&mut self, now: Time, from: Sender, message: GrowthMessage) -> Result<(), GrowthError> {
        match (from.member, message) {
            (Member::Planner(planner), GrowthMessage::Consensus(message)) => {
                self.on_consensus_message(now, planner, message)
            }
            (Member::Planner(planner), GrowthMessage::ClosedDays { shard, days }) => {
                self.on_closed_days(planner, shard, &days)
            }
            (Member::Planner(_), _) => Err(GrowthError::UnexpectedSender),
            (Member::Forwarder(forwarder), message) => {
                self.on_forwarder_message(now, forwarder, from.incarnation, message)
            }
        }
    }

    fn on_membership_change(&mut self, _: Time, alive: &[Member]) {
        self.fleet.on_membership_change(self.me, &self.settings.planners, alive);
        self.forwarders.retain(|forwarder, _| self.fleet.live_forwarders.contains(forwarder));
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, GrowthMessage)> {
        self.advance(now);
        if self.history_needs_snapshot || self.consensus.needs_snapshot() {
            return None;
        }
        if let Some((planner, message)) = self.consensus.poll_message() {
            return Some((Member::Planner(planner), GrowthMessage::Consensus(message)));
        }
        self.outbox.pop()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let is_busy = !self.outbox.is_empty() || self.forecasts.has_pending();
        Some(if is_busy { now } else { self.heartbeat_due.max(now) })
    }

    fn poll_snapshot(&mut self) -> Option<Vec<u8>> {
        let consensus_changed = self.consensus.poll_snapshot().is_some();
        let history_changed = std::mem::take(&mut self.history_needs_snapshot);
        if !consensus_changed && !history_changed {
            return None;
        }
        // A planner that is still recovering its acceptor state persists only its history.
        let is_voting = self.consensus.is_voting();
        let consensus = is_voting.then(|| self.consensus.acceptor_state().clone());
        Some(Snapshot { consensus, history: self.history.closed_days() }.to_bytes())
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop()
    }

    fn entries(&self) -> usize {
        self.forwarders.len()
            + self.forecasts.entries()
            + self.fleet.entries()
            + self.outbox.entries()
            + self.events.entries()
            + self.history.entries()
            + self.consensus.entries()
            + self.schedule.entries()
    }
}
