//! Errors of the lease component.

use crate::component::Remediation;

/// Why a message is ignored, or why settings are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// A request or a grant is older than one that was handled, or comes from an earlier incarnation.
    #[error("leases: a request that is no newer than one before")]
    Outdated,
    /// A limit on stored entries or on queued messages is reached.
    #[error("leases: more forwarders or warming caches than the limits allow")]
    TooManyEntries,
    /// The sender is a planner that the fleet configuration does not list.
    #[error("leases: a planner that the fleet configuration does not have")]
    UnknownPlanner,
    /// A grant answers no request that is still remembered.
    #[error("leases: a grant that answers no recent request")]
    UnsolicitedGrant,
    /// The message is addressed to the other side of the protocol.
    #[error("leases: a message that is not for this side")]
    UnexpectedMessage,
    /// The settings name no planner or no forwarder.
    #[error("leases: neither forwarders nor planners to share among")]
    NoMembers,
    /// The guaranteed and the long-term part come to more than the capacity.
    #[error("leases: a reserve and long-term allocations of more than the capacity")]
    SharesExceedCapacity,
    /// The durations of leases and loans contradict each other.
    #[error(
        "leases: invalid durations: a lease has to be shorter than a loan, by the margin of clocks, and both within the longest"
    )]
    InvalidDurations,
}

impl Remediation for LeaseError {
    fn remediation(&self) -> &'static str {
        match self {
            LeaseError::Outdated => {
                "Nothing to do: messages were duplicated or reordered. If it goes on, two processes may bear one name."
            }
            LeaseError::TooManyEntries => {
                "Look for a process that makes up forwarders\' names. If the fleet is that large, report it: max_claims or max_warming_caches has to be raised."
            }
            LeaseError::UnknownPlanner => "Give all planners and forwarders the same fleet configuration.",
            LeaseError::UnsolicitedGrant => {
                "Nothing to do if it is rare: an answer was late. If it goes on, look at the network between the two."
            }
            LeaseError::UnexpectedMessage => {
                "Check whether a planner's address is listed as a forwarder's, or whether versions are mixed."
            }
            LeaseError::NoMembers => {
                "Name at least one planner and one forwarder in the fleet configuration."
            }
            LeaseError::SharesExceedCapacity => {
                "Set reserve and standing under [leases] so that both come to 1 at most."
            }
            LeaseError::InvalidDurations => {
                "Set the durations of leases, of loans and the maximum, each greater than the one before; 2 s, 4 s and 5 s serve."
            }
        }
    }
}
