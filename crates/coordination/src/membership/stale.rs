//! Why a letter is passed over.

use thiserror::Error;

use crate::component::Help;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Stale {
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

impl Help for Stale {
    fn help(&self) -> &'static str {
        match self {
            Stale::Mine => {
                "Two members have the same name or number: give each its own in its file. If they have not, \
                 somebody sends letters back to where they came from."
            }
            Stale::OlderLife => {
                "Nothing, if a member has just been restarted. If it goes on, two processes run under one name: stop one. One \
                 whose clock was set back is told, and goes on under a greater life within seconds."
            }
            Stale::Twice => {
                "Nothing, if a few: networks double letters. If many, look who sends letters again on this network."
            }
            Stale::TooLate => {
                "Nothing, if a few. If many, look at the queues between the members: letters are overtaken by tens."
            }
            Stale::WasGone => {
                "Nothing: it was stopped or cut off, is told so, and goes on as new. If it happens often, look at \
                 what its machine or the network between does at these times."
            }
            Stale::TooMany => {
                "More forwarders or planners than the program is made for speak with this secret: look whether all of \
                 them belong to this fleet, and part it if they do."
            }
            Stale::NotItsWord => {
                "A forwarder speaks as a planner does: look at what runs under its name, and turn the secret over."
            }
        }
    }
}
