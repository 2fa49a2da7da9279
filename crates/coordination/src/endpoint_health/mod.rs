//! Which caches fail: forwarders report what came of their shots, planners merge that into one view of each cache and say
//! what it means, and a forwarder takes it as information.
//!
//! A report and a plan each make sense alone: a lost one is made up by the next. What is too long for a letter goes in
//! parts ([`part::Part`]) of one number or version; parts come in any order, each counts once, and none makes another
//! look old. While a plan's newest version is not whole the one before counts for the caches that it does not name.

mod fault;
mod follower;
mod part;
mod planner;
mod report;
mod sides;
mod view;

use serde::{Deserialize, Serialize};

pub use fault::HealthError;
pub use follower::Follower;
pub use part::Part;
pub use planner::{MOST_CACHES, Plan, Planner, Settings, Version};
pub use report::{Report, Seen};
pub use sides::{ForwarderComponent, PlannerComponent};
pub use view::HealthStatus;

/// What passes between the two sides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    Report(Report),
    Plan(Plan),
}
