//! New incarnations of the planner: after a panic, when other members declared the planner failed, and when
//! its configuration changes.
//!
//! A new incarnation voids all commitments that the planner made under earlier incarnations.

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

/// The delay before a failed attempt to store the incarnation is repeated.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

impl MessageRouter {
    /// Resets the router after a panic: the step that panicked and all commitments are void.
    pub(super) fn reset(&mut self) {
        let now = self.clock.now();
        self.blocked_message = None;
        self.members = Membership::new(Member::Planner(self.me), self.incarnation, now);
        let fleet_config = self.fleet_config();
        self.members.set_planners(now, fleet_config.planners.keys().copied());
        self.renew();
    }

    /// Takes a greater incarnation, under which all components are recreated.
    pub(super) fn renew(&mut self) {
        let incarnation = Incarnation(self.clock.now().0).max(self.members.min_next_incarnation());
        self.incarnation = incarnation;
        self.members.renew(incarnation);
        log::warn!(
            event = "incarnation_changed", incarnation = incarnation.0;
            "this planner continues under the new incarnation {}; its earlier commitments are void", incarnation.0
        );
        // Nothing waits until the incarnation is stored: only a restart whose clock is set back needs the
        // stored one.
        self.incarnation_to_store.send_replace(incarnation);
        self.context.send_modify(|context| {
            context.incarnation = incarnation;
            context.generation += 1;
        });
    }

    /// Applies a new fleet configuration.
    pub(super) fn reload(&mut self, fleet_config: Arc<FleetConfig>) {
        let has_component_changes = !fleet_config.has_same_component_settings(&self.fleet_config());
        self.members.set_planners(self.clock.now(), fleet_config.planners.keys().copied());
        self.context.send_modify(|context| context.fleet_config = fleet_config);
        if has_component_changes {
            // Commitments made under the former settings are void, and the new incarnation waits until they
            // expire.
            self.renew();
        }
    }
}

/// Starts the task that stores the latest incarnation. The task stores incarnations one after the other, so
/// that an earlier incarnation never overwrites a later one.
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

/// Stores the latest incarnation, and retries until the incarnation is stored.
async fn store_latest_incarnation(storage: &StorageWriter, incarnations: &mut watch::Receiver<Incarnation>) {
    let mut is_failure_logged = false;
    loop {
        let incarnation = *incarnations.borrow_and_update();
        let Err(error) = store_incarnation(storage, incarnation).await else { return };
        if !is_failure_logged {
            is_failure_logged = true;
            log::error!(
                event = "snapshot_write_failed", task = MEMBERSHIP_TASK_NAME;
                "the planner's incarnation {} can't be stored: {error}. {} Until it is stored, a restart with a clock that \
                 was set back may use a lesser incarnation, and other members would reject the planner's messages.",
                incarnation.0, error.remediation()
            );
        }
        sleep(STORE_RETRY_INTERVAL).await;
    }
}
