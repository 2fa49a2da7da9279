//! Errors of the lease component: why a message is ignored, or why settings are rejected.

use crate::component::Remediation;

/// The reason why the lease component ignores a message or rejects its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// A request or a grant is not newer than one that was handled already, or comes from an earlier
    /// incarnation.
    #[error(
        "leases: message ignored: it is not newer than one that was handled before, or is from an earlier incarnation"
    )]
    Outdated,
    /// The limit on claims, on warming cache servers or on queued messages is reached.
    #[error(
        "leases: request ignored: the limit on forwarders, on warming cache servers or on queued messages is reached"
    )]
    TooManyEntries,
    /// The sender is a planner that the fleet configuration does not list.
    #[error("leases: message ignored: the fleet configuration does not list the planner that sent it")]
    UnknownPlanner,
    /// A grant answers no request that is pending.
    #[error("leases: grant ignored: no pending request of this member matches it")]
    UnsolicitedGrant,
    /// The recipient does not accept this kind of message from a member with the sender's role.
    #[error("leases: message ignored: this member does not accept messages of this kind from the sender")]
    UnexpectedMessage,
    /// The settings list no planner, or allow no forwarder.
    #[error("leases: invalid settings: at least one planner and one forwarder are required")]
    NoMembers,
    /// The guaranteed part and the long-term part add up to more than the capacity.
    #[error(
        "leases: invalid settings: the guaranteed and the long-term part add up to more than the capacity"
    )]
    SharesExceedCapacity,
    /// The durations of leases and loans and their maximum contradict each other.
    #[error(
        "leases: invalid durations: a loan must be longer than a lease plus the clock margin, and neither may exceed the maximum duration"
    )]
    InvalidDurations,
}

impl Remediation for LeaseError {
    fn remediation(&self) -> &'static str {
        match self {
            LeaseError::Outdated => {
                "Nothing to do if it is rare: messages were duplicated or reordered. If it continues, look for two processes that run under one name."
            }
            LeaseError::TooManyEntries => {
                "Look for a process that invents forwarders' names. If the fleet really is this large, report it: max_claims or max_warming_caches has to be raised."
            }
            LeaseError::UnknownPlanner => "Give all planners and forwarders the same fleet configuration.",
            LeaseError::UnsolicitedGrant => {
                "Nothing to do if it is rare: the grant was late. If it continues, check the network between the planner and this member."
            }
            LeaseError::UnexpectedMessage => {
                "Check whether a planner's address is listed as a forwarder's, or whether members run different versions of the program."
            }
            LeaseError::NoMembers => {
                "Name at least one planner and one forwarder in the fleet configuration."
            }
            LeaseError::SharesExceedCapacity => {
                "Set reserve and standing under [leases] so that they add up to at most 1."
            }
            LeaseError::InvalidDurations => {
                "Set the lease duration, the loan duration and the maximum duration, each greater than the one before, for example to 2 s, 4 s and 5 s."
            }
        }
    }
}
