//! Why a message is ignored, and what an operator can do about it.

use super::estimate::NoSupport;
use crate::component::Remediation;

/// Why a message was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CounterfactualError {
    /// The message holds a value that the sender cannot have observed or computed.
    #[error("a value in a request or report is out of range")]
    InvalidValue,
    /// The message reports a request that is not in the sample.
    #[error("a reported request is not in the sample")]
    NotSampled,
    /// A planner received a planner's message, or a forwarder a forwarder's.
    #[error("a message that is meant for the other role")]
    WrongRole,
}

impl Remediation for CounterfactualError {
    fn remediation(&self) -> &'static str {
        match self {
            CounterfactualError::InvalidValue => {
                "Look at the member that is named: its program may be of another version, or faulty."
            }
            CounterfactualError::NotSampled => {
                "Bring the forwarder that is named to this version: both have to sample the same requests."
            }
            CounterfactualError::WrongRole => {
                "Look in the fleet's configuration whether a planner and a forwarder have swapped addresses."
            }
        }
    }
}

impl Remediation for NoSupport {
    fn remediation(&self) -> &'static str {
        "Nothing to do: nodes send too few such requests elsewhere for an estimate. More requests, or a longer window, may allow one."
    }
}
