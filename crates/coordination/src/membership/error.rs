//! Why a message is ignored on account of its sender.

use thiserror::Error;

use crate::component::Remediation;

/// The reason why a message is ignored on account of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MembershipError {
    /// The sender has the recipient's own identity.
    #[error("its sender has this member's own name")]
    OwnName,
    /// A later incarnation of the sender is known.
    #[error("its sender has restarted since")]
    StaleIncarnation,
    /// The message was accepted before.
    #[error("it is a duplicate")]
    Duplicate,
    /// The message is older than the replay window.
    #[error("many later messages arrived before it")]
    TooOld,
    /// The sender was considered failed and continues under the same incarnation.
    #[error("its sender was considered failed and continues under the same incarnation")]
    DeclaredFailed,
    /// All places for members of the sender's kind are taken by members that are alive.
    #[error("there are more members than the program supports")]
    CapacityExceeded,
    /// A forwarder sent a notice that only planners may send.
    #[error("only planners may declare members failed or superseded")]
    UnauthorizedSender,
}

impl Remediation for MembershipError {
    fn remediation(&self) -> &'static str {
        match self {
            MembershipError::OwnName => {
                "Two members have the same name or number: give each its own in its file. If they have not, somebody \
                 sends messages back to their sender."
            }
            MembershipError::StaleIncarnation => {
                "Nothing, if a member has just been restarted. If it continues, two processes run under one name: stop \
                 one. A process whose clock was set back is notified, and continues under a greater incarnation within \
                 seconds."
            }
            MembershipError::Duplicate => {
                "Nothing, if there are few: networks duplicate datagrams. If there are many, find out who replays \
                 datagrams on this network."
            }
            MembershipError::TooOld => {
                "Nothing, if there are few. If there are many, look at the queues between the members: datagrams are \
                 reordered by tens."
            }
            MembershipError::DeclaredFailed => {
                "Nothing: the member was suspended or cut off, is notified, and continues under a new incarnation. If \
                 it happens often, look at what its machine or the network between does at these times."
            }
            MembershipError::CapacityExceeded => {
                "More forwarders or planners than the program supports send with this secret: check that all of them \
                 belong to this fleet, and split the fleet if they do."
            }
            MembershipError::UnauthorizedSender => {
                "A forwarder sends what only planners may send: look at what runs under its name, and rotate the secret."
            }
        }
    }
}
