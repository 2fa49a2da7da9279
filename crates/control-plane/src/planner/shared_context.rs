//! What all tasks of a planner need to know. The message router publishes it, and only the latest value matters, so no
//! queue is needed and none can be full.

use std::sync::Arc;

use granitelb_coordination::{Incarnation, Member};

use crate::fleet_config::FleetConfig;

/// The state of the planner that its components depend on.
#[derive(Clone, Debug)]
pub(super) struct SharedContext {
    /// The incarnation that outgoing messages carry.
    pub(super) incarnation: Incarnation,
    /// The other members that are alive, in order.
    pub(super) alive_members: Arc<[Member]>,
    pub(super) fleet_config: Arc<FleetConfig>,
    /// Increases whenever all components have to be recreated.
    pub(super) generation: u64,
    pub(super) is_stopping: bool,
}
