//! The log events of a planner, and the handling of decided shard maps.

use std::collections::BTreeSet;

use super::PlannerComponent;
use crate::shard_growth::shard_map::{ShardId, ShardLayout, SplitPhase, VersionedShardMap};
use crate::shard_growth::split_schedule::ProposedChange;

impl PlannerComponent {
    pub(super) fn log_proposal(&mut self, change: &ProposedChange) {
        let ProposedChange { shard, from, to, reason, .. } = change;
        let message = format!(
            "shard map change proposed: split state of shard {} from {from} to {to}; reason: {reason}",
            shard.0
        );
        self.log_split("shard_split_proposed", message, *to);
    }

    pub(super) fn log_blocked(&mut self, cause: &str) {
        self.events.warn("shard_split_blocked", format!("no shard split can start or advance: {cause}"));
    }

    /// Handles the last decided shard map if this planner has not handled its version yet.
    pub(super) fn on_decided(&mut self) {
        if self.consensus.decided().version == self.last_handled_decision.version {
            return;
        }
        let decided = self.consensus.decided().clone();
        let before = std::mem::replace(&mut self.last_handled_decision, decided.clone());
        let shards: BTreeSet<ShardId> = decided.shards.keys().chain(before.shards.keys()).copied().collect();
        for shard in shards {
            self.on_layout_change(shard, before.layout(shard), &decided);
        }
        // Marks the new map as not sent to any forwarder. Messages with earlier maps may have been lost, so each
        // forwarder that applies an older version is sent this map.
        for progress in self.forwarders.values_mut() {
            progress.was_sent_latest = false;
        }
    }

    fn on_layout_change(&mut self, shard: ShardId, from: ShardLayout, decided: &VersionedShardMap) {
        let to = decided.layout(shard);
        if from == to {
            return;
        }
        let version = decided.version;
        if to.moves_keys_since(from) {
            self.last_migration_version = version;
        }
        let parts = to.part_count();
        let message = format!(
            "shard map version {} was decided: split state of shard {} is {to}; number of parts: {parts}",
            version.0, shard.0
        );
        self.log_split("shard_split_decided", message, to);
        if from.bits != to.bits {
            self.forecasts.invalidate(shard);
        }
    }

    /// Logs a change of a split: a withdrawal as a warning, since an operator should look into its reason.
    fn log_split(&mut self, name: &'static str, message: String, to: ShardLayout) {
        if to.phase == Some(SplitPhase::Withdrawn) {
            self.events.warn(name, message);
        } else {
            self.events.info(name, message);
        }
    }
}
