//! Why a message about endpoints is rejected.

use thiserror::Error;

use crate::component::Remediation;

/// The reason why a report or an update is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum HealthError {
    /// A figure is negative, not finite, or greater than any forwarder can have counted.
    #[error("a figure that no forwarder can have counted")]
    InvalidFigure,
    /// The message is a duplicate, or older than one that was accepted before.
    #[error("it is a duplicate, or older than one that was accepted before")]
    Stale,
    /// There is no room for the message's sender or endpoints.
    #[error("more forwarders or caches than the program supports")]
    CapacityExceeded,
    /// The fragment's index or count is out of range.
    #[error("an impossible fragment")]
    InvalidFragment,
    /// A forwarder sent an update, or a planner a report.
    #[error("its sender may not send it")]
    UnauthorizedSender,
}

impl Remediation for HealthError {
    fn remediation(&self) -> &'static str {
        match self {
            HealthError::InvalidFigure => {
                "A forwarder that holds the secret sends impossible figures: check which program and version runs there."
            }
            HealthError::Stale => {
                "Nothing, if there are few: networks duplicate and delay datagrams. If there are many, look at the \
                 network."
            }
            HealthError::CapacityExceeded => {
                "Count the fleet's forwarders (4,096 at most) and caches (2,048 at most): beyond these the fleet has \
                 to be split, each part with planners of its own."
            }
            HealthError::InvalidFragment => "Check that all members run the same version of the program.",
            HealthError::UnauthorizedSender => {
                "Check whether two members have the same name or number, and which program sends with the secret."
            }
        }
    }
}
