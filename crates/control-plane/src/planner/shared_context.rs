//! The state that all tasks of a planner read. The message router publishes this state. Only its latest value
//! matters, so it is published without a queue, which could be full.

use std::sync::Arc;

use granitelb_coordination::{Incarnation, Member};

use crate::fleet_config::FleetConfig;

/// The state of the planner on which its components depend.
#[derive(Clone, Debug)]
pub(super) struct SharedContext {
    /// The incarnation that outgoing messages carry.
    pub(super) incarnation: Incarnation,
    /// The other members that are alive, in ascending order.
    pub(super) alive_members: Arc<[Member]>,
    /// The fleet configuration in force.
    pub(super) fleet_config: Arc<FleetConfig>,
    /// Increases whenever all components have to be recreated.
    pub(super) generation: u64,
    /// Whether the planner stops and all components have to end.
    pub(super) is_stopping: bool,
}
