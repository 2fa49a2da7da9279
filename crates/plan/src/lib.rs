//! The two levels: forwarders say what they saw of each cache, planners merge that into one view and say what it
//! means, and a forwarder takes what they say as information. Free of I/O and clocks: inputs update what is known,
//! the host pulls what follows. `fleet` plays many forwarders, planners and a lossy network from a seed.

pub mod fleet;
mod follower;
mod planner;
mod report;
mod view;
pub mod wire;

pub use follower::{Follower, PlannerId};
pub use planner::{Epoch, Plan, Planner, Settings, Version};
pub use report::{ForwarderId, Life, Nonsense, Report, Seen};
pub use view::Verdict;
