//! What all tasks of a planner have to know. The post tells it; the last one told is all that there is to know, so no
//! queue is needed and none can be full.

use std::sync::Arc;

use granitelb_coordination::{Incarnation, Member};

use crate::fleet_config::FleetConfig;

#[derive(Clone, Debug)]
pub struct Situation {
    /// Which letters bear.
    pub incarnation: Incarnation,
    /// The others, in order.
    pub alive: Arc<[Member]>,
    pub operator: Arc<FleetConfig>,
    /// Rises whenever all faculties have to be made anew.
    pub made: u64,
    pub stopping: bool,
}
