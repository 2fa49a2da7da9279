//! The error for messages that are ignored because of their sender.

use thiserror::Error;

use super::{MAX_FORWARDERS, MAX_PLANNERS};
use crate::component::Remediation;

/// The reason why a message is ignored because of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum MembershipError {
    /// The sender has the same identity as the recipient.
    #[error("message ignored: its sender has the same name or number as this member")]
    OwnName,
    /// A later incarnation of the sender is known.
    #[error("message ignored: a later incarnation of its sender is known")]
    StaleIncarnation,
    /// The message was accepted before.
    #[error("message ignored: it is a duplicate of one that was accepted before")]
    Duplicate,
    /// The message is older than the replay window.
    #[error("message ignored: it arrived after many later messages of its sender")]
    TooOld,
    /// The sender was considered failed and continues under the same incarnation.
    #[error("message ignored: its sender was considered failed and continues under the same incarnation")]
    DeclaredFailed,
    /// The maximum number of members of the sender's kind is reached, and all of them are alive.
    #[error(
        "message ignored: its sender is one member too many; the program supports {MAX_FORWARDERS} forwarders and {MAX_PLANNERS} planners"
    )]
    CapacityExceeded,
    /// A forwarder sent a notice that only planners may send.
    #[error(
        "notice ignored: its sender is a forwarder, and only planners may declare members failed or superseded"
    )]
    UnauthorizedSender,
}

impl Remediation for MembershipError {
    fn remediation(&self) -> &'static str {
        match self {
            MembershipError::OwnName => {
                "Check whether two members have the same name or number, and give each its own in its configuration \
                 file. If all differ, find out who sends members' datagrams back to them."
            }
            MembershipError::StaleIncarnation => {
                "Nothing to do if a member has just been restarted. If it continues, two processes run under one name: \
                 stop one of them. A process whose clock was set back is notified, and continues under a greater \
                 incarnation within seconds."
            }
            MembershipError::Duplicate => {
                "Nothing to do if there are few duplicates: networks duplicate datagrams. If there are many, find out \
                 who replays datagrams on this network."
            }
            MembershipError::TooOld => {
                "Nothing to do if there are few late messages. If there are many, check the network queues between the \
                 members: datagrams arrive tens of places out of order."
            }
            MembershipError::DeclaredFailed => {
                "Nothing to do: the member was suspended or cut off; it is notified, and continues under a new \
                 incarnation. If it happens often, check the member's machine and its network at these times."
            }
            MembershipError::CapacityExceeded => {
                "More forwarders or planners than the program supports send messages with this fleet's secret: check \
                 that all of them belong to this fleet, and split the fleet if they do."
            }
            MembershipError::UnauthorizedSender => {
                "A forwarder sends notices that only planners may send: check which program runs under its name, and \
                 rotate the secret."
            }
        }
    }
}
