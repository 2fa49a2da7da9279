//! The log events of a planner, and what follows from each decision.

use std::collections::BTreeSet;

use super::PlannerComponent;
use crate::shard_growth::shard_map::{ShardId, ShardLayout, SplitPhase, VersionedShardMap};
use crate::shard_growth::split_schedule::ProposedChange;

impl PlannerComponent {
    pub(super) fn log_proposal(&mut self, change: &ProposedChange) {
        let ProposedChange { shard, from, to, reason, .. } = change;
        let message = format!("shard {}: from {from} to {to} is proposed: {reason}", shard.0);
        self.log_split("shard_split_proposed", message, *to);
    }

    pub(super) fn log_blocked(&mut self, missing: &str) {
        self.events.warn("shard_split_blocked", format!("splits wait: {missing} is not known"));
    }

    /// Handles the last decision, once for each version that this planner has seen decided.
    pub(super) fn on_decided(&mut self) {
        if self.consensus.decided().version == self.last_seen_decision.version {
            return;
        }
        let decided = self.consensus.decided().clone();
        let before = std::mem::replace(&mut self.last_seen_decision, decided.clone());
        let shards: BTreeSet<ShardId> = decided.shards.keys().chain(before.shards.keys()).copied().collect();
        for shard in shards {
            self.on_layout_change(shard, before.layout(shard), &decided);
        }
        // Messages with an earlier map may have been lost: all forwarders that apply an older one are sent this one.
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
        let message = format!("shard map version {}: shard {} in {parts} parts, {to}", version.0, shard.0);
        self.log_split("shard_split_decided", message, to);
        if from.bits != to.bits {
            self.forecasts.invalidate(shard);
        }
    }

    /// A withdrawn split is worth an operator's attention.
    fn log_split(&mut self, name: &'static str, message: String, to: ShardLayout) {
        if to.phase == Some(SplitPhase::Withdrawn) {
            self.events.warn(name, message);
        } else {
            self.events.info(name, message);
        }
    }
}
