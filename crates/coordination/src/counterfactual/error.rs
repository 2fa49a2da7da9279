//! The errors for which a message is ignored, and what an operator can do about each.

use super::estimate::NoSupport;
use crate::component::Remediation;

/// The reason why a message was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CounterfactualError {
    /// The message holds a value that the sender cannot have observed or computed.
    #[error("the message holds a value that its sender cannot have observed or computed")]
    InvalidValue,
    /// The message reports a request that is not in the sample.
    #[error("the message reports a request that is not in the sample")]
    NotSampled,
    /// A planner received a planner's message, or a forwarder a forwarder's.
    #[error(
        "the message is meant for the other role: planners get requests and starts, forwarders get reports"
    )]
    WrongRole,
}

impl Remediation for CounterfactualError {
    fn remediation(&self) -> &'static str {
        match self {
            CounterfactualError::InvalidValue => {
                "Check the member that is named: its program may be of another version, or faulty."
            }
            CounterfactualError::NotSampled => {
                "Upgrade the forwarder that is named to this planner's version: both have to sample the same requests."
            }
            CounterfactualError::WrongRole => {
                "Check in the fleet's configuration whether a planner and a forwarder have swapped addresses."
            }
        }
    }
}

impl Remediation for NoSupport {
    fn remediation(&self) -> &'static str {
        "Nothing to do: nodes send too few such requests to other caches. More requests, or a longer window, may allow an estimate."
    }
}
