//! Sends the accounting day and the shard map to forwarders, and closed days and decisions to other planners.

use granitelb_balancer::time::Time;

use super::PlannerComponent;
use crate::member::{Member, PlannerId};
use crate::shard_growth::accounting_day::AccountingDay;
use crate::shard_growth::message::{GrowthMessage, MAX_DAYS_PER_MESSAGE};
use crate::shard_growth::shard_map::ShardMapVersion;

/// The shard map version that a forwarder applies, and whether the forwarder was sent a newer one.
#[derive(Clone, Copy, Debug)]
pub(super) struct ForwarderProgress {
    /// The applied version that the forwarder reported last.
    pub(super) applied: ShardMapVersion,
    /// Whether the forwarder was sent the latest shard map since its last report.
    pub(super) was_sent_latest: bool,
}

impl PlannerComponent {
    pub(super) fn send_heartbeats(&mut self, now: Time, today: AccountingDay) {
        self.heartbeat_due = now + self.settings.heartbeat_interval;
        for planner in self.other_live_planners() {
            self.consensus.synchronize(planner);
        }
        for forwarder in self.forwarders.keys() {
            self.outbox.send(Member::Forwarder(*forwarder), GrowthMessage::CurrentDay { day: today });
        }
        self.send_closed_days();
        self.fleet.expire_endpoint_reports(now, &self.settings);
        self.fleet.update_endpoints();
    }

    /// Sends the latest shard map to each forwarder that has reported an older version since the map was last
    /// sent to it.
    pub(super) fn send_shard_maps(&mut self) {
        let shard_map = self.consensus.decided();
        for (forwarder, progress) in &mut self.forwarders {
            if progress.applied >= shard_map.version || progress.was_sent_latest {
                continue;
            }
            if self.outbox.is_full() {
                break;
            }
            let message = GrowthMessage::ShardMap { shard_map: shard_map.clone() };
            self.outbox.send(Member::Forwarder(*forwarder), message);
            progress.was_sent_latest = true;
        }
    }

    /// Sends the next part of the closed days to the other live planners, in case they lack some of these
    /// days.
    fn send_closed_days(&mut self) {
        let Some(part) = self.history.part_after(self.history_cursor, MAX_DAYS_PER_MESSAGE) else {
            self.history_cursor = None;
            return;
        };
        for planner in self.other_live_planners() {
            let message = GrowthMessage::ClosedDays { shard: part.cursor.shard, days: part.days.clone() };
            self.outbox.send(Member::Planner(planner), message);
        }
        self.history_cursor = Some(part.cursor);
    }

    fn other_live_planners(&self) -> Vec<PlannerId> {
        self.fleet.live_planners.iter().copied().filter(|planner| *planner != self.me).collect()
    }
}
