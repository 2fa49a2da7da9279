//! New incarnations of the planner: after a panic, when others took it for dead, and when its configuration changes.
//!
//! A new incarnation voids everything that the planner committed to under earlier ones.

use std::sync::Arc;
use std::time::Duration;

use granitelb_coordination::component::Remediation;
use granitelb_coordination::membership::Membership;
use granitelb_coordination::{Incarnation, Member};
use tokio::sync::watch;
use tokio::time::sleep;

use super::{MEMBERSHIP_TASK_NAME, MessageRouter};
use crate::fleet_config::FleetConfig;
use crate::planner::state_store::store_incarnation;
use crate::storage::StorageWriter;

const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl MessageRouter {
    /// Resets the router after a panic: its last step and all commitments are void.
    pub(super) fn reset(&mut self) {
        let now = self.clock.now();
        self.blocked_message = None;
        self.members = Membership::new(Member::Planner(self.me), self.incarnation, now);
        let fleet_config = self.fleet_config();
        self.members.set_planners(now, fleet_config.planners.keys().copied());
        self.renew();
    }

    /// Continues under a greater incarnation, with all components recreated.
    pub(super) fn renew(&mut self) {
        let incarnation = Incarnation(self.clock.now().0).max(self.members.min_next_incarnation());
        self.incarnation = incarnation;
        self.members.renew(incarnation);
        log::warn!(
            event = "incarnation_changed", incarnation = incarnation.0;
            "continues as a new planner, under incarnation {}", incarnation.0
        );
        // The stored incarnation matters only to a restart whose clock is set back, so nothing waits for it.
        self.incarnation_to_store.send_replace(incarnation);
        self.context.send_modify(|context| {
            context.incarnation = incarnation;
            context.generation += 1;
        });
    }

    /// Applies a new configuration of the fleet.
    pub(super) fn reload(&mut self, fleet_config: Arc<FleetConfig>) {
        let has_other_decisions = !fleet_config.has_same_component_settings(&self.fleet_config());
        self.members.set_planners(self.clock.now(), fleet_config.planners.keys().copied());
        self.context.send_modify(|context| context.fleet_config = fleet_config);
        if has_other_decisions {
            // Commitments under other settings no longer count, and are waited out.
            self.renew();
        }
    }
}

/// Starts the task that stores the latest incarnation. It stores one after the other, so that a later one is never
/// overwritten by an earlier one.
pub(super) fn spawn_incarnation_writer(
    storage: StorageWriter,
    first: Incarnation,
) -> watch::Sender<Incarnation> {
    let (sender, mut incarnations) = watch::channel(first);
    tokio::spawn(async move {
        while incarnations.changed().await.is_ok() {
            store_latest_incarnation(&storage, &mut incarnations).await;
        }
    });
    sender
}

/// Stores the latest incarnation, and retries until that succeeds.
async fn store_latest_incarnation(storage: &StorageWriter, incarnations: &mut watch::Receiver<Incarnation>) {
    let mut is_failure_logged = false;
    loop {
        let incarnation = *incarnations.borrow_and_update();
        let Err(lost) = store_incarnation(storage, incarnation).await else { return };
        if !is_failure_logged {
            is_failure_logged = true;
            log::error!(
                event = "snapshot_write_failed", task = MEMBERSHIP_TASK_NAME;
                "incarnation {}: {lost}. {} Until it is stored, a restart with a clock that was set back may use a lesser one, and \
                 be rejected.",
                incarnation.0, lost.remediation()
            );
        }
        sleep(STORE_RETRY_INTERVAL).await;
    }
}
