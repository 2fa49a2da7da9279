//! The error for rejected messages about the health of endpoints.

use thiserror::Error;

use crate::component::Remediation;

/// The reason why a report or an update is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum HealthError {
    /// A count is negative, not finite, or greater than any forwarder can have counted.
    #[error(
        "health report rejected: a count is negative, not finite or greater than a forwarder can have counted"
    )]
    InvalidFigure,
    /// The message is a duplicate, or older than one that was accepted before.
    #[error("health message rejected: it is a duplicate, or older than one that was accepted before")]
    Stale,
    /// The maximum number of forwarders or endpoints is reached.
    #[error("health message rejected: the fleet has more forwarders or caches than the program supports")]
    CapacityExceeded,
    /// The fragment's index or count is out of range.
    #[error("health message rejected: its fragment index or fragment count is out of range")]
    InvalidFragment,
    /// A forwarder sent an update, or a planner sent a report.
    #[error("health message rejected: only forwarders may send reports, and only planners may send updates")]
    UnauthorizedSender,
}

impl Remediation for HealthError {
    fn remediation(&self) -> &'static str {
        match self {
            HealthError::InvalidFigure => {
                "A forwarder that holds the secret sends impossible counts: check which program and version runs there."
            }
            HealthError::Stale => {
                "Nothing to do if there are few: networks duplicate and delay datagrams. If there are many, check the \
                 network between the members."
            }
            HealthError::CapacityExceeded => {
                "Count the fleet's forwarders (at most 4,096) and caches (at most 2,048). If there are more, split the \
                 fleet into parts with planners of their own."
            }
            HealthError::InvalidFragment => "Check that all members run the same version of the program.",
            HealthError::UnauthorizedSender => {
                "Check whether two members have the same name or number, and which program sends with the secret."
            }
        }
    }
}
