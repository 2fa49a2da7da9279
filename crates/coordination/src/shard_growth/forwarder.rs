//! The forwarder's side of shard growth: counts the finished attempts of each shard, reports the counts to
//! planners in rounds, and holds the shard map.
//!
//! Each round covers all shards. A report holds all counts of a shard since the day began, so a later report
//! replaces one that was lost. The previous day is reported for two more rounds. Memory is bounded by the
//! number of shards and does not grow with the number of keys or requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::ShardMap;
use granitelb_balancer::slot_table::{key_hash, shard_of};
use granitelb_balancer::time::{Span, Time};

use super::accounting_day::AccountingDay;
use super::endpoints::{EndpointReporter, MAX_ENDPOINTS_PER_MESSAGE};
use super::message::{GrowthError, GrowthMessage};
use super::origin_latency::FetchLatencyTracker;
use super::shard_activity::{RecentlyStoredKeys, ShardActivity};
use super::shard_map::{SHARD_COUNT, ShardId, ShardMapVersion, VersionedShardMap};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::{FinishedAttempt, Observation};

/// The intervals at which a forwarder reports.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// The time in which each shard is reported once.
    pub report_round: Span,
    /// The interval at which the applied version of the shard map is reported.
    pub heartbeat_interval: Span,
    /// A cache miss counts as an eviction if the key was read successfully within this time and not written
    /// since.
    pub eviction_window: Span,
    /// The interval at which all known endpoints are reported.
    pub endpoint_report_interval: Span,
    /// The time constant of the exponential decay of a fetch's weight in the origin's latency statistics.
    pub fetch_time_constant: Span,
}

impl Default for ForwarderSettings {
    fn default() -> ForwarderSettings {
        ForwarderSettings {
            report_round: Span::from_millis(3_600_000),
            heartbeat_interval: Span::from_millis(10_000),
            eviction_window: Span::from_millis(600_000),
            endpoint_report_interval: Span::from_millis(30_000),
            fetch_time_constant: Span::from_millis(60_000),
        }
    }
}

/// The maximum number of messages queued for sending. While more than half as many are queued, no further
/// shard is reported.
const MAX_OUTBOUND_MESSAGES: usize = 128;

/// The maximum number of events queued for the log.
const MAX_EVENTS: usize = 16;

/// The interval at which endpoints are checked for a change, such as the end of a warm-up.
const ENDPOINT_CHECK_INTERVAL: Span = Span::from_millis(1000);

/// The number of rounds for which a day is still reported after its end.
const PREVIOUS_DAY_ROUNDS: usize = 2;

/// The counts of the day before the present one, and the time until which they are reported.
#[derive(Debug)]
struct PreviousDay {
    day: AccountingDay,
    shards: BTreeMap<ShardId, ShardActivity>,
    reported_until: Time,
}

/// The shard growth component of a forwarder.
#[derive(Debug)]
pub struct ForwarderComponent {
    settings: ForwarderSettings,
    /// The live planners.
    planners: BTreeSet<PlannerId>,
    /// The present day by the calendar of the live planner with the lowest number; none before it was
    /// received.
    day: Option<AccountingDay>,
    shards_today: BTreeMap<ShardId, ShardActivity>,
    previous_day: Option<PreviousDay>,
    stored_keys: RecentlyStoredKeys,
    fetch_latency: FetchLatencyTracker,
    shard_map: VersionedShardMap,
    endpoints: EndpointReporter,
    endpoint_check_due: Time,
    next_shard: ShardId,
    next_shard_due: Time,
    heartbeat_due: Time,
    outbound: VecDeque<(Member, GrowthMessage)>,
    events: VecDeque<Event>,
}

impl ForwarderComponent {
    /// Creates the component of forwarder `me` with no counts, endpoints or shard map.
    pub fn new(
        settings: ForwarderSettings,
        me: ForwarderId,
        incarnation: Incarnation,
        now: Time,
    ) -> ForwarderComponent {
        ForwarderComponent {
            settings,
            planners: BTreeSet::new(),
            day: None,
            shards_today: BTreeMap::new(),
            previous_day: None,
            stored_keys: RecentlyStoredKeys::default(),
            fetch_latency: FetchLatencyTracker::default(),
            shard_map: VersionedShardMap::default(),
            endpoints: EndpointReporter::default(),
            endpoint_check_due: now,
            // Forwarders that start together begin their rounds at different shards, which spreads their
            // reports.
            next_shard: ShardId((me.0 ^ incarnation.0) as u8),
            next_shard_due: now,
            heartbeat_due: now,
            outbound: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Records an observation of the node's event loop.
    pub fn on_observation(&mut self, now: Time, observation: &Observation) {
        match observation {
            Observation::AttemptFinished(attempt) => self.on_attempt_finished(now, attempt),
            Observation::EndpointsChanged(endpoints) => {
                self.endpoints.set_endpoints(endpoints);
                self.endpoint_check_due = now;
            }
            Observation::AttemptSent { .. } | Observation::FetchDenied => {}
        }
    }

    /// The shard map for the node's balancer; none before a planner has sent one.
    pub fn shard_map(&self) -> Option<ShardMap> {
        if self.shard_map.version == ShardMapVersion(0) {
            return None;
        }
        Some(self.shard_map.to_balancer_shard_map())
    }

    fn on_attempt_finished(&mut self, now: Time, attempt: &FinishedAttempt) {
        if attempt.is_origin {
            self.fetch_latency.on_attempt_finished(now, attempt, self.settings.fetch_time_constant);
        }
        let key_hash = key_hash(attempt.key);
        let shard = ShardId(shard_of(attempt.key));
        let was_stored = self.stored_keys.contains(key_hash, now, self.settings.eviction_window);
        self.shards_today.entry(shard).or_default().on_attempt_finished(attempt, key_hash, was_stored);
        self.stored_keys.on_attempt_finished(now, attempt, key_hash);
    }

    fn advance(&mut self, now: Time) {
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.settings.heartbeat_interval;
            self.send_heartbeat(now);
        }
        if now >= self.endpoint_check_due && !self.planners.is_empty() {
            self.endpoint_check_due = now + ENDPOINT_CHECK_INTERVAL;
            self.report_endpoints(now);
        }
        // With a long poll interval several shards are due at once. All of them are reported, since a day has
        // to be reported in full before planners close it.
        while now >= self.next_shard_due && self.outbound.len() <= MAX_OUTBOUND_MESSAGES / 2 {
            self.schedule_next_shard(now);
            self.report_next_shard(now);
        }
    }

    fn send_heartbeat(&mut self, now: Time) {
        let version = self.shard_map.version;
        self.send_to_planners(&GrowthMessage::AppliedVersion { version });
        if self.fetch_latency.is_origin_slow(now, self.settings.fetch_time_constant) {
            self.send_to_planners(&GrowthMessage::OriginSlow);
        }
    }

    fn report_endpoints(&mut self, now: Time) {
        let report = self.endpoints.poll_report(now, self.settings.endpoint_report_interval);
        for part in report.chunks(MAX_ENDPOINTS_PER_MESSAGE) {
            self.send_to_planners(&GrowthMessage::Endpoints { endpoints: part.to_vec() });
        }
    }

    /// Schedules the report of the shard that follows the one due now. After a pause in polling, the overdue
    /// reports of one round at most are made up for.
    fn schedule_next_shard(&mut self, now: Time) {
        let round = self.settings.report_round.0;
        let round_ago = now.0.saturating_sub(round);
        let due = Time(self.next_shard_due.0.max(round_ago));
        self.next_shard_due = due + Span((round / SHARD_COUNT as u64).max(1));
    }

    /// Queues the reports of the present and the previous day of the next shard.
    fn report_next_shard(&mut self, now: Time) {
        let shard = self.next_shard;
        self.next_shard = ShardId(shard.0.wrapping_add(1));
        self.previous_day.take_if(|previous| now >= previous.reported_until);
        let mut messages = Vec::new();
        if let (Some(day), Some(activity)) = (self.day, self.shards_today.get(&shard)) {
            messages.extend(activity.messages(day, shard));
        }
        if let Some(previous) = &self.previous_day
            && let Some(activity) = previous.shards.get(&shard)
        {
            messages.extend(activity.messages(previous.day, shard));
        }
        for message in &messages {
            self.send_to_planners(message);
        }
    }

    fn send_to_planners(&mut self, message: &GrowthMessage) {
        for planner in &self.planners {
            if self.outbound.len() < MAX_OUTBOUND_MESSAGES {
                self.outbound.push_back((Member::Planner(*planner), message.clone()));
            }
        }
    }

    fn on_current_day(&mut self, now: Time, planner: PlannerId, day: AccountingDay) {
        // Only the calendar of the planner with the lowest number is used: if all were, any planner with a
        // wrong clock could begin a day too early.
        let is_first_planner = self.planners.first().is_none_or(|first| *first == planner);
        if !is_first_planner || self.day.is_some_and(|known| day <= known) {
            return;
        }
        if let Some(ended) = self.day {
            let mut reported_until = now;
            for _ in 0..PREVIOUS_DAY_ROUNDS {
                reported_until = reported_until + self.settings.report_round;
            }
            let shards = std::mem::take(&mut self.shards_today);
            self.previous_day = Some(PreviousDay { day: ended, shards, reported_until });
        }
        self.day = Some(day);
    }

    fn on_shard_map(&mut self, now: Time, shard_map: VersionedShardMap) -> Result<(), GrowthError> {
        if !shard_map.is_valid() {
            return Err(GrowthError::InvalidValue);
        }
        if shard_map.version > self.shard_map.version {
            let message = format!("this forwarder now applies shard map version {}", shard_map.version.0);
            self.events.truncate(MAX_EVENTS - 1);
            self.events.push_back(Event { name: "shard_map_applied", message, is_warning: false });
            self.shard_map = shard_map;
            self.heartbeat_due = now;
        }
        Ok(())
    }
}

impl Component for ForwarderComponent {
    type Message = GrowthMessage;
    type Error = GrowthError;

    fn on_message(&mut self, now: Time, from: Sender, message: GrowthMessage) -> Result<(), GrowthError> {
        let Member::Planner(planner) = from.member else { return Err(GrowthError::UnexpectedSender) };
        match message {
            GrowthMessage::CurrentDay { day } => {
                self.on_current_day(now, planner, day);
                Ok(())
            }
            GrowthMessage::ShardMap { shard_map } => self.on_shard_map(now, shard_map),
            _ => Err(GrowthError::UnexpectedSender),
        }
    }

    fn on_membership_change(&mut self, now: Time, alive: &[Member]) {
        let planners: BTreeSet<PlannerId> = alive
            .iter()
            .filter_map(|member| match member {
                Member::Planner(id) => Some(*id),
                Member::Forwarder(_) => None,
            })
            .collect();
        if !planners.is_subset(&self.planners) {
            // A planner that has joined may have no reports of endpoints yet.
            self.endpoints.request_full_report();
            self.endpoint_check_due = now;
        }
        self.planners = planners;
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, GrowthMessage)> {
        self.advance(now);
        self.outbound.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.outbound.is_empty() {
            return Some(now);
        }
        let due = self.next_shard_due.min(self.heartbeat_due).min(self.endpoint_check_due);
        Some(due.max(now))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    fn entries(&self) -> usize {
        self.shards_today.len()
            + self.endpoints.entries()
            + self.previous_day.as_ref().map_or(0, |previous| previous.shards.len())
            + self.stored_keys.entries()
            + self.outbound.len()
            + self.events.len()
    }
}
