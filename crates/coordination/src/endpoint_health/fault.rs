//! Why a letter about caches is passed over.

use thiserror::Error;

use crate::component::Remediation;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum HealthError {
    /// A figure that is negative, not finite, or more than any forwarder can have seen.
    #[error("a figure that no forwarder can have seen")]
    Figure,
    /// One that came before, or after a later one.
    #[error("it came before, or after a later one")]
    Old,
    #[error("more forwarders or caches than there is room for")]
    TooMany,
    #[error("a part that there can't be")]
    Part,
    /// A plan by a forwarder, or a report by a planner.
    #[error("not for its sender to say")]
    NotItsWord,
}

impl Remediation for HealthError {
    fn remediation(&self) -> &'static str {
        match self {
            HealthError::Figure => {
                "A forwarder holds the secret and writes what can't be: look which program and version runs there."
            }
            HealthError::Old => {
                "Nothing, if a few: networks double and delay letters. If many, look at the network."
            }
            HealthError::TooMany => {
                "Count the fleet's forwarders (4,096 at most) and caches (2,048 at most): past these the fleet has \
                 to be parted, each part with planners of its own."
            }
            HealthError::Part => "Look whether all members run the same version of the program.",
            HealthError::NotItsWord => {
                "Look whether two members have the same name or number, and which program speaks with the secret."
            }
        }
    }
}
