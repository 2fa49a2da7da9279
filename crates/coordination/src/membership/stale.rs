//! Why a letter is passed over.

use thiserror::Error;

use crate::component::Remediation;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MembershipError {
    #[error("it bears this member's own name")]
    Mine,
    #[error("its sender has started again since")]
    OlderLife,
    #[error("it came before")]
    Twice,
    #[error("many later ones came before it")]
    TooLate,
    #[error("its sender was silent for long and goes on under the same life")]
    WasGone,
    #[error("there are more members than there is room for")]
    TooMany,
    #[error("only planners say who was gone")]
    NotItsWord,
}

impl Remediation for MembershipError {
    fn remediation(&self) -> &'static str {
        match self {
            MembershipError::Mine => {
                "Two members have the same name or number: give each its own in its file. If they have not, \
                 somebody sends letters back to where they came from."
            }
            MembershipError::OlderLife => {
                "Nothing, if a member has just been restarted. If it goes on, two processes run under one name: stop one. One \
                 whose clock was set back is told, and goes on under a greater life within seconds."
            }
            MembershipError::Twice => {
                "Nothing, if a few: networks double letters. If many, look who sends letters again on this network."
            }
            MembershipError::TooLate => {
                "Nothing, if a few. If many, look at the queues between the members: letters are overtaken by tens."
            }
            MembershipError::WasGone => {
                "Nothing: it was stopped or cut off, is told so, and goes on as new. If it happens often, look at \
                 what its machine or the network between does at these times."
            }
            MembershipError::TooMany => {
                "More forwarders or planners than the program is made for speak with this secret: look whether all of \
                 them belong to this fleet, and part it if they do."
            }
            MembershipError::NotItsWord => {
                "A forwarder speaks as a planner does: look at what runs under its name, and turn the secret over."
            }
        }
    }
}
